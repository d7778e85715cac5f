// Package profile holds the configuration of a process: its name and zone, the
// addresses that it listens on or connects to, resource limits and time limits.
// It does not depend on the format of the settings file; package platform reads
// that.
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

// Profile is the configuration of one process. Addresses are IP:PORT.
type Profile struct {
	Name, IP, Zone   string
	Front, Readiness string        // addresses that callers and readiness checks connect to
	Store, Cloud     string        // addresses of the metadata store and of the duty calls, such as usage reports
	FirstPort        int           // range of ports for calls of peers
	LastPort         int           // included in the range
	MaxValueBytes    int           // maximum size of a value in the store
	MemoryBytes      int64         // limit at which the process is killed; 0 if not known
	Descriptors      int           // limit of open file descriptors; 0 if not known
	Grace            time.Duration // from SIGTERM to SIGKILL
	Lease            time.Duration // minimum time in which the worker role can alternate between two holders; twice the lease term
	Window           time.Duration // length of a usage window
	MaxReportDelay   time.Duration // maximum time from the end of a usage window to its report
	Settle           time.Duration // time after which no answer may lack a result that was read or a batch that was accepted
	ResultRetention  time.Duration // retention time of results, from the acceptance of their batch
	MaxConfigDelay   time.Duration // maximum time from a new manifest to its effect
	MaxDrainDelay    time.Duration // maximum time from the draining or removal of an endpoint to the last request sent to it
	MaxZoneDelay     time.Duration // maximum time from taking a zone out of service to the last request sent there
	MaxCancelDelay   time.Duration // maximum time from the end of a batch to the last request sent for it
}

// The defaults for settings that are left out.
const (
	defaultGrace       = 8 * time.Second
	defaultLease       = 3 * time.Second
	defaultWindow      = 5 * time.Second
	defaultReportDelay = 10 * time.Second
	defaultSettle      = time.Second
	defaultRetention   = 2 * time.Minute
	defaultValueBytes  = 1 << 20
	defaultDelay       = 2 * time.Second
)

// WithDefaults returns a copy in which zero values are replaced by defaults.
func (p Profile) WithDefaults() Profile {
	setDefault(&p.Grace, defaultGrace)
	setDefault(&p.Lease, defaultLease)
	setDefault(&p.Window, defaultWindow)
	setDefault(&p.MaxReportDelay, defaultReportDelay)
	setDefault(&p.Settle, defaultSettle)
	setDefault(&p.ResultRetention, defaultRetention)
	setDefault(&p.MaxConfigDelay, defaultDelay)
	setDefault(&p.MaxDrainDelay, defaultDelay)
	setDefault(&p.MaxZoneDelay, defaultDelay)
	setDefault(&p.MaxCancelDelay, defaultDelay)
	setDefault(&p.MaxValueBytes, defaultValueBytes)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Listen opens a listener for calls of peers on the first free port of the
// range.
func (p Profile) Listen() (net.Listener, error) {
	var lastErr error
	for port := p.FirstPort; port <= p.LastPort; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(p.IP, strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, eris.Wrapf(lastErr, "no free port from %d to %d for peers", p.FirstPort, p.LastPort)
}
