package runner

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

const (
	// saveInterval is how often new events are saved in the store. It bounds how
	// much is generated again after all workers were lost at once.
	saveInterval = time.Second
	// saveRetryDelay is the pause after texts could not be saved.
	saveRetryDelay = 3 * time.Second
	// saveTimeout bounds one write, and savedTimeout the reading of all slots.
	saveTimeout  = 900 * time.Millisecond
	savedTimeout = 600 * time.Millisecond
	// saveSlots is the number of records with texts. They are written in turn.
	saveSlots = 16
)

// savedTexts tracks what the records with texts hold. When a slot is written
// again, the texts of which it held a part are saved anew as a whole.
type savedTexts struct {
	sent  map[string]copyState
	slots [saveSlots][]string // items by slot
	next  int
}

func newSavedTexts() *savedTexts { return &savedTexts{sent: map[string]copyState{}} }

// SaveTexts saves the texts of the active worker in the store until ctx ends, so
// that long texts outlive all processes.
func (r *Runner) SaveTexts(ctx context.Context) {
	saved := newSavedTexts()
	limit := int(maxPageFraction * float64(r.seams.ValueBytes))
	pause := saveInterval
	for r.timers.Sleep(ctx, pause) == nil {
		pause = saveInterval
		texts, ok := r.collect(ctx, func() []*Text { return r.collectUnsaved(saved, limit) })
		if !ok || len(texts) == 0 {
			continue
		}
		if err := r.saveSlot(ctx, saved, texts); err != nil {
			pause = saveRetryDelay
			r.log.WithField(logs.Cause, err.Error()).Warn("texts not saved")
		}
	}
}

// collectUnsaved returns the parts of texts that the next slot is to hold.
func (r *Runner) collectUnsaved(saved *savedTexts, limit int) []*Text {
	if !r.active {
		clear(saved.sent)
		return nil
	}
	for id := range saved.sent {
		if r.findTask(id) == nil {
			delete(saved.sent, id)
		}
	}
	for _, id := range saved.slots[saved.next] {
		delete(saved.sent, id)
	}
	return r.collectParts(saved.sent, limit)
}

// saveSlot writes the next slot.
func (r *Runner) saveSlot(ctx context.Context, saved *savedTexts, texts []*Text) error {
	items := make([]string, 0, len(texts))
	for _, part := range texts {
		items = append(items, part.GetItem())
	}
	body, err := protojson.Marshal(&KeepRequest{Texts: texts})
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		err = r.seams.Store.SaveTexts(limited, saved.next, body)
	}
	if err != nil {
		for _, id := range items {
			delete(saved.sent, id)
		}
		return err
	}
	saved.slots[saved.next] = items
	saved.next = (saved.next + 1) % saveSlots
	return nil
}

// RecallSaved merges the texts that were saved in the store with the known ones.
// It does nothing if the text of any unfinished item is known, since the copies
// of the other workers are newer.
func (r *Runner) RecallSaved(ctx context.Context) {
	needed := make(chan bool, 1)
	r.post(ctx, func(context.Context) { needed <- r.lacksTexts() })
	select {
	case <-ctx.Done():
		return
	case missing := <-needed:
		if !missing {
			return
		}
	}
	limited, cancel := context.WithTimeout(ctx, savedTimeout)
	defer cancel()
	bodies, err := r.seams.Store.Texts(limited)
	if err != nil {
		r.log.WithField(logs.Cause, err.Error()).Info("saved texts not read")
		return
	}
	texts := joinParts(bodies)
	r.post(ctx, func(context.Context) {
		merged := 0
		for _, whole := range texts {
			if t := r.findTask(whole.GetItem()); t != nil {
				merged++
				r.mergeIfLonger(whole)
			}
		}
		r.log.WithFields(logrus.Fields{"texts": merged, "saved": len(texts)}).Info("saved texts recalled")
	})
}

// lacksTexts reports whether items are unfinished and no text of any is known.
func (r *Runner) lacksTexts() bool {
	unfinished := r.unfinishedTasks()
	return len(unfinished) > 0 && !slices.ContainsFunc(unfinished, func(t *task) bool { return len(t.text.pieces) > 0 })
}

// joinParts joins the parts of texts in the saved bodies, the oldest first. Parts
// that do not continue what precedes them are left out.
func joinParts(bodies [][]byte) map[string]*Text {
	texts := map[string]*Text{}
	for _, body := range bodies {
		var request KeepRequest
		if protojson.Unmarshal(body, &request) != nil {
			continue
		}
		for _, part := range request.GetTexts() {
			known, from := texts[part.GetItem()], int(part.GetFrom())
			switch {
			case from == 0:
				texts[part.GetItem()] = part
			case known != nil && known.GetOrigin() == part.GetOrigin() && from <= len(known.GetPieces()):
				part.Pieces = append(slices.Clone(known.GetPieces()[:from]), part.GetPieces()...)
				part.From = 0
				texts[part.GetItem()] = part
			}
		}
	}
	return texts
}
