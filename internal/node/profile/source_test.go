package profile

import (
	"errors"
	"testing"

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
