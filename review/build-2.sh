#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/. The programs of the deploy file are built by its own command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2 ./review/standins-2
