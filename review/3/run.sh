#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption. KEEP=1 keeps the logs.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/lab ] || { echo 'run review/build.sh first'; exit 2; }
exec ../../target/review/lab --case advice --bin ../../target --record record.txt
