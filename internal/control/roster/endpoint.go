// Package roster keeps the state of the endpoints: the platform's list of them,
// the last load report of each and which ones count as failed.
//
// # Usage
//
//	snapshot := r.Endpoints()
//	for _, e := range snapshot.Live("tagger") {
//		load, known := snapshot.Load(e.ID)
//	}
package roster

import "time"

// The kinds of endpoints.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// The classes of endpoints. The platform may reclaim cheap ones on short notice.
const (
	ClassStandard = "standard"
	ClassCheap    = "cheap"
)

// The states of an endpoint in the platform's list.
const (
	StateStarting = "starting"
	StateLive     = "live"
	StateLeaving  = "leaving"
	StateGone     = "gone"
)

// Endpoint is a back end as the platform lists it.
type Endpoint struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Kind     string `json:"kind"`
	Model    string `json:"model"`
	Class    string `json:"class"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	// PricePerHour is in the platform's currency unit.
	PricePerHour float64 `json:"price_per_hour"`
}

// Load is the last load report of an endpoint. The actual load may have changed
// since.
type Load struct {
	Running int
	Waiting int
	// Limit is the maximum number of requests that the endpoint runs at a time.
	Limit int
	// Version is the active weight version of an engine, or 0 if unknown.
	Version int
	// At is the time at which the report was requested, on the local clock.
	At time.Time
}
