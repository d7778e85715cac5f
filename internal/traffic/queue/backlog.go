package queue

// Backlog sums up the queued requests of one account for one model. Cost is the
// sum of their costs.
type Backlog struct {
	Model, Account string
	Requests       int
	Cost           int64
	Weight         float64
}

// Backlogs returns the backlogs of all models and accounts that have any.
func (q *Queue) Backlogs() []Backlog {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Backlog
	for name, m := range q.models {
		for _, f := range m.flows {
			if len(f.waiting) > 0 {
				out = append(out, Backlog{
					Model: name, Account: f.account, Requests: len(f.waiting), Cost: f.cost, Weight: f.weight,
				})
			}
		}
	}
	return out
}
