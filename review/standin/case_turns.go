package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// restartDelay is the time from the end of a stopped process to its next start,
	// and restartSpread what is added to it at most.
	restartDelay  = 400 * time.Millisecond
	restartSpread = 600 * time.Millisecond
	// rollGap is the time between the stops of two machines, and killedTime how long
	// the killed process stays down.
	rollGap    = time.Second
	killedTime = 3500 * time.Millisecond
	turnTrials = 9
)

// playTurns stops the worker that reports usage with SIGTERM and starts it again,
// and kills the worker that has taken over.
func playTurns(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, quickText)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	f.apply([]map[string]any{plainRoute(), rewardRoute(), batchRoute()})
	if err := f.start(); err != nil {
		return 0, err
	}
	broken := 0
	for trial := range turnTrials {
		r.log("trial %d", trial+1)
		first, at, err := f.nextReport(time.Now(), "", 12*time.Second)
		if err != nil {
			return 0, err
		}
		if !trouble {
			time.Sleep(8 * time.Second)
			continue
		}
		a := f.worker(first)
		a.signal(syscall.SIGTERM)
		go restart(a, restartDelay+rand.N(restartSpread))
		second, _, err := f.nextReport(at, first, 3*time.Second)
		if err != nil {
			r.log("no other worker has taken the role in this trial")
			time.Sleep(6 * time.Second)
			continue
		}
		time.Sleep(time.Until(at.Add(rollGap)))
		b := f.worker(second)
		b.signal(syscall.SIGKILL)
		go restart(b, killedTime)
		time.Sleep(8 * time.Second)
	}
	calls := f.cloud.all()
	for i, x := range calls {
		for j := i + 1; j < len(calls) && calls[j].at.Sub(x.at) < leaseMs*time.Millisecond; j++ {
			if calls[j-1].holder == x.holder || calls[j].holder != x.holder {
				continue
			}
			r.log("BROKEN: holders act in the order %s (epoch %d), %s (epoch %d), %s (epoch %d) within %d ms",
				x.holder, x.epoch, calls[j-1].holder, calls[j-1].epoch, calls[j].holder, calls[j].epoch, calls[j].at.Sub(x.at).Milliseconds())
			broken++
			break
		}
	}
	return broken, nil
}

func (f *fleet) worker(name string) *process {
	for _, p := range f.workers {
		if p.name == name {
			return p
		}
	}
	return nil
}

// nextReport waits for a usage report after a time by a holder other than the
// given one.
func (f *fleet) nextReport(after time.Time, other string, limit time.Duration) (string, time.Time, error) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, c := range f.cloud.all() {
			if c.at.After(after) && c.holder != other {
				return c.holder, c.at, nil
			}
		}
	}
	return "", time.Time{}, fmt.Errorf("no usage report in %s", limit)
}

// restart starts a process again after its end.
func restart(p *process, delay time.Duration) {
	if !p.waitEnd(graceS * time.Second) {
		p.signal(syscall.SIGKILL)
		p.waitEnd(graceS * time.Second)
	}
	time.Sleep(delay)
	if err := p.start(); err != nil {
		p.fleet.record.log("%s was not started again: %v", p.name, err)
	}
}
