// Command standin-2 starts the project's programs on loopback addresses, beside stand-ins for clients, backend servers and
// the operator, and shows one case of the review.
//
//	standin-2 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 the
// disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

// cases are the cases by name. trouble is whether the disruption happens.
var cases = map[string]func(r *record, trouble bool) error{}

func main() { os.Exit(run(os.Args)) }

func run(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	done := make(chan error, 1)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() { done <- cases[args[1]](r, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-stopped:
		err = errors.New("stopped by a signal")
	case <-time.After(caseLimit):
		err = errors.New("the case took too long")
	}
	if err != nil {
		r.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	for _, text := range r.broken {
		fmt.Println(text)
	}
	if len(r.broken) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
