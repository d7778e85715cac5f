package share

// ramp is the slow start of an endpoint. Its value is the number of requests
// that may run at a time: 1 at first, doubled after each full round of
// successes, up to the endpoint's limit.
type ramp struct {
	value     int
	limit     int
	successes uint64
	// epoch counts the degradations. Outcomes of work that started in an
	// earlier epoch are not counted.
	epoch uint32
	// inherited is the value that the members know from an earlier home instance.
	inherited int
}

// inherit takes the value that a member knows. The lowest is kept: it is at most
// the earlier home instance's last one.
func (r *ramp) inherit(value int) {
	if value > 0 && (r.inherited == 0 || value < r.inherited) {
		r.inherited = value
	}
}

// start ends the time in which values are handed over.
func (r *ramp) start() { r.value = max(r.inherited, 1) }

// setLimit follows the endpoint's limit.
func (r *ramp) setLimit(limit int) {
	r.limit = limit
	r.value = min(r.value, limit)
}

// addSuccesses counts successes of the current epoch.
func (r *ramp) addSuccesses(count uint64) {
	if r.value == 0 || r.value >= r.limit {
		r.successes = 0
		return
	}
	if r.successes += count; r.successes >= uint64(r.value) {
		r.value, r.successes = min(2*r.value, r.limit), 0
	}
}

// reset returns to the foot of the ramp after a degradation.
func (r *ramp) reset() {
	r.value, r.successes, r.inherited = min(r.value, 1), 0, 1
	r.epoch++
}
