// Command settingsdoc writes docs/SETTINGS.md, generated from the schema, to standard output.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/galenalug/galenalug/internal/config"
)

const header = `# Settings

Generated from schema/settings by scripts/settingsdoc; run ` + "`make generate`" + ` after a change of the schema.

Each process reads one YAML file, named by ` + "`--settings`" + `. A file with an unknown setting, a wrong type, a missing setting or
a value out of range is refused with one line a fault. ` + "`--check-settings`" + ` checks the file and exits. Secret files hold at
least 16 bytes, and should be readable by the process's user only.
`

// programs maps each kind of settings file to the program or command that reads it.
var programs = map[string]string{
	config.KindEntry:   "galena-entry",
	config.KindControl: "galena-control",
	config.KindBackend: "galena-backend",
	config.KindCtl:     "galenactl",
	config.KindGateway: "galena-entry platform",
	config.KindFleet:   "galena-control platform",
	config.KindRoutes:  "galenactl routes: the configuration file",
}

func main() {
	page, err := render()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(page)
}

func render() (string, error) {
	var page strings.Builder
	page.WriteString(header)
	for _, kind := range config.Kinds() {
		description, list, err := config.Describe(kind)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&page, "\n## %s\n\n%s\n\n", programs[kind], description)
		page.WriteString("| setting | allowed | default | meaning |\n|---|---|---|---|\n")
		for _, setting := range list {
			page.WriteString(row(setting))
		}
	}
	return page.String(), nil
}

func row(setting config.Setting) string {
	value := setting.Default
	if setting.Required {
		value = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", setting.Name, setting.Allowed, value, setting.Description)
}
