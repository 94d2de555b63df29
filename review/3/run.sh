#!/usr/bin/env bash
# Lets callers with small receive windows pause while they read an answer, and counts the answers that are cut off.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the trouble.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/heatherrail-gateway target/review-standin; do
  if [ ! -x "$program" ]; then
    echo "$program is not built" >&2
    exit 2
  fi
done
exec target/review-standin slowreader review/3
