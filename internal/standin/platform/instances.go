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
	// missesUntilGone probes without an answer remove an instance from the list.
	missesUntilGone = 4
)

// instance is one line of the instance list. Ready is where /readyz answers;
// it is the peer address when empty.
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

type registered struct {
	instance
	misses int
	listed bool
}

// shown is the list as it was found at one time.
type shown struct {
	at   time.Time
	list []instance
}

// instances probes the registered instances and shows the outcome with a lag.
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

// probe returns the status of the readiness probe, 0 without an answer.
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

// note applies one probe: ready instances are listed as live, listed ones that
// are no longer ready as leaving, and silent ones not at all.
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

// record adds the present list to the history and drops what is older than the
// lag needs.
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

// Register adds an instance to those that are probed.
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
