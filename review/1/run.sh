#!/usr/bin/env bash
# Cuts the VM of a group's leader off for 1.2 s while it switches the idle group to another expert map, and looks for
# passes that begin with two maps.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the trouble.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/heatherrail-gateway target/heatherrail-rank target/review-standin; do
  if [ ! -x "$program" ]; then
    echo "$program is not built" >&2
    exit 2
  fi
done
exec target/review-standin stalemap review/1
