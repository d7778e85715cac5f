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
	// maxMissedProbes is the number of consecutive unanswered probes after which an
	// instance is removed from the list.
	maxMissedProbes = 4
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

// registration is an instance with the outcome of its probes.
type registration struct {
	instance
	// missedProbes counts the consecutive unanswered probes.
	missedProbes int
	listed       bool
}

// snapshot is the instance list after one round of probes.
type snapshot struct {
	at   time.Time
	list []instance
}

// instances probes the registered instances and publishes their list with a lag.
type instances struct {
	lag    time.Duration
	client *http.Client

	mu         sync.Mutex
	registered map[string]*registration
	history    []snapshot
}

func newInstances(lag time.Duration) *instances {
	return &instances{
		lag: lag, registered: map[string]*registration{},
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
	all := make([]instance, 0, len(s.registered))
	for _, i := range s.registered {
		all = append(all, i.instance)
	}
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, i := range all {
		group.Go(func() { s.applyProbe(i.ID, s.probe(ctx, i)) })
	}
	group.Wait()
	s.appendSnapshot()
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

// applyProbe applies the result of one probe. A ready instance is listed as live,
// a listed one that is no longer ready as leaving. One that leaves
// maxMissedProbes consecutive probes unanswered is removed from the list.
func (s *instances) applyProbe(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.registered[id]
	if !ok {
		return
	}
	switch {
	case status == http.StatusOK:
		i.missedProbes, i.listed, i.State = 0, true, "live"
	case status != 0:
		i.missedProbes, i.State = 0, "leaving"
	default:
		i.missedProbes++
		i.listed = i.listed && i.missedProbes < maxMissedProbes
	}
}

// appendSnapshot appends the current list to the history and drops lists that are
// superseded even with the lag.
func (s *instances) appendSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	list := []instance{}
	for _, i := range s.registered {
		if i.listed {
			list = append(list, i.instance)
		}
	}
	slices.SortFunc(list, func(a, b instance) int { return cmp.Compare(a.ID, b.ID) })
	s.history = append(s.history, snapshot{now, list})
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
		found.Instances[i].Peer = viewAddress(r, found.Instances[i].Peer)
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
	if old, ok := s.registered[id]; ok && old.Peer == peer && old.Zone == zone {
		old.Ready = ready
		return
	}
	s.registered[id] = &registration{instance: instance{ID: id, Zone: zone, Peer: peer, State: "live", Ready: ready}}
}

func (p *Platform) removeInstance(w http.ResponseWriter, r *http.Request) {
	s := p.instances
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.registered, mux.Vars(r)["id"])
	codec.Write(w, http.StatusOK, struct{}{})
}
