// Package profile holds what a process is told about itself and its
// surroundings at start: name, zone, addresses, limits and time bounds.
//
// # Usage
//
//	p := profile.Profile{Name: "edge-1", Zone: "a", Store: "10.0.0.1:8000"}.WithDefaults()
//	for _, problem := range p.Problems() { ... }
package profile

import (
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Profile describes one process. Addresses are IP:PORT. MemoryBytes is the
// limit at which the process is killed, and Descriptors bounds its open files;
// 0 means that none is known.
type Profile struct {
	Name, IP, Zone   string
	Front, Readiness string
	Store, Cloud     string
	FirstPort        int
	LastPort         int
	ValueBytes       int
	MemoryBytes      int64
	Descriptors      int
	Grace            time.Duration // from SIGTERM to SIGKILL
	Lease            time.Duration // a holder's turn without renewal
	Window           time.Duration // one usage window
	ReportDue        time.Duration // from a window's end to its report
	ResultsKept      time.Duration // from acceptance of a batch
	ConfigDue        time.Duration // from a new manifest to its effect
	DrainDue         time.Duration // from an endpoint's leaving to its last request
	ZoneDue          time.Duration // from taking a zone out to its last request
	CancelDue        time.Duration // from the end of a batch to its last request
}

// The defaults stand in for settings that are left out.
const (
	defaultGrace  = 8 * time.Second
	defaultLease  = 3 * time.Second
	defaultWindow = 5 * time.Second
	defaultDue    = 10 * time.Second
	defaultKept   = 2 * time.Minute
	defaultValue  = 1 << 20
	defaultBound  = 2 * time.Second
)

// WithDefaults returns a copy in which zero values are replaced by defaults.
func (p Profile) WithDefaults() Profile {
	fill(&p.Grace, defaultGrace)
	fill(&p.Lease, defaultLease)
	fill(&p.Window, defaultWindow)
	fill(&p.ReportDue, defaultDue)
	fill(&p.ResultsKept, defaultKept)
	fill(&p.ConfigDue, defaultBound)
	fill(&p.DrainDue, defaultBound)
	fill(&p.ZoneDue, defaultBound)
	fill(&p.CancelDue, defaultBound)
	fill(&p.ValueBytes, defaultValue)
	return p
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Listen opens the first free port for calls of peers.
func (p Profile) Listen() (net.Listener, error) {
	var failed error
	for port := p.FirstPort; port <= p.LastPort; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(p.IP, strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
		failed = err
	}
	return nil, eris.Wrapf(failed, "no free port from %d to %d for peers", p.FirstPort, p.LastPort)
}
