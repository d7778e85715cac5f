package proof

import (
	"net/http"
	"testing"
	"time"
)

// Guards against an availability zone that is partitioned from all peers and the
// platform and still accepts a key that was withdrawn meanwhile, or stops serving
// requests that need no key.
func TestZoneCutOffFromEverything(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1, engines: 1, services: 1, relayInstances: true, engineArgs: []string{"--rate", "20"}})
	key, other := f.createAccount("acme"), f.createAccount("birch")
	isolated := f.instances[2]
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	f.eventually("the open route is served", func() bool { return f.call(isolated, "", "/s/open/x", "", 5*time.Second).status == http.StatusOK })
	running := make(chan answer, 1)
	go func() { running <- f.generate(isolated, other, "runs through the cut", 160, waitTimeout) }()
	time.Sleep(500 * time.Millisecond)
	pairs := []string{isolated.platformLink}
	for _, p := range f.instances {
		pairs = append(pairs, p.peerLink)
	}
	f.setFault(f.instanceRelay, "drop", map[string]any{"on": true, "pairs": pairs})
	f.eventually("the isolated zone notices", func() bool { return !f.state(isolated).Fresh })
	a := f.generate(isolated, key, "while cut off", 2, 10*time.Second)
	if a.status != http.StatusServiceUnavailable || a.run != "not_run" || a.code != "206" {
		t.Errorf("a request with a key in the isolated zone: status %d, run %q, code %s", a.status, a.run, a.code)
	}
	if a := f.call(isolated, "", "/s/open/x", "", 10*time.Second); a.status != http.StatusOK {
		t.Errorf("an open route in the isolated zone: status %d %s", a.status, a.body)
	}
	row := f.row("key", keyID(key), f.instances[0])
	row.Value["withdrawn"] = true
	sequence := f.updateRow(f.instances[0], "key", row.Name, row.Revision, row.Value)
	f.awaitSequence(sequence, f.instances[1])
	for range 5 {
		if a := f.generate(isolated, key, "withdrawn", 2, 5*time.Second); a.status == http.StatusOK {
			t.Error("the isolated zone served a withdrawn key")
		}
	}
	if a := <-running; a.status != http.StatusOK {
		t.Errorf("a running request in the isolated zone: status %d %s", a.status, a.body)
	}
	f.setFault(f.instanceRelay, "drop", map[string]any{"on": false, "pairs": pairs})
	f.awaitSequence(sequence, isolated)
	// An edit that a peer pushes proves nothing about later edits: until the
	// instance itself has fetched them from a peer, it refuses all keys.
	f.eventually("the isolated zone permanently refuses the withdrawn key", func() bool {
		a := f.generate(isolated, key, "withdrawn", 2, 10*time.Second)
		stale := a.status == http.StatusServiceUnavailable && a.run == "not_run" && a.code == "206"
		if a.status != http.StatusUnauthorized && !stale {
			t.Errorf("a withdrawn key after the partition: status %d %s", a.status, a.body)
		}
		return a.status == http.StatusUnauthorized
	})
	f.awaitGeneration(isolated, other)
}
