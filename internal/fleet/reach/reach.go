// Package reach finds the availability zones whose endpoints have gone silent
// together. It does no input or output.
//
// # Load pattern
//
// A zone is cut off while its endpoints stream. Their connections stay open and
// nothing arrives on them. One silent stream says little, since its endpoint may
// be slow, so that it is given time. When all streaming endpoints of a zone stop
// at the same moment while other zones go on, the zone is out of reach, and its
// work is better moved at once than after the time limit of each stream. Until
// the zone is heard again, work that is sent there is lost as well.
//
// # Usage
//
//	detector := reach.NewDetector()
//	for _, zone := range detector.Check(now, streaming) { ... }
package reach

import (
	"sort"
	"time"
)

const (
	// silence is how long all streaming endpoints of a zone have sent nothing when
	// the zone counts as silent.
	silence = 600 * time.Millisecond
	// liveness is how recently an endpoint of another zone must have been heard. It
	// shows that this process itself is not paused or cut off.
	liveness = 300 * time.Millisecond
	// minEndpoints is the number of silent endpoints from which on their zone is
	// taken to be the cause.
	minEndpoints = 2
	// minChecks is the number of checks in a row that must find the zone silent.
	// After a pause of this process some streams are read before others.
	minChecks = 2
)

// Streaming is an endpoint from which at least one stream has begun. Heard is
// when its latest event arrived on any of its streams.
type Streaming struct {
	Endpoint, Zone string
	Heard          time.Time
}

// Detector remembers how often each zone was found silent. It is not safe for
// concurrent use.
type Detector struct {
	found map[string]int // checks in a row that found the zone silent
}

// NewDetector returns a Detector that has found no zone silent.
func NewDetector() *Detector { return &Detector{found: map[string]int{}} }

// zoneState sums up the streaming endpoints of a zone.
type zoneState struct {
	endpoints int
	heard     time.Time
}

// Check returns the zones that are out of reach, sorted by name.
func (d *Detector) Check(now time.Time, streaming []Streaming) []string {
	zones := map[string]zoneState{}
	for _, s := range streaming {
		z := zones[s.Zone]
		z.endpoints++
		if s.Heard.After(z.heard) {
			z.heard = s.Heard
		}
		zones[s.Zone] = z
	}
	found := map[string]int{}
	var silent []string
	for name, z := range zones {
		if z.endpoints < minEndpoints || now.Sub(z.heard) < silence || !otherZoneHeard(now, name, zones) {
			continue
		}
		if found[name] = d.found[name] + 1; found[name] >= minChecks {
			silent = append(silent, name)
		}
	}
	d.found = found
	sort.Strings(silent)
	return silent
}

// otherZoneHeard reports whether an endpoint outside the zone was heard just now.
func otherZoneHeard(now time.Time, zone string, zones map[string]zoneState) bool {
	for name, z := range zones {
		if name != zone && now.Sub(z.heard) <= liveness {
			return true
		}
	}
	return false
}
