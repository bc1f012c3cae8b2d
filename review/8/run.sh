#!/usr/bin/env bash
exec "$(dirname "$0")/../lab2/run.sh" late-start review/8
