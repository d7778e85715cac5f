package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/sse"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// generate reads the events of the item from one engine that continue a text. It returns
// the text including these events, and the weight version that the engine reported last.
func (r *Runner) generate(ctx context.Context, t *task, generated text, slot *replica.Slot, request exchange.Request) (text, int64, error) {
	minVersion := t.job.batch.MinVersion
	answer, err := r.seams.Pool.Do(ctx, slot.Entry.Address, request)
	if err != nil {
		return generated, 0, err
	}
	defer answer.Close()
	if answer.Status != http.StatusMisdirectedRequest {
		r.observe(slot, answer.Header)
	}
	version, _ := r.seams.Names.ReadVersion(answer.Header)
	if err := r.checkAnswer(answer); err != nil {
		return generated, version, err
	}
	if version < minVersion {
		return generated, version, errOldWeights
	}
	reader := sse.NewReader(answer, r.seams.Names.VersionKey)
	pace := &paceMeter{slot: slot}
	for {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) && len(generated.pieces) == 0 {
			return generated, version, errNoEvent // every output has an event
		}
		if errors.Is(err, io.EOF) {
			generated.complete = true
			return generated, version, nil
		}
		if err != nil {
			return generated, version, err
		}
		if !e.HasOutput() {
			continue // a stalled engine may still send comments
		}
		if e.Version != 0 {
			version = e.Version
			r.seams.Fleet.RecordVersion(slot.Entry.ID, t.job.batch.Model, version)
		}
		if generated.last > 0 && e.ID != generated.last+1 {
			return generated, version, fmt.Errorf("%w: event %d after %d", errEventGap, e.ID, generated.last)
		}
		if version < minVersion {
			return generated, version, errOldWeights
		}
		generated = generated.with(e.ID, string(e.Data), version)
		if r.tooLong(t.item, generated) {
			return text{}, version, errTooLong
		}
		current := generated
		t.liveText.Store(&current)
		now := r.timers.Now()
		pace.observe(now)
		t.noteActivity(r.timers, 0)
		t.lastEvent.Store(now.UnixNano())
	}
}

// observe records what the engine reports about itself in the header of its answer.
func (r *Runner) observe(slot *replica.Slot, header http.Header) {
	if r.seams.Names.IsLeaving(header) && slot.MarkLeaving() {
		r.log.WithField(logs.Endpoint, slot.Entry.ID).Info("engine leaves")
	}
	load, found, err := r.seams.Names.ReadLoad(header)
	if err != nil {
		r.invalidLoads.Record(slot.Entry.ID, err)
	}
	if found {
		slot.Report(load)
	}
	rate, limited, err := r.seams.Names.ReadLimit(header)
	if err != nil {
		r.log.WithFields(logrus.Fields{logs.Endpoint: slot.Entry.ID, logs.Cause: err.Error()}).Warn("rate limit of an engine ignored")
		return
	}
	slot.ReportLimit(rate, limited)
}

// tooLong reports whether the text exceeds the limits of the item: every event
// holds at least one token, and a result must fit into a record.
func (r *Runner) tooLong(item *batch.Item, generated text) bool {
	if item.MaxTokens > 0 && int64(len(generated.pieces)) > item.MaxTokens {
		return true
	}
	return generated.size > r.seams.ValueBytes
}

// eventsPerSample is the number of events that are timed together, since several
// events may arrive at once.
const eventsPerSample = 4

// paceMeter measures the time between the events of a run.
type paceMeter struct {
	slot  *replica.Slot
	start time.Time
	count int
}

func (p *paceMeter) observe(now time.Time) {
	if p.start.IsZero() {
		p.start = now
		return
	}
	if p.count++; p.count == eventsPerSample {
		p.slot.RecordEventTime(now.Sub(p.start) / eventsPerSample)
		p.start, p.count = now, 0
	}
}

// checkAnswer returns an error if the answer is not a stream of events.
func (r *Runner) checkAnswer(answer *exchange.Answer) error {
	names := r.seams.Names
	if answer.Status == http.StatusOK && answer.Header.Get(names.Stamp) != "" {
		return nil
	}
	rejected := answer.Header.Get(names.Rejected) != ""
	stamped := answer.Header.Get(names.Stamp) != ""
	status := answer.Status
	answer.Discard()
	switch {
	case status == http.StatusMisdirectedRequest:
		return errMisplaced
	case rejected:
		return errRejected
	case stamped && status == http.StatusInternalServerError:
		return errEngineError
	case stamped && status == http.StatusUnprocessableEntity:
		return errUnprocessable
	}
	return fmt.Errorf("%w: %d", errStatus, status)
}
