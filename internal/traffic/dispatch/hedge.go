package dispatch

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/peer/service"
)

type sendFunc func(ctx context.Context, address string, request service.Request) (*Answer, error)

type sendResult struct {
	answer *Answer
	err    error
	number int
}

// hedged sends a repeatable call over a pooled connection. If no answer arrives
// within the silence timeout, it hedges: it sends the call once more over a new
// connection, since the pooled one may be dead, and returns the first successful
// answer.
func (f *forwarding) hedged(ctx context.Context, chosen pickResult, request service.Request) (*Answer, error) {
	results := make(chan sendResult, 2)
	var cancels []context.CancelFunc
	start := func(send sendFunc) {
		attemptCtx, cancel := context.WithCancel(ctx)
		number := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			answer, err := send(attemptCtx, chosen.endpoint.Address, request)
			results <- sendResult{answer, err, number}
		}()
	}
	timer := f.d.timers.After(setting.Milliseconds(f.d.settings.SilenceMS))
	defer timer.Stop()
	start(f.d.services.SendPooled)
	var firstErr error
	for finished := 0; finished < len(cancels); {
		select {
		case <-timer.C:
			if f.d.budgets.spend(f.call.Account, chosen.endpoint.ID) && f.d.takeAgain(chosen.endpoint) {
				f.d.counts.retried.Add(f.call.Account, 1)
				start(f.d.services.SendOnce)
			}
		case r := <-results:
			finished++
			if r.err == nil {
				return f.winner(r, results, cancels, finished), nil
			}
			cancels[r.number]()
			// The error of an attempt that may have run takes precedence.
			if firstErr == nil || code.Of(firstErr).Run == code.NotRun {
				firstErr = r.err
			}
		}
	}
	return nil, firstErr
}

// winner returns the answer of the first successful attempt and cancels the
// others. The context of that attempt stays alive until the answer is closed.
func (f *forwarding) winner(result sendResult, results chan sendResult, cancels []context.CancelFunc, finished int) *Answer {
	for number, cancel := range cancels {
		if number != result.number {
			cancel()
		}
	}
	f.d.background.Go(func() {
		for ; finished < len(cancels); finished++ {
			if r := <-results; r.err == nil {
				r.answer.Close()
			}
		}
	})
	return result.answer.OnClose(cancels[result.number])
}
