// Command standin plays the clients, the upstreams and the operator of a small deployment, for the cases of the third review.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes, as the review has them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the longest time that a case may take.
const longest = 110 * time.Second

// cases has the cases by name. An error means that a case could not run.
var cases = map[string]func(s *scene) error{}

func main() {
	path := flag.String("record", "record.txt", "file for what was seen")
	target := flag.String("target", "target", "folder with the programs")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *path, *target))
}

func run(name, path, target string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCluster(target)
	if err != nil {
		rec.logf("not run: %v", err)
		return exitNotRun
	}
	defer c.stop()
	s := &scene{cluster: c, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.logf("case %s, disruption: %v", name, s.trouble)
	if err := s.play(play); err != nil {
		rec.logf("not run: %v", err)
		return exitNotRun
	}
	if rec.violations() > 0 {
		rec.logf("the rule was broken (%d times)", rec.violations())
		return exitBroken
	}
	rec.logf("the rule held")
	return exitHeld
}

// play runs a case, unless it is interrupted or takes too long.
func (s *scene) play(play func(s *scene) error) error {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(interrupted)
	if err := s.start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- play(s) }()
	select {
	case err := <-ended:
		return err
	case received := <-interrupted:
		return fmt.Errorf("interrupted: %v", received)
	case <-time.After(longest):
		return fmt.Errorf("not at its end after %v", longest)
	}
}

// now is the present as Unix milliseconds.
func now() int64 { return time.Now().UnixMilli() }
