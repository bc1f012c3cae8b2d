#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. It uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o ../target/review/ ./lab
