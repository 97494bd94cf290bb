// Package config loads YAML settings files, validates them against the JSON Schema files, and
// applies the defaults of the schema.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"gopkg.in/yaml.v3"

	"github.com/galenalug/galenalug/internal/settings"
)

// Kinds of settings files.
const (
	KindEntry   = "entry"   // galena-entry
	KindControl = "control" // galena-control
	KindBackend = "backend" // galena-backend
	KindCtl     = "ctl"     // galenactl
	KindGateway = "gateway" // galena-entry as a gateway
	KindFleet   = "fleet"   // galena-control as a control host of gateways
	KindRoutes  = "routes"  // route configuration
)

const (
	minSecretBytes = 16
	worldReadable  = 0o004 // permission bit
)

// Problem is one validation error in a settings file.
type Problem struct {
	Setting string // path of the setting, such as controls[0].address; may be empty
	Detail  string // what is wrong and which values are allowed
}

// Error lists the problems of one settings file.
type Error struct {
	File     string
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		if problem.Setting == "" {
			lines = append(lines, fmt.Sprintf("%s: %s", e.File, problem.Detail))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, problem.Setting, problem.Detail))
	}
	return strings.Join(lines, "\n")
}

// LoadEntry loads the settings of galena-entry. It fails with *Error.
func LoadEntry(path string) (settings.EntrySettings, error) {
	return load(path, KindEntry, checkEntry, entrySecrets)
}

// LoadControl loads the settings of galena-control. It fails with *Error.
func LoadControl(path string) (settings.ControlSettings, error) {
	return load(path, KindControl, checkControl, controlSecrets)
}

// LoadBackend loads the settings of galena-backend. It fails with *Error.
func LoadBackend(path string) (settings.BackendSettings, error) {
	return load(path, KindBackend, checkBackend, backendSecrets)
}

// LoadCtl loads the settings of galenactl. It fails with *Error.
func LoadCtl(path string) (settings.CtlSettings, error) {
	return load(path, KindCtl, checkCtl, ctlSecrets)
}

// LoadGateway loads the settings of galena-entry as a gateway. It fails with *Error.
func LoadGateway(path string) (settings.GatewaySettings, error) {
	return load(path, KindGateway, checkGateway, gatewaySecrets)
}

// LoadFleet loads the settings of galena-control as a control host of gateways.
// It fails with *Error.
func LoadFleet(path string) (settings.FleetSettings, error) {
	return load(path, KindFleet, checkFleet, fleetSecrets)
}

// checkers maps each kind of settings to the function that validates a file's content.
var checkers = map[string]func(content []byte, withSecrets bool) []Problem{
	KindEntry:   checker(KindEntry, checkEntry, entrySecrets),
	KindControl: checker(KindControl, checkControl, controlSecrets),
	KindBackend: checker(KindBackend, checkBackend, backendSecrets),
	KindCtl:     checker(KindCtl, checkCtl, ctlSecrets),
	KindGateway: checker(KindGateway, checkGateway, gatewaySecrets),
	KindFleet:   checker(KindFleet, checkFleet, fleetSecrets),
	KindRoutes:  checker(KindRoutes, checkRoutes, noSecrets),
}

func checker[T any](kind string, check func(T) []Problem, secrets func(T) []secretFile) func([]byte, bool) []Problem {
	return func(content []byte, withSecrets bool) []Problem {
		value, problems := decodeAndCheck(content, kind, check)
		if len(problems) == 0 && withSecrets {
			problems = checkSecrets(secrets(value))
		}
		return problems
	}
}

// Check validates a settings file of the given kind. If withSecrets is set, it also checks the
// secret files that the settings refer to. It fails with *Error.
func Check(kind, path string, withSecrets bool) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Problems: []Problem{{Detail: err.Error()}}}
	}
	return checkContent(kind, path, content, withSecrets)
}

// CheckText validates the content of a settings file; name stands for the file in error messages.
// Secret files are not read. It fails with *Error.
func CheckText(kind, name string, content []byte) error {
	return checkContent(kind, name, content, false)
}

func checkContent(kind, name string, content []byte, withSecrets bool) error {
	check, known := checkers[kind]
	if !known {
		return &Error{File: name, Problems: []Problem{{Detail: fmt.Sprintf(
			"unknown kind of settings %q; must be one of %s", kind, strings.Join(Kinds(), ", "))}}}
	}
	if problems := check(content, withSecrets); len(problems) > 0 {
		return &Error{File: name, Problems: problems}
	}
	return nil
}

// ReadSecret reads a credential and trims surrounding white space. It fails if the file can't be
// read or holds fewer than 16 bytes, and logs a warning if the file is world-readable.
func ReadSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read secret")
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read secret")
	}
	secret := bytes.TrimSpace(content)
	if len(secret) < minSecretBytes {
		return nil, errors.Errorf("secret file %s holds %d bytes; must be at least %d", path, len(secret), minSecretBytes)
	}
	if info.Mode().Perm()&worldReadable != 0 {
		log.WithField("file", path).Warn("secret file is world-readable")
	}
	return secret, nil
}

// ReadOptionalSecret reads a credential, or returns nil if path is nil or empty.
func ReadOptionalSecret(path *string) ([]byte, error) {
	if path == nil || *path == "" {
		return nil, nil
	}
	return ReadSecret(*path)
}

// load reads a settings file and runs the checks in order. Each check relies on the earlier ones
// having passed.
func load[T any](path, kind string, check func(T) []Problem, secrets func(T) []secretFile) (T, error) {
	var value T
	content, err := os.ReadFile(path)
	if err != nil {
		return value, &Error{File: path, Problems: []Problem{{Detail: err.Error()}}}
	}
	value, problems := decodeAndCheck(content, kind, check)
	if len(problems) == 0 {
		problems = checkSecrets(secrets(value))
	}
	if len(problems) > 0 {
		return value, &Error{File: path, Problems: problems}
	}
	return value, nil
}

// decodeAndCheck decodes a settings file and checks the rules that the schema can't express.
func decodeAndCheck[T any](content []byte, kind string, check func(T) []Problem) (T, []Problem) {
	value, problems := decode[T](content, kind)
	if len(problems) == 0 {
		problems = check(value)
	}
	return value, problems
}

// decode validates YAML against the schema of its kind, applies the defaults and decodes the result.
func decode[T any](content []byte, kind string) (T, []Problem) {
	var value T
	document, err := parse(content)
	if err != nil {
		return value, []Problem{{Detail: oneLine(err)}}
	}
	dropEmpty(document, mayBeEmpty[kind])
	schema, err := compileSchema(kind)
	if err != nil {
		return value, []Problem{{Detail: oneLine(err)}}
	}
	if problems := validate(schema, document); len(problems) > 0 {
		return value, problems
	}
	applyDefaults(schema, document)
	encoded, err := json.Marshal(document)
	if err != nil {
		return value, []Problem{{Detail: oneLine(err)}}
	}
	if err := json.Unmarshal(encoded, &value); err != nil {
		return value, []Problem{{Detail: oneLine(err)}}
	}
	return value, nil
}

// mayBeEmpty lists, by kind, the settings that are absent if they have no value. The users' platform may not have their
// placeholders in the templates under deploy/, and control hosts must start all the same.
var mayBeEmpty = map[string][]string{KindFleet: {"evacuate_ms"}}

// dropEmpty removes settings without a value.
func dropEmpty(document any, names []string) {
	object, _ := document.(map[string]any)
	for _, name := range names {
		if value, present := object[name]; present && value == nil {
			delete(object, name)
		}
	}
}

// parse decodes YAML into the JSON types that the schema library expects.
func parse(content []byte) (any, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var document any
	if err := decoder.Decode(&document); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, "not valid YAML")
	}
	if err := decoder.Decode(new(any)); !errors.Is(err, io.EOF) {
		return nil, errors.New("must hold one YAML document")
	}
	if document == nil {
		document = map[string]any{}
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Wrap(err, "holds values that JSON can't represent")
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
