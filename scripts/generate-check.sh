#!/usr/bin/env bash
# Fails when committed generated code or pages differ from what the schema gives.
set -euo pipefail
cd "$(dirname "$0")/.."
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
bash scripts/generate.sh "$fresh"
(cd "$fresh" && find . -name '*_gen.go' -o -name SETTINGS.md) | while read -r file; do
  if ! diff -u "$file" "$fresh/$file"; then
    echo "generated file is stale: $file; run make generate" >&2
    exit 1
  fi
done
