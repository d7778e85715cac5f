package batch

import (
	"errors"
	"slices"
	"sort"
	"sync"
	"time"
)

// errPageOrder is the error of a page that does not begin where the one before it ends.
var errPageOrder = errors.New("batch: a result page does not follow the one before it")

const (
	// resultOverhead is the memory that a result takes besides its texts, in bytes.
	resultOverhead = 128
	// maxRead is the size of the outputs from which on a read returns no further page.
	maxRead = 1 << 20
)

// cachedBatch is a batch with the results that have been read so far.
type cachedBatch struct {
	batch      *Batch
	knownSince time.Duration // uptime at which this process learned of the batch
	memory     *pageMemory

	mu    sync.Mutex
	pages []cachedPage
	count int // number of results in the pages
}

// cachedPage is a page that has been read. Its results are nil after they were dropped
// from memory. Start is the position of the first.
type cachedPage struct {
	start   int
	results []Result
}

// nextPage returns the number of the next page, and whether all results are known.
func (c *cachedBatch) nextPage() (number int, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pages), c.count >= c.batch.Count
}

// resultsFrom returns results that have been read, from position after on, and the number
// of pages that have been read. It returns none if those at the position were dropped.
func (c *cachedBatch) resultsFrom(after int) ([]Result, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after >= c.count {
		return nil, len(c.pages)
	}
	number := c.pageOf(after)
	page := c.pages[number]
	if page.results == nil {
		return nil, len(c.pages)
	}
	results := slices.Clip(page.results[after-page.start:])
	size := pageSize(results)
	for _, page := range c.pages[number+1:] {
		if page.results == nil || size > maxRead {
			break
		}
		results = append(results, page.results...)
		size += pageSize(page.results)
	}
	return results, len(c.pages)
}

// pageOf returns the number of the page with a position that has been read; c.mu is held.
func (c *cachedBatch) pageOf(position int) int {
	return sort.Search(len(c.pages), func(i int) bool { return c.pages[i].start > position }) - 1
}

// dropped returns the number of the page with a position if its results have been read and
// dropped.
func (c *cachedBatch) dropped(position int) (number int, dropped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if position >= c.count {
		return 0, false
	}
	number = c.pageOf(position)
	return number, c.pages[number].results == nil
}

// resultCount returns the number of results that have been read.
func (c *cachedBatch) resultCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// addPages adds pages, the first of which has the given number, and reports whether
// one of them was new. Pages that are known already are skipped. It returns
// errPageOrder for a page that does not follow the known ones.
func (c *cachedBatch) addPages(number int, pages []Page) (added bool, err error) {
	for i, page := range pages {
		isNew, err := c.addPage(number+i, page)
		if err != nil {
			return added, err
		}
		if isNew {
			added = true
			c.memory.add(c, number+i, pageSize(page.Results))
		}
	}
	return added, nil
}

func (c *cachedBatch) addPage(number int, page Page) (added bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number != len(c.pages) {
		return false, nil
	}
	if page.Start != c.count || len(page.Results) == 0 {
		return false, errPageOrder
	}
	c.pages = append(c.pages, cachedPage{start: page.Start, results: page.Results})
	c.count += len(page.Results)
	return true, nil
}

// restore sets the results of a page that were dropped, and returns those from a position
// on.
func (c *cachedBatch) restore(number int, page Page, position int) ([]Result, error) {
	c.mu.Lock()
	known := c.pages[number]
	end := c.count
	if number+1 < len(c.pages) {
		end = c.pages[number+1].start
	}
	if page.Start != known.start || known.start+len(page.Results) != end {
		c.mu.Unlock()
		return nil, errPageOrder
	}
	isNew := known.results == nil
	c.pages[number].results = page.Results
	c.mu.Unlock()
	if isNew { // else another call was faster
		c.memory.add(c, number, pageSize(page.Results))
	}
	return page.Results[position-page.Start:], nil
}

// drop drops the results of a page from memory.
func (c *cachedBatch) drop(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pages[number].results = nil
}

// pageSize returns an estimate of the memory that results take, in bytes.
func pageSize(results []Result) int64 {
	size := 0
	for _, r := range results {
		size += resultOverhead + len(r.ID) + len(r.Output) + len(r.Score) + 8*len(r.Versions)
	}
	return int64(size)
}

// pageMemory bounds the memory that the pages of all cached batches take. The pages that
// were read first are dropped first.
type pageMemory struct {
	limit int64

	mu   sync.Mutex
	used int64
	held []heldPage // in the order in which they were read
}

// heldPage is a page in memory, with its size in bytes.
type heldPage struct {
	owner  *cachedBatch
	number int
	size   int64
}

// add counts a page, and drops others until the limit is kept. The page itself stays.
func (m *pageMemory) add(c *cachedBatch, number int, size int64) {
	m.mu.Lock()
	m.used += size
	m.held = append(m.held, heldPage{owner: c, number: number, size: size})
	var excess []heldPage
	for m.used > m.limit && len(m.held) > 1 {
		m.used -= m.held[0].size
		excess = append(excess, m.held[0])
		m.held = slices.Delete(m.held, 0, 1)
	}
	m.mu.Unlock()
	for _, page := range excess {
		page.owner.drop(page.number)
	}
}

// forget stops counting the pages of a batch that is not cached any more.
func (m *pageMemory) forget(c *cachedBatch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held = slices.DeleteFunc(m.held, func(page heldPage) bool {
		if page.owner == c {
			m.used -= page.size
		}
		return page.owner == c
	})
}
