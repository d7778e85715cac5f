// Package platform is a stand-in for the platform: its object API, the instance
// list, the endpoint list with its orders, and the usage intake.
//
// # Usage
//
//	p := platform.New(platform.Options{Lag: 2 * time.Second, Pool: pool})
//	go p.Run(ctx) // probes instances and carries out orders
//	http.Serve(listener, p.Handler())
//
// p.View serves the same platform to one availability zone with the addresses
// of relays in its lists, so that tests can partition the zones.
//
// Switches under /fake/, each with a JSON body: outage, slow, lose, rollback,
// limit, reclaim and fence. GET /fake/orders, /fake/usage and /fake/calls return
// the requests received, GET /fake/spend the cost of the endpoints.
package platform

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

// Options configure a platform.
type Options struct {
	// Lag is the delay after which a change appears in the instance list.
	Lag time.Duration
	// ReadRate and WriteRate limit the calls per second; 0 means no limit.
	ReadRate, WriteRate float64
	// StartDelay is the time from an order until an endpoint that it starts is live.
	StartDelay time.Duration
	// StopDelay is how long an endpoint stays on after an order stopped it.
	StopDelay time.Duration
	// CheckFence rejects orders and usage reports with an older fencing token.
	CheckFence bool
	// Pool lists the endpoints that orders can start.
	Pool []EndpointSpec
}

// Parts of the platform to which the outage and slow switches can be limited.
const (
	partObjects   = "objects"
	partInstances = "instances"
	partEndpoints = "endpoints"
	partIntake    = "intake"
)

// Platform is the stand-in. Run keeps its lists up to date, Handler serves it.
type Platform struct {
	options   Options
	objects   *store
	instances *instances
	pool      *pool
	intake    *intake

	reads, writes *rate.Limiter
	// lostResponses is the number of next writes whose response is dropped.
	lostResponses host.Countdown
	outage, slow  map[string]*host.Toggle
	fenceCheck    host.Toggle

	mu sync.Mutex
	// slowDelay is added to each call while slow is on.
	slowDelay time.Duration
	calls     map[string]int64
}

// New returns a platform with an empty object store and all endpoints off.
func New(options Options) *Platform {
	p := &Platform{
		options: options, objects: newStore(), intake: newIntake(),
		instances: newInstances(options.Lag),
		pool:      newPool(options),
		reads:     newLimiter(options.ReadRate), writes: newLimiter(options.WriteRate),
		outage: newToggles(), slow: newToggles(), calls: map[string]int64{},
	}
	p.fenceCheck.Set(host.ToggleBody{On: options.CheckFence})
	return p
}

func newToggles() map[string]*host.Toggle {
	all := map[string]*host.Toggle{}
	for _, part := range parts() {
		all[part] = &host.Toggle{}
	}
	return all
}

func parts() []string { return []string{partObjects, partInstances, partEndpoints, partIntake} }

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Run probes instances and moves endpoints through their states until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { p.instances.run(ctx) })
	group.Go(func() { p.pool.run(ctx) })
	group.Wait()
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.NotFoundHandler = http.HandlerFunc(host.NotFound)
	r.HandleFunc("/v1/objects/{kind}", p.withFaults(partObjects, p.listObjects)).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{kind}/{name}", p.withFaults(partObjects, p.getObject)).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{kind}/{name}", p.withFaults(partObjects, p.putObject)).Methods(http.MethodPut)
	r.HandleFunc("/v1/objects/{kind}/{name}", p.withFaults(partObjects, p.deleteObject)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/instances", p.withFaults(partInstances, p.listInstances)).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances", p.withFaults(partInstances, p.registerInstance)).Methods(http.MethodPost)
	r.HandleFunc("/v1/instances/{id}", p.withFaults(partInstances, p.removeInstance)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/endpoints", p.withFaults(partEndpoints, p.listEndpoints)).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders/{zone}", p.withFaults(partEndpoints, p.putOrder)).Methods(http.MethodPut)
	r.HandleFunc("/v1/usage/{window}", p.withFaults(partIntake, p.putUsage)).Methods(http.MethodPut)
	p.registerSwitches(r)
	return r
}

type faultBody struct {
	On      bool     `json:"on"`
	MS      int64    `json:"ms"`
	DelayMS int64    `json:"delay_ms"`
	Parts   []string `json:"parts"`
}

type rollbackBody struct {
	On       bool   `json:"on"`
	Revision uint64 `json:"revision"`
	// Back is the number of revisions to go back; used when Revision is 0.
	Back    uint64 `json:"back"`
	Restore bool   `json:"restore"`
	MS      int64  `json:"ms"`
}

type limitBody struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

func (p *Platform) registerSwitches(r *mux.Router) {
	post := func(name string, handle http.HandlerFunc) {
		r.HandleFunc("/fake/"+name, handle).Methods(http.MethodPost)
	}
	get := func(name string, value func() any) {
		r.HandleFunc("/fake/"+name, func(w http.ResponseWriter, _ *http.Request) {
			codec.Write(w, http.StatusOK, value())
		}).Methods(http.MethodGet)
	}
	fault := func(set map[string]*host.Toggle) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			host.Switch(w, r, faultBody{On: true, DelayMS: 1000, Parts: parts()}, func(b faultBody) (any, error) {
				p.setFault(set, b)
				return b, nil
			})
		}
	}
	post("outage", fault(p.outage))
	post("slow", fault(p.slow))
	post("lose", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, host.CountdownBody{Count: 1}, func(b host.CountdownBody) (any, error) { p.lostResponses.Set(b.Count); return b, nil })
	})
	post("rollback", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, rollbackBody{On: true}, func(b rollbackBody) (any, error) { return p.rollback(b), nil })
	})
	post("limit", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, limitBody{}, func(b limitBody) (any, error) { p.setLimit(b); return b, nil })
	})
	post("fence", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, host.ToggleBody{On: true}, func(b host.ToggleBody) (any, error) { p.fenceCheck.Set(b); return b, nil })
	})
	post("reclaim", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, reclaimBody{Class: "cheap", MS: 2000, HoldMS: 60_000}, func(b reclaimBody) (any, error) {
			return p.pool.reclaim(b), nil
		})
	})
	get("orders", func() any { return p.pool.orderLog() })
	get("spend", func() any { return p.pool.spend() })
	get("usage", func() any { return p.intake.reports() })
	get("calls", func() any { return p.callCounts() })
}

func (p *Platform) setFault(set map[string]*host.Toggle, b faultBody) {
	p.mu.Lock()
	p.slowDelay = time.Duration(b.DelayMS) * time.Millisecond
	p.mu.Unlock()
	for name, t := range set {
		if slices.Contains(b.Parts, name) {
			t.Set(host.ToggleBody{On: b.On, MS: b.MS})
		}
	}
}

func (p *Platform) setLimit(b limitBody) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads, p.writes = newLimiter(b.Reads), newLimiter(b.Writes)
}

func (p *Platform) rollback(b rollbackBody) any {
	if !b.On {
		p.objects.endRollback()
		return map[string]uint64{"revision": p.objects.currentRevision()}
	}
	revision := b.Revision
	if revision == 0 {
		revision = p.objects.currentRevision() - min(b.Back, p.objects.currentRevision())
	}
	reached := p.objects.rollback(revision, b.Restore)
	if b.MS > 0 && !b.Restore {
		time.AfterFunc(time.Duration(b.MS)*time.Millisecond, p.objects.endRollback)
	}
	return map[string]uint64{"revision": reached}
}

func (p *Platform) callCounts() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int64, len(p.calls))
	for name, n := range p.calls {
		counts[name] = n
	}
	return counts
}
