package quota

// ramp is the slow start of an endpoint. Its value is the number of requests
// that may run at a time: 1 at first, doubled after as many successes as its
// value, up to the endpoint's limit.
type ramp struct {
	value     int
	limit     int
	successes uint64
	// epoch counts the degradations. Outcomes of work that started in an
	// earlier epoch are not counted.
	epoch uint32
	// inherited is the lowest value that a member knows from an earlier home
	// instance, 0 if none does.
	inherited int
}

// inherit takes in the value that a member knows from an earlier home instance.
// The lowest one is kept: it is at most that instance's last value.
func (r *ramp) inherit(value int) {
	if value > 0 && (r.inherited == 0 || value < r.inherited) {
		r.inherited = value
	}
}

// start sets the first value, once the members have reported what they know.
func (r *ramp) start() { r.value = max(r.inherited, 1) }

// setLimit sets the endpoint's limit and lowers the value to it.
func (r *ramp) setLimit(limit int) {
	r.limit = limit
	r.value = min(r.value, limit)
}

// addSuccesses counts successes of the current epoch and doubles the value when
// there are enough.
func (r *ramp) addSuccesses(count uint64) {
	if r.value == 0 || r.value >= r.limit {
		r.successes = 0
		return
	}
	if r.successes += count; r.successes >= uint64(r.value) {
		r.value, r.successes = min(2*r.value, r.limit), 0
	}
}

// reset returns to the start of the ramp after a degradation.
func (r *ramp) reset() {
	r.value, r.successes, r.inherited = min(r.value, 1), 0, 1
	r.epoch++
}
