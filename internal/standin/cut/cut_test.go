package cut

import (
	"sync"
	"testing"
	"time"
)

// Guards against a data race on the listen addresses of the links (found by the
// race detector): a reset listens again and stores the bound address while other
// switches read the addresses to find their link.
func TestSwitchesAtTheSameTime(t *testing.T) {
	r := New([]Pair{{Listen: "127.0.0.1:0", Target: "127.0.0.1:1"}, {Listen: "127.0.0.1:0", Target: "127.0.0.1:1"}})
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	addresses := r.Addresses()
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() { r.Reset(addresses[0]) })
		group.Go(func() { r.Delay(addresses[1], time.Millisecond) })
		group.Go(func() { r.Hold(addresses[1], true, true); r.Hold(addresses[1], false, true) })
	}
	group.Wait()
}
