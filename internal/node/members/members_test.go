package members

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// Guards against two workers that delegate a watch to each other, so that no
// one makes it, and against address lists in random order.
func TestOrderOfMembers(t *testing.T) {
	store := ledger.New().Store()
	all := []Member{
		{Name: "w3", Address: "3", Zone: "b", Role: "worker"},
		{Name: "w1", Address: "1", Zone: "b", Role: "worker"},
		{Name: "w2", Address: "2", Zone: "a", Role: "worker"},
		{Name: "e1", Address: "9", Zone: "a", Role: "entry"},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var lists []*Members
	for _, self := range all {
		m := New(store, self, clock.NewSystem(), logs.Discard())
		lists = append(lists, m)
		go m.Run(ctx)
	}
	wantBefore := [][]string{{"1", "2"}, {}, {"1"}, {"1", "2", "3"}}
	wantRole := [][]string{{"2", "1"}, {"2", "3"}, {"1", "3"}, {"1", "3", "2"}}
	wantBefore[3] = nil // entry processes come before workers by name
	for i, m := range lists {
		for deadline := time.Now().Add(20 * time.Second); len(m.Others()) < len(all)-1 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		if got := m.AddressesBefore("worker"); !m.Synced() || !slices.Equal(got, wantBefore[i]) {
			t.Errorf("workers before %s: %v, want %v", all[i].Name, got, wantBefore[i])
		}
		if got := m.Addresses("worker"); !slices.Equal(got, wantRole[i]) {
			t.Errorf("workers listed by %s: %v, want %v", all[i].Name, got, wantRole[i])
		}
	}
}
