package proof

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

type loggedOrder struct {
	Zone   string `json:"zone"`
	Fence  uint64 `json:"fence"`
	Holder string `json:"holder"`
}

func (f *fleet) orders() []loggedOrder {
	f.t.Helper()
	var all struct {
		Orders []loggedOrder `json:"orders"`
	}
	f.mustSend(f.platform.address, http.MethodGet, "/fake/orders", nil, nil, &all)
	return all.Orders
}

// Guards against orders from two instances that both believe they hold the lease:
// the holder is paused past the end of its lease and resumed after its successor
// has begun to order. The platform does not check fencing tokens here.
func TestFrozenHolderOrdersNothing(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 1, instancesPerZone: 3, engines: 1})
	for range 2 {
		f.eventually("an order arrives", func() bool { return len(f.orders()) > 0 })
		all := f.orders()
		last := all[len(all)-1]
		holder := f.instanceNamed(last.Holder)
		// The holder resends an unconfirmed order in its next round, which is the
		// first thing that it does when it is resumed.
		f.setFault(f.platform, "outage", map[string]any{"on": true, "parts": []string{"endpoints"}})
		f.eventually("an order fails", func() bool { return f.countInLog(holder, "order not confirmed") > 0 })
		holder.signal(syscall.SIGSTOP)
		f.eventually("a successor holds the lease", func() bool { return f.leaseFence() > last.Fence })
		f.setFault(f.platform, "outage", map[string]any{"on": false, "parts": []string{"endpoints"}})
		f.eventually("the successor sends an order", func() bool {
			now := f.orders()
			return now[len(now)-1].Fence > last.Fence
		})
		holder.signal(syscall.SIGCONT)
		f.eventually("the resumed holder has fresh data", func() bool { return f.state(holder).Fresh })
		time.Sleep(2 * time.Second)
	}
	highest := uint64(0)
	for i, o := range f.orders() {
		if o.Fence < highest {
			t.Errorf("order %d came from %s with fencing token %d after token %d", i, o.Holder, o.Fence, highest)
		}
		highest = max(highest, o.Fence)
	}
}

// leaseFence returns the fencing token in the lease object for the orders of the
// first zone.
func (f *fleet) leaseFence() uint64 {
	f.t.Helper()
	var object struct {
		Value struct {
			Fence uint64 `json:"fence"`
		} `json:"value"`
	}
	f.mustSend(f.platform.address, http.MethodGet, "/v1/objects/lease/orders-"+zoneName(0), nil, nil, &object)
	return object.Value.Fence
}

// countInLog counts how often a text occurs in the log of a process.
func (f *fleet) countInLog(p *process, text string) int {
	raw, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
	return strings.Count(string(raw), text)
}

func (f *fleet) instanceNamed(name string) *process {
	f.t.Helper()
	for _, p := range f.instances {
		if p.name == name {
			return p
		}
	}
	f.t.Fatalf("there is no instance %q", name)
	return nil
}

// Guards against new requests on the endpoints of an availability zone that was
// taken out of service, and against running requests there being cut off.
func TestZoneOutGetsNoNewWork(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 2, instancesPerZone: 1, engines: 1, engineArgs: []string{"--rate", "40"}})
	key := f.createAccount("acme")
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	running := make(chan answer, 1)
	go func() { running <- f.generate(f.instances[0], key, "runs in the zone", 200, waitTimeout) }()
	time.Sleep(300 * time.Millisecond)
	sequence := f.createRow("zone", zoneName(0), map[string]any{"state": "out"})
	f.awaitSequence(sequence, f.instances...)
	f.eventually("the zone's instance is not ready", func() bool {
		return f.httpStatus(f.instances[0].address, "/readyz") != http.StatusOK
	})
	started := f.startedRequests(f.engines[0])
	// More requests than the engine of the other zone runs at once, so that some
	// would be sent to the zone that is out if that were allowed.
	var wg sync.WaitGroup
	for n := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if a := f.generate(f.instances[1], key, fmt.Sprintf("after the zone left %d", n), 20, waitTimeout); a.status != http.StatusOK {
				t.Errorf("a request was not served while the zone was out: %d %s", a.status, a.body)
			}
		}()
	}
	wg.Wait()
	if now := f.startedRequests(f.engines[0]); now != started {
		t.Errorf("the engine of the zone got %d new requests", now-started)
	}
	if a := <-running; a.status != http.StatusOK {
		t.Errorf("a running request was cut off: status %d %s", a.status, a.body)
	}
	row := f.row("zone", zoneName(0), f.instances[0])
	f.awaitSequence(f.updateRow(f.instances[1], "zone", row.Name, row.Revision, map[string]any{"state": "in"}), f.instances...)
	f.awaitGeneration(f.instances[0], key)
}

// startedRequests returns the number of requests that an engine has started.
func (f *fleet) startedRequests(p *process) int {
	f.t.Helper()
	var s struct {
		Started int `json:"started"`
	}
	f.mustSend(p.control, http.MethodGet, "/fake/state", nil, nil, &s)
	return s.Started
}
