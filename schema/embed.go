// Package schema embeds the JSON Schema files of the settings. The Go types of settings and
// messages are generated from the files in this directory.
package schema

import "embed"

// Settings holds the files settings/*.schema.json.
//
//go:embed settings/*.schema.json
var Settings embed.FS
