// Package roster knows the endpoints: the platform's list of them, the load
// that each reports and who stopped answering.
//
// # Usage
//
//	for _, e := range endpoints.Endpoints().Live("tagger") {
//		load, known := endpoints.Endpoints().Load(e.ID)
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

// Endpoint is one back end as the platform lists it.
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

// Load is what an endpoint last told about itself. It lags behind.
type Load struct {
	Running int
	Waiting int
	// Limit is the highest number of requests that the endpoint runs at a time.
	Limit int
	// Version is the active weight version of an engine, 0 when unknown.
	Version int
	// At is when the report was asked for, on the local clock.
	At time.Time
}
