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

// Guards against workers that let each other make a watch, so that it goes
// round in a circle, and against lists without an order.
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
		for deadline := time.Now().Add(20 * time.Second); len(m.All()) < len(all)-1 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		if got := m.Before("worker"); !m.Known() || !slices.Equal(got, wantBefore[i]) {
			t.Errorf("before %s are %v, want %v", all[i].Name, got, wantBefore[i])
		}
		if got := m.Role("worker"); !slices.Equal(got, wantRole[i]) {
			t.Errorf("workers for %s are %v, want %v", all[i].Name, got, wantRole[i])
		}
	}
}
