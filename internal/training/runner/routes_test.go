package runner

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// withRoutes sets the manifest in force of a runner.
func (h *harness) withRoutes(routes ...manifest.Route) {
	m := manifest.New(2, routes, nil, nil, manifest.Limits{})
	h.runner.seams.Manifest = func() *manifest.Manifest { return m }
}

// accept stores the batch under the routes of the manifest in force and returns it
// as another worker reads it.
func (h *harness) accept(t *testing.T, b *batch.Batch) *batch.Batch {
	t.Helper()
	b.Routes = batch.RoutesOf(h.runner.seams.Manifest(), b)
	if err := h.store.Accept(context.Background(), b); err != nil {
		t.Fatal(err)
	}
	stored, err := h.store.Read(context.Background(), b.ID, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

func targets(service string) []manifest.Target {
	return []manifest.Target{{Service: service, Weight: 1}}
}

// Guards against accepted items that never run and are given up, or that run at a
// service that is not for them, since the operator has changed the routes: items
// without a route waited until a default time limit had passed.
func TestAcceptedItemsOutliveTheirRoutes(t *testing.T) {
	scoring := manifest.Route{Host: host, Prefix: "/score/", Kind: manifest.Idempotent, Attempts: 1, Targets: targets("scorer")}
	cases := map[string][]manifest.Route{
		"all routes removed":     nil,
		"route of items removed": {scoring},
		"scoring route removed":  {{Host: host, Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 2, ItemTimeout: time.Minute, Targets: targets("llm")}},
		"route moved to another host": {
			{Host: "other.example", Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 2, Targets: targets("llm")}, scoring,
		},
		"route of another kind": {{Host: host, Prefix: "/", Kind: manifest.Idempotent, Attempts: 2, Targets: targets("scorer")}},
		"another service":       {{Host: host, Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 2, Targets: targets("llm2")}, scoring},
	}
	for name, routes := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			b := h.accept(t, newBatch("plain-1", "cut-1"))
			h.withRoutes(routes...)
			if name == "another service" {
				e := h.runner.seams.Fleet.Entries("llm")[0]
				e.ID, e.Service = "e3", "llm2"
				h.runner.seams.Fleet.Put(e)
			}
			ctx := context.Background()
			h.runner.SetActive(ctx, true)
			h.runner.Add(ctx, b, true)
			for id, result := range h.results(t, b) {
				if !result.Done || result.Output != completeText(id) || result.Score != "stamp-"+id+"-reward" {
					t.Errorf("%s: unexpected result %+v", id, result)
				}
				for _, endpoint := range h.engine.endpointsOf(id) {
					if endpoint == "s1" || (endpoint == "e3") != (name == "another service") {
						t.Errorf("%s ran on %s", id, endpoint)
					}
				}
			}
		})
	}
}

// Guards against items that are given up earlier, or texts that mix more weight
// versions, than was promised when their batch was accepted.
func TestPromisesOfTheAcceptanceHold(t *testing.T) {
	h := newHarness(t)
	route := manifest.Route{
		Host: host, Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 4, ItemTimeout: time.Minute,
		BatchDeadline: 10 * time.Second, SingleVersion: true, Targets: targets("llm"),
	}
	h.withRoutes(route)
	b := h.accept(t, newBatch("plain-1"))
	changed := route
	changed.Attempts, changed.ItemTimeout, changed.BatchDeadline, changed.SingleVersion, changed.Targets = 1, time.Second, time.Second, false, targets("llm2")
	h.withRoutes(changed)
	got, found := h.runner.batchRoute(b, "/gen/x?y=1")
	if !found || got.Attempts != 4 || got.ItemTimeout != time.Minute || got.BatchDeadline != 10*time.Second || !got.SingleVersion {
		t.Errorf("route %+v, want the promises of %+v", got, route)
	}
	if got.SelectService(0) != "llm2" {
		t.Errorf("service %s, want that of the manifest in force", got.SelectService(0))
	}
	changed.Attempts, changed.ItemTimeout = 6, time.Hour
	h.withRoutes(changed)
	if got, _ := h.runner.batchRoute(b, "/gen/x"); got.Attempts != 6 || got.ItemTimeout != time.Hour {
		t.Errorf("route %+v, want the higher limits of the manifest in force", got)
	}
}

// Guards against a batch of an earlier release, which has no routes in its record,
// that does not run although the manifest in force has its route.
func TestBatchWithoutStoredRoutesRuns(t *testing.T) {
	h := newHarness(t)
	b := newBatch("plain-1")
	ctx := context.Background()
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	if result := h.results(t, b)["plain-1"]; !result.Done {
		t.Errorf("unexpected result %+v", result)
	}
}
