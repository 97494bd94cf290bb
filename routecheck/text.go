package routecheck

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(r), "write report")
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	// Errors of the writer are kept by the table, whose last flush returns them.
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if r.Version > 0 {
		_, _ = fmt.Fprintf(table, "version %d on base %d: %d routes, %d services\n", r.Version, r.Base, r.Routes, r.Services)
	}
	if len(r.Findings) > 0 {
		_, _ = fmt.Fprintln(table, "SEVERITY\tCODE\tENTRY\tFINDING")
	}
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", f.Severity, f.Code, f.Entry, f.Detail)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := r.writeDifferences(w); err != nil {
		return errors.Wrap(err, "write report")
	}
	_, err := fmt.Fprintf(w, "errors: %d, warnings: %d, hints: %d\n", r.Count(Error), r.Count(Warning), r.Count(Hint))
	return errors.Wrap(err, "write report")
}

func (r *Report) writeDifferences(w io.Writer) error {
	if r.InForce == nil {
		return nil
	}
	if len(r.Differences) == 0 {
		_, err := fmt.Fprintf(w, "no differences from version %d in force\n", *r.InForce)
		return err
	}
	if _, err := fmt.Fprintf(w, "differences from version %d in force:\n", *r.InForce); err != nil {
		return err
	}
	for _, d := range r.Differences {
		if err := d.write(w); err != nil {
			return err
		}
	}
	return nil
}

func (d Difference) write(w io.Writer) error {
	lines := []string{fmt.Sprintf("  %s: %s", d.Entry, d.Change)}
	for _, f := range d.Fields {
		switch d.Change {
		case Added:
			lines = append(lines, fmt.Sprintf("    %s: %s", f.Field, f.New))
		case Removed:
			lines = append(lines, fmt.Sprintf("    %s: %s", f.Field, f.Old))
		default:
			lines = append(lines, fmt.Sprintf("    %s: %s -> %s", f.Field, orNone(f.Old), orNone(f.New)))
		}
	}
	for _, effect := range d.Effects {
		lines = append(lines, "    effect: "+effect)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
