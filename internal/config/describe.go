package config

import (
	"fmt"
	"sort"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Kinds lists the kinds of settings files.
func Kinds() []string {
	return []string{KindEntry, KindControl, KindBackend, KindCtl, KindGateway, KindFleet, KindRoutes}
}

// Setting describes one setting, for the documentation.
type Setting struct {
	Name        string // path, such as controls[].address
	Allowed     string // allowed values
	Default     string // "" if there is none
	Required    bool
	Description string
}

// Describe returns the description of a kind and its settings: first the required ones in the order
// of the schema, then the others by name.
func Describe(kind string) (description string, list []Setting, err error) {
	root, err := compileSchema(kind)
	if err != nil {
		return "", nil, err
	}
	return root.Description, describeMembers(root, ""), nil
}

func describeMembers(at *jsonschema.Schema, prefix string) []Setting {
	var list []Setting
	required := map[string]bool{}
	for _, name := range at.Required {
		required[name] = true
		list = append(list, describeOne(at.Properties[name], prefix+name, true)...)
	}
	var optional []string
	for name := range at.Properties {
		if !required[name] {
			optional = append(optional, name)
		}
	}
	sort.Strings(optional)
	for _, name := range optional {
		list = append(list, describeOne(at.Properties[name], prefix+name, false)...)
	}
	return list
}

func describeOne(property *jsonschema.Schema, name string, required bool) []Setting {
	at := resolve(property)
	setting := Setting{Name: name, Allowed: describe(at), Required: required, Description: at.Description}
	if property.Description != "" { // the description next to a $ref takes precedence
		setting.Description = property.Description
	}
	if at.Default != nil {
		setting.Default = fmt.Sprint(*at.Default)
	}
	list := append([]Setting{setting}, describeMembers(at, name+".")...)
	if at.Items2020 != nil {
		list = append(list, describeMembers(resolve(at.Items2020), name+"[].")...)
	}
	return list
}
