package trace

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestWriteHistory compares the tables with golden output. Each line of the input is one host's dump
// as JSON; the arguments are those of WriteKeyHistory or WriteConfigHistory.
func TestWriteHistory(t *testing.T) {
	datadriven.RunTest(t, "testdata/history", func(t *testing.T, d *datadriven.TestData) string {
		var dumps []Dump
		for _, line := range strings.Split(d.Input, "\n") {
			var dump Dump
			if err := json.Unmarshal([]byte(line), &dump); err != nil {
				t.Fatal(err)
			}
			dumps = append(dumps, dump)
		}
		var out bytes.Buffer
		var err error
		switch d.Cmd {
		case "config":
			var version uint64
			d.MaybeScanArgs(t, "version", &version)
			err = WriteConfigHistory(&out, dumps, version)
		case "evacuations":
			err = WriteEvacuationHistory(&out, dumps)
		case "key":
			var service string
			var key int64
			d.ScanArgs(t, "service", &service)
			d.ScanArgs(t, "key", &key)
			err = WriteKeyHistory(&out, dumps, service, key)
		}
		if err != nil {
			t.Fatal(err)
		}
		return out.String()
	})
}

func TestHistoryKeepsTheNewestEntries(t *testing.T) {
	var h History[int]
	start := time.Unix(0, 0)
	for i := range historyLength + 3 {
		h.Add(start.Add(time.Duration(i)), i)
	}
	all := h.All()
	if len(all) != historyLength || all[0].Entry != 3 || all[historyLength-1].Entry != historyLength+2 {
		t.Errorf("got %d entries from %d to %d, want %d from 3 to %d",
			len(all), all[0].Entry, all[len(all)-1].Entry, historyLength, historyLength+2)
	}
	for i := 1; i < len(all); i++ {
		if all[i].Entry != all[i-1].Entry+1 || !all[i].At.After(all[i-1].At) {
			t.Fatalf("entry %d out of order", i)
		}
	}
}
