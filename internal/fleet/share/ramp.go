package share

// ramp is the slow start of an endpoint. Its value is the number of requests
// that may run at a time: 1 at first, doubled after each full round of
// successes, up to the endpoint's limit.
type ramp struct {
	value int
	limit int
	round uint64
	// epoch counts the degradations. Outcomes of work that started in an
	// earlier epoch are not counted.
	epoch uint32
	// handed is the value that the members know from an earlier home instance.
	handed int
}

// hand takes the value that a member knows. The lowest is kept: it is at most
// the earlier home instance's last one.
func (r *ramp) hand(value int) {
	if value > 0 && (r.handed == 0 || value < r.handed) {
		r.handed = value
	}
}

// start ends the time in which values are handed over.
func (r *ramp) start() { r.value = max(r.handed, 1) }

// bound follows the endpoint's limit.
func (r *ramp) bound(limit int) {
	r.limit = limit
	r.value = min(r.value, limit)
}

// succeed counts successes of the current epoch.
func (r *ramp) succeed(count uint64) {
	if r.value == 0 || r.value >= r.limit {
		r.round = 0
		return
	}
	if r.round += count; r.round >= uint64(r.value) {
		r.value, r.round = min(2*r.value, r.limit), 0
	}
}

// drop returns to the foot of the ramp after a degradation.
func (r *ramp) drop() {
	r.value, r.round, r.handed = min(r.value, 1), 0, 1
	r.epoch++
}
