package runner

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// smallRoom has room for about 200 of the items of manyItems at a time.
	smallRoom = 256 << 10
	// noRoom is less than what is kept of listed items without a task takes.
	noRoom = 8 << 10
)

// manyItems returns a batch with a number of items.
func manyItems(id, account string, items int) *batch.Batch {
	b := &batch.Batch{ID: id, Account: account, Host: host, Path: "/gen/batches", Model: "m", MinVersion: 3, Time: time.Now()}
	for i := range items {
		b.Items = append(b.Items, batch.Item{ID: fmt.Sprintf("%s-plain-%d", id, i), Path: "/gen/x", Group: fmt.Sprint(i / 4), MaxTokens: 1000})
	}
	return b
}

// setRoom limits the memory for items, and waits until the runner uses the limit.
func setRoom(r *Runner, limit int64) {
	r.do(context.Background(), func(context.Context) { r.room.limit = limit })
}

// checkRoom checks that the items that have tasks never take more room than there is, and
// one piece for each account, until the function that it returns is called.
func checkRoom(t *testing.T, r *Runner, accounts int64) (end func()) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			r.do(context.Background(), func(context.Context) {
				tasks, counted := 0, int64(0)
				for _, j := range r.jobs {
					tasks += len(j.tasks)
					for _, k := range j.tasks {
						counted += itemCost(k.item)
					}
				}
				if limit := r.room.limit + accounts*minPiece; counted > limit || counted > r.room.used {
					t.Errorf("%d items take %d bytes, counted %d, want at most %d", tasks, counted, r.room.used, limit)
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() { close(stop); <-stopped }
}

// storeInParts accepts the batch and returns it as a worker learns of it: with the items of the
// first record only.
func (h *harness) storeInParts(t *testing.T, b *batch.Batch) *batch.Batch {
	t.Helper()
	small := batch.NewStore(h.ledger.Store(), 8<<10)
	if err := small.Accept(t.Context(), b); err != nil {
		t.Fatal(err)
	}
	record, err := h.ledger.Store().Get(t.Context(), batch.KindBatches, b.ID)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := small.FromRecord(t.Context(), record)
	if err != nil {
		t.Fatal(err)
	}
	if stored.Parts == 0 || stored.Count != len(b.Items) {
		t.Fatalf("%d parts with %d items, want several with %d", stored.Parts, stored.Count, len(b.Items))
	}
	return stored
}

// Guards against items of a batch larger than the memory that never run, run after they
// were listed, or are listed twice, while they wait in the store for room. Some of them
// are listed by a worker that is lost; its successor knows only what the store has, and has
// no room but for the piece that each account may always take.
func TestItemsWaitForRoom(t *testing.T) {
	h := newHarness(t)
	setRoom(h.runner, smallRoom)
	b := manyItems("large", "acme", 1500)
	ctx := t.Context()
	stored := h.storeInParts(t, b)
	end := checkRoom(t, h.runner, 1)
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, stored, true)
	for len(h.listed(t, b)) < len(b.Items)/3 {
		time.Sleep(5 * time.Millisecond)
	}
	end()
	h.runner.SetActive(ctx, false)
	server := httptest.NewServer(h.engine)
	defer server.Close()
	successor := h.newRunner(t, strings.TrimPrefix(server.URL, "http://"))
	setRoom(successor, noRoom)
	end = checkRoom(t, successor, 1)
	defer end()
	successor.Add(ctx, stored, false)
	h.engine.mu.Lock()
	before := map[string]bool{}
	for id := range h.listed(t, b) {
		before[id] = true
	}
	clear(h.engine.runs)
	h.engine.mu.Unlock()
	successor.SetActive(ctx, true)
	listed := h.results(t, b)
	for _, item := range b.Items {
		if result := listed[item.ID]; !result.Done || result.Output != completeText(item.ID) {
			t.Errorf("%s: unexpected result %+v", item.ID, result)
		}
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	for id := range before {
		if h.engine.runs[id] > 0 {
			t.Errorf("%s ran again after it was listed", id)
		}
	}
}

// listed returns the ids of the items whose results are in the store.
func (h *harness) listed(t *testing.T, b *batch.Batch) map[string]bool {
	t.Helper()
	pages, err := h.store.Pages(context.Background(), b.ID)
	if err != nil {
		t.Fatal(err)
	}
	ids := map[string]bool{}
	for _, page := range pages {
		for _, result := range page.Results {
			ids[result.ID] = true
		}
	}
	return ids
}

// Guards against an account that holds all room and all slots with very many items, so
// that the step of another account gets none.
func TestRoomIsSharedByAccounts(t *testing.T) {
	h := newHarness(t)
	setRoom(h.runner, smallRoom)
	ctx := t.Context()
	h.runner.SetActive(ctx, true)
	flood := []*batch.Batch{manyItems("f1", "birch", 3000), manyItems("f2", "birch", 3000)}
	for _, b := range flood {
		h.runner.Add(ctx, h.storeInParts(t, b), true)
	}
	step := manyItems("step", "acme", 100)
	h.runner.Add(ctx, h.storeInParts(t, step), true)
	end := checkRoom(t, h.runner, 2)
	defer end()
	h.results(t, step)
	if listed := len(h.listed(t, flood[0])); listed == len(flood[0].Items) {
		t.Error("the step waited until the first large batch was complete")
	}
	for _, b := range flood {
		h.runner.End(ctx, b.ID)
	}
	h.runner.do(ctx, func(context.Context) {
		if r := h.runner; len(r.jobs) == 0 && r.itemReads == 0 && (r.room.used != 0 || len(r.room.accounts) != 0) {
			t.Errorf("%d bytes are counted without open batches", r.room.used)
		}
	})
}

// Guards against an account whose many items take all slots as often as they are free,
// since its batch is the oldest.
func TestSlotsAreSharedWhileItemsWait(t *testing.T) {
	h := newHarness(t)
	setRoom(h.runner, smallRoom)
	ctx, r := t.Context(), h.runner
	for _, account := range []string{"birch", "acme"} {
		r.Add(ctx, h.storeInParts(t, manyItems(account, account, 1000)), true)
	}
	r.do(ctx, func(ctx context.Context) {
		r.recalling = true // no run starts before both batches are loaded
		r.setActive(ctx, true)
	})
	running := map[string]int{}
	for len(running) == 0 {
		r.do(ctx, func(context.Context) {
			if !r.jobs[0].loaded || !r.jobs[1].loaded {
				return
			}
			r.recalling = false
			r.schedule()
			for _, j := range r.jobs {
				for _, k := range j.tasks {
					if k.state == stateRunning {
						running[j.batch.Account]++
					}
				}
			}
		})
	}
	// Slots become free while others are taken, so that their number may be odd.
	if more := running["birch"] - running["acme"]; more < -1 || more > 1 {
		t.Errorf("%v items run, want as many of each account", running)
	}
}

// Guards against a worker that is asked for a batch of which it does not have all items,
// and answers with a part of them as if it were the whole batch.
func TestBatchWithoutItsItems(t *testing.T) {
	h := newHarness(t)
	setRoom(h.runner, smallRoom)
	b := manyItems("large", "acme", 1500)
	h.runner.Add(t.Context(), h.storeInParts(t, b), true)
	handler := &peerHandler{runner: h.runner, ctx: t.Context()}
	reply, err := handler.Batch(t.Context(), &BatchRequest{Batch: b.ID})
	if err != nil || len(reply.GetBody()) != 0 || len(reply.GetHead()) == 0 {
		t.Fatalf("%d bytes of a batch, %d of a head, error %v; want the head alone", len(reply.GetBody()), len(reply.GetHead()), err)
	}
}

// Guards against items of an earlier release that cannot be written as requests: they held
// all slots, and each attempt counted as one that failed at the engine.
func TestUnwritableItemIsGivenUp(t *testing.T) {
	h := newHarness(t)
	b := manyItems("step", "acme", 40)
	for i := range 30 {
		b.Items[i].Path = "/gen/x\n"
	}
	ctx := t.Context()
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	for id, result := range h.results(t, b) {
		unwritable := false
		for _, item := range b.Items[:30] {
			unwritable = unwritable || item.ID == id
		}
		if result.Done == unwritable {
			t.Errorf("%s: done %v, unwritable %v", id, result.Done, unwritable)
		}
	}
}
