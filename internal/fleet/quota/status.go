package quota

// Status is the state of an endpoint's slots on this instance.
type Status struct {
	Home      string `json:"home"`
	Running   int    `json:"running"`
	Allotment int    `json:"allotment"`
	Ramp      int    `json:"ramp"`
	Cold      bool   `json:"cold"`
	// Delegates is set while this instance may delegate its share.
	Delegates bool `json:"delegates"`
}

// Status returns the state of the slots by endpoint, for operators.
func (p *Pool) Status() map[string]Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, out := p.timers.Now(), map[string]Status{}
	for id, d := range p.delegations {
		status := Status{Home: d.home, Delegates: d.inCell && !p.leaving && !p.fenced && p.joinComplete(d, now)}
		if slots, ok := p.endpointSlots(id); ok {
			slots.mu.Lock()
			status.Running, status.Ramp, status.Cold = slots.running, slots.ramp, slots.cold
			if now.Before(slots.grantEnd) {
				status.Allotment = slots.allotment
			}
			slots.mu.Unlock()
		}
		out[id] = status
	}
	return out
}
