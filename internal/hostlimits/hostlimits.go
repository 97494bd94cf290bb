// Package hostlimits derives the bounds of a process for its clients from the memory and the descriptors of its host.
package hostlimits

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// budgetShare is the part of the memory that clients' heads and bodies may take, as a divisor. The rest is for the
	// program and its own state (30 to 40 MB), for connections, for the garbage collector and for kernel buffers.
	budgetShare = 4
	// minBudget is the smallest budget: four bodies of 1 MiB.
	minBudget = 4 << 20
	// softPercent is the part of the memory that the Go runtime tries not to exceed. The rest is for kernel buffers.
	softPercent = 75
	// connectionBytes is what an open client connection takes: stacks of two goroutines (16 kB), read and write
	// buffers (8 kB), structures and kernel buffers of an idle connection (8 kB).
	connectionBytes = 32 << 10
	// connectionShare is the part of the memory that connections may take, as a divisor.
	connectionShare = 4
	// ownDescriptors is kept for files, listeners, peers, the admin address and the readiness check.
	ownDescriptors = 96
	// minClients is the smallest bound of client connections.
	minClients = 16
	// clientPercent is the part of the other descriptors for clients. What is left is for servers.
	clientPercent = 60
	// fallbackMemory applies if the host's memory can't be read, bytes.
	fallbackMemory = 1 << 30
	// fallbackDescriptors applies if the limit of descriptors can't be read.
	fallbackDescriptors = 1024
	// maxDescriptors bounds the descriptors, so that sums don't overflow where the system names no limit.
	maxDescriptors = 1 << 24
)

// Host is what a host has for a process.
type Host struct {
	Memory      int64 // bytes
	Descriptors int
}

// Read returns the host's limits. Values above 0 from the settings have precedence over those of the system.
func Read(memoryMB, descriptors float64) Host {
	h := Host{Memory: int64(memoryMB * (1 << 20)), Descriptors: int(min(descriptors, maxDescriptors))}
	if h.Memory <= 0 {
		h.Memory = systemMemory()
	}
	if h.Descriptors <= 0 {
		h.Descriptors = systemDescriptors()
	}
	return h
}

// Apply sets the Go runtime's soft memory limit.
func (h Host) Apply() { debug.SetMemoryLimit(h.softLimit()) }

func (h Host) softLimit() int64 { return h.Memory / 100 * softPercent }

// Budget returns the size of the memory budget, bytes.
func (h Host) Budget() int64 { return max(h.Memory/budgetShare, minBudget) }

// Clients returns the bound of open client connections.
func (h Host) Clients() int {
	byDescriptors := (h.Descriptors - ownDescriptors) * clientPercent / 100
	byMemory := int(min(h.Memory/connectionShare/connectionBytes, math.MaxInt32))
	return max(min(byDescriptors, byMemory), minClients)
}

// Servers returns the bound of open connections to backend servers.
func (h Host) Servers() int {
	return max(h.Descriptors-ownDescriptors-h.Clients(), minClients)
}

const (
	// callPercent and peerPercent are the parts of a control host's descriptors for calls of servers and operators, and
	// for peers: a connection for each gateway and control host, and for each backend server.
	callPercent = 40
	peerPercent = 30
)

// Calls returns the bound of open connections of servers and operators to a control host.
func (h Host) Calls() int { return h.part(callPercent) }

// Peers returns the bound of open connections of peers to a control host.
func (h Host) Peers() int { return h.part(peerPercent) }

// part returns a part of the descriptors, unless the memory for connections has room for less.
func (h Host) part(percent int) int {
	byMemory := int(min(h.Memory/connectionShare/connectionBytes/2, math.MaxInt32))
	return max(min(h.Descriptors*percent/100, byMemory), minClients)
}

// Limit is a limit of the settings or of the configuration, and what is needed to reach it.
type Limit struct {
	Name  string
	Value int64
	Bytes int64 // memory that clients at the limit take
}

// Check returns a warning for each limit at which clients take more memory than the budget has. Such a limit is not
// reached: requests are refused before.
func (h Host) Check(limits ...Limit) []string {
	var warnings []string
	for _, l := range limits {
		if l.Bytes > h.Budget() {
			warnings = append(warnings, fmt.Sprintf("%s of %d may take %d bytes, the host with %d MB of memory has %d bytes for clients",
				l.Name, l.Value, l.Bytes, h.Memory>>20, h.Budget()))
		}
	}
	return warnings
}

// CheckSystem returns a warning for each limit that is above the one of the system.
func (h Host) CheckSystem() []string {
	var warnings []string
	if memory := systemMemory(); h.Memory > memory {
		warnings = append(warnings, fmt.Sprintf("memory_mb is %d, the host has %d MB of memory", h.Memory>>20, memory>>20))
	}
	if descriptors := systemDescriptors(); h.Descriptors > descriptors {
		warnings = append(warnings, fmt.Sprintf("max_descriptors is %d, the process may open %d", h.Descriptors, descriptors))
	}
	return warnings
}

func systemMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return fallbackMemory
	}
	memory, err := parseMemory(text)
	if err != nil {
		return fallbackMemory
	}
	return memory
}

// errMeminfo means that the system's description of its memory has no total.
var errMeminfo = errors.New("hostlimits: no MemTotal in kB")

// parseMemory returns the total memory of a host from the text of /proc/meminfo, bytes.
func parseMemory(text []byte) (int64, error) {
	for line := range bytes.Lines(text) {
		fields := bytes.Fields(line)
		if len(fields) != 3 || string(fields[0]) != "MemTotal:" || string(fields[2]) != "kB" {
			continue
		}
		kilobytes, err := strconv.ParseInt(string(fields[1]), 10, 53)
		if err != nil {
			return 0, errors.Wrap(errMeminfo, err.Error())
		}
		return kilobytes << 10, nil
	}
	return 0, errMeminfo
}

// systemDescriptors returns the limit of open files of this process.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
