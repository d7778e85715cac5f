package relay

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// Guards against a process that exceeds its memory with the pages of a kind that it keeps
// for others, when one that starts lists all of them within the time of their reuse.
func TestKeptRepliesAreBounded(t *testing.T) {
	calls := 0
	shared := NewSharedCalls(func(context.Context, Call) (Reply, error) {
		calls++
		return Reply{Status: 200, Body: make([]byte, 1<<20)}, nil
	}, time.Second, func(Call, Reply) time.Duration { return time.Hour })
	const pages = 32
	read := func(n int) {
		if _, err := shared.Call(t.Context(), Call{Method: "GET", Path: fmt.Sprint("/page/", n), Shared: true}); err != nil {
			t.Fatal(err)
		}
	}
	for n := range pages {
		read(n)
	}
	for n := range pages {
		read(pages - 1 - n)
	}
	if kept := (2*pages - calls) << 20; kept > maxKeptBytes || kept == 0 {
		t.Errorf("%d bytes of replies were kept, want some, at most %d", kept, maxKeptBytes)
	}
	read(0)
	read(0)
	if shared.size > maxKeptBytes {
		t.Errorf("%d bytes are counted, want at most %d", shared.size, maxKeptBytes)
	}
}
