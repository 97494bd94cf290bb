package hostlimits

import (
	"strings"
	"testing"
)

// Guards against bounds that together exceed the host's descriptors or memory, on the hosts of docs/HARD-LOAD.md, on the
// one of the tests with abusive load, and on a large one.
func TestBoundsFitHost(t *testing.T) {
	for _, h := range []Host{{136 << 20, 2870}, {184 << 20, 4100}, {280 << 20, 4100}, {96 << 20, 256}, {64 << 30, 1 << 20}, {96 << 20, 1 << 24}} {
		if sum := h.Clients() + h.Servers() + ownDescriptors; sum > h.Descriptors {
			t.Errorf("%+v: %d descriptors in use", h, sum)
		}
		if sum := h.Budget() + int64(h.Clients())*connectionBytes; sum > h.softLimit() {
			t.Errorf("%+v: clients may take %d bytes, the soft limit is %d", h, sum, h.softLimit())
		}
	}
	if h := (Host{136 << 20, 2870}); h.Clients() < 1000 || h.Servers() < 1000 {
		t.Errorf("a gateway of 136 MB has %d connections for clients and %d for servers", h.Clients(), h.Servers())
	}
}

// Guards against settings that the system's values replace.
func TestSettingsHavePrecedence(t *testing.T) {
	if h := Read(136, 2870); h.Memory != 136<<20 || h.Descriptors != 2870 {
		t.Errorf("got %+v", h)
	}
	if h := Read(0, 0); h.Memory < 64<<20 || h.Descriptors < 16 {
		t.Errorf("the system has %+v", h)
	}
}

func TestParseMemory(t *testing.T) {
	got, err := parseMemory([]byte("MemFree: 12 kB\nMemTotal:       32987788 kB\n"))
	if err != nil || got != 32987788<<10 {
		t.Errorf("got %d and %v", got, err)
	}
	for _, text := range []string{"", "MemTotal: x kB\n", "MemTotal: 12\n"} {
		if _, err := parseMemory([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

// Guards against settings beyond what the system has, which bound nothing.
func TestCheckSystem(t *testing.T) {
	if warnings := Read(0, 0).CheckSystem(); len(warnings) != 0 {
		t.Errorf("the values of the system yield %q", warnings)
	}
	if warnings := Read(1<<30, 1<<23).CheckSystem(); len(warnings) != 2 {
		t.Errorf("got %q, want two warnings", warnings)
	}
}

// Guards against a limit that the host can't bear and that nobody is told of.
func TestCheckNamesLimitAndMemory(t *testing.T) {
	h := Host{136 << 20, 2870}
	warnings := h.Check(Limit{"maxHeaderBytes", 16384, 16384}, Limit{"workers", 4096, 4096 << 20})
	if len(warnings) != 1 || !strings.Contains(warnings[0], "workers of 4096") || !strings.Contains(warnings[0], "136 MB") {
		t.Errorf("got %q", warnings)
	}
}
