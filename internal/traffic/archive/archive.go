// Package archive keeps contents that crash endpoints in the store, so that they are still
// held back after all processes have ended.
//
// All processes share one record. A process reads it once, at its start, and writes it
// when what it knows of a content has changed; everything else is told by broadcast. The
// record is bounded, and two processes that write at once merge.
//
// # Usage
//
//	a := archive.New("held", archive.Seams{Store: store, Collect: collect, Restore: restore}, timers, log)
//	go a.Run(ctx)
//	a.NoteChange(content)
package archive

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// Kind is the kind of the records.
const Kind = "contents"

const (
	// writeInterval is the pause between two writes of a process, so that crashes in
	// quick succession are written together.
	writeInterval = 500 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call, which
	// doubles with each further failure.
	minRetry = 100 * time.Millisecond
	maxRetry = 3 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 2500 * time.Millisecond
)

// Seams are the dependencies of an archive. Of the store it uses ListShared, if there is
// one, Get, Create and Put.
type Seams struct {
	Store records.Store
	// Collect returns what is known of contents.
	Collect func(contents map[string]bool) Contents
	// Restore adds what was read from the store.
	Restore func(contents Contents)
}

// Archive keeps contents in one record of the store.
type Archive struct {
	name   string
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry
	wake   chan struct{}

	mu      sync.Mutex
	unsaved map[string]bool // contents that have changed since the latest write
}

// New returns an archive in the record with the given name.
func New(name string, seams Seams, timers *clock.Service, log *logrus.Entry) *Archive {
	return &Archive{
		name: name, seams: seams, timers: timers, log: log.WithField("archive", name),
		wake: make(chan struct{}, 1), unsaved: map[string]bool{},
	}
}

// NoteChange takes note of a content to be written.
func (a *Archive) NoteChange(content string) {
	a.mu.Lock()
	a.unsaved[content] = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run reads the record, and writes changes to it until ctx ends. While the store cannot
// be reached, the process works on with what it knows.
func (a *Archive) Run(ctx context.Context) {
	if a.retry(ctx, "contents not read", a.Load) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		_ = a.retry(ctx, "contents not saved", a.Save) // fails only if ctx ends
		_ = a.timers.Sleep(ctx, writeInterval)
	}
}

// retry calls the function until it succeeds, and returns an error only if ctx ends. A
// conflict shows that another process has written, so that the next attempt follows soon.
func (a *Archive) retry(ctx context.Context, message string, call func(context.Context) error) error {
	pause := minRetry
	for {
		limited, cancel := a.timers.WithTimeout(ctx, callTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return nil
		}
		if !errors.Is(err, records.ErrConflict) {
			a.log.WithField(logs.Cause, err.Error()).Warn(message)
			pause = min(2*pause, maxRetry)
		}
		if err := a.timers.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// Load reads the record at the start. Processes that start together share the call, if
// the store can share lists. Suspected crashes count from then on: the processes that
// could confirm them may have ended too, and an answer to the content clears them.
func (a *Archive) Load(ctx context.Context) error {
	var page records.Page
	var err error
	if a.seams.Store.ListShared != nil {
		page, err = a.seams.Store.Shared().List(ctx, Kind, "")
	} else {
		page, err = a.get(ctx)
	}
	for _, r := range page.Records {
		if r.Name == a.name {
			a.seams.Restore(a.decode(r).withSuspected())
		}
	}
	return err
}

// get returns a page with the record, or an empty one if there is none.
func (a *Archive) get(ctx context.Context) (records.Page, error) {
	r, err := a.seams.Store.Get(ctx, Kind, a.name)
	if errors.Is(err, records.ErrMissing) {
		return records.Page{}, nil
	}
	return records.Page{Records: []records.Record{r}}, err
}

// Save writes the unsaved contents, merged with those that other processes have written.
func (a *Archive) Save(ctx context.Context) error {
	unsaved := a.takeUnsaved()
	if len(unsaved) == 0 {
		return nil
	}
	err := a.saveContents(ctx, unsaved)
	if err != nil {
		a.mu.Lock()
		maps.Copy(a.unsaved, unsaved)
		a.mu.Unlock()
	}
	return err
}

func (a *Archive) takeUnsaved() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	unsaved := a.unsaved
	a.unsaved = map[string]bool{}
	return unsaved
}

func (a *Archive) saveContents(ctx context.Context, unsaved map[string]bool) error {
	page, err := a.get(ctx)
	if err != nil {
		return err
	}
	stored := Contents{}
	record := records.Record{Kind: Kind, Name: a.name}
	write := a.seams.Store.Create
	if len(page.Records) > 0 {
		record, write = page.Records[0], a.seams.Store.Put
		stored = a.decode(record)
	}
	a.seams.Restore(stored)
	next := stored.merge(a.seams.Collect(unsaved)).prune(a.timers.Now())
	if stored.equal(next) {
		return nil
	}
	body, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "contents")
	}
	if _, err = write(ctx, record.WithBody(body)); err == nil {
		a.log.WithField("contents", len(next)).Info("contents saved")
	}
	return err
}

// decode returns the contents of the record. One that cannot be decoded counts as empty
// and is replaced by the next write.
func (a *Archive) decode(r records.Record) Contents {
	var contents Contents
	if err := json.Unmarshal(r.Body, &contents); err != nil {
		a.log.WithField(logs.Cause, err.Error()).Warn("malformed record of contents ignored")
		contents = nil
	}
	if contents == nil {
		return Contents{}
	}
	return contents
}
