package runner

import (
	"cmp"
	"context"
	"hash/maphash"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// maxItemReads bounds the reads of items that are made at a time. Each holds a record of
// the store.
const maxItemReads = 2

// takeItems gives the first of the items tasks, as many as have room, and returns their
// number.
func (r *Runner) takeItems(j *job, items []batch.Item) int {
	free := r.room.free(j.batch.Account, r.accountsWithBatches())
	window := max(0, maxWindow-r.room.accounts[j.batch.Account].items)
	taken := 0
	for taken < min(len(items), window) {
		if free -= itemCost(&items[taken]); free < 0 {
			break
		}
		taken++
	}
	r.addTasks(j, items[:taken])
	return taken
}

// addTasks gives items tasks, except those whose results are in known pages.
func (r *Runner) addTasks(j *job, items []batch.Item) {
	expected, cost, before := int64(0), int64(0), len(j.tasks)
	for _, item := range items { // each task has a copy, so that it alone can be dropped
		if r.takeListed(j, item.ID) {
			continue
		}
		t := &task{item: &item, job: j, textKey: j.batch.TextKey(&item)}
		t.text = r.texts.take(t.textKey, j.batch.MinVersion)
		expected += max(1, item.ExpectedTokens)
		cost += itemCost(t.item)
		j.tasks = append(j.tasks, t)
		j.byID[item.ID] = t
		j.byTextKey[t.textKey] = t
		if j.progress != nil {
			j.progress.Expect(item.Group, r.incompleteGroups.Contains(newGroupKey(j.batch, item.Group)))
		}
	}
	j.cost += cost
	r.room.take(j.batch.Account, len(j.tasks)-before, cost)
	if r.seams.OnBatch != nil {
		r.seams.OnBatch(j.batch.Model, expected)
	}
	// The longest items decide when a batch is complete, so they are started
	// first. If there are more items than slots, the short ones fill the gaps.
	slices.SortStableFunc(j.tasks, func(a, b *task) int { return cmp.Compare(b.remaining(), a.remaining()) })
}

// noteListed records that the result of an item without a task is in a page.
func (r *Runner) noteListed(j *job, id string) {
	key := maphash.String(r.seed, id)
	if _, known := j.listedBefore[key]; known || j.allTaken() {
		return
	}
	if j.listedBefore == nil {
		j.listedBefore = map[uint64]struct{}{}
	}
	j.listedBefore[key] = struct{}{}
	r.room.used += listedOverhead
}

// takeListed reports whether the result of an item that gets a task now is in a page.
func (r *Runner) takeListed(j *job, id string) bool {
	key := maphash.String(r.seed, id)
	if _, listed := j.listedBefore[key]; !listed {
		return false
	}
	delete(j.listedBefore, key)
	r.room.used -= listedOverhead
	return true
}

// forgetListed drops what noteListed has recorded.
func (r *Runner) forgetListed(j *job) {
	r.room.used -= listedOverhead * int64(len(j.listedBefore))
	j.listedBefore = nil
}

// allTaken reports whether all items of the batch have got tasks.
func (j *job) allTaken() bool { return j.batch.AtEnd(j.next) }

// accountsWithBatches returns the number of client accounts that have open batches.
func (r *Runner) accountsWithBatches() int {
	accounts := map[string]bool{}
	for _, j := range r.jobs {
		accounts[j.batch.Account] = true
	}
	return len(accounts)
}

// loadItems starts to read items that wait in the store, as far as there is room.
func (r *Runner) loadItems(ctx context.Context) {
	for r.crowded() && r.itemReads < maxItemReads {
		j, size := r.nextToLoad()
		if j == nil {
			return
		}
		r.readItems(ctx, j, size)
	}
}

// nextToLoad returns the oldest batch with items in the store of the account that takes the
// least room, and the room for them; nil if there is none.
func (r *Runner) nextToLoad() (next *job, size int64) {
	now := r.timers.Now()
	oldest := map[string]*job{}
	var waiting []string // accounts
	for _, j := range r.jobs {
		account := j.batch.Account
		if j.allTaken() || j.reading || now.Before(j.readAt) || oldest[account] != nil {
			continue
		}
		oldest[account] = j
		waiting = append(waiting, account)
	}
	if len(waiting) == 0 {
		return nil, 0
	}
	slices.SortStableFunc(waiting, func(a, b string) int {
		return cmp.Compare(r.room.accounts[a].size, r.room.accounts[b].size)
	})
	accounts := r.accountsWithBatches()
	for _, account := range waiting {
		size := r.pieceFor(account, accounts)
		if size == 0 && r.dropListed(account) {
			size = r.pieceFor(account, accounts)
		}
		if size > 0 {
			return oldest[account], size
		}
	}
	return nil, 0
}

// pieceFor returns the room for items of an account that may be read now, or 0.
func (r *Runner) pieceFor(account string, accounts int) int64 {
	free := r.room.free(account, accounts)
	if free < minPiece || r.room.accounts[account].items >= maxWindow {
		return 0
	}
	return min(free, maxPiece)
}

// readItems reads the next items of a batch, which may take size bytes of room.
func (r *Runner) readItems(ctx context.Context, j *job, size int64) {
	j.reading = true
	r.itemReads++
	account, at := j.batch.Account, j.next
	r.room.take(account, 0, size) // until the items are there
	go func() {
		items, next, err := r.seams.Store.ReadItems(ctx, j.batch, at, size, itemCost)
		r.post(ctx, func(context.Context) {
			r.room.release(account, 0, size)
			j.reading = false
			r.itemReads--
			if r.findJob(j.batch.ID) != j {
				return
			}
			if err != nil {
				j.readAt = r.timers.Now().Add(pageRetryDelay)
				r.log.WithFields(logrus.Fields{"batch": j.batch.ID, "record": j.next.Record, logs.Cause: err.Error()}).Warn("items not read, retrying")
				return
			}
			j.next = next
			r.addTasks(j, items)
		})
	}()
}

// dropListed drops the tasks of listed items of an account, which are kept only for their
// texts. It reports whether there were any. An inactive worker has none.
func (r *Runner) dropListed(account string) bool {
	dropped := false
	for _, j := range r.jobs {
		if j.batch.Account != account || !j.loaded {
			continue
		}
		j.tasks = slices.DeleteFunc(j.tasks, func(t *task) bool {
			if t.state != stateListed {
				return false
			}
			dropped = true
			if t.listedLate {
				r.incompleteGroups.Add(newGroupKey(j.batch, t.item.Group), struct{}{})
			}
			r.removeTask(t)
			return true
		})
	}
	return dropped
}

// removeTask drops what is known of a task besides its place in job.tasks.
func (r *Runner) removeTask(t *task) {
	j := t.job
	if j.byID[t.item.ID] == t { // a caller may give the same id to two items
		delete(j.byID, t.item.ID)
		delete(j.byTextKey, t.textKey)
	}
	delete(r.copied, t.textKey)
	r.keptTexts.forget(t)
	cost := itemCost(t.item)
	j.cost -= cost
	r.room.release(j.batch.Account, 1, cost)
}

// crowded reports whether items of open batches wait in the store for room.
func (r *Runner) crowded() bool {
	return slices.ContainsFunc(r.jobs, func(j *job) bool { return !j.allTaken() })
}

// maxTurns bounds the items of one account that scheduleInTurn looks at in one pass.
const maxTurns = 256

// turns are the items of an account that scheduleInTurn looks at.
type turns struct {
	running int
	pending []*task
}

// scheduleInTurn starts pending items while items wait for room. The account with the
// fewest running items is next, so that an account with very many items does not hold all
// slots.
func (r *Runner) scheduleInTurn(now time.Time) {
	byAccount := map[string]*turns{}
	var waiting []*turns
	for _, j := range r.jobs {
		account, known := byAccount[j.batch.Account]
		if !known {
			account = &turns{}
			byAccount[j.batch.Account] = account
			waiting = append(waiting, account)
		}
		account.add(j, now)
	}
	for {
		waiting = slices.DeleteFunc(waiting, func(account *turns) bool { return len(account.pending) == 0 })
		if len(waiting) == 0 {
			return
		}
		next := slices.MinFunc(waiting, func(a, b *turns) int { return cmp.Compare(a.running, b.running) })
		r.waiting = len(next.pending)
		t := next.pending[0]
		next.pending = next.pending[1:]
		switch {
		case t.text.complete:
			r.startScoring(t)
		case r.tryStart(t):
			next.running++
		case !t.suspected():
			next.pending = nil // as in schedule, it holds back the later items
		}
	}
}

// add counts the running items of a batch, and adds those that may start now.
func (a *turns) add(j *job, now time.Time) {
	for _, t := range j.tasks {
		switch {
		case t.state == stateRunning:
			a.running++
		case j.loaded && len(a.pending) < maxTurns && t.startable(now):
			a.pending = append(a.pending, t)
		}
	}
}

// startable reports whether the task may start now.
func (t *task) startable(now time.Time) bool {
	return t.state == statePending && !now.Before(t.notBefore)
}
