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

// checkPeriod is how often the settings are read without a signal.
const checkPeriod = 5 * time.Second

// Source holds the profile in force and follows its settings.
type Source struct {
	load    func() (Profile, error)
	current atomic.Pointer[Profile]
	hangups chan os.Signal
}

// NewSource loads the profile for the first time. From its start SIGHUP no
// longer ends the process, and one that comes before Follow is not lost.
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

// Store returns the address of the store in force.
func (s *Source) Store() string { return s.current.Load().Store }

// Cloud returns the address of the duty calls in force.
func (s *Source) Cloud() string { return s.current.Load().Cloud }

// Follow reloads the settings on SIGHUP and when they have changed, until ctx
// ends. Settings that are wrong leave the former ones in force.
func (s *Source) Follow(ctx context.Context, timers *clock.Service, log *logrus.Entry) {
	ticks := timers.Subscribe(checkPeriod)
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
		log.WithField(logs.Cause, err.Error()).Error("settings refused; the former ones stay in force")
		return
	}
	if former := s.Current(); former == p {
		return
	}
	s.current.Store(&p)
	log.WithFields(logrus.Fields{"store": p.Store, "cloud": p.Cloud}).Info("settings reloaded")
}
