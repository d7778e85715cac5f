package proof

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against rows, keys and usage that are lost or misread when all instances
// end, one of them killed, and instances of the same or of a later build replace
// them and take over their data folders.
func TestWholeFleetIsReplaced(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 2, engines: 1, services: 1, otherBuild: true, dataFolders: true})
	key, other := f.createAccount("acme"), f.createAccount("birch")
	sequence := f.createRow("account", "cedar", map[string]any{"weight": 3})
	serves := func() {
		for _, p := range f.instances {
			f.awaitGeneration(p, other)
			f.eventually(p.name+" serves a call", func() bool { return f.call(p, other, "/s/look/x", "", 5*time.Second).status == http.StatusOK })
		}
	}
	const calls = 60
	served, unconfirmed := int64(0), int64(0)
	send := func() {
		for c := range calls {
			switch a := f.call(f.instances[c%len(f.instances)], key, "/s/look/x", "", 5*time.Second); {
			case a.status == http.StatusOK && a.err == nil:
				served++
			case a.run != "not_run":
				unconfirmed++
			}
		}
	}
	serves()
	send()
	before := f.row("account", "cedar", f.instances[0])
	f.instances[0].kill()
	for _, p := range f.instances[1:] {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range f.instances {
		<-p.done
		f.restart(p)
	}
	for _, p := range f.instances {
		f.eventually(p.name+" is ready again", func() bool { return f.httpStatus(p.address, "/readyz") == http.StatusOK })
	}
	f.awaitSequence(sequence, f.instances...)
	for _, p := range f.instances {
		if row := f.row("account", "cedar", p); row.Revision != before.Revision || row.Value["weight"] != before.Value["weight"] {
			t.Errorf("%s has the row %+v, want %+v", p.name, row, before)
		}
	}
	f.awaitSequence(f.createRow("account", "dogwood", map[string]any{"weight": 2}), f.instances...)
	serves()
	send()
	f.eventually("the usage reports include all served requests", func() bool { return f.reportedRequests("acme") >= served })
	if got := f.reportedRequests("acme"); got > served+unconfirmed {
		t.Errorf("%d requests were reported; %d were served, and %d more may have run", got, served, unconfirmed)
	}
	if served < calls {
		t.Errorf("only %d of %d calls were served", served, 2*calls)
	}
}
