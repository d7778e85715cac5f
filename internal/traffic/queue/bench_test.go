package queue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
)

func newBenchQueue() *Queue {
	return New(clock.NewSystem(), meter.NewSet(), Seams{
		RemoteCost: func(string) int64 { return 0 }, Changed: func() <-chan struct{} { return nil },
	})
}

// BenchmarkIdle measures a request that starts at once, with 75 accounts known.
func BenchmarkIdle(b *testing.B) {
	q := newBenchQueue()
	accounts := make([]string, 75)
	for i := range accounts {
		accounts[i] = fmt.Sprint("account-", i)
	}
	item := Item{Model: "m", Weight: 1, Cost: 25_000, Deadline: time.Now().Add(time.Hour), Start: func() (bool, error) { return true, nil }}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		item.Account = accounts[i%len(accounts)]
		turn, err := q.Wait(context.Background(), item)
		if err != nil {
			b.Fatal(err)
		}
		turn.Done()
	}
}

// BenchmarkContended measures the end of a request and the start of the next one, while
// 75 accounts have ten waiting requests each.
func BenchmarkContended(b *testing.B) {
	const accounts, each, slots = 75, 10, 8
	q := newBenchQueue()
	free := slots
	started := make(chan *Turn, accounts*each)
	send := func(account string) {
		turn, err := q.Wait(context.Background(), Item{
			Account: account, Model: "m", Weight: 1, Cost: 25_000, Deadline: time.Now().Add(time.Hour),
			Start: func() (bool, error) {
				if free == 0 {
					return false, nil
				}
				free--
				return true, nil
			},
		})
		if err != nil {
			b.Error(err)
		}
		started <- turn
	}
	for a := range accounts {
		for range each {
			go send(fmt.Sprint("account-", a))
		}
	}
	for q.Recheck() != accounts*each-slots {
		time.Sleep(time.Millisecond)
	}
	for b.Loop() {
		turn := <-started
		q.mu.Lock()
		free++
		q.mu.Unlock()
		turn.Done()
		go send(turn.item.Account)
	}
}
