package breaker

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

// The kind and name of the record that holds the contents which are held back.
const (
	KindContents = "contents"
	NameHeld     = "held"
)

const (
	// archiveInterval is the pause between two writes of a process, so that crashes in
	// quick succession are written together.
	archiveInterval = 500 * time.Millisecond
	// minArchiveRetry and maxArchiveRetry bound the pause after a failed call, which
	// doubles with each further failure.
	minArchiveRetry = 100 * time.Millisecond
	maxArchiveRetry = 3 * time.Second
	// archiveTimeout bounds one call to the store.
	archiveTimeout = 2500 * time.Millisecond
)

// Archive keeps the contents that a breaker holds back in one record of the store, so
// that they are still held back after all processes have ended. A process reads the
// record once, at its start, and writes it when the crashes of a content with several
// ones have changed; everything else is told by broadcast.
type Archive struct {
	breaker *Breaker
	store   records.Store
	timers  *clock.Service
	log     *logrus.Entry
	wake    chan struct{}

	mu      sync.Mutex
	unsaved map[string]bool // contents that have changed since the latest write
}

// NewArchive returns an archive of the breaker. Of the store it uses ListShared or List,
// Get, Create and Put.
func NewArchive(b *Breaker, store records.Store, timers *clock.Service, log *logrus.Entry) *Archive {
	a := &Archive{
		breaker: b, store: store, timers: timers, log: log,
		wake: make(chan struct{}, 1), unsaved: map[string]bool{},
	}
	b.onChange(a.noteChange)
	return a
}

// noteChange takes note of a content to be written.
func (a *Archive) noteChange(content string) {
	a.mu.Lock()
	a.unsaved[content] = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run reads the record, and writes changes to it until ctx ends. While the store cannot
// be reached, the breaker works on with what it knows.
func (a *Archive) Run(ctx context.Context) {
	if a.retry(ctx, "held contents not read", a.load) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		_ = a.retry(ctx, "held contents not saved", a.save) // fails only if ctx ends
		_ = a.timers.Sleep(ctx, archiveInterval)
	}
}

// retry calls the function until it succeeds, and returns an error only if ctx ends. A
// conflict shows that another process has written, so that the next attempt follows soon.
func (a *Archive) retry(ctx context.Context, message string, call func(context.Context) error) error {
	pause := minArchiveRetry
	for {
		limited, cancel := a.timers.WithTimeout(ctx, archiveTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return nil
		}
		if !errors.Is(err, records.ErrConflict) {
			a.log.WithField(logs.Cause, err.Error()).Warn(message)
			pause = min(2*pause, maxArchiveRetry)
		}
		if err := a.timers.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// load reads the record at the start. Processes that start together share the call, if
// the store can share lists.
func (a *Archive) load(ctx context.Context) error {
	var page records.Page
	var err error
	if a.store.ListShared != nil {
		page, err = a.store.Shared().List(ctx, KindContents, "")
	} else {
		page, err = a.get(ctx)
	}
	for _, r := range page.Records {
		if r.Name == NameHeld {
			a.breaker.restore(a.decode(r))
		}
	}
	return err
}

// get returns a page with the record, or an empty one if there is none.
func (a *Archive) get(ctx context.Context) (records.Page, error) {
	r, err := a.store.Get(ctx, KindContents, NameHeld)
	if errors.Is(err, records.ErrMissing) {
		return records.Page{}, nil
	}
	return records.Page{Records: []records.Record{r}}, err
}

// save writes the unsaved contents, merged with those that other processes have written.
func (a *Archive) save(ctx context.Context) error {
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
	stored := archived{}
	record := records.Record{Kind: KindContents, Name: NameHeld}
	write := a.store.Create
	if len(page.Records) > 0 {
		record, write = page.Records[0], a.store.Put
		stored = a.decode(record)
	}
	a.breaker.restore(stored)
	next := stored.merge(a.breaker.archive(unsaved)).prune(a.timers.Now())
	if stored.equal(next) {
		return nil
	}
	body, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "held contents")
	}
	if _, err = write(ctx, record.WithBody(body)); err == nil {
		a.log.WithField("contents", len(next)).Info("held contents saved")
	}
	return err
}

// decode returns the contents of the record. One that cannot be decoded counts as empty
// and is replaced by the next write.
func (a *Archive) decode(r records.Record) archived {
	contents := archived{}
	if len(r.Body) == 0 {
		return contents
	}
	if err := json.Unmarshal(r.Body, &contents); err != nil {
		a.log.WithField(logs.Cause, err.Error()).Warn("malformed record of held contents ignored")
		return archived{}
	}
	return contents
}
