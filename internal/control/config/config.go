// Package config keeps the operators' table: it commits edits to the platform's
// head object, spreads accepted rows to all instances and knows up to which
// time the table of this instance is complete.
//
// # Usage
//
//	var conf *config.Config
//	directory := member.NewDirectory(settings, timers, member.Seams{
//		Fetch: store.Instances, Refused: fleet.Refused,
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
// The platform's object config/head is the truth; updating it on the condition
// that it has not changed is what commits an edit. Everything else is a copy.
// A copy never goes back to a lower sequence.
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
	// recentRows is the number of accepted rows kept in order, so that the usual
	// delta needs no search through the whole table.
	recentRows = 512
	// contactPeriods is the number of exchange periods for which contact with
	// another instance counts.
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

// Seams are what a Config needs from its surroundings.
type Seams struct {
	Store Store
	// Peers is the client for calls to other instances.
	Peers *http.Client
	// Directory knows the other instances.
	Directory *member.Directory
	// Meters takes the counters; a nil one is replaced.
	Meters *meter.Set
}

// Config is the configuration of one instance.
type Config struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry
	period   time.Duration
	bound    time.Duration

	current  atomic.Pointer[snapshot]
	complete atomic.Pointer[time.Time]

	// mu guards the fields below. No call is made while it is held.
	mu         sync.Mutex
	state      state
	known      map[string]uint64
	pushing    map[string]bool
	contacts   map[string]time.Time
	statements map[string]statement
	acked      chan struct{}
	ackedUpTo  uint64
	pending    []*pendingEdit
	wake       chan struct{}
	nextAt     time.Time
	turns      int
	seeds      []string

	background context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup

	edits, polls, exchanges *meter.Counter
}

// snapshot is what readers see.
type snapshot struct {
	table   *table.Table
	ready   bool
	changed chan struct{}
}

// state is what an instance knows about the table.
type state struct {
	table  *table.Table
	recent []table.Row
	// last is the hash of the row with the table's sequence.
	last uint64
	// lost holds the changes of a history that another one has replaced, until
	// a relay has added to the head those that it lacks.
	lost []change
	// found is set once any source has given a table, triedPlatform and
	// triedPeers once each of them has been asked.
	found, triedPlatform, triedPeers bool
	// head is the latest head seen, and revision its revision.
	head     head
	revision uint64
	// store is the store's revision in the latest answer.
	store uint64
	// at is the revision of the head with the table's sequence; 0 when unknown.
	at uint64
	// behind is set while the platform returns older data than was accepted;
	// old is the head that it returned.
	behind      bool
	old         head
	oldRevision uint64
	// saved is the sequence of the last snapshot object known to exist.
	saved uint64
	// direct is the time up to which the table was complete by an answer of the
	// platform or of a peer that got one.
	direct time.Time
	// reached tells whether the latest call to the platform was answered.
	reached bool
	asked   time.Time
	// suspect is the time until which this instance asks the platform itself
	// although it is no relay.
	suspect time.Time
}

// New returns a configuration that is not ready until Run has found a table.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Config {
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	c := &Config{
		settings: settings, timers: timers, seams: seams, log: log,
		period: setting.Milliseconds(settings.ExchangeMS),
		bound:  setting.Milliseconds(settings.FreshnessMS),
		state:  state{table: table.New()},
		known:  map[string]uint64{}, pushing: map[string]bool{},
		contacts: map[string]time.Time{}, statements: map[string]statement{},
		acked: make(chan struct{}), wake: make(chan struct{}, 1),
		edits: seams.Meters.Counter("config_edits"), polls: seams.Meters.Counter("config_platform_calls"),
		exchanges: seams.Meters.Counter("config_exchanges"),
	}
	c.background, c.stop = context.WithCancel(context.Background())
	c.current.Store(&snapshot{table: c.state.table, changed: make(chan struct{})})
	c.complete.Store(&time.Time{})
	return c
}

// Table returns the current table.
func (c *Config) Table() *table.Table { return c.current.Load().table }

// Ready reports whether this instance has found a table.
func (c *Config) Ready() bool { return c.current.Load().ready }

// Changed returns a channel that is closed when the next snapshot is published.
func (c *Config) Changed() <-chan struct{} { return c.current.Load().changed }

// Fresh reports whether the table was complete at most freshness_ms ago. If
// not, wait is the time after which a caller should come back.
func (c *Config) Fresh() (ok bool, wait time.Duration) {
	at := *c.complete.Load()
	if c.Ready() && !at.IsZero() && c.timers.Since(at) <= c.bound {
		return true, 0
	}
	return false, c.period
}

// Complete returns the time up to which the table was complete.
func (c *Config) Complete() time.Time { return *c.complete.Load() }

// Sequence returns the sequence of the current table.
func (c *Config) Sequence() uint64 { return c.Table().Sequence() }

// Status is what operators see of the configuration of one instance.
type Status struct {
	Sequence uint64 `json:"sequence"`
	Ready    bool   `json:"ready"`
	Fresh    bool   `json:"fresh"`
	// AgeMS is the age of the time up to which the table was complete, -1 when
	// unknown.
	AgeMS int64 `json:"age_ms"`
	// Platform is set when the latest call to the platform was answered. Only
	// relays call it while all is well.
	Platform bool `json:"platform"`
	// Behind is set while the platform returns older data than was accepted.
	Behind bool `json:"behind"`
	// Relay is set when this instance is a relay of its zone.
	Relay bool `json:"relay"`
}

// Status returns the state for the operator API.
func (c *Config) Status() Status {
	fresh, _ := c.Fresh()
	out := Status{Sequence: c.Sequence(), Ready: c.Ready(), Fresh: fresh, AgeMS: -1, Relay: c.seams.Directory.Relay()}
	if at := c.Complete(); !at.IsZero() {
		out.AgeMS = c.timers.Since(at).Milliseconds()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out.Platform, out.Behind = c.state.reached, c.state.behind
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

// spawn runs work beside the caller until the configuration stops. mu is held,
// so that no task starts after Run has begun to wait for the others.
func (c *Config) spawn(work func(ctx context.Context)) {
	if c.background.Err() == nil {
		c.tasks.Go(func() { work(c.background) })
	}
}

// adopt takes over rows accepted after the own sequence, up to sequence. It
// refuses a sequence that is not higher than the own one. mu is held.
func (c *Config) adopt(sequence uint64, rows []table.Row) bool {
	own := c.state.table.Sequence()
	if sequence <= own {
		return false
	}
	rows = slices.DeleteFunc(slices.Clone(rows), func(r table.Row) bool { return r.Revision <= own })
	c.replace(c.state.table.Apply(sequence, rows))
	c.state.last = 0
	if n := len(rows); n > 0 && rows[n-1].Revision == sequence {
		c.state.last = hash(rows[n-1])
	}
	// Only a gapless run of rows may answer later requests for a delta.
	if uint64(len(rows)) != sequence-own {
		c.state.recent = nil
		return true
	}
	c.state.recent = append(c.state.recent, rows...)
	if extra := len(c.state.recent) - recentRows; extra > 0 {
		c.state.recent = slices.Clone(c.state.recent[extra:])
	}
	return true
}

// reload takes over a whole table, which may belong to another history than the
// own one. mu is held.
func (c *Config) reload(sequence uint64, rows []table.Row) bool {
	own := c.state.table.Sequence()
	if sequence <= own {
		return false
	}
	c.log.WithField(logs.Sequence, sequence).WithField("own_sequence", own).
		Info("the table is read as a whole")
	for _, r := range c.state.recent {
		id := fmt.Sprintf("merge-%x", hash(r))
		c.state.lost = append(c.state.lost, change{Sequence: r.Revision, EditID: id, Row: r})
	}
	c.state.recent, c.state.last = nil, 0
	next := table.Load(sequence, rows)
	if all := next.Rows(); len(all) > 0 && all[len(all)-1].Revision == sequence {
		c.state.last = hash(all[len(all)-1])
	}
	c.replace(next)
	return true
}

// lastAt returns the hash of the row with a sequence, or 0 when the row is not
// known or has changed since. mu is held.
func (c *Config) lastAt(sequence uint64) uint64 {
	own := c.state.table.Sequence()
	if sequence == own {
		return c.state.last
	}
	i := len(c.state.recent) - 1 - int(own-sequence)
	if i >= 0 && sequence < own {
		return hash(c.state.recent[i])
	}
	for _, r := range c.state.table.Rows() {
		if r.Revision == sequence && sequence < own {
			return hash(r)
		}
	}
	return 0
}

// hash returns a hash of a row. The platform may space and order the fields of
// a value as it likes, so the value is decoded first.
func hash(r table.Row) uint64 {
	var value any
	// An undecodable value hashes like none; tables never accept one.
	_ = json.Unmarshal(r.Value, &value)
	return xxhash.Sum64String(fmt.Sprintf("%s/%s %d %v %v", r.Table, r.Name, r.Revision, r.Deleted, value))
}

// located records the revision of the head that holds the table's sequence.
// Polls ask for what changed after it, so that the platform does not send a head
// whose rows have come from another instance. mu is held.
func (c *Config) located(revision uint64) {
	c.state.at = revision
	c.state.store = max(c.state.store, revision)
}

// replace publishes a table with a higher sequence. mu is held.
func (c *Config) replace(next *table.Table) {
	c.state.table, c.state.at = next, 0
	c.state.found = true
	c.publish()
	c.log.WithField(logs.Sequence, next.Sequence()).Debug("table advanced")
}

// publish shows the state to readers if it differs from what they see. mu is
// held.
func (c *Config) publish() {
	s := &c.state
	old := c.current.Load()
	ready := old.ready || (s.found && s.triedPlatform && s.triedPeers)
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

// proven records that the table was complete at a time. mu is held.
func (c *Config) proven(at time.Time) {
	if at.After(c.state.direct) {
		c.state.direct = at
	}
	c.refresh()
}

// inContact records an answer of, or a call from, an instance. mu is held.
func (c *Config) inContact(id, zone string) {
	if zone == c.settings.Zone && id != c.settings.ID {
		c.contacts[id] = c.timers.Now()
	}
}

// isolated reports whether there are other instances of this zone that may
// run and none of them has been heard of. Such an instance accepts no edits:
// the others may state meanwhile that their zone accepts none.
func (c *Config) isolated() bool {
	others := false
	for _, id := range c.seams.Directory.Listed().Zone(c.settings.Zone) {
		if _, refused := c.seams.Directory.Silent(id); refused || id == c.settings.ID {
			continue
		}
		others = true
		c.mu.Lock()
		at, ok := c.contacts[id]
		c.mu.Unlock()
		if ok && c.timers.Since(at) <= contactPeriods*c.period {
			return false
		}
	}
	return others
}

// report passes the outcome of a call to the directory.
func (c *Config) report(id string, err error) {
	c.seams.Directory.Report(id, err == nil, err != nil && fleet.Refused(err))
}
