package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// Guards against a mirror that goes back, or stops, since a shared list is old: one that
// is older than what is known, one whose history is gone already, and one whose second
// page is older than its first.
func TestOldSharedListIsReadAgain(t *testing.T) {
	l := ledger.New()
	store := l.Store()
	put := func(names ...string) {
		for _, name := range names {
			if _, err := store.Create(t.Context(), records.Record{Kind: "things", Name: name, Body: []byte(name)}); err != nil {
				t.Fatal(err)
			}
		}
	}
	list := store.List
	put("a")
	old, err := list(t.Context(), "things", "")
	if err != nil {
		t.Fatal(err)
	}
	put("b")
	shared := 0
	store.ListShared = func(context.Context, string, string) (records.Page, error) {
		shared++
		return old, nil
	}
	l.Compact() // the history since the old list is gone
	f := &follower{state: map[string]string{}}
	m := New(store, "things", Options{Wait: 50 * time.Millisecond, Apply: f.apply}, clock.NewSystem(), logs.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan struct{})
	go func() { defer close(finished); m.Run(ctx) }()
	defer func() { cancel(); <-finished }()
	awaitState := func(want string) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); f.sortedState() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("state %q, want %q", f.sortedState(), want)
			}
		}
	}
	awaitState("a=a b=b")
	if err := store.Delete(t.Context(), "things", "a"); err != nil {
		t.Fatal(err)
	}
	awaitState("b=b")
	l.Compact()
	put("c")
	awaitState("b=b c=c")
	cancel()
	<-finished
	if got := f.sortedState(); got != "b=b c=c" {
		t.Errorf("state %q at the end", got)
	}
	if n := l.Calls("list") + shared; n > 8 {
		t.Errorf("%d lists", n)
	}

	pages := map[string]records.Page{
		"":  {Records: []records.Record{{Name: "a"}}, Next: "a", Revision: 20},
		"a": {Records: []records.Record{{Name: "b"}}, Revision: 19},
	}
	exact := 0
	two := records.Store{
		List: func(context.Context, string, string) (records.Page, error) {
			exact++
			return records.Page{Records: []records.Record{{Name: "c"}}, Revision: 21}, nil
		},
		ListShared: func(_ context.Context, _, after string) (records.Page, error) { return pages[after], nil },
	}
	page, err := two.Shared().ListAll(t.Context(), "things")
	if err != nil || exact != 1 || page.Revision != 20 || len(page.Records) != 2 || page.Records[1].Name != "c" {
		t.Errorf("two pages: %+v, error %v, %d exact reads; want the second page read again", page, err, exact)
	}
}
