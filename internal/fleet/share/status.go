package share

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
	for id, s := range p.delegations {
		one := Status{Home: s.home, Delegates: s.inCell && !p.leaving && !p.fenced && p.settled(s, now)}
		if h, ok := p.hold(id); ok {
			h.mu.Lock()
			one.Running, one.Ramp, one.Cold = h.total, h.ramp, h.cold
			if now.Before(h.until) {
				one.Allotment = h.allotment
			}
			h.mu.Unlock()
		}
		out[id] = one
	}
	return out
}
