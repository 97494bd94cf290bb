package config

import (
	"fmt"
	"math/big"
	"net/netip"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"github.com/galenalug/galenalug/schema"
)

const (
	schemaBase     = "https://galenalug.invalid/settings/"
	schemaSuffix   = ".schema.json"
	addressPattern = `^[0-9a-fA-F.:\[\]]+:[0-9]+$`
)

// compileSchema compiles the schema of one kind of settings.
func compileSchema(name string) (*jsonschema.Schema, error) {
	compiler := jsonschema.NewCompiler()
	for _, file := range []string{name, "common"} {
		if err := addResource(compiler, file+schemaSuffix); err != nil {
			return nil, err
		}
	}
	compiled, err := compiler.Compile(schemaBase + name + schemaSuffix)
	return compiled, errors.Wrapf(err, "compile schema %s", name)
}

func addResource(compiler *jsonschema.Compiler, file string) error {
	reader, err := schema.Settings.Open("settings/" + file)
	if err != nil {
		return errors.Wrap(err, "open schema")
	}
	defer func() { _ = reader.Close() }() // closing an embedded file can't fail
	document, err := jsonschema.UnmarshalJSON(reader)
	if err != nil {
		return errors.Wrapf(err, "parse schema %s", file)
	}
	return errors.Wrapf(compiler.AddResource(schemaBase+file, document), "add schema %s", file)
}

// validate returns the problems of a document, sorted by setting.
func validate(root *jsonschema.Schema, document any) []Problem {
	var problems []Problem
	var failed *jsonschema.ValidationError
	if err := root.Validate(document); errors.As(err, &failed) {
		problems = collectProblems(root, failed)
	} else if err != nil {
		problems = []Problem{{Detail: oneLine(err)}}
	} else {
		problems = checkAddresses(root, document, nil)
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Setting < problems[j].Setting })
	return problems
}

// collectProblems converts the leaf causes of a validation error to problems.
func collectProblems(root *jsonschema.Schema, failed *jsonschema.ValidationError) []Problem {
	if len(failed.Causes) > 0 {
		var problems []Problem
		for _, cause := range failed.Causes {
			problems = append(problems, collectProblems(root, cause)...)
		}
		return problems
	}
	at := schemaAt(root, failed.InstanceLocation)
	switch fault := failed.ErrorKind.(type) {
	case *kind.Required:
		return missingProblems(at, failed.InstanceLocation, fault.Missing)
	case *kind.AdditionalProperties:
		return unknownProblems(at, failed.InstanceLocation, fault.Properties)
	case *kind.Type:
		return []Problem{{settingPath(failed.InstanceLocation), fmt.Sprintf("is a %s; must be %s", fault.Got, describe(at))}}
	default:
		return []Problem{{settingPath(failed.InstanceLocation), "has a value that is not allowed; must be " + describe(at)}}
	}
}

func missingProblems(at *jsonschema.Schema, location, names []string) []Problem {
	var problems []Problem
	for _, name := range names {
		path := append(append([]string{}, location...), name)
		problems = append(problems, Problem{settingPath(path), "is missing; must be " + describe(schemaAt(at, []string{name}))})
	}
	return problems
}

func unknownProblems(at *jsonschema.Schema, location, names []string) []Problem {
	known := make([]string, 0, len(at.Properties))
	for name := range at.Properties {
		known = append(known, name)
	}
	sort.Strings(known)
	var problems []Problem
	for _, name := range names {
		path := append(append([]string{}, location...), name)
		problems = append(problems, Problem{settingPath(path), "is not a known setting; known are " + strings.Join(known, ", ")})
	}
	return problems
}

// schemaAt returns the schema of the value at a location. Steps without a schema of their own are
// skipped.
func schemaAt(root *jsonschema.Schema, location []string) *jsonschema.Schema {
	at := resolve(root)
	for _, step := range location {
		if next, ok := at.Properties[step]; ok {
			at = resolve(next)
		} else if at.Items2020 != nil {
			at = resolve(at.Items2020)
		}
	}
	return at
}

func resolve(at *jsonschema.Schema) *jsonschema.Schema {
	for at.Ref != nil {
		at = at.Ref
	}
	return at
}

// settingPath formats a location in the notation of error messages, such as controls[0].address.
func settingPath(location []string) string {
	var path strings.Builder
	for _, step := range location {
		if _, err := strconv.Atoi(step); err == nil {
			path.WriteString("[" + step + "]")
			continue
		}
		if path.Len() > 0 {
			path.WriteString(".")
		}
		path.WriteString(step)
	}
	return path.String()
}

// describe returns a phrase for the allowed values of a setting.
func describe(at *jsonschema.Schema) string {
	switch {
	case at.Enum != nil:
		return "one of " + joinValues(at.Enum.Values)
	case at.Pattern != nil && at.Pattern.String() == addressPattern:
		return "an address IP:port"
	case at.Types == nil:
		return "a value"
	}
	switch name := at.Types.String(); strings.Trim(name, "[]") {
	case "integer":
		return "an integer" + describeRange(at.Minimum, at.Maximum)
	case "boolean":
		return "true or false"
	case "string":
		if at.MinLength == nil {
			return "a text"
		}
		return "a text that is not empty"
	case "array":
		return "a list" + describeLength(at.MinItems, at.MaxItems)
	case "object":
		return "a group of settings"
	default:
		return "a " + name
	}
}

func joinValues(values []any) string {
	names := make([]string, 0, len(values))
	for _, value := range values {
		names = append(names, fmt.Sprint(value))
	}
	return strings.Join(names, ", ")
}

func describeRange(low, high *big.Rat) string {
	switch {
	case low != nil && high != nil:
		return fmt.Sprintf(" from %s to %s", low.RatString(), high.RatString())
	case low != nil:
		return " of at least " + low.RatString()
	default:
		return ""
	}
}

func describeLength(low, high *int) string {
	switch {
	case low != nil && high != nil:
		return fmt.Sprintf(" of %d to %d items", *low, *high)
	case low != nil:
		return fmt.Sprintf(" of at least %d items", *low)
	default:
		return ""
	}
}

// checkAddresses reports addresses that match the schema's pattern but are not a valid IP:port.
func checkAddresses(at *jsonschema.Schema, value any, location []string) []Problem {
	at = resolve(at)
	var problems []Problem
	switch typed := value.(type) {
	case map[string]any:
		for name, member := range typed {
			path := append(append([]string{}, location...), name)
			problems = append(problems, checkAddresses(schemaAt(at, []string{name}), member, path)...)
		}
	case []any:
		for i, member := range typed {
			path := append(append([]string{}, location...), strconv.Itoa(i))
			problems = append(problems, checkAddresses(at.Items2020, member, path)...)
		}
	case string:
		if at.Pattern == nil || at.Pattern.String() != addressPattern {
			return nil
		}
		if _, err := netip.ParseAddrPort(typed); err != nil {
			return []Problem{{settingPath(location), "has a value that is not allowed; must be " + describe(at)}}
		}
	}
	return problems
}

// applyDefaults adds the schema's defaults to a valid document, including those of nested groups of
// settings that the document omits.
func applyDefaults(at *jsonschema.Schema, value any) {
	at = resolve(at)
	switch typed := value.(type) {
	case map[string]any:
		for name, property := range at.Properties {
			addDefault(resolve(property), typed, name)
			applyDefaults(property, typed[name])
		}
	case []any:
		for _, member := range typed {
			applyDefaults(at.Items2020, member)
		}
	}
}

func addDefault(property *jsonschema.Schema, object map[string]any, name string) {
	if _, given := object[name]; given {
		return
	}
	switch {
	case property.Default != nil:
		object[name] = *property.Default
	case len(property.Properties) > 0 && len(property.Required) == 0:
		object[name] = map[string]any{}
	}
}
