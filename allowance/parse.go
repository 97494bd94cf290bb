package allowance

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// MaxListBytes is the maximum size of a list in YAML.
const MaxListBytes = 64 << 20

// ErrSyntax means that the input is not a single YAML document with the fields of the list.
var ErrSyntax = errors.New("malformed list")

// ParsePlans parses and validates the list of customers' plans. It fails with Problems, or with
// ErrSyntax, whose text contains the line number if the YAML decoder reports one.
func ParsePlans(data []byte) (PlanList, error) {
	var list PlanList
	if err := parse(ListPlans, data, &list); err != nil {
		return PlanList{}, err
	}
	if problems := list.Check(); problems != nil {
		return PlanList{}, problems
	}
	return list, nil
}

// ParseAllowances parses and validates the list of plans' allowances. It fails with Problems, or
// with ErrSyntax, whose text contains the line number if the YAML decoder reports one.
func ParseAllowances(data []byte) (LimitList, error) {
	var list LimitList
	if err := parse(ListAllowances, data, &list); err != nil {
		return LimitList{}, err
	}
	if problems := list.Check(); problems != nil {
		return LimitList{}, problems
	}
	return list, nil
}

// parse decodes one YAML document into list. It rejects unknown fields, duplicate fields and
// further documents.
func parse(name string, data []byte, list any) error {
	if len(data) > MaxListBytes {
		return errors.Wrapf(ErrSyntax, "%s: longer than %d bytes", name, MaxListBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(list); err != nil {
		return errors.Wrapf(ErrSyntax, "%s: %s", name, err)
	}
	var rest yaml.Node
	if err := decoder.Decode(&rest); !errors.Is(err, io.EOF) {
		return errors.Wrapf(ErrSyntax, "%s: more than one document", name)
	}
	return nil
}
