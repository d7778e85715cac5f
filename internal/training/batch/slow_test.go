package batch

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// Guards against a batch whose readers are refused for as long as the store is slow: the
// look at the record of a batch older than the retention time takes the proof of the
// missing page past its age, at each attempt. A slow store answers within 250 ms.
func TestSlowStoreProvesThatAnOldBatchHasNoResults(t *testing.T) {
	const slow = 250 * time.Millisecond
	uptime := time.Hour
	recordStore := ledger.New().Store()
	get := recordStore.Get
	recordStore.Get = func(ctx context.Context, kind, name string) (records.Record, error) {
		uptime += slow + time.Millisecond // and the work of this process
		return get(ctx, kind, name)
	}
	store := NewStore(recordStore, 1<<20)
	ctx := context.Background()
	timers := clock.NewSystem()
	b := &Batch{ID: "b1", Account: "acme", Time: timers.Now().Add(-time.Hour), Items: []Item{{ID: "i1"}}}
	if err := store.Accept(ctx, b); err != nil {
		t.Fatal(err)
	}
	for name, follow := range map[string]FollowFunc{"worker": knowsNothing, "no worker": noWorker} {
		reader := NewReader(ReaderSeams{
			Store: store, Find: notFound, Follow: follow, Retention: time.Minute,
		}, timers.WithUptime(func() time.Duration { return uptime }), logs.Discard())
		for attempt := range 3 {
			results, proof, err := reader.Results(ctx, "b1", 0, 0)
			if err != nil || len(results) != 0 || !reader.Holds(proof) {
				t.Errorf("%s, attempt %d: results %v, error %v, age of the proof %v, want one that holds", name, attempt, results, err, reader.Age(proof))
			}
		}
	}
}
