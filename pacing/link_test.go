package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSessions runs the golden sessions; times are in milliseconds.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var link *Link
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			argument := func(name string) (value int) {
				d.MaybeScanArgs(t, name, &value)
				return value
			}
			now := time.Duration(argument("at")) * time.Millisecond
			switch d.Cmd {
			case "link":
				link = NewLink(float64(argument("rate")))
				return ""
			case "interactive":
				link.RecordInteractive(now, argument("bytes"))
				return fmt.Sprintf("left %.0f\n", link.shared.tokens)
			case "bulk":
				wait := link.AdmitBulk(now, argument("bytes"))
				return fmt.Sprintf("wait %v, left %.0f and %.0f\n", wait, link.shared.tokens, link.floor.tokens)
			}
			return total(link, now, argument("piece"), time.Duration(argument("for"))*time.Millisecond, argument("interactive"))
		})
	})
}

// total sends bulk without pause, and interactive bytes each 10 ms.
func total(link *Link, now time.Duration, piece int, length time.Duration, interactive int) string {
	sent, end, next := 0, now+length, now
	for now < end {
		for ; next <= now; next += 10 * time.Millisecond {
			link.RecordInteractive(next, interactive)
		}
		wait := link.AdmitBulk(now, piece)
		if wait == 0 {
			sent += piece
		}
		now += min(wait, 10*time.Millisecond)
	}
	return fmt.Sprintf("bulk %d bytes a second\n", int(float64(sent)/length.Seconds()))
}
