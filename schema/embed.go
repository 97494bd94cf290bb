// Package schema embeds the JSON Schema files from which the settings and
// message types are generated.
package schema

import "embed"

// Settings holds settings/*.schema.json.
//
//go:embed settings/*.schema.json
var Settings embed.FS
