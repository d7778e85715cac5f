// Package config replicates the operators' configuration table. It commits edits
// to the head object at the platform, distributes accepted rows to all instances
// and tracks the time up to which this instance's copy is known to be complete.
//
// # Usage
//
//	var conf *config.Config
//	directory := member.NewDirectory(settings, timers, member.Seams{
//		Fetch: store.Instances, Refused: fleet.IsConnRefused,
//		Ping: func(ctx context.Context, i member.Instance) error { return conf.Ping(ctx, i) },
//	}, log)
//	conf = config.New(settings, timers, config.Seams{
//		Store: config.StoreOf(store), Peers: fleet.NewClient(settings), Directory: directory,
//	}, log)
//	go directory.Run(ctx)
//	go conf.Run(ctx)
//	router.PathPrefix(config.FeedPathPrefix).Handler(conf.Server())
//	if ok, wait := conf.Fresh(); !ok {
//		return code.New(code.KeysStale, "...").WithRetryAfter(wait)
//	}
//	account, ok := conf.Table().Account("acme")
//
// # State
//
// The platform's object config/head is the source of truth. An edit is committed
// by updating it on the condition that it has not changed. Everything else is a
// copy, and a copy never returns to a lower sequence.
package config

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

const (
	// maxRecentRows is the number of accepted rows kept in order, so that the usual
	// delta is computed without a scan of the whole table.
	maxRecentRows = 512
	// contactPeriods is the number of exchange periods after which contact with
	// another instance counts as lost.
	contactPeriods = 2
)

// Store is the part of the object API that the package uses.
type Store struct {
	Get    func(ctx context.Context, kind, name string) (objects.Object, bool, error)
	List   func(ctx context.Context, kind string, after uint64, wait time.Duration) (objects.Page, error)
	Put    func(ctx context.Context, kind, name string, revision uint64, value []byte) (objects.Object, error)
	Delete func(ctx context.Context, kind, name string, revision uint64) error
}

// StoreOf returns the functions of a client of the object API.
func StoreOf(client *objects.Client) Store {
	return Store{Get: client.Get, List: client.List, Put: client.Put, Delete: client.Delete}
}

// Seams are the dependencies of a Config.
type Seams struct {
	Store Store
	// Peers is the client for calls to other instances.
	Peers *http.Client
	// Directory lists the other instances and tracks which of them answer.
	Directory *member.Directory
	// Meters receives the counters; if nil, New creates a set.
	Meters *meter.Set
}

// Config holds one instance's copy of the configuration table and keeps it up to
// date.
type Config struct {
	settings       setting.Settings
	timers         *clock.Service
	seams          Seams
	log            *logrus.Entry
	period         time.Duration
	freshnessBound time.Duration

	current      atomic.Pointer[snapshot]
	completeAsOf atomic.Pointer[time.Time]

	// mu guards the fields below. It is not held during calls over the network.
	mu    sync.Mutex
	state state
	// peerSequences holds the latest known sequence of each instance.
	peerSequences map[string]uint64
	pushing       map[string]bool
	// lastContacts holds the time of the latest contact with each instance of
	// this zone.
	lastContacts map[string]time.Time
	statements   map[string]statement
	// ackedSequence is the highest sequence that another instance is known to hold.
	// ackChanged is closed and replaced when it rises.
	ackChanged     chan struct{}
	ackedSequence  uint64
	pending        []*pendingEdit
	wakeWriter     chan struct{}
	nextExchangeAt time.Time
	exchangeRounds int
	// seeds holds addresses of callers, to ask for an instance list.
	seeds []string

	background context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup

	edits, platformCalls, exchanges *meter.Counter
}

// snapshot is the immutable state that readers load without a lock.
type snapshot struct {
	table   *table.Table
	ready   bool
	changed chan struct{}
}

// state is what this instance knows about the table and the platform.
type state struct {
	table  *table.Table
	recent []table.Row
	// lastHash is the hash of the row with the table's sequence.
	lastHash uint64
	// unmerged holds the changes of a replaced history until a relay has added
	// to the head those that it lacks.
	unmerged []change
	// hasTable is set once any source has provided a table, triedPlatform and
	// triedPeers once the platform or the peers have been asked.
	hasTable, triedPlatform, triedPeers bool
	// head is the latest head seen, and headRevision its revision.
	head         head
	headRevision uint64
	// storeRevision is the highest known revision of the store. A write-back sets
	// it to the revision of the restored store.
	storeRevision uint64
	// tableRevision is the revision of the head with the table's sequence; 0 when
	// unknown.
	tableRevision uint64
	// platformBehind is set while the platform returns older data than was
	// accepted. staleHead is the head that it returned.
	platformBehind bool
	staleHead      head
	staleRevision  uint64
	// snapshotSequence is the sequence of the last snapshot written for a
	// write-back.
	snapshotSequence uint64
	// provenAt is the time up to which the table is proven complete, by an answer
	// of the platform or of a peer that had one.
	provenAt time.Time
	// lastCallAnswered reports whether the latest call to the platform was
	// answered, and lastCallAt is the time at which it was sent.
	lastCallAnswered bool
	lastCallAt       time.Time
	// suspectUntil is the time until which this instance polls the platform
	// although it is not a relay.
	suspectUntil time.Time
}

// New returns a configuration that is not ready until Run has found a table.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Config {
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	c := &Config{
		settings: settings, timers: timers, seams: seams, log: log,
		period:         setting.Milliseconds(settings.ExchangeMS),
		freshnessBound: setting.Milliseconds(settings.FreshnessMS),
		state:          state{table: table.New()},
		peerSequences:  map[string]uint64{}, pushing: map[string]bool{},
		lastContacts: map[string]time.Time{}, statements: map[string]statement{},
		ackChanged: make(chan struct{}), wakeWriter: make(chan struct{}, 1),
		edits: seams.Meters.Counter("config_edits"), platformCalls: seams.Meters.Counter("config_platform_calls"),
		exchanges: seams.Meters.Counter("config_exchanges"),
	}
	c.background, c.stop = context.WithCancel(context.Background())
	c.current.Store(&snapshot{table: c.state.table, changed: make(chan struct{})})
	c.completeAsOf.Store(&time.Time{})
	return c
}

// Table returns the current table.
func (c *Config) Table() *table.Table { return c.current.Load().table }

// Ready reports whether this instance has found a table.
func (c *Config) Ready() bool { return c.current.Load().ready }

// Changed returns a channel that is closed when the next snapshot is published.
func (c *Config) Changed() <-chan struct{} { return c.current.Load().changed }

// Fresh reports whether the table was complete at most freshness_ms ago. If
// not, wait is the time after which a caller should retry.
func (c *Config) Fresh() (ok bool, wait time.Duration) {
	at := *c.completeAsOf.Load()
	if c.Ready() && !at.IsZero() && c.timers.Since(at) <= c.freshnessBound {
		return true, 0
	}
	return false, c.period
}

// CompleteAsOf returns the time up to which the table was complete.
func (c *Config) CompleteAsOf() time.Time { return *c.completeAsOf.Load() }

// Sequence returns the sequence of the current table.
func (c *Config) Sequence() uint64 { return c.Table().Sequence() }

// Status is the operator API's view of the configuration of one instance.
type Status struct {
	Sequence uint64 `json:"sequence"`
	Ready    bool   `json:"ready"`
	Fresh    bool   `json:"fresh"`
	// AgeMS is the age of the time up to which the table was complete, -1 when
	// unknown.
	AgeMS int64 `json:"age_ms"`
	// PlatformAnswered is set when the latest call to the platform was answered.
	// In normal operation only relays call it.
	PlatformAnswered bool `json:"platform"`
	// Behind is set while the platform returns older data than was accepted.
	Behind bool `json:"behind"`
	// Relay is set when this instance is a relay of its zone.
	Relay bool `json:"relay"`
}

// Status returns the state for the operator API.
func (c *Config) Status() Status {
	fresh, _ := c.Fresh()
	out := Status{Sequence: c.Sequence(), Ready: c.Ready(), Fresh: fresh, AgeMS: -1, Relay: c.seams.Directory.Relay()}
	if at := c.CompleteAsOf(); !at.IsZero() {
		out.AgeMS = c.timers.Since(at).Milliseconds()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out.PlatformAnswered, out.Behind = c.state.lastCallAnswered, c.state.platformBehind
	return out
}

// Server returns the handler for calls of other instances, to be mounted at
// FeedPathPrefix.
func (c *Config) Server() http.Handler { return NewFeedServer(&server{config: c}) }

// Run keeps the table up to date until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	c.restore()
	end := context.AfterFunc(ctx, c.stop)
	defer end()
	for _, loop := range []func(context.Context){c.pollLoop, c.exchangeLoop, c.writeLoop, c.saveLoop} {
		c.tasks.Go(func() { loop(c.background) })
	}
	<-ctx.Done()
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.tasks.Wait()
	return nil
}

// spawn runs work in a goroutine whose context ends when the configuration stops.
// mu is held, so that no task starts after Run has begun to wait for the others.
func (c *Config) spawn(work func(ctx context.Context)) {
	if c.background.Err() == nil {
		c.tasks.Go(func() { work(c.background) })
	}
}

// applyRows applies the rows accepted after the table's sequence, up to sequence.
// It returns false, and changes nothing, if sequence is not higher than the
// table's. mu is held.
func (c *Config) applyRows(sequence uint64, rows []table.Row) bool {
	own := c.state.table.Sequence()
	if sequence <= own {
		return false
	}
	rows = slices.DeleteFunc(slices.Clone(rows), func(r table.Row) bool { return r.Revision <= own })
	c.setTable(c.state.table.Apply(sequence, rows))
	c.state.lastHash = 0
	if n := len(rows); n > 0 && rows[n-1].Revision == sequence {
		c.state.lastHash = hashRow(rows[n-1])
	}
	// Only rows without a gap may answer later requests for a delta.
	if uint64(len(rows)) != sequence-own {
		c.state.recent = nil
		return true
	}
	c.state.recent = append(c.state.recent, rows...)
	if extra := len(c.state.recent) - maxRecentRows; extra > 0 {
		c.state.recent = slices.Clone(c.state.recent[extra:])
	}
	return true
}

// replaceTable replaces the whole table by one that may belong to another history.
// Recent rows of the old table are kept in unmerged. It returns false, and changes
// nothing, if sequence is not higher than the table's. mu is held.
func (c *Config) replaceTable(sequence uint64, rows []table.Row) bool {
	own := c.state.table.Sequence()
	if sequence <= own {
		return false
	}
	c.log.WithField(logs.Sequence, sequence).WithField("own_sequence", own).
		Info("replacing the whole table")
	for _, r := range c.state.recent {
		id := fmt.Sprintf("merge-%x", hashRow(r))
		c.state.unmerged = append(c.state.unmerged, change{Sequence: r.Revision, EditID: id, Row: r})
	}
	c.state.recent, c.state.lastHash = nil, 0
	next := table.Load(sequence, rows)
	if all := next.Rows(); len(all) > 0 && all[len(all)-1].Revision == sequence {
		c.state.lastHash = hashRow(all[len(all)-1])
	}
	c.setTable(next)
	return true
}

// rowHashAt returns the hash of the row with a sequence, or 0 when the row is not
// known or has changed since. mu is held.
func (c *Config) rowHashAt(sequence uint64) uint64 {
	own := c.state.table.Sequence()
	if sequence == own {
		return c.state.lastHash
	}
	i := len(c.state.recent) - 1 - int(own-sequence)
	if i >= 0 && sequence < own {
		return hashRow(c.state.recent[i])
	}
	for _, r := range c.state.table.Rows() {
		if r.Revision == sequence && sequence < own {
			return hashRow(r)
		}
	}
	return 0
}

// hashRow returns a hash of a row. The platform may change the whitespace and the
// field order of a value, so the value is decoded first.
func hashRow(r table.Row) uint64 {
	var value any
	// An undecodable value hashes like an absent one; tables never accept it.
	_ = json.Unmarshal(r.Value, &value)
	return xxhash.Sum64String(fmt.Sprintf("%s/%s %d %v %v", r.Table, r.Name, r.Revision, r.Deleted, value))
}

// recordTableRevision records the revision of the head that has the table's
// sequence. Polls ask for what changed after it, so that the platform does not
// send a head whose rows have already arrived from another instance. mu is held.
func (c *Config) recordTableRevision(revision uint64) {
	c.state.tableRevision = revision
	c.state.storeRevision = max(c.state.storeRevision, revision)
}

// setTable installs and publishes a table with a higher sequence. mu is held.
func (c *Config) setTable(next *table.Table) {
	c.state.table, c.state.tableRevision = next, 0
	c.state.hasTable = true
	c.publish()
	c.log.WithField(logs.Sequence, next.Sequence()).Debug("table advanced")
}

// publish replaces the snapshot that readers see if the state differs from it.
// mu is held.
func (c *Config) publish() {
	s := &c.state
	old := c.current.Load()
	ready := old.ready || (s.hasTable && s.triedPlatform && s.triedPeers)
	if old.table == s.table && old.ready == ready {
		return
	}
	c.current.Store(&snapshot{table: s.table, ready: ready, changed: make(chan struct{})})
	close(old.changed)
}

// delta returns the rows accepted after a sequence. mu is held.
func (c *Config) delta(after uint64) []table.Row {
	own := c.state.table.Sequence()
	if after >= own {
		return nil
	}
	if n := len(c.state.recent); n > 0 && c.state.recent[0].Revision <= after+1 {
		return slices.Clone(c.state.recent[n-int(own-after):])
	}
	return c.state.table.RowsAfter(after)
}

// recordProof records that the table was complete at a time. mu is held.
func (c *Config) recordProof(at time.Time) {
	if at.After(c.state.provenAt) {
		c.state.provenAt = at
	}
	c.updateCompleteAsOf()
}

// recordContact records an answer of, or a call from, an instance of this zone. mu
// is held.
func (c *Config) recordContact(id, zone string) {
	if zone == c.settings.Zone && id != c.settings.ID {
		c.lastContacts[id] = c.timers.Now()
	}
}

// isolated reports whether other instances of this zone may be running but none
// of them has been in contact recently. An isolated instance accepts no edits,
// since the others may state meanwhile that their zone accepts none.
func (c *Config) isolated() bool {
	others := false
	for _, id := range c.seams.Directory.Listed().Zone(c.settings.Zone) {
		if _, refused := c.seams.Directory.Silence(id); refused || id == c.settings.ID {
			continue
		}
		others = true
		c.mu.Lock()
		at, ok := c.lastContacts[id]
		c.mu.Unlock()
		if ok && c.timers.Since(at) <= contactPeriods*c.period {
			return false
		}
	}
	return others
}

// reportCall passes the outcome of a call to the directory.
func (c *Config) reportCall(id string, err error) {
	c.seams.Directory.Report(id, err == nil, err != nil && fleet.IsConnRefused(err))
}
