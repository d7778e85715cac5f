// Package version knows the weight version that each trainer announced last.
// Relays watch the platform's version objects and pass new versions on by the
// bulletin, so that all instances know them within seconds.
//
// # Usage
//
//	versions := version.New(timers, version.Seams{List: list, Post: board.Post,
//		Subscribe: board.Subscribe, Relay: directory.Relay, Observe: steps.Observe}, log)
//	go versions.Run(ctx)
//	current, ok := versions.Version("alpha")
package version

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// Kind is the kind of the platform's objects that hold a trainer's version.
const Kind = "version"

const (
	topic = "version"
	// noticeTTL exceeds the time between two versions, so that an instance that
	// was cut off still learns the latest one.
	noticeTTL    = 15 * time.Minute
	longPollWait = 20 * time.Second
	retryDelay   = time.Second
)

// Object is one version object.
type Object struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Seams are the functions that Versions needs.
type Seams struct {
	// List returns the version objects that changed after a revision and the
	// store's revision. It waits for a change for at most wait.
	List      func(ctx context.Context, after uint64, wait time.Duration) ([]Object, uint64, error)
	Post      func(topic, key string, payload []byte, ttl time.Duration)
	Subscribe func(topic string, receive func(key string, payload []byte))
	// Relay reports whether this instance watches the platform for its zone.
	Relay func() bool
	// Observe is called for each new version of a trainer.
	Observe func(trainer string, version int)
}

// Versions holds the announced versions.
type Versions struct {
	timers *clock.Service
	seams  Seams
	log    *logrus.Entry

	mu      sync.Mutex
	current map[string]int
	changed chan struct{}
}

// New returns Versions that know none yet.
func New(timers *clock.Service, seams Seams, log *logrus.Entry) *Versions {
	v := &Versions{timers: timers, seams: seams, log: log, current: map[string]int{}, changed: make(chan struct{})}
	seams.Subscribe(topic, func(trainer string, payload []byte) {
		if number, err := strconv.Atoi(string(payload)); err == nil {
			v.update(trainer, number)
		}
	})
	return v
}

// Version returns the version that the trainer announced last.
func (v *Versions) Version(trainer string) (int, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	number, ok := v.current[trainer]
	return number, ok
}

// Changed returns a channel that is closed at the next announcement.
func (v *Versions) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Announced tells all instances that the platform has recorded a version.
func (v *Versions) Announced(trainer string, number int) {
	if v.update(trainer, number) {
		v.seams.Post(topic, trainer, []byte(strconv.Itoa(number)), noticeTTL)
	}
}

func (v *Versions) update(trainer string, number int) bool {
	v.mu.Lock()
	if number <= v.current[trainer] {
		v.mu.Unlock()
		return false
	}
	v.current[trainer] = number
	close(v.changed)
	v.changed = make(chan struct{})
	v.mu.Unlock()
	v.seams.Observe(trainer, number)
	return true
}

// Run reads the recorded versions once and, on a relay, watches them until ctx
// ends.
func (v *Versions) Run(ctx context.Context) error {
	after := uint64(0)
	for ctx.Err() == nil {
		wait := longPollWait
		if after == 0 {
			wait = 0
		} else if !v.seams.Relay() {
			if err := v.timers.Sleep(ctx, longPollWait); err != nil {
				return err
			}
			continue
		}
		next, err := v.poll(ctx, after, wait)
		if err != nil {
			if ctx.Err() == nil {
				v.log.WithField(logs.Cause, err.Error()).Debug("versions cannot be read")
			}
			if err := v.timers.Sleep(ctx, retryDelay); err != nil {
				return err
			}
			continue
		}
		after = max(next, 1)
	}
	return ctx.Err()
}

func (v *Versions) poll(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+5*time.Second)
	defer cancel()
	objects, revision, err := v.seams.List(callCtx, after, wait)
	if err != nil {
		return 0, err
	}
	for _, o := range objects {
		var recorded struct {
			Version int `json:"version"`
		}
		if err := json.Unmarshal(o.Value, &recorded); err != nil {
			v.log.WithField(logs.Trainer, o.Name).Warn("the version object is not valid JSON")
			continue
		}
		v.Announced(o.Name, recorded.Version)
	}
	return revision, nil
}
