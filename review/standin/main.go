package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	watchdogTime = 118 * time.Second
)

// caseFunc plays a case and returns how often the rule was broken.
type caseFunc func(r *record, trouble bool) (broken int, err error)

var cases = map[string]caseFunc{
	"route":  playRoute,
	"public": playPublic,
	"turns":  playTurns,
	"ids":    playIDs,
	"pause":  playPause,
	"page":   playPage,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	// The processes of the case end with this one.
	time.AfterFunc(watchdogTime, func() {
		r.log("the case took too long")
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.log("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.log("could not run: %v", err)
		os.Exit(exitNotRun)
	case broken > 0:
		r.log("the rule was broken: %d", broken)
		os.Exit(exitBroken)
	}
	r.log("the rule held")
	os.Exit(exitHeld)
}
