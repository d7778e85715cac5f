package platform

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

type orderBody struct {
	Fence  uint64       `json:"fence"`
	Holder string       `json:"holder"`
	Models []orderModel `json:"models"`
}

type orderModel struct {
	Model    string `json:"model"`
	Standard int    `json:"standard"`
	Cheap    int    `json:"cheap"`
}

// loggedOrder is an order as received. Accepted is false if the fence check
// rejected it.
type loggedOrder struct {
	AtMS     int64  `json:"at_ms"`
	Zone     string `json:"zone"`
	Accepted bool   `json:"accepted"`
	orderBody
}

func (p *Platform) listEndpoints(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	wait, err := queryWait(r)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, changed := p.pool.list(after)
		for i := range found.Endpoints {
			found.Endpoints[i].Address = viewAddress(r, found.Endpoints[i].Address)
		}
		if len(found.Endpoints) > 0 || wait <= 0 {
			codec.Write(w, http.StatusOK, found)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			codec.Write(w, http.StatusOK, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) putOrder(w http.ResponseWriter, r *http.Request) {
	order, err := codec.Read[orderBody](r, host.BodyLimit)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	if order.Holder == "" {
		codec.WriteError(w, code.New(code.BadRequest, "an order needs a holder"))
		return
	}
	if !p.pool.applyOrder(mux.Vars(r)["zone"], order, p.fenceCheck.On()) {
		codec.WriteError(w, code.New(code.LeaseLost, "fence %d is older than that of an earlier order", order.Fence))
		return
	}
	codec.Write(w, http.StatusOK, struct{}{})
}

func (s *pool) orderLog() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string][]loggedOrder{"orders": s.orders[:len(s.orders):len(s.orders)]}
}

// applyOrder logs an order and scales the zone's endpoints to the ordered
// numbers. Models that the order does not name are scaled to 0. It returns false
// if the fence check rejects the order.
func (s *pool) applyOrder(zone string, o orderBody, checkFence bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := !checkFence || o.Fence >= s.fences[zone]
	s.fences[zone] = max(s.fences[zone], o.Fence)
	if len(s.orders) < maxLoggedOrders {
		s.orders = append(s.orders, loggedOrder{time.Now().UnixMilli(), zone, accepted, o})
	}
	if !accepted {
		return false
	}
	type key struct{ model, class string }
	wanted := map[key]int{}
	for _, m := range o.Models {
		wanted[key{m.Model, "standard"}] = m.Standard
		wanted[key{m.Model, "cheap"}] = m.Cheap
	}
	groups := map[key][]*pooledEndpoint{}
	var keys []key
	for _, m := range s.endpoints {
		k := key{m.Model, m.Class}
		if m.Zone != zone {
			continue
		}
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], m)
	}
	for _, k := range keys {
		s.scale(groups[k], wanted[k])
	}
	return true
}

// scale starts or stops endpoints of one zone, model and class until the wanted
// number is on. Endpoints that are still starting are stopped first, then live
// ones, both from the last ID backwards.
func (s *pool) scale(endpoints []*pooledEndpoint, wanted int) {
	now := time.Now()
	on := 0
	for _, m := range endpoints {
		if m.state == stateStarting || m.state == stateLive {
			on++
		}
	}
	for _, m := range endpoints {
		if on < wanted && m.state == stateGone && now.After(m.blockedUntil) {
			s.setState(m, stateStarting, now.Add(s.startDelay))
			on++
		}
	}
	for _, state := range []string{stateStarting, stateLive} {
		for i := len(endpoints) - 1; i >= 0 && on > wanted; i-- {
			if m := endpoints[i]; m.state == state {
				s.setState(m, stateLeaving, now.Add(s.stopDelay))
				on--
			}
		}
	}
}
