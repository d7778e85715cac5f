package runner

import (
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// defaultMemory is the memory that is assumed if Seams.Memory is 0, in bytes.
	defaultMemory = 512 << 20
	// itemsShare, textsShare, endedShare and pagesShare are the shares of the memory for
	// the items of open batches, the texts of listed items and of the active worker's
	// items, the texts of ended batches, and the pages that callers may read here. The
	// rest is for the process itself and for garbage.
	itemsShare = 0.16
	textsShare = 0.1
	endedShare = 0.04
	pagesShare = 0.18
	// taskOverhead is the memory of an item's task with its key and its entries in maps,
	// in bytes.
	taskOverhead = 832
	// listedOverhead is the memory of an entry of job.listedBefore, in bytes.
	listedOverhead = 32
	// openShare is the share of the room that any client account may take. The rest is
	// for accounts that have less than an equal part.
	openShare = 0.75
	// minPiece and maxPiece bound the room of the items that one read of the store loads,
	// in bytes. An account always has room for one piece of minPiece.
	minPiece = 128 << 10
	maxPiece = 2 << 20
	// maxWindow is the number of items of an account that may have tasks. Each pass over
	// them costs time. It is four times the samples of the largest step.
	maxWindow = 16384
)

// itemCost returns the room that an item takes, in bytes.
func itemCost(item *batch.Item) int64 { return taskOverhead + item.MemorySize() }

// room counts the memory that open batches take: that of the items by client account, and
// in used also that of job.listedBefore. Items that have no room wait in the store: an
// account with many items delays its own batches, not those of others. An account without
// items here always has room for a piece, so that each batch goes on. It is not safe for
// concurrent use.
type room struct {
	limit, used int64
	accounts    map[string]usage
}

// usage is what the items of an account take: their number, and their room in bytes.
type usage struct {
	items int
	size  int64
}

func newRoom(limit int64) *room { return &room{limit: limit, accounts: map[string]usage{}} }

// free returns the room that an account may still take when a number of accounts have open
// batches.
func (m *room) free(account string, accounts int) int64 {
	free := int64(openShare*float64(m.limit)) - m.used
	equal := m.limit/int64(max(accounts, 1)) - m.accounts[account].size
	free = max(free, min(equal, m.limit-m.used))
	if m.accounts[account].size == 0 {
		free = max(free, minPiece)
	}
	return max(free, 0)
}

// take counts a number of items with their room. release takes it back.
func (m *room) take(account string, items int, size int64) {
	u := m.accounts[account]
	u.items += items
	u.size += size
	m.used += size
	m.accounts[account] = u
	if u.size <= 0 {
		delete(m.accounts, account)
	}
}

func (m *room) release(account string, items int, size int64) { m.take(account, -items, -size) }
