package suspect

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/traffic/archive"
)

// archiveName is the name of the record with the blocked digests.
const archiveName = "blocked"

// Archive returns the archive of the blocked digests, so that they stay blocked after all
// instances have ended. It is called before the first event.
func (s *Suspects) Archive(store records.Store) *archive.Archive {
	a := archive.New(archiveName, archive.Seams{Store: store, Collect: s.collect, Restore: s.restore}, s.timers, s.log)
	s.blocked = a.NoteChange
	return a
}

// collect returns the crashes of blocked digests, each under the id of its report.
func (s *Suspects) collect(digests map[string]bool) archive.Contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocked := archive.Contents{}
	for digest := range digests {
		if s.crashCount(digest) < s.settings.SuspectCrashes {
			continue
		}
		r, _ := s.records.Peek(digest)
		content := archive.Content{Held: r.until.UnixMilli(), Expires: r.until.UnixMilli()}
		for _, id := range slices.Sorted(maps.Keys(r.crashes)) {
			content.Crashes = append(content.Crashes, archive.Incarnation{Endpoint: id})
		}
		blocked[digest] = content
	}
	return blocked
}

// restore blocks digests of the store, until their records expire there or for the
// retention time. What is stored was blocked, so that each crash counts in full.
func (s *Suspects) restore(blocked archive.Contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	for digest, content := range blocked {
		until := time.UnixMilli(content.Expires)
		if latest := now.Add(s.retention); until.After(latest) {
			until = latest
		}
		if !now.Before(until) || s.crashCount(digest) >= s.settings.SuspectCrashes {
			continue
		}
		r := &record{crashes: map[string]bool{}, until: until}
		for _, crash := range content.Crashes {
			r.crashes[crash.Endpoint] = true
		}
		s.records.Add(digest, r)
	}
}
