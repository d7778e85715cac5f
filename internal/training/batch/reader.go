package batch

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	// maxCachedBatches bounds the number of batches whose results callers read.
	maxCachedBatches = 24
	// defaultMemory is the memory for items and results if none is given, in bytes.
	defaultMemory = 64 << 20
	// itemsShare is the share of the memory for the items of all cached batches. The
	// items of a batch that takes more than its part are read from the store.
	itemsShare = 0.4
	// pollInterval is the pause between two reads of the store for a page that a
	// caller waits for.
	pollInterval = 330 * time.Millisecond
	// storeReserve is the part of a call's time that is kept from the workers for the
	// read of the store that confirms an answer without results.
	storeReserve = 700 * time.Millisecond
	// defaultSettle is the settle time if none is given.
	defaultSettle = time.Second
	// proofShare is the part of the settle time that the proof of an answer may be old
	// when the answer is written. The rest is for the way to the caller.
	proofShare = 0.5
	// readAheadTime bounds the reads of further pages once there is a result to answer
	// with. A small process takes longer for a single page that is nearly full.
	readAheadTime = 100 * time.Millisecond
)

// The names of the counters of a reader, as they appear in the metrics.
const (
	// CountPages counts the pages of results by where they were read: PagesOfWorker or
	// PagesOfStore.
	CountPages = "result_pages"
	// CountEmpty counts the reads that found no result, by the address of the worker
	// that was asked before the store, or PagesOfStore if none answered.
	CountEmpty = "empty_result_reads"
	// CountMissed counts the pages that the store had beyond those of the worker that
	// answered, by the address of the worker.
	CountMissed = "result_pages_missed"
	// CountMisplaced counts the pages that do not begin where the one before them ends,
	// by PagesOfWorker or PagesOfStore.
	CountMisplaced = "result_pages_misplaced"
)

// The labels of the counters.
const (
	PagesOfWorker = "worker"
	PagesOfStore  = "store"
)

// ReaderSeams are the dependencies of a Reader. Meters may be nil. Retention is how
// long after its acceptance a batch is certain to be stored. Settle is the time after
// which no answer may lack what was read or accepted, defaultSettle if it is 0.
type ReaderSeams struct {
	Store     *Store
	Find      FindFunc
	Follow    FollowFunc
	Meters    *meter.Set
	Retention time.Duration
	Settle    time.Duration
	Memory    int64
}

// Reader serves batches and results from the workers or the store, and caches
// what it has read.
type Reader struct {
	seams  ReaderSeams
	timers *clock.Service
	log    *logrus.Entry
	pages  *meter.Counter
	empty  *meter.Counter
	missed *meter.Counter
	// misplaced counts errPageOrder by source.
	misplaced *meter.Counter
	itemLimit int64 // memory for the items of one batch, in bytes
	results   *pageMemory
	mu        sync.Mutex
	cache     *lru.Cache[string, *cachedBatch]
}

// FindFunc asks a worker for a batch, which may lack its items. It reports false when the
// worker does not know the batch, which does not mean that it does not exist.
type FindFunc func(ctx context.Context, id string) (*Batch, bool)

// FollowFunc asks the worker that executes a batch for the pages after the known
// ones, and waits for the first of them.
type FollowFunc func(ctx context.Context, id string, known int, wait time.Duration) Update

// Update is the answer of a worker. Active is false if no worker could answer that
// holds the role. Pages are those after the known ones.
type Update struct {
	Worker string // address
	Active bool
	Pages  []Page
}

// NewReader returns a Reader that asks workers first and falls back to the store.
func NewReader(seams ReaderSeams, timers *clock.Service, log *logrus.Entry) *Reader {
	seams.Memory = cmp.Or(seams.Memory, defaultMemory)
	itemMemory := itemsShare * float64(seams.Memory)
	results := &pageMemory{limit: seams.Memory - int64(itemMemory)}
	cache, err := lru.NewWithEvict(maxCachedBatches, func(_ string, c *cachedBatch) { results.forget(c) })
	if err != nil {
		panic(err) // the size is a positive constant
	}
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	if seams.Settle == 0 {
		seams.Settle = defaultSettle
	}
	return &Reader{
		seams: seams, timers: timers, log: log, cache: cache,
		itemLimit: int64(itemMemory / maxCachedBatches), results: results,
		pages: seams.Meters.Counter(CountPages), empty: seams.Meters.Counter(CountEmpty),
		missed: seams.Meters.Counter(CountMissed), misplaced: seams.Meters.Counter(CountMisplaced),
	}
}

// load returns a batch from the cache, a worker or the store. One that may have been
// removed is looked up in the store.
func (r *Reader) load(ctx context.Context, id string) (*cachedBatch, error) {
	r.mu.Lock()
	c, found := r.cache.Get(id)
	r.mu.Unlock()
	if found {
		switch err := r.checkStored(ctx, c); {
		case errors.Is(err, records.ErrMissing):
			return nil, err
		case !errors.Is(err, errReplaced):
			return c, nil // what is known here holds also while the store cannot be read
		}
	}
	b, known := r.find(ctx, id)
	learned := r.timers.Uptime()
	if known && r.mayBeRemoved(b, learned) {
		known = false
	}
	if !known {
		proof, err := r.prove(ctx, func(ctx context.Context) (err error) {
			b, err = r.seams.Store.Read(ctx, id, r.itemLimit)
			return err
		})
		if errors.Is(err, records.ErrMissing) {
			return nil, &MissingError{Proof: proof}
		}
		if err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, found := r.cache.Get(id); found {
		return c, nil
	}
	c = &cachedBatch{batch: b, knownSince: learned, memory: r.results}
	r.cache.Add(id, c)
	return c, nil
}

// find asks a worker for a batch. A batch that is too large to be kept with its items is
// read from the store, since a worker of an earlier release does not tell its parts.
func (r *Reader) find(ctx context.Context, id string) (*Batch, bool) {
	b, known := r.seams.Find(ctx, id)
	if !known {
		return nil, false
	}
	if b.Count == 0 && b.Parts == 0 {
		b.Count = len(b.Items)
	}
	return b, b.MemorySize() <= r.itemLimit
}

// errReplaced is the error of a batch that was removed, and whose id another batch has.
var errReplaced = errors.New("batch: another batch has the id")

// mayBeRemoved reports whether a batch that this process has known since an uptime may be
// older than the retention time. A time of day that precedes the acceptance, or that
// says less than the uptime, is wrong.
func (r *Reader) mayBeRemoved(b *Batch, knownSince time.Duration) bool {
	age := r.timers.Since(b.Time)
	return age < 0 || max(age, r.timers.Uptime()-knownSince) > r.seams.Retention
}

// checkStored returns a MissingError if the batch was removed from the store, and
// errReplaced if another one has its id; it is dropped from the cache then. Only a
// batch that may be older than the retention time is looked up.
func (r *Reader) checkStored(ctx context.Context, c *cachedBatch) error {
	if !r.mayBeRemoved(c.batch, c.knownSince) {
		return nil
	}
	var stored *Batch
	proof, err := r.prove(ctx, func(ctx context.Context) (err error) {
		stored, err = r.seams.Store.ReadHead(ctx, c.batch.ID)
		return err
	})
	if errors.Is(err, records.ErrMissing) {
		err = &MissingError{Proof: proof}
	}
	if err == nil && (stored.Account != c.batch.Account || !stored.Time.Equal(c.batch.Time)) {
		err = errReplaced
	}
	if errors.Is(err, records.ErrMissing) || errors.Is(err, errReplaced) {
		r.drop(c)
	}
	return err
}

// drop removes a batch from the cache, so that the next call reads it anew.
func (r *Reader) drop(c *cachedBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, found := r.cache.Peek(c.batch.ID); found && current == c {
		r.cache.Remove(c.batch.ID)
	}
}

// Batch returns a batch, or a MissingError if it does not exist. It may lack its items.
func (r *Reader) Batch(ctx context.Context, id string) (*Batch, error) {
	c, err := r.load(ctx, id)
	if err != nil {
		return nil, err
	}
	return c.batch, nil
}

// Item returns an item of a batch that Batch has returned, and whether the batch has it.
func (r *Reader) Item(ctx context.Context, b *Batch, id string) (Item, bool, error) {
	if b.Whole() {
		item, found := b.Item(id)
		return item, found, nil
	}
	var item Item
	var found bool
	proof, err := r.prove(ctx, func(ctx context.Context) (err error) {
		item, found, err = r.seams.Store.Item(ctx, b, id)
		return err
	})
	if errors.Is(err, records.ErrMissing) {
		err = &MissingError{Proof: proof}
	}
	return item, found, err
}

// Results returns the results from position after on. It waits up to wait for
// the first of them. Workers make the answer fast, but only the store shows that
// there is no result: a worker may not know a page that a former holder of the role
// has written. If the store cannot be read then, Results returns its error. An answer
// without results comes with its proof. When a page of the store does not follow
// known ones, the batch is read once more, from the store only.
func (r *Reader) Results(ctx context.Context, id string, after int, wait time.Duration) ([]Result, Proof, error) {
	deadline := r.timers.Now().Add(wait)
	c, err := r.load(ctx, id)
	if err != nil {
		return nil, Proof{}, err
	}
	if number, dropped := c.dropped(after); dropped {
		results, err := r.readAgain(ctx, c, number, after)
		return results, Proof{}, err
	}
	results, proof, err := r.follow(ctx, c, after, deadline)
	if _, known := c.resultsFrom(after); known == 0 || !errors.Is(err, errPageOrder) {
		return results, proof, err
	}
	if c, err = r.load(ctx, id); err != nil {
		return nil, Proof{}, err
	}
	return r.poll(ctx, c, after, deadline)
}

// readAgain returns the results from a position on of the page with the given number, which
// were dropped from memory. A page never changes, so that a copy of the store that may be
// old will do if it has the page.
func (r *Reader) readAgain(ctx context.Context, c *cachedBatch, number, position int) ([]Result, error) {
	page, err := r.seams.Store.PageStale(ctx, c.batch.ID, number)
	if err != nil {
		page, err = r.seams.Store.Page(ctx, c.batch.ID, number)
	}
	if err != nil {
		return nil, hideMissing(err)
	}
	r.pages.Add(PagesOfStore, 1)
	return c.restore(number, page, position)
}

// errDropped is the error of a call whose results were read and dropped from memory before
// it could answer with them. An answer without results would be wrong.
var errDropped = errors.New("batch: the results were dropped from memory")

// follow returns the results of a batch from position after on, from the worker or the
// store.
func (r *Reader) follow(ctx context.Context, c *cachedBatch, after int, deadline time.Time) ([]Result, Proof, error) {
	for {
		results, pages := c.resultsFrom(after)
		if len(results) > 0 {
			return results, Proof{}, nil
		}
		if after >= c.batch.Count {
			return nil, Proof{Source: ProofOfItems, Known: c.resultCount()}, nil
		}
		update := r.askWorker(ctx, c.batch.ID, pages, deadline)
		if !update.Active {
			return r.poll(ctx, c, after, deadline)
		}
		if len(update.Pages) == 0 {
			return r.confirmEmpty(ctx, c, after, update.Worker)
		}
		if _, err := c.addPages(pages, update.Pages); err != nil {
			r.reportMisplaced(c, PagesOfWorker, update.Worker, pages)
			return r.poll(ctx, c, after, deadline)
		}
		r.pages.Add(PagesOfWorker, int64(len(update.Pages)))
	}
}

// reportMisplaced logs and counts pages from number on that do not follow the known ones.
func (r *Reader) reportMisplaced(c *cachedBatch, source, peer string, number int) {
	r.misplaced.Add(source, 1)
	r.log.WithFields(logrus.Fields{
		"batch": c.batch.ID, "source": source, logs.Peer: peer, "page": number, "results": c.resultCount(),
	}).Warn("a result page does not follow the one before it")
}

// askWorker asks a worker for the pages after the known ones, and leaves time for a
// read of the store.
func (r *Reader) askWorker(ctx context.Context, id string, known int, deadline time.Time) Update {
	if end, limited := ctx.Deadline(); limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-storeReserve))
		defer cancel()
	}
	return r.seams.Follow(ctx, id, known, max(0, deadline.Sub(r.timers.Now())))
}

// confirmEmpty returns the results from position after on that the store has, after
// a worker has answered that there are none.
func (r *Reader) confirmEmpty(ctx context.Context, c *cachedBatch, after int, worker string) ([]Result, Proof, error) {
	_, known := c.resultsFrom(after)
	proof, err := r.refresh(ctx, c, after, r.seams.Store.Page)
	results, pages := c.resultsFrom(after)
	if pages > known {
		r.missed.Add(worker, int64(pages-known))
		r.log.WithFields(logrus.Fields{
			"batch": c.batch.ID, logs.Peer: worker, "known": known, "stored": pages,
		}).Info("the store has result pages beyond those of the worker")
	}
	if len(results) > 0 {
		return results, Proof{}, nil
	}
	proof = proof.WithSource(worker, c.resultCount())
	return nil, proof, r.endEmpty(ctx, c, after, worker, err)
}

// endEmpty returns the error of a call that found no results: that of the last read of
// the store, or of a batch whose pages are missing because it was removed. A batch that
// has taken the place of a removed one is there for a later call.
func (r *Reader) endEmpty(ctx context.Context, c *cachedBatch, after int, source string, readErr error) error {
	if readErr != nil {
		return readErr
	}
	if _, dropped := c.dropped(after); dropped {
		return errDropped
	}
	if err := r.checkStored(ctx, c); err != nil {
		return err
	}
	r.empty.Add(source, 1)
	return nil
}

// poll reads results from the store until the deadline. The first read and the last
// one are exact, so that an answer without results holds when it is given. Those
// between them may be stale, since these are cheap.
func (r *Reader) poll(ctx context.Context, c *cachedBatch, after int, deadline time.Time) ([]Result, Proof, error) {
	for read := r.seams.Store.Page; ; read = r.seams.Store.PageStale {
		left := deadline.Sub(r.timers.Now())
		if left <= 0 {
			read = r.seams.Store.Page
		}
		proof, err := r.refresh(ctx, c, after, read)
		if results, _ := c.resultsFrom(after); len(results) > 0 {
			return results, Proof{}, nil
		}
		if err != nil || left <= 0 {
			proof = proof.WithSource(PagesOfStore, c.resultCount())
			return nil, proof, r.endEmpty(ctx, c, after, PagesOfStore, err)
		}
		if err := r.timers.Sleep(ctx, min(left, pollInterval)); err != nil {
			return nil, Proof{}, err
		}
	}
}

// refresh reads the pages that were written since the last read, and returns the proof
// of the read that found none. Once there is a result from position after on, it reads
// further ones for readAheadTime only. The batch is not locked meanwhile, so that a slow
// store does not delay pages that come from a worker.
func (r *Reader) refresh(ctx context.Context, c *cachedBatch, after int, read readPageFunc) (Proof, error) {
	for readsAhead := false; ; {
		number, complete := c.nextPage()
		if complete {
			return Proof{}, nil
		}
		if results, _ := c.resultsFrom(after); len(results) > 0 && !readsAhead {
			readsAhead = true
			limited, cancel := context.WithTimeout(ctx, readAheadTime)
			defer cancel()
			ctx = limited
		}
		var done bool
		proof, err := r.prove(ctx, func(ctx context.Context) (err error) {
			done, err = r.readPage(ctx, c, number, read)
			return err
		})
		if done || err != nil {
			return proof, err
		}
	}
}

// readPage reads one page and adds it. It reports true if the page is missing. A batch
// with a page of the store that does not follow the known ones is dropped from the cache,
// since one of those may be wrong.
func (r *Reader) readPage(ctx context.Context, c *cachedBatch, number int, read readPageFunc) (missing bool, err error) {
	page, err := read(ctx, c.batch.ID, number)
	if errors.Is(err, records.ErrMissing) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	added, err := c.addPages(number, []Page{page})
	if added {
		r.pages.Add(PagesOfStore, 1)
	}
	if errors.Is(err, errPageOrder) {
		r.reportMisplaced(c, PagesOfStore, "", number)
		r.drop(c)
	}
	return false, err
}

// readPageFunc reads one page of a batch.
type readPageFunc func(ctx context.Context, id string, number int) (Page, error)

// Known returns the results of a batch that Batch has returned, from position after on,
// that are known without asking anyone.
func (r *Reader) Known(b *Batch, after int) []Result {
	r.mu.Lock()
	c, found := r.cache.Peek(b.ID)
	r.mu.Unlock()
	if !found || c.batch != b {
		return nil
	}
	results, _ := c.resultsFrom(after)
	return results
}
