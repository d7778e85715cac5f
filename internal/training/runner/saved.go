package runner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// saveInterval is how often new events are saved in the store. It bounds how
	// much is generated again after all workers were lost at once.
	saveInterval = time.Second
	// saveRetryDelay is the pause after texts could not be saved.
	saveRetryDelay = 3 * time.Second
	// saveTimeout bounds one write, and savedTimeout the reading of all records. Runs
	// wait for it, but texts that are not read take longer to generate again.
	saveTimeout  = 900 * time.Millisecond
	savedTimeout = 1500 * time.Millisecond
	// minSavedEvents is the number of events from which on a text is saved.
	minSavedEvents = 30
)

// savedTexts tracks what the records with texts hold. When a slot is written
// again, the texts of which it held a part are saved anew as a whole.
type savedTexts struct {
	sent  map[string]copyState
	slots [batch.TextSlots][]string // text keys by slot
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
	for key := range saved.sent {
		if r.findTask(key) == nil {
			delete(saved.sent, key)
		}
	}
	for _, key := range saved.slots[saved.next] {
		delete(saved.sent, key)
	}
	return r.collectParts(saved.sent, minSavedEvents, limit)
}

// saveSlot writes the next slot.
func (r *Runner) saveSlot(ctx context.Context, saved *savedTexts, texts []*Text) error {
	keys := make([]string, 0, len(texts))
	for _, part := range texts {
		keys = append(keys, part.GetItem())
	}
	body, err := encodeParts(texts)
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		err = r.seams.Store.SaveTexts(limited, saved.next, body)
	}
	if err != nil {
		for _, key := range keys {
			delete(saved.sent, key)
		}
		return err
	}
	saved.slots[saved.next] = keys
	saved.next = (saved.next + 1) % batch.TextSlots
	return nil
}

// recallSaved merges the saved texts that are longer than the known ones.
func (r *Runner) recallSaved(ctx context.Context, bodies [][]byte) {
	texts := joinParts(bodies)
	if len(texts) == 0 {
		return
	}
	r.post(ctx, func(context.Context) {
		for _, whole := range texts {
			r.mergeIfLonger(whole)
		}
	})
	r.copyCounters.recalled.Add(sourceStore, int64(len(texts)))
	r.log.WithFields(logrus.Fields{"texts": len(texts), "source": sourceStore}).Info("saved texts recalled")
}

// readSaved reads the saved texts. It returns none if no item is unfinished.
func (r *Runner) readSaved(ctx context.Context) [][]byte {
	needed := make(chan bool, 1)
	r.post(ctx, func(context.Context) { needed <- r.lacksTexts() })
	select {
	case <-ctx.Done():
		return nil
	case lacking := <-needed:
		if !lacking {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, savedTimeout)
	defer cancel()
	bodies, err := r.seams.Store.Texts(ctx)
	if err != nil {
		r.log.WithField(logs.Cause, err.Error()).Info("saved texts not read")
	}
	return bodies
}

// lacksTexts reports whether items are unfinished and no text of any is known.
func (r *Runner) lacksTexts() bool {
	unfinished := r.unfinishedTasks()
	return len(unfinished) > 0 && !slices.ContainsFunc(unfinished, func(t *task) bool { return len(t.text.pieces) > 0 })
}

// encodeParts returns the parts in a form that decodes quickly and is valid JSON,
// as the store demands.
func encodeParts(texts []*Text) ([]byte, error) {
	encoded, err := proto.Marshal(&KeepRequest{Texts: texts})
	if err != nil {
		return nil, err
	}
	return json.Marshal(encoded)
}

// decodeParts returns no parts if the body is invalid.
func decodeParts(body []byte) []*Text {
	var encoded []byte
	var request KeepRequest
	if json.Unmarshal(body, &encoded) != nil || proto.Unmarshal(encoded, &request) != nil {
		return nil
	}
	return request.GetTexts()
}

// joinParts joins the parts of texts in the saved bodies, the oldest first, and returns
// the texts by text key. Parts that do not continue what precedes them are left out.
func joinParts(bodies [][]byte) map[string]*Text {
	texts := map[string]*Text{}
	for _, body := range bodies {
		for _, part := range decodeParts(body) {
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
