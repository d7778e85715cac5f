package members

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

const (
	// probeInterval is the time between two probes of a process, and probeTimeout
	// bounds one of them.
	probeInterval = 5 * time.Second
	probeTimeout  = 500 * time.Millisecond
	// goneAfter is how long no probe must have reached a process before its record is
	// removed. It exceeds a restart and most partitions.
	goneAfter = 30 * time.Second
	// maxProbes bounds the number of probes that are made at a time.
	maxProbes = 16
)

// ProbeFunc reports whether the process at an address can be reached.
type ProbeFunc func(ctx context.Context, address string) bool

// Expiry removes the records of processes that are gone, so that no one asks their
// addresses any more. A process that is only cut off registers again as soon as it
// learns that its record was removed.
type Expiry struct {
	members *Members
	probe   ProbeFunc

	mu          sync.Mutex
	silentSince map[Member]time.Time
}

// NewExpiry returns an Expiry of the records of m.
func NewExpiry(m *Members, probe ProbeFunc) *Expiry {
	return &Expiry{members: m, probe: probe, silentSince: map[Member]time.Time{}}
}

// Run probes the other processes until ctx ends. It removes records only while held
// reports true.
func (e *Expiry) Run(ctx context.Context, held func() bool) {
	ticks := e.members.timers.Subscribe(probeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		for _, other := range e.findGone(ctx) {
			if ctx.Err() == nil && held() {
				e.remove(ctx, other)
			}
		}
	}
}

// findGone probes all other processes once and returns those that no probe has reached
// for goneAfter.
func (e *Expiry) findGone(ctx context.Context) []Member {
	others := e.members.Others()
	var gone []Member
	var probes errgroup.Group
	probes.SetLimit(maxProbes)
	for _, other := range others {
		probes.Go(func() error {
			limited, cancel := e.members.timers.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if reached := e.probe(limited, other.Address); e.note(other, reached) {
				e.mu.Lock()
				defer e.mu.Unlock()
				gone = append(gone, other)
			}
			return nil
		})
	}
	_ = probes.Wait() // the probes return no errors
	e.forgetAllBut(others)
	return gone
}

// note records the outcome of a probe and reports whether the process counts as gone.
func (e *Expiry) note(other Member, reached bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reached {
		delete(e.silentSince, other)
		return false
	}
	now := e.members.timers.Now()
	since, known := e.silentSince[other]
	if !known {
		e.silentSince[other], since = now, now
	}
	return now.Sub(since) >= goneAfter
}

// forgetAllBut drops what is known of processes that are not in the list any more.
func (e *Expiry) forgetAllBut(others []Member) {
	listed := make(map[Member]bool, len(others))
	for _, other := range others {
		listed[other] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for other := range e.silentSince {
		if !listed[other] {
			delete(e.silentSince, other)
		}
	}
}

func (e *Expiry) remove(ctx context.Context, gone Member) {
	entry := e.members.log.WithFields(logrus.Fields{logs.Peer: gone.Name, "address": gone.Address})
	if err := e.members.store.Delete(ctx, kind, gone.Name); err != nil {
		entry.WithField(logs.Cause, err.Error()).Info("record of a process that is gone not removed")
		return
	}
	entry.Info("record of a process that is gone removed")
}
