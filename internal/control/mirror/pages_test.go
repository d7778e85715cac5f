package mirror

import (
	"context"
	"fmt"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// Guards against a process that starts on a full store and holds all records of a kind at
// once: it exceeds its memory at each start.
func TestPagesOfAListAreAppliedInTurn(t *testing.T) {
	const pages = 5
	read := 0
	f := &follower{state: map[string]string{}}
	store := records.Store{List: func(context.Context, string, string) (records.Page, error) {
		if len(f.state) != read {
			t.Errorf("page %d is read while %d records are applied, want %d", read, len(f.state), read)
		}
		read++
		page := records.Page{Records: []records.Record{{Name: fmt.Sprint(read), Revision: uint64(read)}}, Revision: pages}
		if read < pages {
			page.Next = fmt.Sprint(read)
		}
		return page, nil
	}}
	m := New(store, "things", Options{Apply: f.apply}, clock.NewSystem(), logs.Discard())
	if revision, err := m.fetch(t.Context(), 0); err != nil || revision != pages || len(f.state) != pages {
		t.Errorf("revision %d, %d records, error %v; want %d", revision, len(f.state), err, pages)
	}
}
