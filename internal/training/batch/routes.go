package batch

import (
	"encoding/json"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
)

// Routes are the routes of the manifest under which a batch was accepted: those of
// its items and of its scoring calls. They are stored with the batch, so that it is
// carried out although the operator removes or changes a route later.
type Routes []manifest.Route

// RoutesOf returns the routes of the manifest that the batch uses.
func RoutesOf(m *manifest.Manifest, b *Batch) Routes {
	used := Routes(nil).with(m.BatchRoute(b.Host, b.Path))
	for i := range b.Items {
		used = used.WithItem(m, b.Host, &b.Items[i])
	}
	return used
}

// WithItem returns the routes and those that an item of a batch on the host uses.
func (l Routes) WithItem(m *manifest.Manifest, host string, item *Item) Routes {
	used := l.with(m.BatchRoute(host, item.Path))
	if item.Reward != nil {
		used = used.with(m.Route(item.Reward.Host, item.Reward.Path))
	}
	return used
}

func (l Routes) with(route manifest.Route, found bool) Routes {
	if !found || l.has(route) {
		return l
	}
	return append(l, route)
}

func (l Routes) has(route manifest.Route) bool {
	for _, r := range l {
		if r.Host == route.Host && r.Prefix == route.Prefix {
			return true
		}
	}
	return false
}

// BatchRoute returns the route for batches with the longest prefix that begins the
// path.
func (l Routes) BatchRoute(host, path string) (manifest.Route, bool) {
	return l.longest(host, path, func(r manifest.Route) bool { return r.Kind == manifest.Rollout })
}

// Route returns the route with the longest prefix that begins the path.
func (l Routes) Route(host, path string) (manifest.Route, bool) {
	return l.longest(host, path, func(manifest.Route) bool { return true })
}

func (l Routes) longest(host, path string, match func(manifest.Route) bool) (best manifest.Route, found bool) {
	for _, r := range l {
		if match(r) && r.Matches(host, path) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// storedRoute is a route in the record of a batch. Durations are in milliseconds.
type storedRoute struct {
	Name     string         `json:"name"`
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Batches  bool           `json:"batches,omitempty"`
	Targets  []storedTarget `json:"targets"`
	Timeout  int64          `json:"timeout,omitempty"`
	Aim      int64          `json:"aim,omitempty"`
	Attempts int            `json:"attempts"`
	Priority int            `json:"priority,omitempty"`
	Single   bool           `json:"single,omitempty"`
	Due      int64          `json:"due,omitempty"`
	Patience int64          `json:"patience,omitempty"`
}

type storedTarget struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// MarshalJSON encodes the routes for the record of a batch. Of the kinds it keeps
// only whether a route is for batches: all other calls of a batch may be repeated.
func (l Routes) MarshalJSON() ([]byte, error) {
	stored := make([]storedRoute, 0, len(l))
	for _, r := range l {
		s := storedRoute{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Batches: r.Kind == manifest.Rollout,
			Timeout: r.Timeout.Milliseconds(), Aim: r.TargetLatency.Milliseconds(),
			Attempts: r.Attempts, Priority: r.Priority, Single: r.SingleVersion,
			Due: r.BatchDeadline.Milliseconds(), Patience: r.ItemTimeout.Milliseconds(),
		}
		for _, t := range r.Targets {
			s.Targets = append(s.Targets, storedTarget{Service: t.Service, Weight: t.Weight})
		}
		stored = append(stored, s)
	}
	return json.Marshal(stored)
}

// UnmarshalJSON decodes the routes of a record.
func (l *Routes) UnmarshalJSON(text []byte) error {
	var stored []storedRoute
	if err := json.Unmarshal(text, &stored); err != nil {
		return err
	}
	*l = nil
	for _, s := range stored {
		r := manifest.Route{
			Name: s.Name, Host: s.Host, Prefix: s.Prefix, Kind: manifest.Idempotent,
			Timeout: milliseconds(s.Timeout), TargetLatency: milliseconds(s.Aim),
			Attempts: s.Attempts, Priority: s.Priority, SingleVersion: s.Single,
			BatchDeadline: milliseconds(s.Due), ItemTimeout: milliseconds(s.Patience),
		}
		if s.Batches {
			r.Kind = manifest.Rollout
		}
		for _, t := range s.Targets {
			r.Targets = append(r.Targets, manifest.Target{Service: t.Service, Weight: t.Weight})
		}
		*l = append(*l, r)
	}
	return nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
