package platform

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

const (
	probePeriod  = 250 * time.Millisecond
	probeTimeout = time.Second
	// missesUntilGone is the number of consecutive unanswered probes after which an
	// instance is removed from the list.
	missesUntilGone = 4
)

// instance is one entry of the instance list. Ready is the address that serves
// /readyz; the peer address when empty.
type instance struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Peer  string `json:"peer_address"`
	State string `json:"state"`
	Ready string `json:"ready_address,omitempty"`
}

type instanceList struct {
	Instances []instance `json:"instances"`
}

// registered is an instance with the outcome of its probes.
type registered struct {
	instance
	// misses counts the consecutive unanswered probes.
	misses int
	listed bool
}

// shown is the instance list after one round of probes.
type shown struct {
	at   time.Time
	list []instance
}

// instances probes the registered instances and publishes their list with a lag.
type instances struct {
	lag    time.Duration
	client *http.Client

	mu      sync.Mutex
	known   map[string]*registered
	history []shown
}

func newInstances(lag time.Duration) *instances {
	return &instances{
		lag: lag, known: map[string]*registered{},
		client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (s *instances) run(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.probeAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *instances) probeAll(ctx context.Context) {
	s.mu.Lock()
	all := make([]instance, 0, len(s.known))
	for _, i := range s.known {
		all = append(all, i.instance)
	}
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, i := range all {
		group.Go(func() { s.note(i.ID, s.probe(ctx, i)) })
	}
	group.Wait()
	s.record()
}

// probe returns the HTTP status of a readiness probe, 0 if it got no response.
func (s *instances) probe(ctx context.Context, i instance) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cmp.Or(i.Ready, i.Peer)+"/readyz", nil)
	if err != nil {
		return 0
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// note applies the result of one probe. A ready instance is listed as live, a
// listed one that is no longer ready as leaving. One that leaves
// missesUntilGone consecutive probes unanswered is removed from the list.
func (s *instances) note(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.known[id]
	if !ok {
		return
	}
	switch {
	case status == http.StatusOK:
		i.misses, i.listed, i.State = 0, true, "live"
	case status != 0:
		i.misses, i.State = 0, "leaving"
	default:
		i.misses++
		i.listed = i.listed && i.misses < missesUntilGone
	}
}

// record appends the current list to the history and drops lists that are
// superseded even with the lag.
func (s *instances) record() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	list := []instance{}
	for _, i := range s.known {
		if i.listed {
			list = append(list, i.instance)
		}
	}
	slices.SortFunc(list, func(a, b instance) int { return cmp.Compare(a.ID, b.ID) })
	s.history = append(s.history, shown{now, list})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.lag {
		s.history = s.history[1:]
	}
}

// list returns the newest list that is at least as old as the lag.
func (s *instances) list() instanceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []instance{}
	for _, h := range s.history {
		if time.Since(h.at) >= s.lag {
			list = h.list
		}
	}
	return instanceList{list}
}

func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	found := p.instances.list()
	found.Instances = slices.Clone(found.Instances)
	for i := range found.Instances {
		found.Instances[i].Peer = seen(r, found.Instances[i].Peer)
	}
	codec.Write(w, http.StatusOK, found)
}

func (p *Platform) registerInstance(w http.ResponseWriter, r *http.Request) {
	i, err := codec.Read[instance](r, host.BodyLimit)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	if i.ID == "" || i.Zone == "" || i.Peer == "" {
		codec.WriteError(w, code.New(code.BadRequest, "an instance needs id, zone and peer_address"))
		return
	}
	p.Register(i.ID, i.Zone, i.Peer, i.Ready)
	codec.Write(w, http.StatusOK, i)
}

// Register adds an instance to the probed ones. Registering it again with the
// same zone and peer address only updates its readiness address.
func (p *Platform) Register(id, zone, peer, ready string) {
	s := p.instances
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.known[id]; ok && old.Peer == peer && old.Zone == zone {
		old.Ready = ready
		return
	}
	s.known[id] = &registered{instance: instance{ID: id, Zone: zone, Peer: peer, State: "live", Ready: ready}}
}

func (p *Platform) removeInstance(w http.ResponseWriter, r *http.Request) {
	s := p.instances
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, mux.Vars(r)["id"])
	codec.Write(w, http.StatusOK, struct{}{})
}
