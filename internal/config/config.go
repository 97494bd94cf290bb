// Package config loads YAML settings files, checks them against the JSON Schema
// files, and applies the schema's defaults.
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
	KindEntry   = "entry"
	KindControl = "control"
	KindBackend = "backend"
	KindCtl     = "ctl"
	KindGateway = "gateway"
	KindFleet   = "fleet"
	KindRoutes  = "routes"
)

const (
	minSecretBytes = 16
	worldReadable  = 0o004
)

// Problem is one fault of a settings file.
type Problem struct {
	Setting string // path of the setting, such as controls[0].address; may be empty
	Detail  string // what is wrong and which values are allowed
}

// Error lists the faults of one settings file, one line each.
type Error struct {
	File     string
	Problems []Problem
}

// Error returns one line for each problem.
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

// checkers check the text of a settings file, by kind.
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
		value, problems := examine(content, kind, check)
		if len(problems) == 0 && withSecrets {
			problems = checkSecrets(secrets(value))
		}
		return problems
	}
}

// Check checks a settings file of the given kind, and with withSecrets also the
// secret files that it names. It fails with *Error.
func Check(kind, path string, withSecrets bool) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Problems: []Problem{{Detail: err.Error()}}}
	}
	return checkText(kind, path, content, withSecrets)
}

// CheckText checks the text of a settings file, which errors call by the given
// name. Secret files are not read. It fails with *Error.
func CheckText(kind, name string, content []byte) error {
	return checkText(kind, name, content, false)
}

func checkText(kind, name string, content []byte, withSecrets bool) error {
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

// ReadSecret reads a credential, without the white space around it. It fails
// when the file can't be read or holds less than 16 bytes, and warns when
// everybody on the host may read it.
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
		log.WithField("file", path).Warn("secret file is readable by everybody on this host")
	}
	return secret, nil
}

// ReadOptionalSecret reads a credential, or returns nil if no file is named.
func ReadOptionalSecret(path *string) ([]byte, error) {
	if path == nil || *path == "" {
		return nil, nil
	}
	return ReadSecret(*path)
}

// load runs all checks in turn; each later one needs what the earlier ones ensured.
func load[T any](path, kind string, check func(T) []Problem, secrets func(T) []secretFile) (T, error) {
	var value T
	content, err := os.ReadFile(path)
	if err != nil {
		return value, &Error{File: path, Problems: []Problem{{Detail: err.Error()}}}
	}
	value, problems := examine(content, kind, check)
	if len(problems) == 0 {
		problems = checkSecrets(secrets(value))
	}
	if len(problems) > 0 {
		return value, &Error{File: path, Problems: problems}
	}
	return value, nil
}

// examine decodes a settings file and checks what no schema can say.
func examine[T any](content []byte, kind string, check func(T) []Problem) (T, []Problem) {
	value, problems := decode[T](content, kind)
	if len(problems) == 0 {
		problems = check(value)
	}
	return value, problems
}

// decode turns YAML into a settings struct by way of the schema.
func decode[T any](content []byte, kind string) (T, []Problem) {
	var value T
	document, err := parse(content)
	if err != nil {
		return value, []Problem{{Detail: oneLine(err)}}
	}
	schema, err := compile(kind)
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

// parse returns the document as the schema library wants it: JSON's types.
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
		return nil, errors.Wrap(err, "holds values that settings can't have")
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
