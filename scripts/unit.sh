#!/usr/bin/env bash
# Runs all tests with the race detector, except the tests listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=$( { grep -v "^#" KNOWN-RED.txt || true; } | cut -f2 | sed "/^$/d;s/.*/^&$/" | paste -sd"|" -)
args=(-race -count=1 -timeout 600s)
if [ -n "$skip" ]; then args+=(-skip "$skip"); fi
go test "${args[@]}" ./...
