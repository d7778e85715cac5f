package proof

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against rows, keys and usage that are lost or misread when all
// instances end, one of them by a kill, and others, of the same or of a later
// build, take their places and data folders.
func TestWholeFleetIsReplaced(t *testing.T) {
	f := start(t, shape{zones: 3, perZone: 2, engines: 1, services: 1, former: true, data: true})
	key, other := f.account("acme"), f.account("birch")
	sequence := f.edit("account", "cedar", map[string]any{"weight": 3})
	serves := func() {
		for _, p := range f.instances {
			f.generates(p, other)
			f.eventually(p.name+" serves a call", func() bool { return f.call(p, other, "/s/look/x", "", 5*time.Second).status == http.StatusOK })
		}
	}
	const calls = 60
	served, unclear := int64(0), int64(0)
	send := func() {
		for c := range calls {
			switch a := f.call(f.instances[c%len(f.instances)], key, "/s/look/x", "", 5*time.Second); {
			case a.status == http.StatusOK && a.err == nil:
				served++
			case a.run != "not_run":
				unclear++
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
		f.eventually(p.name+" is ready again", func() bool { return f.status(p.address, "/readyz") == http.StatusOK })
	}
	f.inForce(sequence, f.instances...)
	for _, p := range f.instances {
		if row := f.row("account", "cedar", p); row.Revision != before.Revision || row.Value["weight"] != before.Value["weight"] {
			t.Errorf("%s has the row %+v, it was %+v", p.name, row, before)
		}
	}
	f.inForce(f.edit("account", "dogwood", map[string]any{"weight": 2}), f.instances...)
	serves()
	send()
	f.eventually("the reports hold what was served", func() bool { return f.reported("acme") >= served })
	if got := f.reported("acme"); got > served+unclear {
		t.Errorf("%d requests were reported; %d were answered, %d more may have been", got, served, unclear)
	}
	if served < calls {
		t.Errorf("only %d of %d calls were served", served, 2*calls)
	}
}
