package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// EndpointSpec describes one endpoint of the pool. Its process always runs; the
// platform switches the endpoint on and off with POST /fake/power.
type EndpointSpec struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Control is the address that serves /fake/power; Address when empty.
	Control string  `json:"control,omitempty"`
	Kind    string  `json:"kind"`
	Model   string  `json:"model"`
	Class   string  `json:"class"`
	Price   float64 `json:"price_per_hour"`
	// On makes the endpoint live from the start, without an order.
	On bool `json:"on"`
	// ColdMS is how long the endpoint stays cold after an order started it.
	ColdMS int64 `json:"cold_ms"`
}

// States of an endpoint in the endpoint list.
const (
	stateStarting = "starting"
	stateLive     = "live"
	stateLeaving  = "leaving"
	stateGone     = "gone"
)

const (
	transitionPeriod = 50 * time.Millisecond
	powerTimeout     = 2 * time.Second
	// maxLoggedOrders bounds the order log; later orders are carried out but not logged.
	maxLoggedOrders = 100_000
)

// endpoint is one entry of the endpoint list.
type endpoint struct {
	ID       string  `json:"id"`
	Zone     string  `json:"zone"`
	Address  string  `json:"address"`
	Kind     string  `json:"kind"`
	Model    string  `json:"model"`
	Class    string  `json:"class"`
	State    string  `json:"state"`
	Price    float64 `json:"price_per_hour"`
	Revision uint64  `json:"revision"`
}

type endpointList struct {
	Revision  uint64     `json:"revision"`
	Endpoints []endpoint `json:"endpoints"`
}

// pooledEndpoint is an endpoint of the pool with its state.
type pooledEndpoint struct {
	EndpointSpec
	state    string
	revision uint64
	// stateEnd is when the current state ends; zero if only an order or a reclaim ends it.
	stateEnd time.Time
	// stateStart is when the current state began; timeOn is the time spent on before that.
	stateStart time.Time
	timeOn     time.Duration
	// blockedUntil is the end of the time in which no order can start the endpoint.
	blockedUntil time.Time
}

type reclaimBody struct {
	Zone  string `json:"zone"`
	Class string `json:"class"`
	// MS is the notice period, after which the endpoints are off.
	MS int64 `json:"ms"`
	// HoldMS is how long after the notice period no order can start the endpoints.
	HoldMS int64 `json:"hold_ms"`
	// Count limits the number of reclaimed endpoints; 0 means all.
	Count int `json:"count"`
}

// pool tracks the state of the endpoints and carries out orders.
type pool struct {
	startDelay, stopDelay time.Duration
	client                *http.Client

	mu        sync.Mutex
	revision  uint64
	endpoints []*pooledEndpoint
	// changed is closed and replaced at each change of a state.
	changed chan struct{}
	// fences holds the highest fencing token of each zone's orders.
	fences map[string]uint64
	orders []loggedOrder
}

func newPool(options Options) *pool {
	s := &pool{
		startDelay: options.StartDelay, stopDelay: options.StopDelay, changed: make(chan struct{}), fences: map[string]uint64{},
		client: &http.Client{Timeout: powerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, m := range options.Pool {
		s.endpoints = append(s.endpoints, &pooledEndpoint{EndpointSpec: m, state: stateGone})
	}
	slices.SortFunc(s.endpoints, func(a, b *pooledEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// run sets the initial power of all endpoints and then carries out state
// transitions when they are due, until ctx ends.
func (s *pool) run(ctx context.Context) {
	s.mu.Lock()
	for _, m := range s.endpoints {
		if m.On {
			s.setState(m, stateLive, time.Time{})
			s.sendPower(m, true, 0)
		} else {
			s.sendPower(m, false, 0)
		}
	}
	s.mu.Unlock()
	ticker := time.NewTicker(transitionPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.advance(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (s *pool) advance(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.endpoints {
		if m.stateEnd.IsZero() || now.Before(m.stateEnd) {
			continue
		}
		switch m.state {
		case stateStarting:
			s.sendPower(m, true, m.ColdMS)
			s.setState(m, stateLive, time.Time{})
		case stateLeaving:
			s.sendPower(m, false, 0)
			s.setState(m, stateGone, time.Time{})
		}
	}
}

// setState sets the state of an endpoint and when it ends. The caller holds s.mu.
func (s *pool) setState(m *pooledEndpoint, state string, end time.Time) {
	now := time.Now()
	if m.state != stateGone {
		m.timeOn += now.Sub(m.stateStart)
	}
	m.stateStart, m.state, m.stateEnd = now, state, end
	s.revision++
	m.revision = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

type powerBody struct {
	On     bool  `json:"on"`
	ColdMS int64 `json:"cold_ms"`
}

// sendPower sends a power request to the endpoint's process without waiting for
// the response.
func (s *pool) sendPower(m *pooledEndpoint, on bool, coldMS int64) {
	url := "http://" + cmp.Or(m.Control, m.Address) + "/fake/power"
	body, _ := json.Marshal(powerBody{On: on, ColdMS: coldMS})
	go func() {
		resp, err := s.client.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			fmt.Printf("platform: power request to endpoint %s failed: %s\n", m.ID, err)
			return
		}
		_ = resp.Body.Close()
	}()
}

// reclaim stops endpoints of a class after the notice period, as a provider of
// preemptible machines does.
func (s *pool) reclaim(b reclaimBody) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var reclaimed []string
	for _, m := range s.endpoints {
		if (b.Zone != "" && m.Zone != b.Zone) || m.Class != b.Class || (b.Count > 0 && len(reclaimed) == b.Count) {
			continue
		}
		m.blockedUntil = now.Add(time.Duration(b.MS+b.HoldMS) * time.Millisecond)
		if m.state == stateGone {
			continue
		}
		s.setState(m, stateLeaving, now.Add(time.Duration(b.MS)*time.Millisecond))
		reclaimed = append(reclaimed, m.ID)
	}
	return map[string][]string{"reclaimed": reclaimed}
}

// list returns the endpoints changed after a revision, and a channel that is
// closed at the next change. A full list (after 0) leaves out gone endpoints,
// because its caller has not seen them before.
func (s *pool) list(after uint64) (endpointList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := endpointList{Revision: s.revision, Endpoints: []endpoint{}}
	for _, m := range s.endpoints {
		if m.revision <= after || (after == 0 && m.state == stateGone) {
			continue
		}
		found.Endpoints = append(found.Endpoints, endpoint{
			ID: m.ID, Zone: m.Zone, Address: m.Address, Kind: m.Kind, Model: m.Model, Class: m.Class,
			State: m.state, Price: m.Price, Revision: m.revision,
		})
	}
	slices.SortFunc(found.Endpoints, func(a, b endpoint) int { return cmp.Compare(a.Revision, b.Revision) })
	return found, s.changed
}

type spending struct {
	Total   float64            `json:"total"`
	Class   map[string]float64 `json:"class"`
	Model   map[string]float64 `json:"model"`
	Seconds map[string]float64 `json:"seconds"`
}

// spend returns the cost of the time during which endpoints were on.
func (s *pool) spend() spending {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := spending{Class: map[string]float64{}, Model: map[string]float64{}, Seconds: map[string]float64{}}
	for _, m := range s.endpoints {
		d := m.timeOn
		if m.state != stateGone {
			d += time.Since(m.stateStart)
		}
		price := m.Price * d.Hours()
		sum.Total += price
		sum.Class[m.Class] += price
		sum.Model[m.Model] += price
		sum.Seconds[m.Class] += d.Seconds()
	}
	return sum
}
