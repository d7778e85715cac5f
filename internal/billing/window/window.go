// Package window counts the requests of client accounts in fixed windows of
// wall-clock time, sums the counts of all entry processes through the store, and
// sends one report for each window.
//
// # Usage
//
//	counter := window.NewCounter(store, "entry-1", 5*time.Second, timers, log)
//	counter.Add("acme")
//	go counter.Run(ctx)
//
//	reporter := window.NewReporter(store, options, timers, log)
//	reporter.Run(ctx, turn)
//
// # Records
//
// A record of kind "counts" is one part of a window: the counts of one
// incarnation of a process. Its name is "WINDOW.PROCESS.START", with the start
// time of the process in Unix milliseconds. A record of kind "reports" holds the
// bytes of a window's report; its name is "WINDOW". Both are created once and
// never changed, so every leader sends the same report for a window.
//
// # Wrong times of day
//
// A window that was closed by a process whose time of day is ahead cannot be opened
// again. Counters and reporters therefore do not follow a step of the time of day until
// it has lasted, and old records are removed only after a time that was seen to pass.
package window

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	kindCounts  = "counts"
	kindReports = "reports"
	// closeDelay is the delay from the end of a window to the writing of its
	// counts. Requests that began in the window have been added by then.
	closeDelay = 400 * time.Millisecond
	// writeRetryInterval is the pause after counts could not be written.
	writeRetryInterval = 500 * time.Millisecond
)

// Number returns the number of the window that contains the given time.
func Number(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// end returns the end of a window.
func end(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}

// Counter counts the requests that one process has passed to endpoints, for
// each account and window.
type Counter struct {
	store       records.Store
	incarnation string // process name and start time
	length      time.Duration
	timers      *clock.Service
	log         *logrus.Entry

	mu     sync.Mutex
	counts map[int64]map[string]int64
	// firstOpen is the first window whose part has not begun to be written. The
	// parts before it never change.
	firstOpen int64
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(store records.Store, self string, length time.Duration, timers *clock.Service, log *logrus.Entry) *Counter {
	timers = timers.WithoutSteps()
	return &Counter{
		store: store, incarnation: fmt.Sprintf("%s.%d", self, timers.Now().UnixMilli()), length: length, timers: timers, log: log,
		counts: map[int64]map[string]int64{},
	}
}

// Add counts a request of an account in the current window, or in a later one if
// the part of the current one is written already. It is called when an endpoint
// begins the request.
func (c *Counter) Add(account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := max(Number(c.timers.Now(), c.length), c.firstOpen)
	if c.counts[number] == nil {
		c.counts[number] = map[string]int64{}
	}
	c.counts[number][account]++
}

// Run writes the counts of each window after its end, until ctx ends. It then
// writes the remaining counts, those of the current window included.
func (c *Counter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := c.timers.Now()
		due := end(Number(now.Add(-closeDelay), c.length), c.length).Add(closeDelay)
		if c.timers.Sleep(ctx, due.Sub(now)) != nil {
			break
		}
		for !c.write(ctx, Number(c.timers.Now().Add(-closeDelay), c.length)) {
			if c.timers.Sleep(ctx, writeRetryInterval) != nil {
				break
			}
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	c.write(last, Number(c.timers.Now(), c.length)+1)
}

// write stores the counts of all windows before the given one. It reports
// whether all of them were stored.
func (c *Counter) write(ctx context.Context, before int64) bool {
	c.mu.Lock()
	c.firstOpen = max(c.firstOpen, before)
	var due []int64
	for number := range c.counts {
		if number < before {
			due = append(due, number)
		}
	}
	c.mu.Unlock()
	done := true
	for _, number := range due {
		c.mu.Lock()
		counts := maps.Clone(c.counts[number])
		c.mu.Unlock()
		if err := c.writeWindow(ctx, number, counts); err != nil {
			c.log.WithFields(logrus.Fields{logs.Window: number, logs.Cause: err.Error()}).Warn("counts of the window not written to the store")
			done = false
			continue
		}
		c.mu.Lock()
		delete(c.counts, number)
		c.mu.Unlock()
	}
	return done
}

// writeWindow creates the record with the counts of one window. A record that
// exists already comes from an earlier attempt whose answer was lost.
func (c *Counter) writeWindow(ctx context.Context, number int64, counts map[string]int64) error {
	body, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%d.%s", number, c.incarnation)
	_, err = c.store.Create(ctx, records.Record{Kind: kindCounts, Name: name, Body: body})
	if errors.Is(err, records.ErrConflict) {
		return nil
	}
	return err
}
