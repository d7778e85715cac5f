package batch

import (
	"errors"
	"sync"
	"time"
)

// errPageOrder is the error of a page that does not begin where the one before it ends.
var errPageOrder = errors.New("batch: a result page does not follow the one before it")

// cachedBatch is a batch with the results that have been read so far.
type cachedBatch struct {
	batch      *Batch
	knownSince time.Duration // uptime at which this process learned of the batch
	mu         sync.Mutex
	pages      int
	results    []Result
}

// nextPage returns the number of the next page, and whether all results are known.
func (c *cachedBatch) nextPage() (number int, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pages, len(c.results) >= len(c.batch.Items)
}

// resultsFrom returns the results that have been read from position after on,
// and the number of pages that have been read.
func (c *cachedBatch) resultsFrom(after int) ([]Result, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after >= len(c.results) {
		return nil, c.pages
	}
	return c.results[after:len(c.results):len(c.results)], c.pages
}

// resultCount returns the number of results that have been read.
func (c *cachedBatch) resultCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.results)
}

// addPages adds pages, the first of which has the given number, and reports whether
// one of them was new. Pages that are known already are skipped. It returns
// errPageOrder for a page that does not follow the known ones.
func (c *cachedBatch) addPages(number int, pages []Page) (added bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, page := range pages {
		if number+i != c.pages {
			continue
		}
		if page.Start != len(c.results) || len(page.Results) == 0 {
			return added, errPageOrder
		}
		c.results = append(c.results, page.Results...)
		c.pages++
		added = true
	}
	return added, nil
}
