package profile

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// Settings that are wrong at a reload leave the former ones in force.
func TestWrongReloadKeepsTheFormer(t *testing.T) {
	next, failed := Profile{Name: "a", Store: "10.0.0.1:1"}, error(nil)
	s, err := NewSource(func() (Profile, error) { return next, failed })
	if err != nil {
		t.Fatal(err)
	}
	failed = errors.New("no JSON")
	next = Profile{Name: "b"}
	s.reload(logs.Discard())
	if s.Store() != "10.0.0.1:1" {
		t.Errorf("store %q after a wrong reload", s.Store())
	}
	failed, next = nil, Profile{Name: "a", Store: "10.0.0.2:1"}
	s.reload(logs.Discard())
	if s.Store() != "10.0.0.2:1" {
		t.Errorf("store %q after a reload", s.Store())
	}
}

// A first start with wrong settings fails.
func TestWrongStart(t *testing.T) {
	if _, err := NewSource(func() (Profile, error) { return Profile{}, errors.New("no file") }); err == nil {
		t.Error("the process would start")
	}
}

// SIGHUP reloads the settings and does not end the process, which cut requests
// (LOST, tsetseg-pin trouble-1, seed 896229686954).
func TestHangupReloads(t *testing.T) {
	var loads atomic.Int64
	s, err := NewSource(func() (Profile, error) {
		return Profile{Name: "a", Store: fmt.Sprintf("10.0.0.%d:1", loads.Add(1))}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	// A signal that comes before Follow must not end the process either, which
	// here is the test's own.
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// The periodic look never comes in a clock that stands still.
	timers, _ := clock.NewDriven(time.Unix(1000, 0))
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); s.Follow(ctx, timers, logs.Discard()) }()
	defer func() { cancel(); <-finished }()
	for deadline := time.Now().Add(30 * time.Second); s.Store() == "10.0.0.1:1"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the settings were not read again")
		}
	}
}
