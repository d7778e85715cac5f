// Package manifest holds the operators' configuration: routes, services, client
// accounts and limits. A manifest is one immutable version of it.
//
// # Usage
//
//	m := manifest.New(version, routes, services, accounts, limits)
//	route, found := m.Route("shop.example", "/stock/7")
//	account, found := m.Account(key)
package manifest

import (
	"crypto/sha256"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind tells whether a route's requests may run more than once, and what they
// return.
type Kind int

// Kinds of routes.
const (
	AtMostOnce Kind = iota // at most one run for each request
	Idempotent             // may run any number of times
	Stream                 // events, at most one run unless resumable
	Rollout                // batches of items
)

// Target is one service of a route with its share of the traffic.
type Target struct {
	Service string
	Weight  float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Targets            []Target
	Timeout            time.Duration // longest wait of a request
	TargetLatency      time.Duration // latency objective, 0 if there is none
	Attempts           int           // number of endpoints that one request may be sent to
	Priority           int           // 0 is the most urgent
	Public             bool          // requests need no key
	Resumable          bool
	SingleVersion      bool          // each sample is made under one weight version
	BatchDeadline      time.Duration // time from a batch's acceptance to its results
	ItemTimeout        time.Duration // time from a batch's acceptance until an unfinished item is given up
}

// WithPromises returns the route for work that was accepted under an earlier version
// of it. What the caller was promised at the acceptance holds although the operator
// has changed it since; the targets are those of this version.
func (r Route) WithPromises(accepted Route) Route {
	r.Attempts = max(r.Attempts, accepted.Attempts)
	r.ItemTimeout = max(r.ItemTimeout, accepted.ItemTimeout)
	r.SingleVersion = r.SingleVersion || accepted.SingleVersion
	if accepted.BatchDeadline > 0 {
		r.BatchDeadline = accepted.BatchDeadline
	}
	return r
}

// Matches reports whether the route serves the path of the host.
func (r Route) Matches(host, path string) bool {
	return r.Host == host && strings.HasPrefix(path, r.Prefix)
}

// Repeatable reports whether a request that may have run can be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Rollout || r.Resumable
}

// SelectService returns the service that a point in [0, 1) selects. Evenly
// distributed points select the services in proportion to their weights.
func (r Route) SelectService(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point *= total
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name      string
	SlowStart time.Duration // duration of the slow start of a new endpoint
	ColdRate  float64       // requests per second that a cold endpoint can take
	Models    []string
}

// Account is a client account.
type Account struct {
	Name     string
	Priority int
	Keys     []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64 // largest size of a request body; 0 means no limit
}

// Manifest is one version of the configuration.
type Manifest struct {
	Version  int64
	Limits   Limits
	Keyed    bool // requests need keys, but for those of public routes
	routes   map[string][]Route
	services map[string]Service
	keys     map[[sha256.Size]byte]Account
}

// New returns a manifest with the given version and content. It keeps only the
// digests of the accounts' keys. With accounts nil, requests need no keys; with an
// empty list they need keys that no account holds.
func New(version int64, routes []Route, services []Service, accounts []Account, limits Limits) *Manifest {
	m := &Manifest{
		Version: version, Limits: limits, Keyed: accounts != nil,
		routes: map[string][]Route{}, services: map[string]Service{}, keys: map[[sha256.Size]byte]Account{},
	}
	for _, r := range routes {
		m.routes[r.Host] = append(m.routes[r.Host], r)
	}
	for _, list := range m.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, s := range services {
		m.services[s.Name] = s
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			m.keys[sha256.Sum256([]byte(key))] = Account{Name: a.Name, Priority: a.Priority}
		}
	}
	return m
}

// Route returns the route with the longest prefix that begins the path.
func (m *Manifest) Route(host, path string) (Route, bool) {
	for _, r := range m.routes[host] {
		if r.Matches(host, path) {
			return r, true
		}
	}
	return Route{}, false
}

// BatchRoute returns the route for batches with the longest prefix that begins the
// path. Routes of other kinds are passed over: the items of a batch run at the
// services of its own route.
func (m *Manifest) BatchRoute(host, path string) (Route, bool) {
	for _, r := range m.routes[host] {
		if r.Kind == Rollout && r.Matches(host, path) {
			return r, true
		}
	}
	return Route{}, false
}

// HasBatchRoute reports whether the host has a route for batches.
func (m *Manifest) HasBatchRoute(host string) bool {
	return slices.ContainsFunc(m.routes[host], func(r Route) bool { return r.Kind == Rollout })
}

// HasPublicBatchRoute reports whether the host has a route for batches that needs no key.
func (m *Manifest) HasPublicBatchRoute(host string) bool {
	return slices.ContainsFunc(m.routes[host], func(r Route) bool { return r.Kind == Rollout && r.Public })
}

// Service returns the service with this name.
func (m *Manifest) Service(name string) (Service, bool) {
	s, found := m.services[name]
	return s, found
}

// Services returns all services, sorted by name.
func (m *Manifest) Services() []Service {
	list := make([]Service, 0, len(m.services))
	for _, s := range m.services {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Account returns the client account that holds the key. Keys are compared by
// their digests, so that the time of a look-up reveals nothing about them.
func (m *Manifest) Account(key string) (Account, bool) {
	a, found := m.keys[sha256.Sum256([]byte(key))]
	return a, found
}

// SingleVersion reports whether samples of the service may have to be made under one
// weight version: if a route to the service requires it, or if no route leads there
// any more, since accepted batches whose route is gone may require it.
func (m *Manifest) SingleVersion(service string) bool {
	routed := false
	for _, routes := range m.routes {
		for _, r := range routes {
			for _, t := range r.Targets {
				if t.Service != service {
					continue
				}
				if r.SingleVersion {
					return true
				}
				routed = true
			}
		}
	}
	return !routed
}
