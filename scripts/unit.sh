#!/usr/bin/env bash
# Runs all tests with the race detector, except the tests listed in KNOWN-RED.txt. The tests with abusive load run last
# and apart from the others: their load would disturb the others, and the others their measures.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=$( { grep -v "^#" KNOWN-RED.txt || true; } | cut -f2 | sed "/^$/d;s/.*/^&$/" | paste -sd"|" -)
args=(-race -count=1 -timeout 600s)
if [ -n "$skip" ]; then args+=(-skip "$skip"); fi
apart=$(go list ./internal/abuse)
go list ./... | grep -vxF "$apart" | xargs go test "${args[@]}"
go test "${args[@]}" "$apart"
