package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startLoad keeps generation requests running on all instances until stop is
// called. That returns how many were served, and how many failed other than by a
// refusal that says "not run".
func (f *fleet) startLoad(key string, concurrency, tokens int) (stop func() (served, failed int64)) {
	ctx, cancel := context.WithCancel(context.Background())
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	for n := range concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; ctx.Err() == nil; k++ {
				a := f.generate(f.instances[n%len(f.instances)], key, fmt.Sprintf("load %d %d", n, k), tokens, waitTimeout)
				switch {
				case a.err == nil && a.status == http.StatusOK:
					served.Add(1)
				case a.run != "not_run":
					failed.Add(1)
				default:
					time.Sleep(pollInterval)
				}
			}
		}()
	}
	return func() (int64, int64) {
		cancel()
		wg.Wait()
		return served.Load(), failed.Load()
	}
}

type engineState struct {
	Falls   int  `json:"falls"`
	Started int  `json:"started"`
	Cold    bool `json:"cold"`
	Running int  `json:"running"`
}

func (f *fleet) engineState(p *process) (s engineState) {
	f.t.Helper()
	f.mustSend(p.control, http.MethodGet, "/fake/state", nil, nil, &s)
	return s
}

// Guards against instances that together overload a freshly started endpoint. The
// stand-in crashes when it gets too many requests while it is cold.
func TestFreshEndpointIsNotOverrun(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 1, instancesPerZone: 4, engines: 3, engineArgs: []string{"--cold-ms", "3000", "--rate", "50"}})
	key := f.createAccount("acme")
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	stop := f.startLoad(key, 40, 30)
	for _, p := range f.engines[:2] {
		f.setFault(p, "crash", map[string]any{"ms": 500})
		before := f.engineState(p).Started
		f.eventually(p.name+" serves requests again while it is cold", func() bool { return f.engineState(p).Started > before })
		f.eventually(p.name+" is warm and runs several requests", func() bool {
			s := f.engineState(p)
			return !s.Cold && s.Running >= 4
		})
	}
	served, failed := stop()
	for _, p := range f.engines {
		if s := f.engineState(p); s.Falls > 0 {
			t.Errorf("%s crashed from overload %d times", p.name, s.Falls)
		}
	}
	if served == 0 || failed > 0 {
		t.Errorf("%d requests were served and %d were cut", served, failed)
	}
}

// Guards against new requests on an endpoint whose removal the platform has
// announced, and against its running requests being cut off.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 2, instancesPerZone: 2, engines: 1, engineArgs: []string{"--rate", "60"}})
	key := f.createAccount("acme")
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	stop := f.startLoad(key, 16, 30)
	leaving := f.engines[0]
	f.eventually("the engine is busy", func() bool { return f.engineState(leaving).Running >= 2 })
	f.setFault(f.platform, "reclaim", map[string]any{"zone": leaving.zone, "class": "standard", "ms": 8000})
	for _, p := range f.instances {
		f.eventually(p.name+" stops using the leaving engine", func() bool { return !f.isUsable(p, leaving.name) })
	}
	started := f.engineState(leaving).Started
	time.Sleep(2 * time.Second)
	if now := f.engineState(leaving).Started; now != started {
		t.Errorf("the leaving engine got %d new requests", now-started)
	}
	if served, failed := stop(); served == 0 || failed > 0 {
		t.Errorf("%d requests were served and %d were cut", served, failed)
	}
}

// isUsable reports whether an instance may send new requests to an endpoint.
func (f *fleet) isUsable(p *process, endpoint string) bool {
	f.t.Helper()
	var status struct {
		Endpoints []struct {
			ID     string `json:"id"`
			Usable bool   `json:"usable"`
		} `json:"endpoints"`
	}
	f.mustSend(p.operator, http.MethodGet, "/v1/status", bearer(operatorKey), nil, &status)
	for _, e := range status.Endpoints {
		if e.ID == endpoint {
			return e.Usable
		}
	}
	return false
}
