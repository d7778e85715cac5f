package serve

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
	"github.com/wigeonpin/wigeonpin/internal/control/broadcast"
	"github.com/wigeonpin/wigeonpin/internal/control/config"
	"github.com/wigeonpin/wigeonpin/internal/control/operator"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/fleet/order"
	"github.com/wigeonpin/wigeonpin/internal/fleet/quota"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/fleet/rollout"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
	"github.com/wigeonpin/wigeonpin/internal/traffic/idempotency"
	"github.com/wigeonpin/wigeonpin/internal/traffic/suspect"
	"github.com/wigeonpin/wigeonpin/internal/training/step"
)

// peerHandler returns the handler for calls of other instances.
func (i *instance) peerHandler() http.Handler {
	router := mux.NewRouter()
	for prefix, handler := range map[string]http.Handler{
		config.FeedPathPrefix:       i.config.Server(),
		broadcast.NoticesPathPrefix: i.broadcaster.Server(),
		roster.ListsPathPrefix:      i.roster.Server(),
		quota.SharesPathPrefix:      i.pool.Server(),
		ratelimit.RatesPathPrefix:   i.limiter.Server(),
		suspect.PlacesPathPrefix:    i.suspects.Server(),
		order.DemandsPathPrefix:     i.orders.Server(),
		idempotency.OncePathPrefix:  i.idempotency.Server(),
		step.HomesPathPrefix:        i.steps.Server(),
		usage.CopiesPathPrefix:      i.usage.Server(),
	} {
		router.PathPrefix(prefix).Handler(handler)
	}
	return fleet.RequireSecret(i.settings.Secret, i.meters, http.MaxBytesHandler(router, conn.PeerBodyLimit))
}

func (i *instance) operatorHandler() http.Handler {
	return operator.New(i.settings.OperatorDigest, operator.Seams{
		Table: i.config.Table, Edit: i.config.Edit, Status: i.status,
		Drain: i.startDrain,
	}, i.log)
}

// startDrain starts the planned shutdown. Only the first call has an effect.
func (i *instance) startDrain() { i.drainOnce.Do(func() { close(i.drain) }) }

type instanceStatus struct {
	Instance  string                      `json:"instance"`
	Zone      string                      `json:"zone"`
	Ready     bool                        `json:"ready"`
	Sequence  uint64                      `json:"sequence"`
	Fresh     bool                        `json:"fresh"`
	Relay     bool                        `json:"relay"`
	Members   []string                    `json:"members"`
	Endpoints []endpointStatus            `json:"endpoints"`
	Rollouts  map[string]rollout.Progress `json:"rollouts"`
	Waiting   map[string]int              `json:"waiting"`
}

type endpointStatus struct {
	ID      string       `json:"id"`
	Zone    string       `json:"zone"`
	Model   string       `json:"model"`
	State   string       `json:"state"`
	Usable  bool         `json:"usable"`
	Version int          `json:"version,omitempty"`
	Slots   quota.Status `json:"slots"`
}

// status returns the state of the instance for the operator API.
func (i *instance) status() any {
	snapshot, slots := i.roster.Endpoints(), i.pool.Status()
	out := instanceStatus{
		Instance: i.settings.ID, Zone: i.settings.Zone, Ready: i.ready() == nil, Sequence: i.config.Sequence(),
		Fresh: i.tableFresh(), Relay: i.directory.Relay(), Members: i.directory.View().IDs(),
		Rollouts: i.rollout.Progress(), Waiting: i.queue.Waiting(),
	}
	for _, e := range snapshot.All() {
		load, _ := snapshot.Load(e.ID)
		out.Endpoints = append(out.Endpoints, endpointStatus{
			ID: e.ID, Zone: e.Zone, Model: e.Model, State: e.State, Usable: snapshot.Usable(e.ID), Version: load.Version,
			Slots: slots[e.ID],
		})
	}
	return out
}
