package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	// directTimeout is the time of a direct call to the store, and relayTimeout that of
	// one through a peer (DirectTimeout and peerMargin in package relay).
	directTimeout = 450 * time.Millisecond
	relayTimeout  = 650 * time.Millisecond
	// maxStaleness is how old a stale read of the store may be.
	maxStaleness = 3 * time.Second
)

// stage is a point at which a call is held until the scheduler lets it go on. It takes
// a process that is not paused; at is nil for the store.
type stage struct {
	what string
	at   *process
	run  func()
}

// flight is a call that is held. Its goroutine waits until the scheduler ends it.
type flight struct {
	process  *process
	what     string
	number   int
	unsent   bool // the process was paused when it began the call
	lost     bool // neither call nor answer arrives any more
	ready    func() bool
	deadline time.Time // zero if there is none
	stages   []stage
	apply    func() // of a write that has not been carried out
	refuse   func() // for a call that the store may refuse
	err      error
	finished chan struct{}
}

// request is a caller's call. Calls on its behalf carry it in their context. believed
// means that the answer of a worker is taken for the store's.
type request struct {
	name     string
	believed bool
}

// answer is what a caller got.
type answer struct {
	name   string
	status int
	body   []byte
	check  func(status int, body []byte)
}

type requestKey struct{}

func requestOf(ctx context.Context) *request {
	q, _ := ctx.Value(requestKey{}).(*request)
	return q
}

// hold registers a call and waits until the scheduler has ended it.
func (w *world) hold(ctx context.Context, f *flight) error {
	if q := requestOf(ctx); q != nil {
		f.what = q.name + ": " + f.what
	}
	f.finished = make(chan struct{})
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return records.ErrRefused
	}
	w.added = append(w.added, f)
	w.mu.Unlock()
	w.wakeUp()
	<-f.finished
	return f.err
}

// wakeUp tells the scheduler that there is something new to choose from.
func (w *world) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// collect numbers the calls that have been added and checks the answers that callers
// got, in an order that does not depend on that of their goroutines.
func (w *world) collect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.added, func(a, b *flight) int {
		return strings.Compare(a.process.name+a.what, b.process.name+b.what)
	})
	for _, f := range w.added {
		w.calls++
		f.number, f.unsent = w.calls, f.process.paused
		w.flights = append(w.flights, f)
		w.notef("%s begins call %d (%s)", f.process.name, f.number, f.what)
	}
	w.added = w.added[:0]
	slices.SortFunc(w.answers, func(a, b answer) int { return strings.Compare(a.name, b.name) })
	for _, a := range w.answers {
		a.check(a.status, a.body)
	}
	w.answers = w.answers[:0]
}

// end resumes the goroutine of a call.
func (w *world) end(f *flight, err error) {
	f.err = err
	w.flights = slices.DeleteFunc(w.flights, func(other *flight) bool { return other == f })
	close(f.finished)
}

// canProceed reports whether the next stage of a call can be reached.
func (f *flight) canProceed() bool {
	if f.lost || f.unsent || f.ready != nil && !f.ready() {
		return false
	}
	at := f.stages[0].at
	return at == nil || !at.paused && !at.dead
}

// proceed executes the next stage of a call.
func (w *world) proceed(f *flight) {
	s := f.stages[0]
	w.notef("call %d of %s (%s): %s", f.number, f.process.name, f.what, s.what)
	f.stages = f.stages[1:]
	if s.run != nil {
		s.run()
	}
	if len(f.stages) == 0 {
		w.end(f, nil)
	}
}

// expire ends the calls whose time is over.
func (w *world) expire() {
	for _, f := range slices.Clone(w.flights) {
		if f.process.paused || f.deadline.IsZero() || time.Now().Before(f.deadline) {
			continue
		}
		w.notef("call %d of %s (%s): no answer in time", f.number, f.process.name, f.what)
		w.keepLate(f)
		w.end(f, records.ErrUnknownOutcome)
	}
}

// keepLate keeps a write that is on its way: the store may still carry it out.
func (w *world) keepLate(f *flight) {
	if f.apply != nil {
		w.late = append(w.late, f)
	}
}

func (w *world) applyLate(f *flight) {
	w.notef("the store carries out the late write of call %d of %s (%s)", f.number, f.process.name, f.what)
	w.late = slices.DeleteFunc(w.late, func(other *flight) bool { return other == f })
	f.apply()
	f.apply = nil
}

// storeCall makes a call to the store: directly, and through a peer if there is no
// answer in time or a refusal.
func (w *world) storeCall(ctx context.Context, p *process, what string, write bool, apply func()) error {
	limit := func(timeout time.Duration) time.Time {
		at := time.Now().Add(timeout)
		if end, limited := ctx.Deadline(); limited && end.Before(at) {
			return end
		}
		return at
	}
	f := w.newStoreFlight(p, what, write, apply)
	f.deadline = limit(directTimeout)
	records.NoteAttempt(ctx, records.PathDirect)
	f.stages = []stage{{"the store carries it out", nil, f.carryOut(apply)}, {"the answer arrives", p, nil}}
	err := w.hold(ctx, f)
	if err == nil || ctx.Err() != nil || p.relay == nil {
		return err
	}
	g := w.newStoreFlight(p, what+" through "+p.relay.name, write, apply)
	g.deadline = limit(relayTimeout)
	records.NoteAttempt(ctx, p.relay.name)
	g.stages = []stage{
		{"it arrives at " + p.relay.name, p.relay, nil},
		{"the store carries it out", nil, g.carryOut(apply)},
		{"the answer arrives at " + p.relay.name, p.relay, nil},
		{"the answer arrives", p, nil},
	}
	if relayed := w.hold(ctx, g); relayed == nil || errors.Is(err, records.ErrRefused) {
		return relayed
	}
	return err
}

func (w *world) newStoreFlight(p *process, what string, write bool, apply func()) *flight {
	f := &flight{process: p, what: what}
	if write {
		f.apply = apply
	}
	f.refuse = func() { w.end(f, records.ErrRefused) }
	return f
}

func (f *flight) carryOut(apply func()) func() {
	return func() {
		apply()
		f.apply, f.refuse = nil, nil
	}
}

// store returns the store as a process calls it.
func (w *world) store(p *process) records.Store {
	base := w.ledger.Store()
	get := func(ctx context.Context, kind, name string, stale bool) (records.Record, error) {
		if q := requestOf(ctx); q != nil && q.believed {
			return records.Record{}, records.ErrMissing
		}
		var r records.Record
		var result error
		what := "read " + kind + "/" + name
		if stale {
			what = "stale " + what
		}
		err := w.storeCall(ctx, p, what, false, func() {
			r, result = base.Get(ctx, kind, name)
			if stale && time.Since(w.written[kind+"/"+name]) < maxStaleness {
				r, result = records.Record{}, records.ErrMissing
			}
		})
		if err == nil {
			err = result
		}
		return r, err
	}
	return records.Store{
		Get: func(ctx context.Context, kind, name string) (records.Record, error) {
			return get(ctx, kind, name, false)
		},
		GetStale: func(ctx context.Context, kind, name string) (records.Record, error) {
			return get(ctx, kind, name, true)
		},
		List: func(ctx context.Context, kind, after string) (records.Page, error) {
			var page records.Page
			var result error
			err := w.storeCall(ctx, p, "list "+kind, false, func() { page, result = base.List(ctx, kind, after) })
			if err == nil {
				err = result
			}
			return page, err
		},
		Create: func(ctx context.Context, r records.Record) (records.Record, error) {
			var created records.Record
			var result error
			err := w.storeCall(ctx, p, "create "+r.Kind+"/"+r.Name, true, func() {
				created, result = base.Create(ctx, r)
				if result == nil {
					w.written[r.Kind+"/"+r.Name] = time.Now()
				}
			})
			if err == nil {
				err = result
			}
			return created, err
		},
		Delete: func(ctx context.Context, kind, name string) error {
			var result error
			err := w.storeCall(ctx, p, "delete "+kind+"/"+name, true, func() { result = base.Delete(ctx, kind, name) })
			if err == nil {
				err = result
			}
			return err
		},
	}
}

// peerTransport makes the calls of an entry process to workers.
type peerTransport struct {
	world *world
	from  *process
}

// RoundTrip makes a call to the worker whose name is the host of the URL.
func (t peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	to := t.world.processes[r.URL.Host]
	ctx, cancel := context.WithCancel(t.world.ctx)
	defer cancel()
	recorder := httptest.NewRecorder()
	answered := make(chan struct{})
	f := &flight{process: t.from, what: "ask " + to.name + r.URL.Path[strings.LastIndexByte(r.URL.Path, '/'):]}
	f.deadline, _ = r.Context().Deadline()
	serve := func() {
		f.ready = func() bool {
			select {
			case <-answered:
				return true
			default:
				return false
			}
		}
		go func() {
			to.handler.ServeHTTP(recorder, r.Clone(ctx))
			close(answered)
			t.world.wakeUp()
		}()
	}
	f.stages = []stage{{"it arrives at " + to.name, to, serve}, {to.name + " sends its answer", to, nil}, {"the answer arrives", t.from, nil}}
	if err := t.world.hold(r.Context(), f); err != nil {
		return nil, fmt.Errorf("no answer of %s: %w", to.name, context.DeadlineExceeded)
	}
	return recorder.Result(), nil
}
