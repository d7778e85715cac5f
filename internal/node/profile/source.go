package profile

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// reloadInterval is the interval at which the settings are read again without a
// signal.
const reloadInterval = 5 * time.Second

// Source holds the profile in force and reloads it when its settings change.
type Source struct {
	load    func() (Profile, error)
	current atomic.Pointer[Profile]
	hangups chan os.Signal // SIGHUP
}

// NewSource loads the profile for the first time. From this call on SIGHUP no
// longer terminates the process; one that arrives before Follow is handled by
// Follow.
func NewSource(load func() (Profile, error)) (*Source, error) {
	s := &Source{load: load, hangups: make(chan os.Signal, 1)}
	signal.Notify(s.hangups, syscall.SIGHUP)
	p, err := load()
	if err != nil {
		return nil, err
	}
	s.current.Store(&p)
	return s, nil
}

// Current returns the profile in force.
func (s *Source) Current() Profile { return *s.current.Load() }

// StoreAddress returns the address of the metadata store from the profile in
// force.
func (s *Source) StoreAddress() string { return s.current.Load().Store }

// CloudAddress returns the address of the duty calls from the profile in force.
func (s *Source) CloudAddress() string { return s.current.Load().Cloud }

// Follow reloads the settings on SIGHUP and every few seconds until ctx ends.
// After a failed reload the previous settings stay in force.
func (s *Source) Follow(ctx context.Context, timers *clock.Service, log *logrus.Entry) {
	ticks := timers.Subscribe(reloadInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.hangups:
			s.reload(log.WithField("signal", "SIGHUP"))
		case <-ticks.C:
			s.reload(log)
		}
	}
}

func (s *Source) reload(log *logrus.Entry) {
	p, err := s.load()
	if err != nil {
		log.WithField(logs.Cause, err.Error()).Error("settings refused; the previous ones stay in force")
		return
	}
	if previous := s.Current(); previous == p {
		return
	}
	s.current.Store(&p)
	log.WithFields(logrus.Fields{"store": p.Store, "cloud": p.Cloud}).Info("settings reloaded")
}
