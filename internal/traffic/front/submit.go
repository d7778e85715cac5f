package front

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// submit accepts a batch. It answers 202 only after the batch is stored, and 503
// only when the batch is not stored and never will be.
func (f *Front) submit(w http.ResponseWriter, r *http.Request, q *callerRequest) {
	if r.Method != http.MethodPost || q.id == "" {
		f.refuse(w, q, code.New(code.BadRequest, "a batch is a POST with an id").WithRun(code.NotRun))
		return
	}
	if f.isolated() {
		f.refuse(w, q, errIsolated())
		return
	}
	share := f.seams.Memory.Share().WithFactor(batchCopies)
	defer share.Release()
	body, ok := f.receiveBody(w, r, q, share, f.batchWork(q))
	if !ok {
		return
	}
	b, items, err := f.decodeBatch(body, q)
	body = nil // the encoded items take its place
	if err != nil {
		f.refuse(w, q, code.New(code.BadRequest, "%s", err).WithRun(code.NotRun))
		return
	}
	if !share.Grow(items.Size()) {
		f.refuse(w, q, errMemoryFull())
		return
	}
	ctx, cancel := f.withTimeout(context.WithoutCancel(r.Context()), f.acceptTimeout(q, items.Records()))
	defer cancel()
	err = f.accept(ctx, b, items)
	var other *batch.OtherAccountError
	switch {
	case err == nil:
		f.log.WithFields(logrus.Fields{
			"batch": b.ID, logs.Account: b.Account, logs.Step: b.Step, "items": items.Count,
			"took_ms": f.timers.Since(q.began).Milliseconds(),
		}).Info("batch accepted")
		f.confirm(w, q)
	case errors.As(err, &other) && q.mayUse(other.Stored):
		f.confirm(w, q)
	case other != nil && q.keyError != nil:
		f.refuse(w, q, q.keyError)
	case other != nil:
		f.refuse(w, q, code.New(code.KeyForbidden, "the id belongs to another account").WithRun(code.NotRun))
	default:
		f.refuse(w, q, f.storeError(err))
	}
}

// decodeBatch decodes a submitted batch, and encodes its items for the store. Its error
// names the number of an item that cannot be sent, counted from 1.
func (f *Front) decodeBatch(body []byte, q *callerRequest) (*batch.Batch, batch.EncodedItems, error) {
	b, items, err := f.seams.API.Decode(body)
	if err != nil {
		return nil, batch.EncodedItems{}, err
	}
	b.ID, b.Account, b.Host, b.Path, b.Time = q.id, q.account.Name, q.host, q.path, f.timers.Now()
	b.Routes = batch.RoutesOf(q.manifest, b)
	encoded, err := f.seams.Shelf.Encode(func(yield func(batch.Item, error) bool) {
		number := 0
		for item, err := range items {
			if number++; err == nil {
				err = eris.Wrapf(item.Check(), "item %d", number)
			}
			if err == nil {
				b.Routes = b.Routes.WithItem(q.manifest, b.Host, &item)
			}
			if !yield(item, err) {
				return
			}
		}
	}, len(body))
	return b, encoded, err
}

// confirm answers that the batch is stored.
func (f *Front) confirm(w http.ResponseWriter, q *callerRequest) {
	f.recordServed(q, http.StatusAccepted)
	writeBytes(w, http.StatusAccepted, nil)
}

// resubmit answers a request on a path without a route. A batch that was accepted
// while the path had one may be submitted again, and gets the same answer as then. A
// refusal would state that it never runs.
func (f *Front) resubmit(w http.ResponseWriter, r *http.Request, q *callerRequest) {
	share := f.seams.Memory.Share().WithFactor(batchCopies)
	defer share.Release()
	body, ok := f.receiveBody(w, r, q, share, f.batchWork(q))
	if !ok {
		return
	}
	// Only a body that submits items is worth a call to the store.
	if !f.submitsItems(body) {
		f.refuse(w, q, errNoRoute(q))
		return
	}
	ctx, cancel := f.withStoreTimeout(r.Context())
	defer cancel()
	unknown := code.New(code.DeadlinePast, "it is not known whether the batch was accepted: the answer of the store came too late").WithRun(code.MaybeRun)
	f.serveProved(ctx, w, q, unknown, func() bool { return f.confirmStored(ctx, w, q) })
}

// submitsItems reports whether the body is that of a batch with items.
func (f *Front) submitsItems(body []byte) bool {
	_, items, err := f.seams.API.Decode(body)
	if err != nil {
		return false
	}
	some := false
	for _, err := range items {
		if err != nil {
			return false
		}
		some = true
	}
	return some
}

// confirmStored answers a submission that may be a repeated one. It reports false if the
// proof that the batch is not stored is too old.
func (f *Front) confirmStored(ctx context.Context, w http.ResponseWriter, q *callerRequest) bool {
	stored, err := f.seams.Reader.Batch(ctx, q.batch)
	switch {
	case err == nil && q.mayUse(stored):
		f.confirm(w, q)
	case err == nil || errors.Is(err, records.ErrMissing):
		return f.refuseBatch(ctx, w, q, err, errNoRoute(q))
	default:
		f.refuse(w, q, code.New(code.DeadlinePast, "it is not known whether the batch was accepted: %s", err).WithRun(code.MaybeRun))
	}
	return true
}

// accept stores a batch. While the store is out of reach, it waits for its return:
// the caller's next attempt would meet the same outage, and its attempts are few.
func (f *Front) accept(ctx context.Context, b *batch.Batch, items batch.EncodedItems) error {
	for {
		err := f.seams.Shelf.AcceptEncoded(ctx, b, items)
		if !errors.Is(err, records.ErrRefused) || !f.awaitStore(ctx) {
			return err
		}
	}
}

// awaitStore waits until the store can be reached again. It reports false at once if
// the store is not known to be out of reach, and when ctx ends first.
func (f *Front) awaitStore(ctx context.Context) bool {
	restored := f.seams.Outage.Restored()
	if restored == nil {
		return false
	}
	select {
	case <-restored:
		return true
	case <-ctx.Done():
		return false
	}
}
