package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSessions runs the sessions in testdata against their expected output. Times are in
// milliseconds.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var link *Link
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			intArg := func(name string) (value int) {
				d.MaybeScanArgs(t, name, &value)
				return value
			}
			now := time.Duration(intArg("at")) * time.Millisecond
			switch d.Cmd {
			case "link":
				link = NewLink(float64(intArg("rate")))
				return ""
			case "interactive":
				link.RecordInteractive(now, intArg("bytes"))
				return fmt.Sprintf("left %.0f\n", link.shared.tokens)
			case "bulk":
				wait := link.AdmitBulk(now, intArg("bytes"))
				return fmt.Sprintf("wait %v, left %.0f and %.0f\n", wait, link.shared.tokens, link.floor.tokens)
			}
			return bulkRate(link, now, intArg("piece"), time.Duration(intArg("for"))*time.Millisecond, intArg("interactive"))
		})
	})
}

// bulkRate sends bulk chunks as fast as they are admitted, and interactive bytes every 10 ms. It
// returns the measured rate of the bulk traffic.
func bulkRate(link *Link, now time.Duration, chunk int, length time.Duration, interactive int) string {
	sent, end, next := 0, now+length, now
	for now < end {
		for ; next <= now; next += 10 * time.Millisecond {
			link.RecordInteractive(next, interactive)
		}
		wait := link.AdmitBulk(now, chunk)
		if wait == 0 {
			sent += chunk
		}
		now += min(wait, 10*time.Millisecond)
	}
	return fmt.Sprintf("bulk %d bytes a second\n", int(float64(sent)/length.Seconds()))
}
