package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// Guards against a removed record that comes back for good with a late copy of an
// earlier answer: answers of the store bear no id, and no later watch tells of the
// removal again. The same holds for a list that is older than what is known.
func TestLateAnswersBringNothingBack(t *testing.T) {
	created := records.Record{Kind: "things", Name: "a", Revision: 11, Body: []byte("11")}
	removed := records.Record{Kind: "things", Name: "a", Revision: 12, Deleted: true}
	answers := []records.Changes{
		{Records: []records.Record{created}, Revision: 11},
		{Records: []records.Record{removed}, Revision: 12},
		{Records: []records.Record{created}, Revision: 11}, // a copy of the first answer
		// The event of a removal may name the revision of the removed version.
		{Records: []records.Record{{Kind: "things", Name: "b", Revision: 9, Deleted: true}}, Revision: 13},
	}
	list := records.Page{Records: []records.Record{{Kind: "things", Name: "b", Revision: 9, Body: []byte("9")}}, Revision: 10}
	store := records.Store{
		List: func(context.Context, string, string) (records.Page, error) { return list, nil },
		Watch: func(context.Context, string, uint64, time.Duration) (records.Changes, error) {
			next := answers[0]
			answers = answers[1:]
			return next, nil
		},
	}
	f := &follower{state: map[string]string{}}
	m := New(store, "things", Options{Apply: f.apply}, clock.NewSystem(), logs.Discard())
	fetch := func(after uint64, want string) uint64 {
		t.Helper()
		revision, err := m.fetch(t.Context(), after)
		if err != nil {
			t.Fatal(err)
		}
		if got := f.sortedState(); got != want {
			t.Errorf("state %q, want %q", got, want)
		}
		return revision
	}
	revision := uint64(0)
	for _, want := range []string{"b=9", "a=11 b=9", "b=9", "b=9", ""} {
		revision = fetch(revision, want)
	}
	// The history is gone, and the answer to the new list is a copy of the first one.
	if _, err := m.fetch(t.Context(), 0); err == nil {
		t.Error("a list of revision 10 was accepted after revision 13")
	}
	if got := f.sortedState(); got != "" {
		t.Errorf("state %q after a late copy of a list, want none", got)
	}
	list = records.Page{Records: []records.Record{{Kind: "things", Name: "c", Revision: 14, Body: []byte("14")}}, Revision: 14}
	fetch(0, "c=14")
}
