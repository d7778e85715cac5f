// Package members keeps the list of the processes of the system, so that each
// can reach the others. Every process writes one record to the store when it
// starts. One process at a time removes the records of those that are gone.
//
// # Usage
//
//	m := members.New(store, self, timers, log)
//	go m.Run(ctx)
//	addresses := m.Addresses("worker")
//	members.NewExpiry(m, probe).Run(ctx, tenure.Held)
package members

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/mirror"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	kind = "nodes"
	// watchTimeout is how long one watch for other processes waits. It can be
	// long since a list that is some seconds old does no harm.
	watchTimeout = 20 * time.Second
	// watchInterval is the period at which watches begin, so that processes that start
	// or end at about the same time are told of in one answer.
	watchInterval = 250 * time.Millisecond
	// listTimeout is how long a process waits for the list before it registers without
	// knowing its present record, and listPoll the pause between two looks.
	listTimeout = time.Second
	listPoll    = 5 * time.Millisecond
	// writeRetryDelay is the delay before another attempt to write the record.
	writeRetryDelay = time.Second
)

// Member describes one process.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:PORT for calls of peers
	Zone    string `json:"zone"`
	Role    string `json:"role"`
}

// Members is the list of the other processes. It is safe for concurrent use.
type Members struct {
	store  records.Store
	self   Member
	timers *clock.Service
	log    *logrus.Entry

	mirror *mirror.Mirror
	mu     sync.RWMutex
	others map[string]Member
	stored Member // this process's record as last read; the zero Member if there is none
	// removed receives a value when the record of this process was removed.
	removed chan struct{}
}

// New returns an empty list that Run fills and keeps up to date.
func New(store records.Store, self Member, timers *clock.Service, log *logrus.Entry) *Members {
	m := &Members{store: store, self: self, timers: timers, log: log, others: map[string]Member{}, removed: make(chan struct{}, 1)}
	m.mirror = mirror.New(store, kind, mirror.Options{Wait: watchTimeout, WatchInterval: watchInterval, Apply: m.apply}, timers, log)
	return m
}

// Synced reports whether the records of all other processes have been read
// once.
func (m *Members) Synced() bool { return m.mirror.Synced() }

// Run registers this process and follows the records of the others until ctx
// ends. The list comes first: it tells of the processes that share their reads of the
// store, and whether the record of this process needs to be written.
func (m *Members) Run(ctx context.Context) {
	timers := m.timers
	go func() {
		for start := timers.Uptime(); !m.Synced() && timers.Uptime()-start < listTimeout; {
			if timers.Sleep(ctx, listPoll) != nil {
				return
			}
		}
		m.keepRegistering(ctx)
		for {
			select {
			case <-ctx.Done():
				return
			case <-m.removed:
				m.log.Info("the record of this process was removed; registering again")
				m.keepRegistering(ctx)
			}
		}
	}()
	m.mirror.Run(ctx)
}

// keepRegistering registers this process. It retries until it succeeds or ctx ends.
func (m *Members) keepRegistering(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.register(ctx)
		if err == nil {
			return
		}
		m.log.WithField(logs.Cause, err.Error()).Warn("process not registered in the store; retrying")
		_ = m.timers.Sleep(ctx, writeRetryDelay)
	}
}

// register writes the record of this process, unless it is stored already. A process
// that starts again finds its former record, which has another address as a rule.
func (m *Members) register(ctx context.Context) error {
	m.mu.RLock()
	stored := m.stored
	m.mu.RUnlock()
	if stored == m.self {
		return nil
	}
	body, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	record := records.Record{Kind: kind, Name: m.self.Name, Body: body}
	if stored.Name != "" {
		if _, err = m.store.Put(ctx, record); !errors.Is(err, records.ErrMissing) {
			return err
		}
	}
	_, err = m.store.Create(ctx, record)
	if errors.Is(err, records.ErrConflict) {
		_, err = m.store.Put(ctx, record)
	}
	return err
}

func (m *Members) apply(r records.Record) {
	if r.Name == m.self.Name {
		m.noteStored(r)
		return
	}
	var other Member
	if err := json.Unmarshal(r.Body, &other); err != nil && !r.Deleted {
		m.log.WithFields(logrus.Fields{logs.Peer: r.Name, logs.Cause: err.Error()}).Warn("invalid process record ignored")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Deleted {
		delete(m.others, r.Name)
		return
	}
	m.others[r.Name] = other
}

// noteStored takes note of the record of this process, or of its removal.
func (m *Members) noteStored(r records.Record) {
	var stored Member
	if !r.Deleted {
		// A record that cannot be decoded is replaced like one that differs.
		if json.Unmarshal(r.Body, &stored) != nil {
			stored = Member{Name: r.Name}
		}
	}
	m.mu.Lock()
	m.stored = stored
	m.mu.Unlock()
	if r.Deleted {
		select {
		case m.removed <- struct{}{}:
		default:
		}
	}
}

// Others returns the other processes.
func (m *Members) Others() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := make([]Member, 0, len(m.others))
	for _, other := range m.others {
		list = append(list, other)
	}
	return list
}

// AddressesBefore returns the addresses of the processes with a role whose
// names precede this one's, ordered by name.
func (m *Members) AddressesBefore(role string) []string {
	list := slices.DeleteFunc(m.Others(), func(other Member) bool { return other.Role != role || other.Name >= m.self.Name })
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return addresses(list)
}

// Addresses returns the addresses of the other processes with a role: first
// those in other availability zones, then those in the same one, each ordered
// by name.
func (m *Members) Addresses(role string) []string {
	list := slices.DeleteFunc(m.Others(), func(other Member) bool { return other.Role != role })
	sort.Slice(list, func(i, j int) bool {
		if (list[i].Zone == m.self.Zone) != (list[j].Zone == m.self.Zone) {
			return list[j].Zone == m.self.Zone
		}
		return list[i].Name < list[j].Name
	})
	return addresses(list)
}

func addresses(list []Member) []string {
	all := make([]string, 0, len(list))
	for _, member := range list {
		all = append(all, member.Address)
	}
	return all
}
