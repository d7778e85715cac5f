package manifest

import "testing"

// Guards against weights that change under running samples that must be made under
// one version: the route that requires it may be gone while accepted batches still
// run at its service.
func TestSingleVersion(t *testing.T) {
	to := func(service string, single bool) Route {
		return Route{Host: "h", Prefix: "/" + service + "/", Kind: Rollout, SingleVersion: single, Targets: []Target{{Service: service, Weight: 1}}}
	}
	m := New(1, []Route{to("single", true), to("mixed", false)}, nil, nil, Limits{})
	for service, want := range map[string]bool{"single": true, "mixed": false, "without a route": true} {
		if got := m.SingleVersion(service); got != want {
			t.Errorf("%s: %v, want %v", service, got, want)
		}
	}
}

// Guards against items that run at the service of a plain route with a longer
// prefix, or of one that took the place of their own.
func TestBatchRoute(t *testing.T) {
	m := New(1, []Route{
		{Name: "batches", Host: "h", Prefix: "/a/", Kind: Rollout},
		{Name: "plain", Host: "h", Prefix: "/a/b/", Kind: Idempotent},
	}, nil, nil, Limits{})
	if r, found := m.BatchRoute("h", "/a/b/c"); !found || r.Name != "batches" {
		t.Errorf("route %+v, want the one for batches", r)
	}
	for host, path := range map[string]string{"h": "/b/", "other": "/a/b/"} {
		if r, found := m.BatchRoute(host, path); found {
			t.Errorf("%s%s: route %+v, want none", host, path, r)
		}
	}
}
