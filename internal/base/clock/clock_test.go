package clock

import (
	"testing"
	"time"
)

// Guards against ticks that are delivered early, late or out of order.
func TestDrivenTicksFallDueInOrder(t *testing.T) {
	timers, driver := NewDriven(time.Unix(0, 0))
	every := timers.Subscribe(2 * time.Second)
	once := timers.After(3 * time.Second)
	driver.Advance(time.Second)
	select {
	case <-every.C:
		t.Fatal("tick was delivered before its period had elapsed")
	default:
	}
	driver.Advance(2 * time.Second)
	if got := <-every.C; !got.Equal(time.Unix(2, 0)) {
		t.Fatalf("tick at %v, want 2 s", got)
	}
	if got := <-once.C; !got.Equal(time.Unix(3, 0)) {
		t.Fatalf("single tick at %v, want 3 s", got)
	}
	if n := driver.Waiting(); n != 1 {
		t.Fatalf("%d waiting subscriptions, want 1", n)
	}
}
