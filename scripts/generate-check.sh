#!/usr/bin/env bash
# Fails if committed generated code or pages differ from the output of generate.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
bash scripts/generate.sh "$generated"
(cd "$generated" && find . -name '*_gen.go' -o -name SETTINGS.md) | while read -r file; do
  if ! diff -u "$file" "$generated/$file"; then
    echo "generated file is stale: $file; run make generate" >&2
    exit 1
  fi
done
