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

// fixedLimits are limits for clients that are no settings.
const fixedLimits = `
## Limits for clients that are no settings

| limit | value | where |
|---|---|---|
| memory for heads and bodies of clients together | memory_mb / 4, at least 4 MiB; three quarters of it for requests that hold more than 64 KiB | all but galena-control |
| Go runtime's soft memory limit | 75% of memory_mb | all |
| open connections of clients | 60% of max_descriptors less 96, at most memory_mb / 128 KiB | galena-entry, galena-entry platform |
| open connections to backend servers | the other descriptors; requests in progress: half of them | galena-entry platform |
| open connections of servers and operators | 40% of max_descriptors, at most memory_mb / 256 KiB | galena-control platform |
| open connections of peers | 30% of max_descriptors, at most memory_mb / 256 KiB | galena-control, galena-control platform |
| open connections to admin_port or admin_listen | 32 (galena-control: 64) | all |
| open connections to ready_listen | 16 | galena-entry platform |
| time without progress after which a connection gives way when there are too many, or its memory when it is short | 1 s; readiness check: 250 ms | all |
| head of a request | 64 KiB, or maxHeaderBytes of the configuration if that is less; 16 KiB elsewhere; 6 KiB on ready_listen | galena-entry platform; all others |
| time to receive a head | 10 s | galena-entry platform |
| body that is read before a request is sent | 1 MiB; the rest is streamed, up to maxBodyBytes of the configuration | galena-entry platform |
| heartbeat | 1 MiB | galena-control platform |
| leave call | 4 KiB | galena-control platform |
| configuration | 16 MiB; one above 1 MiB at a time | galena-control platform |
| time to receive a call | 1 min | galena-control platform |
| idle time of a connection | 1 min (calls of servers and operators), 2 min (admin address, clients of gateways) | galena-control platform, all |
| unsent bytes of responses in the kernel, for each connection | 64 KiB | all |
`

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
	page.WriteString(fixedLimits)
	return page.String(), nil
}

func row(setting config.Setting) string {
	value := setting.Default
	if setting.Required {
		value = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", setting.Name, setting.Allowed, value, setting.Description)
}
