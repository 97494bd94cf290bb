package clientconn

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// Guards against a log that grows with each connection that a crowd has refused, against lines that don't tell how many
// there were, and against lines of one cause that hide another one.
func TestLogLinesOfRefusedConnectionsAreBounded(t *testing.T) {
	lines := memory.New()
	g := New(Options{Name: "test", Logger: &log.Logger{Handler: lines, Level: log.InfoLevel}})
	started := time.Now()
	for range 200 {
		g.recordCut(&Conn{guard: g}, Refused)
	}
	g.recordCut(&Conn{guard: g}, SlowSender)
	ctx, cancel := context.WithTimeout(context.Background(), 1700*time.Millisecond)
	defer cancel()
	g.Watch(ctx)
	count, refusals := 0, 0
	for _, e := range lines.Entries {
		if e.Fields["cause"] == string(Refused) {
			n, _ := e.Fields["count"].(int)
			count, refusals = count+n, refusals+1
		}
	}
	if most := 1 + int(time.Since(started)/time.Second); count != 200 || refusals > most || len(lines.Entries) != refusals+1 {
		t.Errorf("%d lines, of them %d for %d of 200 refused connections, want at most %d", len(lines.Entries), refusals, count, most)
	}
}
