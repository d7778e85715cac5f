// Package clock provides the current time and timers to all components of an
// instance, so that tests can control time.
//
// # Usage
//
//	timers := clock.NewSystem()
//	ticks := timers.Subscribe(time.Second)
//	defer ticks.Stop()
//	for range ticks.C {
//		renew()
//	}
//
// Tests use NewDriven and advance the time with Advance:
//
//	timers, driver := clock.NewDriven(time.Unix(0, 0))
//	driver.Advance(3 * time.Second)
//
// # Wrong times of day
//
// The time of day of a machine may be wrong, and may change in steps. An act that
// cannot be undone therefore rests on the time that the process itself has seen pass:
//
//	known := timers.Uptime() // when the process learns of a record
//	if timers.Uptime()-known > retention {
//		remove()
//	}
package clock

import (
	"context"
	"sync"
	"time"
)

// Service provides the current time and ticks. On the system clock, its times
// carry a monotonic clock reading.
type Service struct {
	now       func() time.Time
	uptime    func() time.Duration
	subscribe func(delay, period time.Duration) *Subscription
}

// Subscription delivers ticks on C until Stop. A tick is dropped when the
// previous one has not been received yet, as with time.Ticker.
type Subscription struct {
	C    <-chan time.Time
	stop func()
}

// Stop ends the subscription. It does not close C.
func (s *Subscription) Stop() { s.stop() }

// NewSystem returns a service that uses the system clock.
func NewSystem() *Service {
	return &Service{now: time.Now, uptime: Uptime, subscribe: subscribeSystem}
}

func subscribeSystem(delay, period time.Duration) *Subscription {
	if period > 0 {
		ticker := time.NewTicker(period)
		return &Subscription{C: ticker.C, stop: ticker.Stop}
	}
	timer := time.NewTimer(delay)
	return &Subscription{C: timer.C, stop: func() { timer.Stop() }}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return s.now() }

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.now().Sub(t) }

// Uptime returns the time since an arbitrary start. It includes suspensions and does
// not change when the time of day is set.
func (s *Service) Uptime() time.Duration { return s.uptime() }

// WithUptime returns a copy that reads the uptime from the given function.
func (s *Service) WithUptime(uptime func() time.Duration) *Service {
	copied := *s
	copied.uptime = uptime
	return &copied
}

// Subscribe delivers a tick each period. The period must be positive.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	if period <= 0 {
		panic("clock: period must be positive")
	}
	return s.subscribe(period, period)
}

// After delivers one tick after delay.
func (s *Service) After(delay time.Duration) *Subscription {
	return s.subscribe(max(delay, 0), 0)
}

// Sleep waits for delay. It returns ctx's error if ctx ends first.
func (s *Service) Sleep(ctx context.Context, delay time.Duration) error {
	timer := s.After(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout returns a context that is cancelled with the cause
// context.DeadlineExceeded after limit on this service's clock.
func (s *Service) WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := s.After(limit)
	go func() {
		defer timer.Stop()
		select {
		case <-timer.C:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// Driver controls the time of a service that NewDriven returned.
type Driver struct {
	mu      sync.Mutex
	now     time.Time
	uptime  time.Duration
	waiters map[*waiter]struct{}
}

type waiter struct {
	due    time.Time
	period time.Duration
	ticks  chan time.Time
}

// NewDriven returns a service whose time begins at start and changes only when
// the driver advances it.
func NewDriven(start time.Time) (*Service, *Driver) {
	d := &Driver{now: start, waiters: map[*waiter]struct{}{}}
	return &Service{now: d.current, uptime: d.currentUptime, subscribe: d.subscribe}, d
}

func (d *Driver) currentUptime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.uptime
}

// SetBy changes the time of day by offset, as when the clock of a machine is set. The
// uptime and the timers are not affected.
func (d *Driver) SetBy(offset time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now = d.now.Add(offset)
	for w := range d.waiters {
		w.due = w.due.Add(offset)
	}
}

func (d *Driver) current() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now
}

func (d *Driver) subscribe(delay, period time.Duration) *Subscription {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := &waiter{due: d.now.Add(delay), period: period, ticks: make(chan time.Time, 1)}
	if delay <= 0 {
		w.ticks <- d.now
	} else {
		d.waiters[w] = struct{}{}
	}
	return &Subscription{C: w.ticks, stop: func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiters, w)
	}}
}

// Advance advances the time by step and delivers the ticks that become due, in
// the order of their due times.
func (d *Driver) Advance(step time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	end := d.now.Add(step)
	d.uptime += step
	for {
		w := d.nextDue(end)
		if w == nil {
			break
		}
		d.now = w.due
		select {
		case w.ticks <- w.due:
		default:
		}
		if w.period > 0 {
			w.due = w.due.Add(w.period)
		} else {
			delete(d.waiters, w)
		}
	}
	d.now = end
}

func (d *Driver) nextDue(end time.Time) *waiter {
	var next *waiter
	for w := range d.waiters {
		if !w.due.After(end) && (next == nil || w.due.Before(next.due)) {
			next = w
		}
	}
	return next
}

// Waiting returns the number of subscriptions that are waiting for a tick. Tests
// use it to detect that a goroutine has started to wait.
func (d *Driver) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}
