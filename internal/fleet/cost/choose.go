package cost

// Margin is the uncertainty of Finish, in units of the mean work: endpoints within it
// count as equally good. It is what deviates unnoticed between equal endpoints.
const Margin = 0.25

// Queue is the work at an endpoint: Ahead is the work that it runs and queues, in units of
// the mean work, and Slots the number of requests that it runs at a time.
type Queue struct {
	Ahead float64
	Slots int
}

// Finish returns the expected time until a request of the given work ends at an endpoint,
// in units of the mean work at usual speed. The work ahead counts by slot also while
// slots are free, so that requests spread over the endpoints before one is full.
func Finish(q Queue, work, pace float64) float64 {
	return (q.Ahead/float64(max(1, q.Slots)) + work) * pace
}

// Candidate is an endpoint that may get a request. Finish includes the preferences of
// the request. Remote endpoints are in another availability zone. Reports says whether
// the endpoint reports its pace.
type Candidate struct {
	Finish, Pace    float64
	Remote, Reports bool
}

// Chooser chooses among endpoints for one of many processes that act on the same reports.
// It is not safe for concurrent use; it keeps memory between calls. The zero value is
// ready to use.
type Chooser struct {
	eligible []int
}

// Choose returns the index of the endpoint to use, or -1 without candidates.
//
// While no endpoint reports its pace and most count as equally fast, it returns the one
// with the lowest Finish. Otherwise it draws two with probabilities by speed, from those
// in the zone of the best one and those within Margin of it, and returns the better of
// them. The probability of an endpoint is thus at most twice its part of their speed,
// however good its report is, so that processes with the same report do not all choose
// the same endpoint. random returns a number in [0, 1).
func (c *Chooser) Choose(candidates []Candidate, random func() float64) int {
	if len(candidates) == 0 {
		return -1
	}
	best, deviating, reports := 0, 0, false
	for i, candidate := range candidates {
		if candidate.Finish < candidates[best].Finish {
			best = i
		}
		if candidate.Pace != 1 {
			deviating++
		}
		reports = reports || candidate.Reports
	}
	if !reports && 2*deviating < len(candidates) {
		return best
	}
	c.eligible = c.eligible[:0]
	total := 0.0
	for i, candidate := range candidates {
		if candidate.Remote == candidates[best].Remote || candidate.Finish <= candidates[best].Finish+Margin {
			c.eligible = append(c.eligible, i)
			total += 1 / candidate.Pace
		}
	}
	first, second := c.draw(candidates, random()*total), c.draw(candidates, random()*total)
	if candidates[second].Finish < candidates[first].Finish {
		return second
	}
	return first
}

// draw returns the eligible candidate at the position in the sum of the speeds.
func (c *Chooser) draw(candidates []Candidate, position float64) int {
	for _, i := range c.eligible {
		position -= 1 / candidates[i].Pace
		if position < 0 {
			return i
		}
	}
	return c.eligible[len(c.eligible)-1]
}
