#!/usr/bin/env bash
# Generates Go code and docs/SETTINGS.md from the JSON Schema files.
# Usage: generate.sh [OUTPUT_ROOT]
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-.}
generate() { # package, output file, schema files...
  local package=$1 file=$2
  shift 2
  mkdir -p "$out/$(dirname "$file")"
  go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml,cbor --package "$package" --output "$out/$file" "$@"
  gofmt -w "$out/$file"
}
generate settings internal/settings/settings_gen.go schema/settings/*.schema.json
generate wire internal/wire/wire_gen.go schema/wire.schema.json
if [ -f schema/replog.schema.json ]; then generate replog replog/messages_gen.go schema/replog.schema.json; fi
generate routes routes/messages_gen.go schema/routes.schema.json
generate keyrange keyrange/messages_gen.go schema/keyrange.schema.json
generate ratelimit ratelimit/messages_gen.go schema/ratelimit.schema.json
generate serverload serverload/messages_gen.go schema/serverload.schema.json
generate quarantine quarantine/messages_gen.go schema/quarantine.schema.json
generate admitshare admitshare/messages_gen.go schema/admitshare.schema.json
generate evacuation evacuation/messages_gen.go schema/evacuation.schema.json
generate slotqueue slotqueue/messages_gen.go schema/slotqueue.schema.json
mkdir -p "$out/docs"
go run ./scripts/settingsdoc >"$out/docs/SETTINGS.md"
