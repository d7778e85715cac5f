// Package version tracks the latest weight version announced by each trainer.
// Relays watch the platform's version objects and broadcast new versions, so that
// all instances learn of them within seconds.
//
// # Usage
//
//	versions := version.New(timers, version.Seams{List: list, Post: broadcaster.Publish,
//		Subscribe: broadcaster.Subscribe, Relay: directory.Relay, Observe: steps.Observe}, log)
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

// Kind is the object kind under which the platform stores trainers' versions.
const Kind = "version"

const (
	topic = "version"
	// noticeTTL is longer than the time between two versions, so that an instance
	// that was disconnected for a while still receives the latest one.
	noticeTTL = 15 * time.Minute
	// longPollWait is the longest time that the store waits for a change, and the
	// interval at which an instance that is not a relay checks whether it is one.
	longPollWait = 20 * time.Second
	retryDelay   = time.Second
)

// Object is a stored version object. Name is the trainer's name.
type Object struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Seams holds the functions of other components that Versions calls.
type Seams struct {
	// List returns the version objects that changed after a revision, and the
	// store's current revision. It waits up to wait for a change.
	List func(ctx context.Context, after uint64, wait time.Duration) ([]Object, uint64, error)
	// Post and Subscribe publish and receive broadcast events.
	Post      func(topic, key string, payload []byte, ttl time.Duration)
	Subscribe func(topic string, receive func(key string, payload []byte))
	// Relay reports whether this instance watches the platform for its
	// availability zone.
	Relay func() bool
	// Observe is called for each new version of a trainer.
	Observe func(trainer string, version int)
}

// Versions holds the latest announced version of each trainer. It is safe for
// concurrent use.
type Versions struct {
	timers *clock.Service
	seams  Seams
	log    *logrus.Entry

	mu      sync.Mutex
	current map[string]int
	changed chan struct{}
}

// New returns an empty Versions that receives announcements by broadcast.
// Run reads the versions that are already stored.
func New(timers *clock.Service, seams Seams, log *logrus.Entry) *Versions {
	v := &Versions{timers: timers, seams: seams, log: log, current: map[string]int{}, changed: make(chan struct{})}
	seams.Subscribe(topic, func(trainer string, payload []byte) {
		if number, err := strconv.Atoi(string(payload)); err == nil {
			v.update(trainer, number)
		}
	})
	return v
}

// Version returns the latest version that the trainer announced, and false if
// none is known.
func (v *Versions) Version(trainer string) (int, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	number, ok := v.current[trainer]
	return number, ok
}

// Changed returns a channel that is closed when the next new version becomes
// known.
func (v *Versions) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Publish sends a version that the platform has stored to all instances.
// It ignores a version that is not newer than the known one.
func (v *Versions) Publish(trainer string, number int) {
	if v.update(trainer, number) {
		v.seams.Post(topic, trainer, []byte(strconv.Itoa(number)), noticeTTL)
	}
}

// update records a version and reports whether it is newer than the known one.
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

// Refresh reads the stored versions.
func (v *Versions) Refresh(ctx context.Context) error {
	_, err := v.poll(ctx, 0, 0)
	return err
}

// Run reads the stored versions once and, while this instance is a relay,
// watches them for changes until ctx ends.
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
				v.log.WithField(logs.Cause, err.Error()).Debug("cannot read the trainers' versions from the platform")
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

// poll publishes the versions stored after the given revision and returns the
// store's current revision.
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
			v.log.WithField(logs.Trainer, o.Name).Warn("cannot decode a stored version object: invalid JSON")
			continue
		}
		v.Publish(o.Name, recorded.Version)
	}
	return revision, nil
}
