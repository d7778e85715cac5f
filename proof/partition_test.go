package proof

import (
	"net/http"
	"testing"
	"time"
)

// Guards against an availability zone that is cut off from everything and goes
// on accepting a key that was withdrawn meanwhile, or stops serving what needs
// no key.
func TestZoneCutOffFromEverything(t *testing.T) {
	f := start(t, shape{zones: 3, perZone: 1, engines: 1, services: 1, links: true, engine: []string{"--rate", "20"}})
	key, other := f.account("acme"), f.account("birch")
	cut := f.instances[2]
	for _, p := range f.instances {
		f.generates(p, key)
	}
	f.eventually("the open route is served", func() bool { return f.call(cut, "", "/s/open/x", "", 5*time.Second).status == http.StatusOK })
	running := make(chan answer, 1)
	go func() { running <- f.generate(cut, other, "runs through the cut", 160, patience) }()
	time.Sleep(500 * time.Millisecond)
	pairs := []string{cut.platformLink}
	for _, p := range f.instances {
		pairs = append(pairs, p.peerLink)
	}
	f.fake(f.links, "drop", map[string]any{"on": true, "pairs": pairs})
	f.eventually("the cut zone notices", func() bool { return !f.state(cut).Fresh })
	a := f.generate(cut, key, "while cut off", 2, 10*time.Second)
	if a.status != http.StatusServiceUnavailable || a.run != "not_run" || a.code != "206" {
		t.Errorf("a keyed request in the cut zone: status %d, run %q, code %s", a.status, a.run, a.code)
	}
	if a := f.call(cut, "", "/s/open/x", "", 10*time.Second); a.status != http.StatusOK {
		t.Errorf("an open route in the cut zone: status %d %s", a.status, a.body)
	}
	row := f.row("key", keyID(key), f.instances[0])
	row.Value["withdrawn"] = true
	sequence := f.change(f.instances[0], "key", row.Name, row.Revision, row.Value)
	f.inForce(sequence, f.instances[1])
	for range 5 {
		if a := f.generate(cut, key, "withdrawn", 2, 5*time.Second); a.status == http.StatusOK {
			t.Error("the cut zone served a withdrawn key")
		}
	}
	if a := <-running; a.status != http.StatusOK {
		t.Errorf("running work in the cut zone: status %d %s", a.status, a.body)
	}
	f.fake(f.links, "drop", map[string]any{"on": false, "pairs": pairs})
	f.inForce(sequence, cut)
	// A peer that pushes the edit proves nothing about later ones: until the
	// instance has asked one itself, it refuses all keys.
	f.eventually("the cut zone refuses the withdrawn key for good", func() bool {
		a := f.generate(cut, key, "withdrawn", 2, 10*time.Second)
		stale := a.status == http.StatusServiceUnavailable && a.run == "not_run" && a.code == "206"
		if a.status != http.StatusUnauthorized && !stale {
			t.Errorf("a withdrawn key after the cut: status %d %s", a.status, a.body)
		}
		return a.status == http.StatusUnauthorized
	})
	f.generates(cut, other)
}
