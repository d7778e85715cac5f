package share

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
)

// topic is the topic of digests among the events of processes.
const topic = "shares"

// CountDigests names the counter of digests: sent, received, and ignored since they were
// invalid or of another version.
const CountDigests = "share_digests"

// Seams are the dependencies of an exchange.
type Seams struct {
	// Members returns the number of processes.
	Members func() int
	// Post and Subscribe send and receive events of the processes.
	Post      func(topic, key string, payload []byte, ttl time.Duration)
	Subscribe func(topic string, receive func(key string, payload []byte))
	// Meters receives the metrics; nil discards them.
	Meters *meter.Set
}

// Source returns the work that each account receives through this process, in slots that
// it occupies all the time, and whether requests waited since the last call.
type Source func() (received map[string]float64, waited bool)

// Exchange tells other processes what accounts receive through this one, while requests
// wait here, and sums up what it hears. The methods of a nil Exchange do nothing. It is
// safe for concurrent use.
type Exchange struct {
	self    string
	seams   Seams
	timers  *clock.Service
	run     int64
	digests *meter.Counter
	source  atomic.Pointer[Source]
	sums    atomic.Pointer[sums]

	mu     sync.Mutex
	table  *digestTable
	tickAt time.Duration // uptime of the latest tick
	// ignoreUntil is the uptime until which digests are ignored after a pause: those that
	// waited for this process are as old as the pause.
	ignoreUntil time.Duration
}

// sums is the work that accounts receive from other processes, as known at an uptime.
type sums struct {
	slots map[string]float64
	at    time.Duration
}

// NewExchange returns an exchange that Run starts. Self is the name of this process.
func NewExchange(self string, seams Seams, timers *clock.Service) *Exchange {
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	e := &Exchange{
		self: self, seams: seams, timers: timers, run: rand.Int64(), table: newDigestTable(),
		digests: seams.Meters.Counter(CountDigests), tickAt: timers.Uptime(),
	}
	e.sums.Store(&sums{})
	seams.Subscribe(topic, e.receive)
	return e
}

// SetSource sets what this process tells.
func (e *Exchange) SetSource(source Source) {
	if e != nil {
		e.source.Store(&source)
	}
}

// RemoteSlots returns the work that an account receives from other processes, in slots
// that it occupies there all the time.
func (e *Exchange) RemoteSlots(account string) float64 {
	if e == nil {
		return 0
	}
	known := e.sums.Load()
	if len(known.slots) == 0 || e.timers.Uptime()-known.at >= validity {
		return 0 // this process was paused
	}
	return known.slots[account]
}

// Run sends digests until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	ticks := e.timers.Subscribe(Period)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			e.tick()
		}
	}
}

// tick sends a digest if one is due, and drops what is too old.
func (e *Exchange) tick() {
	source := e.source.Load()
	if source == nil {
		return
	}
	received, waited := (*source)()
	members := e.seams.Members()
	e.mu.Lock()
	now := e.timers.Uptime()
	if now-e.tickAt >= validity {
		clear(e.table.digests)
		e.ignoreUntil = now + Period
	}
	e.tickAt = now
	e.table.expire(now)
	e.publishSums(now)
	digest, due := e.table.next(received, waited, members, rand.Float64())
	e.mu.Unlock()
	if !due {
		return
	}
	digest.Run = e.run
	payload, err := json.Marshal(digest)
	if err != nil {
		return // all values are finite
	}
	e.digests.Add("sent", 1)
	e.seams.Post(topic, e.self, payload, timeToLive)
}

// publishSums makes the sums known to RemoteSlots. The caller holds mu.
func (e *Exchange) publishSums(now time.Duration) {
	if len(e.table.digests) == 0 && len(e.sums.Load().slots) == 0 {
		return
	}
	e.sums.Store(&sums{slots: e.table.sums(), at: now})
}

func (e *Exchange) receive(sender string, payload []byte) {
	if sender == e.self {
		return
	}
	digest, err := decodeDigest(payload)
	if err != nil {
		e.digests.Add("ignored", 1)
		return
	}
	e.digests.Add("received", 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Uptime()
	if now < e.ignoreUntil || now-e.tickAt >= validity {
		return // this process was paused, and may not have noticed yet
	}
	e.table.observe(sender, digest, now)
	e.publishSums(now)
}
