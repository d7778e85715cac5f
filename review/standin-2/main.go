// Command standin-2 plays the cases of the second review: it starts the project's own
// programs as separate processes beside stand-ins of the platform, and checks one rule.
//
// # Usage
//
//	standin-2 CASE RECORD    exit status 1: the rule was broken, 0: it held, 2: it could not run
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(w *world, trouble bool){}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Println("no such case")
		os.Exit(2)
	}
	w, err := newWorld()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	w.store.write("config", "main", manifest(1))
	play(w, os.Getenv("TROUBLE") != "0")
	os.Exit(w.finish(os.Args[2]))
}

// build prepares entries and workers by zone, and replicas.
func (w *world) build(entries, engines, apps, events int, pause time.Duration) bool {
	for z := range zoneCount {
		for i := range entries {
			if err := w.addProcess("entry", z, i+1); err != nil {
				w.cannot("%v", err)
				return false
			}
		}
		if err := w.addProcess("worker", z, 1); err != nil {
			w.cannot("%v", err)
			return false
		}
		zone := fmt.Sprintf("zone-%c", 'a'+z)
		for i := range engines {
			if _, err := w.addReplica("engines", zone, i+1, events, pause, "m0", "m1"); err != nil {
				w.cannot("%v", err)
				return false
			}
		}
		for i := range apps {
			if _, err := w.addReplica("app", zone, i+1, 0, 0); err != nil {
				w.cannot("%v", err)
				return false
			}
		}
	}
	if err := w.startAll(); err != nil {
		w.cannot("%v", err)
		return false
	}
	return true
}
