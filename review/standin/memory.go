package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryLimitMB is the memory of a core machine on the sheet of Banhxe Gateway.
const memoryLimitMB = 280

// restartDelay is how long after its end a process is started again.
const restartDelay = time.Second

// memoryGuard plays the platform: it kills a process that uses more memory than its machine has, and starts it
// again.
type memoryGuard struct {
	run  *run
	done chan struct{}
	wait sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	kills  map[string]int
	peakMB map[string]int
}

func (r *run) guardMemory() *memoryGuard {
	g := &memoryGuard{run: r, done: make(chan struct{}), kills: map[string]int{}, peakMB: map[string]int{}}
	for _, p := range r.controls {
		g.wait.Go(func() { g.watch(p) })
	}
	return g
}

func (g *memoryGuard) watch(p *program) {
	for {
		select {
		case <-g.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		used := anonymousMB(p.command.Process.Pid)
		g.mu.Lock()
		g.peakMB[p.name] = max(g.peakMB[p.name], used)
		if used > memoryLimitMB {
			g.kills[p.name]++
		}
		g.mu.Unlock()
		if used <= memoryLimitMB {
			continue
		}
		g.run.record.printf("%s uses %d MB of %d MB: the platform kills it", p.name, used, memoryLimitMB)
		_ = p.command.Process.Kill()
		<-p.exited
		time.Sleep(restartDelay)
		if err := g.run.start(p); err != nil {
			g.run.record.printf("restart of %s: %v", p.name, err)
			return
		}
	}
}

// maxOftenEnded is the number of machines on which processes may not end three times: a tenth of the machines in use,
// but two at least.
const maxOftenEnded = 2

// broken reports whether the processes of that many machines have ended three times.
func (g *memoryGuard) broken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	often := 0
	for _, kills := range g.kills {
		if kills >= 3 {
			often++
		}
	}
	return often >= maxOftenEnded
}

// end ends the guard.
func (g *memoryGuard) end() {
	close(g.done)
	g.wait.Wait()
}

// anonymousMB returns the memory of a process without mapped files, which is less than what its machine would
// count.
func anonymousMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}
