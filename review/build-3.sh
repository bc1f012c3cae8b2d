#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/. Needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/bed"
GOWORK=off go build -o ../../target/bed .
