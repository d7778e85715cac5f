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

// Guards against a failed reload that replaces the settings in force, and
// against a valid reload after it that is ignored.
func TestFailedReloadKeepsSettings(t *testing.T) {
	next, failed := Profile{Name: "a", Store: "10.0.0.1:1"}, error(nil)
	s, err := NewSource(func() (Profile, error) { return next, failed })
	if err != nil {
		t.Fatal(err)
	}
	failed = errors.New("no JSON")
	next = Profile{Name: "b"}
	s.reload(logs.Discard())
	if s.StoreAddress() != "10.0.0.1:1" {
		t.Errorf("store %q after a failed reload, want the previous one", s.StoreAddress())
	}
	failed, next = nil, Profile{Name: "a", Store: "10.0.0.2:1"}
	s.reload(logs.Discard())
	if s.StoreAddress() != "10.0.0.2:1" {
		t.Errorf("store %q after a valid reload, want the new one", s.StoreAddress())
	}
}

// Guards against a process that starts although its settings cannot be loaded.
func TestFailedFirstLoad(t *testing.T) {
	if _, err := NewSource(func() (Profile, error) { return Profile{}, errors.New("no file") }); err == nil {
		t.Error("NewSource returned no error although the first load failed")
	}
}

// Guards against a SIGHUP that terminates the process instead of reloading the
// settings: that cut requests in progress (LOST, tsetseg-pin trouble-1, seed
// 896229686954).
func TestHangupReloads(t *testing.T) {
	var loads atomic.Int64
	s, err := NewSource(func() (Profile, error) {
		return Profile{Name: "a", Store: fmt.Sprintf("10.0.0.%d:1", loads.Add(1))}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	// A signal that arrives before Follow must not terminate the process
	// either. Here the process is the test binary itself.
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// The driven clock stands still, so that no periodic reload hides a missed
	// signal.
	timers, _ := clock.NewDriven(time.Unix(1000, 0))
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); s.Follow(ctx, timers, logs.Discard()) }()
	defer func() { cancel(); <-finished }()
	for deadline := time.Now().Add(30 * time.Second); s.StoreAddress() == "10.0.0.1:1"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the settings were not reloaded after SIGHUP")
		}
	}
}
