package cut

import (
	"sync"
	"testing"
	"time"
)

// Guards against faults of different kinds that meet on the relay's list of
// addresses while one of them listens again (found by the race detector).
func TestSwitchesAtTheSameTime(t *testing.T) {
	r := New([]Pair{{Listen: "127.0.0.1:0", To: "127.0.0.1:1"}, {Listen: "127.0.0.1:0", To: "127.0.0.1:1"}})
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	addresses := r.Addresses()
	var busy sync.WaitGroup
	for range 50 {
		busy.Go(func() { r.Reset(addresses[0]) })
		busy.Go(func() { r.Delay(addresses[1], time.Millisecond) })
		busy.Go(func() { r.Hold(addresses[1], true, true); r.Hold(addresses[1], false, true) })
	}
	busy.Wait()
}
