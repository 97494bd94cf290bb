#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs. Usage: fuzz.sh [COUNTx], default 300x
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-300x}
{ grep -rl --include='*_test.go' '^func Fuzz' . || true; } | sort | while read -r file; do
  dir=$(dirname "$file")
  grep -o '^func Fuzz[A-Za-z0-9_]*' "$file" | sed 's/^func //' | while read -r target; do
    go test -run '^$' -fuzz "^${target}\$" -fuzztime "$count" -parallel 2 "$dir"
  done
done
