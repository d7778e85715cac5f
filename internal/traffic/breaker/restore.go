package breaker

import (
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/traffic/archive"
)

// ArchiveName is the name of the record with the contents that are held back.
const ArchiveName = "held"

// maxRestoredHold bounds how long a content that was read from the store is held
// back without a trial. The endpoints may have been replaced by sound ones since.
const maxRestoredHold = 5 * time.Minute

// Archive returns the archive of the contents with several crashes. It is called before the
// first event.
func (b *Breaker) Archive(store records.Store) *archive.Archive {
	a := archive.New(ArchiveName, archive.Seams{Store: store, Collect: b.collect, Restore: b.restore}, b.timers, b.log)
	b.changed = a.NoteChange
	return a
}

// collect returns what is known of contents, for the store.
func (b *Breaker) collect(contents map[string]bool) archive.Contents {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := archive.Contents{}
	for content := range contents {
		r := b.lookup(content)
		if r == nil {
			continue
		}
		kept := archive.Content{
			Suspected: r.unconfirmedAt(b.timers.Now()),
			Held:      max(0, r.heldUntil.UnixMilli()), Expires: r.expires.UnixMilli(),
		}
		for incarnation, counts := range r.confirmed {
			if counts {
				kept.Crashes = append(kept.Crashes, incarnation)
			} else {
				kept.Cleared = append(kept.Cleared, incarnation)
			}
		}
		known[content] = kept
	}
	return known
}

// restore adds contents of the store. A clock that was wrong when the record was written
// holds no content longer than maxRestoredHold.
func (b *Breaker) restore(contents archive.Contents) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Now()
	for content, kept := range contents {
		if kept.Expires <= now.UnixMilli() || (len(kept.Crashes) == 0 && b.lookup(content) == nil) {
			continue
		}
		r := b.record(content)
		before := r.count(now)
		for _, incarnation := range kept.Cleared {
			r.confirmed[incarnation] = false
		}
		for _, incarnation := range kept.Crashes {
			if _, known := r.confirmed[incarnation]; !known {
				r.confirmed[incarnation] = true
			}
		}
		r.expires = later(r.expires, earlier(time.UnixMilli(kept.Expires), now.Add(repeatedCrashTTL)))
		if count := r.count(now); count > 1 && count > before {
			r.heldUntil = later(r.heldUntil, earlier(time.UnixMilli(kept.Held), now.Add(maxRestoredHold)))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
