// Command standin-3 plays the cases of the third review that are scripts: it starts the
// programs of this project as separate processes on loopback addresses, with stand-ins of
// the platform, of replicas and of clients in this process.
//
// # Usage
//
//	target/standin-3 CASE RECORD
//
// The environment variable TROUBLE=0 leaves out the disruption. The exit status is 1 if
// the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// program is the program under test, as the deploy file builds it.
const program = "target/wigeonpin"

// longest bounds a case.
const longest = 110 * time.Second

// cases are the scripts by name. They report whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(run func(*fleet, bool) (bool, error), record string) int {
	f, err := newFleet(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	go f.stopOn(longest)
	broken, err := run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		f.note("the rule was broken")
		return exitBroken
	}
	f.note("the rule held")
	return exitHeld
}

// stopOn ends the processes and this program after a time, or when it is told to end.
func (f *fleet) stopOn(limit time.Duration) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	select {
	case <-told:
	case <-time.After(limit):
	}
	f.note("the case was ended")
	f.stop()
	os.Exit(exitNotRun)
}
