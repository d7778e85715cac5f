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
	// commitInterval is the pause between two commits. A record that is added
	// after an idle time is copied at once.
	commitInterval = 5 * time.Millisecond
	// retryInterval is the pause after a failed commit. It allows several
	// attempts within the copy time (the setting CopyMS), which is how long a
	// response waits for the second copy.
	retryInterval = 50 * time.Millisecond
	// confirmInterval is how often a holder is asked to confirm that it still has
	// the unsealed records. It bounds the time during which they have a single
	// copy after the holder has restarted.
	confirmInterval = time.Second
	// sealsPerWindow is the number of seal passes of an instance in a window. The
	// instances start at different offsets within the period between two passes,
	// so that the platform's store gets no burst.
	sealsPerWindow = 12
)

// Seams are the functions that a log needs.
type Seams struct {
	// View returns the live members.
	View func() *member.View
	// Client is the HTTP client for calls to other instances.
	Client *http.Client
	Create Create
	// Report receives the outcome of each call to an instance; may be nil.
	Report func(id string, alive, refused bool)
	// Hold calls the Hold method of an instance. If it is nil, the call goes over
	// Client.
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
	// sealMu ensures that only one seal pass runs at a time.
	sealMu sync.Mutex

	mu            sync.Mutex
	tail          tail
	window        int64                // the latest window of a record in the log
	copiedThrough uint64               // every index up to this one has a second copy or is sealed
	target        string               // the current second holder
	confirmed     uint64               // the index through which target confirmed its copy
	sentBase      uint64               // the base that was last sent to target
	failedAt      map[string]time.Time // by instance ID
	// chosenView and chosenAt are the view and the time of the last choice of
	// target.
	chosenView     *member.View
	chosenAt       time.Time
	unreplicatedAt time.Time // of the last seal without a second holder
	waiters        []waiter
	wake           chan struct{}

	singleCopy, copies, sealed *meter.Counter
	latency                    *meter.Histogram
}

// waiter is an Append that waits for a copy of the record at index.
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
		settings: settings, timers: timers.WithoutSteps(), seams: seams, log: log,
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

// unsealed returns the numbers of unsealed records of this and of other instances.
func (l *Log) unsealed() map[string]int {
	l.mu.Lock()
	own := len(l.tail.entries)
	l.mu.Unlock()
	return map[string]int{"own": own, "held": l.held.size()}
}

// Append adds a record and returns once it has a second copy, it is sealed, or the
// copy time has passed. In the last case the record is still part of the log, but
// it is lost if this instance dies before the record is copied or sealed. An error
// means that ctx ended during the wait; the record is part of the log then too.
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

// add appends a record to the log. It returns the record's index and a channel
// that is closed once the record has a second copy or is sealed.
func (l *Log) add(record Record) (uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The windows of a log must not decrease even if the clock is set back,
	// because a segment is a contiguous range of records of one window.
	l.window = max(l.window, l.currentWindow())
	l.tail.entries = append(l.tail.entries, entry{l.window, record})
	w := waiter{l.tail.through(), make(chan struct{})}
	l.waiters = append(l.waiters, w)
	l.wakeUp()
	return w.index, w.done
}

// wakeUp makes copyLoop commit.
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

// Run copies and seals records until ctx ends. Close seals the remaining ones.
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

// sealPass seals the instance's own records before the given window, and the held
// records that are due.
func (l *Log) sealPass(ctx context.Context, before int64) {
	l.sealMu.Lock()
	defer l.sealMu.Unlock()
	if err := l.sealOwn(ctx, before); err != nil {
		l.log.WithField(logs.Cause, err.Error()).Warn("usage records could not be sealed")
	}
	l.held.sealDue(ctx)
}

// sealOwn seals the instance's own records before the given window. The caller
// holds sealMu.
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
		// The next commit sends the new base to the holder, which then drops the
		// sealed records.
		l.wakeUp()
	}
	return err
}

// Close seals all records of this instance and all copies that it holds. It must
// be called after the last Append.
func (l *Log) Close(ctx context.Context) error {
	l.sealMu.Lock()
	defer l.sealMu.Unlock()
	err := l.sealOwn(ctx, math.MaxInt64)
	l.held.sealAll(ctx)
	return err
}
