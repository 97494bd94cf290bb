package trace

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// timeFormat is the format of times, in UTC.
const timeFormat = "15:04:05.000"

// WriteConfigHistory writes a table of the times at which each version of the route configuration
// came into force on each host, sorted by version and time. A version other than 0 selects that
// version only.
func WriteConfigHistory(w io.Writer, dumps []Dump, version uint64) error {
	type line struct {
		Timestamped[uint64]
		host string
	}
	var lines []line
	for _, d := range dumps {
		for _, v := range d.Versions {
			if version == 0 || v.Entry == version {
				lines = append(lines, line{v, d.Host})
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		if a.Entry != b.Entry {
			return int(int64(a.Entry) - int64(b.Entry))
		}
		return a.At.Compare(b.At)
	})
	rows := [][]string{{"VERSION", "IN FORCE AT", "HOST"}}
	for _, l := range lines {
		rows = append(rows, []string{fmt.Sprint(l.Entry), formatTime(l.At), l.host})
	}
	return writeTable(w, rows)
}

// WriteEvacuationHistory writes a table of the times at which each revision of the set of evacuated failure domains came
// into force on each host, sorted by revision and time.
func WriteEvacuationHistory(w io.Writer, dumps []Dump) error {
	type line struct {
		Timestamped[Evacuation]
		host string
	}
	var lines []line
	for _, d := range dumps {
		for _, e := range d.Evacuations {
			lines = append(lines, line{e, d.Host})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.Entry.Revision, b.Entry.Revision), a.At.Compare(b.At))
	})
	rows := [][]string{{"REVISION", "IN FORCE AT", "HOST", "EVACUATED"}}
	for _, l := range lines {
		domains := strings.Join(l.Entry.Domains, ",")
		if domains == "" {
			domains = "-"
		}
		rows = append(rows, []string{fmt.Sprint(l.Entry.Revision), formatTime(l.At), l.host, domains})
	}
	return writeTable(w, rows)
}

// WriteKeyHistory writes a table of a key's events in order of time, followed by the key's owner as
// known to each host.
func WriteKeyHistory(w io.Writer, dumps []Dump, service string, key int64) error {
	rows := [][]string{{"AT", "HOST", "WHAT", "SERVER", "KEYS", "DETAIL"}}
	rows = append(rows, keyRows(dumps, service, key)...)
	for _, d := range dumps {
		rows = append(rows, ownerRows(d.Host, "owner now", d.Owners, service, key)...)
		rows = append(rows, ownerRows(d.Host, "newest grant in the log", d.Recorded, service, key)...)
		rows = append(rows, holdingRows(d, service, key)...)
	}
	return writeTable(w, rows)
}

func keyRows(dumps []Dump, service string, key int64) [][]string {
	type event struct {
		Timestamped[KeyEvent]
		host string
	}
	var events []event
	for _, d := range dumps {
		for _, e := range d.Keys {
			if e.Entry.Service == service && e.Entry.From <= key && key <= e.Entry.To {
				events = append(events, event{e, d.Host})
			}
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.At.Compare(b.At) })
	var rows [][]string
	for _, e := range events {
		detail := fmt.Sprintf("token %d, term %d, heartbeat %d ms old", e.Entry.Token, e.Entry.Term, e.Entry.HeartbeatAgeMs)
		rows = append(rows, []string{formatTime(e.At), e.host, e.Entry.Kind, e.Entry.Server, formatRange(e.Entry.From, e.Entry.To), detail})
	}
	return rows
}

func ownerRows(host, source string, owners []Owner, service string, key int64) [][]string {
	for _, o := range owners {
		if o.Service != service || key < o.From || o.To < key {
			continue
		}
		server := o.Server
		if server == "" {
			server = "-"
		}
		detail := "-"
		if !o.Since.IsZero() {
			detail = "told at " + formatTime(o.Since)
		}
		return [][]string{{"-", host, source, server, formatRange(o.From, o.To), detail}}
	}
	return nil
}

func holdingRows(d Dump, service string, key int64) [][]string {
	var rows [][]string
	for _, h := range d.Holdings {
		if h.Service != service || key < h.From || h.To < key {
			continue
		}
		detail := []string{fmt.Sprintf("token %d", h.Token)}
		if h.LeaseLeftMs > 0 {
			detail = append(detail, fmt.Sprintf("at most %d ms more", h.LeaseLeftMs))
		}
		for _, text := range []string{h.LastCall, h.WhyNotFree} {
			if text != "" {
				detail = append(detail, text)
			}
		}
		server := h.Server
		if server == "" {
			server = "-"
		}
		rows = append(rows, []string{"-", d.Host, "may be held by", server, formatRange(h.From, h.To), strings.Join(detail, "; ")})
	}
	return rows
}

func formatTime(t time.Time) string { return t.UTC().Format(timeFormat) }

func formatRange(from, to int64) string { return fmt.Sprintf("%d-%d", from, to) }

func writeTable(w io.Writer, rows [][]string) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(out, strings.Join(row, "\t")) // Flush reports the error
	}
	return errors.Wrap(out.Flush(), "print table")
}
