#!/usr/bin/env bash
exec "$(dirname "$0")/../6/lab/run.sh" late-start review/8
