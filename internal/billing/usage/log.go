package usage

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

const (
	// commitInterval is the shortest time between two copies. A record that
	// comes after an idle time is copied at once.
	commitInterval = 5 * time.Millisecond
	// retryInterval is the pause after no second holder took a copy. Several
	// attempts fit into the copy time, in which a response waits.
	retryInterval = 50 * time.Millisecond
	// confirmInterval is how often a holder of unsealed records is asked
	// whether it still has them; it bounds the time with a single copy after
	// the holder has restarted.
	confirmInterval = time.Second
	// sealsPerWindow is the part of a window over which instances spread their
	// sealing, so that the platform's store sees no burst.
	sealsPerWindow = 12
)

// Seams are the functions that a log needs.
type Seams struct {
	// View returns the live members.
	View func() *member.View
	// Client carries calls to other instances.
	Client *http.Client
	Create Create
	// Report tells the outcome of a call to an instance; may be nil.
	Report func(id string, alive, refused bool)
	// Hold calls an instance's Hold method; nil calls it with Client.
	Hold func(ctx context.Context, to member.Instance, request *HoldRequest) (*HoldResponse, error)
}

// Log is the usage log of one incarnation of an instance.
type Log struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry
	held     *holder
	folder   *folder
	// sealMu lets one seal pass run at a time.
	sealMu sync.Mutex

	mu            sync.Mutex
	tail          tail
	window        int64
	copiedThrough uint64 // every index up to this one has a second copy or is sealed
	target        string // the current second holder
	confirmed     uint64 // the index through which target confirmed its copy
	sentBase      uint64 // the base that target was last told
	failedAt      map[string]time.Time
	// chosenView and chosenAt say when target was chosen.
	chosenView     *member.View
	chosenAt       time.Time
	unreplicatedAt time.Time
	waiters        []waiter
	wake           chan struct{}

	singleCopy, copies, sealed *meter.Counter
	latency                    *meter.Histogram
}

type waiter struct {
	index uint64
	done  chan struct{}
}

// New returns an empty log with a new incarnation. Records that an earlier
// incarnation left in the data folder are read and sealed like the records of
// a dead instance.
func New(settings setting.Settings, timers *clock.Service, seams Seams, meters *meter.Set, log *logrus.Entry) (*Log, error) {
	incarnation := ulid.MustNew(ulid.Timestamp(timers.Now()), ulid.DefaultEntropy()).String()
	l := &Log{
		settings: settings, timers: timers, seams: seams, log: log,
		tail:     tail{owner: settings.ID, incarnation: incarnation, base: 1},
		failedAt: map[string]time.Time{}, wake: make(chan struct{}, 1),
		singleCopy: meters.Counter("usage_single_copy"), copies: meters.Counter("usage_copies"),
		sealed: meters.Counter("usage_sealed"), latency: meters.Histogram("usage_copy_us"),
	}
	if l.seams.Hold == nil {
		l.seams.Hold = newHoldCall(seams.Client)
	}
	if l.seams.Report == nil {
		l.seams.Report = func(string, bool, bool) {}
	}
	l.held = newHolder(l)
	meters.Gauge("usage_unsealed", func() any { return l.unsealed() })
	if settings.Data == "" {
		return l, nil
	}
	f, err := openFolder(settings.Data, settings.ID, incarnation, l.held)
	l.folder = f
	return l, err
}

// Server returns the twirp handler for the calls of other instances.
func (l *Log) Server() http.Handler { return NewCopiesServer(l.held) }

func (l *Log) unsealed() map[string]int {
	l.mu.Lock()
	own := len(l.tail.entries)
	l.mu.Unlock()
	return map[string]int{"own": own, "held": l.held.size()}
}

// Append adds a record and returns once a second holder or the data folder has
// it, it is sealed, or the copy time has passed. In the last case the record
// counts all the same, but is lost if this instance dies before it is sealed.
// An error means that ctx ended during the wait; the record still counts.
func (l *Log) Append(ctx context.Context, record Record) error {
	start := l.timers.Now()
	_, done := l.add(record)
	limit := l.timers.After(setting.Milliseconds(l.settings.CopyMS))
	defer limit.Stop()
	select {
	case <-done:
		l.latency.Record("", l.timers.Since(start).Microseconds())
		return nil
	case <-limit.C:
		l.singleCopy.Add("", 1)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) add(record Record) (uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The windows of a log must not decrease even if the clock is set back,
	// because a segment is a run of records of one window.
	l.window = max(l.window, l.currentWindow())
	l.tail.entries = append(l.tail.entries, entry{l.window, record})
	w := waiter{l.tail.through(), make(chan struct{})}
	l.waiters = append(l.waiters, w)
	l.wakeUp()
	return w.index, w.done
}

func (l *Log) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Log) currentWindow() int64 { return l.timers.Now().UnixMilli() / l.settings.WindowMS }

// acknowledge releases the waiters up to through. The caller holds mu.
func (l *Log) acknowledge(through uint64) {
	l.copiedThrough = max(l.copiedThrough, through)
	n := 0
	for n < len(l.waiters) && l.waiters[n].index <= through {
		close(l.waiters[n].done)
		n++
	}
	l.waiters = l.waiters[n:]
}

// Run copies and seals until ctx ends. Close seals the rest.
func (l *Log) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { l.copyLoop(ctx) })
	loops.Go(func() { l.sealLoop(ctx) })
	loops.Wait()
	return ctx.Err()
}

func (l *Log) copyLoop(ctx context.Context) {
	confirm := l.timers.Subscribe(confirmInterval)
	defer confirm.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-confirm.C:
		}
		start := l.timers.Now()
		pause := commitInterval - l.timers.Since(start)
		if !l.commit(ctx) {
			pause = retryInterval
			l.wakeUp()
		}
		if l.timers.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (l *Log) sealLoop(ctx context.Context) {
	period := setting.Milliseconds(l.settings.WindowMS) / sealsPerWindow
	offset := time.Duration(xxhash.Sum64String(l.settings.ID) % uint64(period))
	if l.timers.Sleep(ctx, offset) != nil {
		return
	}
	ticks := l.timers.Subscribe(period)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		l.sealPass(ctx, l.currentWindow())
	}
}

// sealPass seals the instance's own records before a window and those of dead
// instances.
func (l *Log) sealPass(ctx context.Context, before int64) {
	l.sealMu.Lock()
	defer l.sealMu.Unlock()
	if err := l.sealOwn(ctx, before); err != nil {
		l.log.WithField(logs.Cause, err.Error()).Warn("usage records could not be sealed")
	}
	l.held.sealDue(ctx)
}

func (l *Log) sealOwn(ctx context.Context, before int64) error {
	l.mu.Lock()
	t := l.tail
	l.mu.Unlock()
	through, err := t.seal(ctx, l.seams.Create, l.settings.ID, before)
	l.mu.Lock()
	advanced := through >= l.tail.base
	l.tail.trim(through)
	l.acknowledge(through)
	base := l.tail.base
	l.mu.Unlock()
	if advanced {
		l.sealed.Add("own", 1)
		if l.folder != nil {
			l.folder.truncateSealed(base)
		}
		// The copy loop tells the holder, which then drops what is sealed.
		l.wakeUp()
	}
	return err
}

// Close seals all records of this instance and all copies that it holds. It is
// called after the last Append when the instance stops.
func (l *Log) Close(ctx context.Context) error {
	l.sealMu.Lock()
	defer l.sealMu.Unlock()
	err := l.sealOwn(ctx, math.MaxInt64)
	l.held.sealAll(ctx)
	return err
}
