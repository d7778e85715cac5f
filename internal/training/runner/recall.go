package runner

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

const (
	// recallPath is where a worker sends the texts of unfinished items in pieces. The
	// request is a KeepRequest with the texts that the caller has, without their events;
	// the answer is a sequence of RecallReply messages, each preceded by its length.
	recallPath = "/wigeonpin.runner/recall"
	// copyAgeHeader tells how long ago the worker received the latest copies.
	copyAgeHeader = "Copy-Age-Ms"
	// recallPieceBytes is the size from which on a piece is sent. A text is not split:
	// the weight versions and the last event of a part are not known.
	recallPieceBytes = 64 << 10
	// recallBodyLimit bounds one answer. 500 texts of 75 events of 400 bytes take 15 MB.
	recallBodyLimit = 64 << 20
	// recallTimeout is how long a worker that becomes active waits for the first piece
	// and for the next one.
	recallTimeout = 400 * time.Millisecond
	// recallGrace is how long it waits for a piece if its own copies are current, and
	// once one worker has sent all its texts: the lost holder does not answer.
	recallGrace = 100 * time.Millisecond
	// recallLimit bounds the wait and the calls. Generating the longest texts seen, of
	// 147 events, again takes five times as long.
	recallLimit = 1500 * time.Millisecond
	// eventTime is the usual time to generate an event, and recallDivisor the
	// divisor of the time to generate a text again that gives the longest wait for it.
	eventTime     = 50 * time.Millisecond
	recallDivisor = 5
)

// The sources of recalled texts, as they appear in counters and log lines.
const (
	sourcePeer   = "peer"
	sourceFormer = "former_peer" // a worker of a release that sends all texts at once
	sourceStore  = "store"
)

// copyCounters count the recalled texts by source, and the copied parts of texts and the
// failed calls by standby.
type copyCounters struct{ recalled, copied, failures *meter.Counter }

// The names of the counters of copied and recalled texts.
const (
	CountRecalled     = "texts_recalled"
	CountCopied       = "texts_copied"
	CountCopyFailures = "copy_failures"
)

func newCopyCounters(meters *meter.Set) copyCounters {
	return copyCounters{
		recalled: meters.Counter(CountRecalled), copied: meters.Counter(CountCopied), failures: meters.Counter(CountCopyFailures),
	}
}

// sendTexts answers a call to recallPath: it sends the texts of which this worker has
// more events than the caller, the longest first.
func (h *peerHandler) sendTexts(w http.ResponseWriter, request *http.Request) {
	var known KeepRequest
	body, err := io.ReadAll(request.Body)
	if err == nil {
		err = proto.Unmarshal(body, &known)
	}
	if err != nil {
		http.Error(w, "invalid request", http.StatusBadRequest)
		return
	}
	var parts []textPart
	age := time.Duration(-1)
	if err := h.do(request.Context(), func() { parts, age = h.runner.partsBeyond(known.GetTexts()), h.runner.copyAge() }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if age >= 0 {
		w.Header().Set(copyAgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	}
	out := http.NewResponseController(w)
	// A caller that stopped reading must not hold the handler. The deadline is removed
	// since the connection serves further calls.
	_ = out.SetWriteDeadline(time.Now().Add(2 * recallLimit))
	defer func() { _ = out.SetWriteDeadline(time.Time{}) }()
	for _, piece := range splitParts(parts, recallPieceBytes) {
		if _, err := protodelim.MarshalTo(w, &RecallReply{Texts: piece}); err != nil {
			return
		}
		_ = out.Flush()
	}
}

// textPart is the part of a text that begins at event from.
type textPart struct {
	key  string
	text text
	from int
}

// partsBeyond returns what the caller lacks of the texts of unfinished items. Each of the
// known texts names its origin and its number of events.
func (r *Runner) partsBeyond(known []*Text) []textPart {
	sent := make(map[string]copyState, len(known))
	for _, p := range known {
		sent[p.GetItem()] = copyState{origin: p.GetOrigin(), events: int(p.GetFrom())}
	}
	var parts []textPart
	for _, t := range r.unfinishedTasks() {
		p, has := textPart{key: t.textKey, text: t.snapshot()}, sent[t.textKey]
		if len(p.text.pieces) < minCopyEvents || len(p.text.pieces) <= has.events {
			continue
		}
		if has.origin == p.text.origin {
			p.from = has.events
		}
		parts = append(parts, p)
	}
	return parts
}

// splitParts returns the parts, the longest texts first, in pieces that end with the part
// that reaches the limit in bytes.
func splitParts(parts []textPart, limit int) [][]*Text {
	slices.SortStableFunc(parts, func(a, b textPart) int { return cmp.Compare(len(b.text.pieces), len(a.text.pieces)) })
	var pieces [][]*Text
	var piece []*Text
	size := 0
	for _, p := range parts {
		piece = append(piece, newTextPart(p.key, p.text, p.from))
		if size += p.text.sizeFrom(p.from); size >= limit {
			pieces = append(pieces, piece)
			piece, size = nil, 0
		}
	}
	if len(piece) > 0 {
		pieces = append(pieces, piece)
	}
	return pieces
}

// knownTexts returns which events of unfinished items are known, without the events.
func (r *Runner) knownTexts() []*Text {
	var known []*Text
	for _, t := range r.unfinishedTasks() {
		if n := len(t.text.pieces); n > 0 {
			known = append(known, &Text{Item: t.textKey, Origin: t.text.origin, From: int64(n)})
		}
	}
	return known
}

// recallWait decides how long runs wait for recalled texts. Times are counted from the
// start of the recall.
type recallWait struct {
	latest time.Duration // arrival of the latest piece
	// complete is whether the texts of one worker are known completely: the own copies are
	// current, or a worker has sent all that it has.
	complete bool
	// shortest is the number of events of the shortest text received from each worker
	// that has not ended its answer; 0 before the first piece.
	shortest map[string]int
}

// deadline returns the time at which the wait ends. While pieces arrive, that is a part of
// the time to generate the longest of the outstanding texts again, but at least
// recallTimeout and at most recallLimit.
func (w *recallWait) deadline() time.Duration {
	longest := 0
	for _, n := range w.shortest {
		longest = max(longest, n)
	}
	limit := min(max(time.Duration(longest)*eventTime/recallDivisor, recallTimeout), recallLimit)
	pause := recallTimeout
	if w.complete {
		pause = recallGrace
	}
	return min(w.latest+pause, limit)
}

// recallEvent is a piece that arrived from a worker, or the end of its answer.
type recallEvent struct {
	peer            string
	shortest        int
	ended, complete bool
}

// apply records an event at a time since the beginning of the recall.
func (w *recallWait) apply(e recallEvent, at time.Duration) {
	if e.ended {
		delete(w.shortest, e.peer)
		w.complete = w.complete || e.complete
		return
	}
	w.shortest[e.peer], w.latest = e.shortest, at
}

// recall fetches the texts that the other workers have stored, and merges them with the
// known ones. If none of them has any, it takes those saved in the store. Pieces that
// arrive after the wait are still merged for items that have not started.
func (r *Runner) recall(ctx context.Context, peers []string) {
	current := false
	known, ok := r.collect(ctx, func() []*Text {
		current = r.copies.current(r.timers.Uptime())
		return r.knownTexts()
	})
	if !ok {
		return
	}
	began := r.timers.Now()
	calls, stopCalls := context.WithTimeout(ctx, recallLimit)
	savedCtx, stopSaved := context.WithCancel(ctx)
	defer stopSaved()
	saved := make(chan [][]byte, 1)
	go func() { saved <- r.readSaved(savedCtx) }()

	events := make(chan recallEvent)
	wait := recallWait{complete: current, shortest: map[string]int{}}
	var running sync.WaitGroup
	for _, address := range peers {
		wait.shortest[address] = 0
		running.Go(func() { r.recallFrom(calls, address, known, events) })
	}
	go func() { running.Wait(); stopCalls() }()
	r.awaitPieces(ctx, events, &wait, began)
	go discard(calls, events)
	r.recallSaved(ctx, r.awaitSaved(ctx, saved, wait.complete))
	r.log.WithFields(logrus.Fields{"took_ms": r.timers.Since(began).Milliseconds(), "current": current, "complete": wait.complete, "known": len(known)}).Info("recall ended")
}

// awaitPieces waits for the pieces of the workers as long as wait allows.
func (r *Runner) awaitPieces(ctx context.Context, events <-chan recallEvent, wait *recallWait, began time.Time) {
	for len(wait.shortest) > 0 {
		deadline := r.timers.After(wait.deadline() - r.timers.Since(began))
		ended := false
		select {
		case e := <-events:
			wait.apply(e, r.timers.Since(began))
		case <-deadline.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		deadline.Stop()
		if ended {
			return
		}
	}
}

// discard takes events until the calls end, so that none of them waits for a reader.
func discard(calls context.Context, events <-chan recallEvent) {
	for {
		select {
		case <-events:
		case <-calls.Done():
			return
		}
	}
}

// awaitSaved returns the saved texts. It waits for them only if no text is known; if some
// are known, but not completely, it returns those that have been read.
func (r *Runner) awaitSaved(ctx context.Context, saved <-chan [][]byte, complete bool) [][]byte {
	lacking := make(chan bool, 1)
	r.post(ctx, func(context.Context) { lacking <- r.lacksTexts() })
	select {
	case <-ctx.Done():
		return nil
	case lacks := <-lacking:
		if !lacks && (complete || len(saved) == 0) {
			return nil
		}
	}
	select {
	case bodies := <-saved:
		return bodies
	case <-ctx.Done():
		return nil
	}
}

// recallFrom fetches the texts of one worker and reports each piece.
func (r *Runner) recallFrom(ctx context.Context, address string, known []*Text, events chan<- recallEvent) {
	began := r.timers.Now()
	source := sourcePeer
	count := 0
	received := func(texts []*Text) {
		count += len(texts)
		r.post(ctx, func(context.Context) {
			for _, part := range texts {
				r.mergeIfLonger(part)
			}
		})
		last := texts[len(texts)-1]
		sendEvent(ctx, events, recallEvent{peer: address, shortest: int(last.GetFrom()) + len(last.GetPieces())})
	}
	age, err := r.recallPieces(ctx, address, known, received)
	if errors.Is(err, errNoPieces) {
		source = sourceFormer
		err = r.recallAtOnce(ctx, address, received)
	}
	// A worker that has not received copies lately may lack what another one has.
	current := source == sourceFormer || age >= 0 && age <= currentCopyAge
	sendEvent(ctx, events, recallEvent{peer: address, ended: true, complete: err == nil && count > 0 && current})
	r.copyCounters.recalled.Add(source, int64(count))
	fields := logrus.Fields{logs.Peer: address, "source": source, "texts": count, "took_ms": r.timers.Since(began).Milliseconds()}
	if age >= 0 {
		fields["age_ms"] = age.Milliseconds()
	}
	if err != nil {
		r.log.WithFields(fields).WithField(logs.Cause, err.Error()).Warn("texts not recalled completely")
		return
	}
	r.log.WithFields(fields).Info("texts recalled")
}

func sendEvent(ctx context.Context, events chan<- recallEvent, e recallEvent) {
	select {
	case events <- e:
	case <-ctx.Done():
	}
}

// errNoPieces is the error of a worker of a release that sends all texts at once.
var errNoPieces = errors.New("the worker sends no pieces")

// recallClient returns a client for answers of up to recallBodyLimit bytes.
func recallClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: conn.LimitResponses(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}, recallBodyLimit)}
}

// recallPieces calls received with each piece of the texts of a worker that is not empty,
// and returns the age of the worker's copies, or unknownAge.
func (*Runner) recallPieces(ctx context.Context, address string, known []*Text, received func([]*Text)) (age time.Duration, err error) {
	body, err := proto.Marshal(&KeepRequest{Texts: known})
	if err != nil {
		return unknownAge, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+recallPath, bytes.NewReader(body))
	if err != nil {
		return unknownAge, err
	}
	answer, err := recallClient().Do(request)
	if err != nil {
		return unknownAge, err
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return unknownAge, errNoPieces
	default:
		return unknownAge, fmt.Errorf("%w: %d", errStatus, answer.StatusCode)
	}
	age = copyAgeOf(answer.Header)
	reader := bufio.NewReader(answer.Body)
	for {
		var reply RecallReply
		err := protodelim.UnmarshalFrom(reader, &reply)
		if errors.Is(err, io.EOF) {
			return age, nil
		}
		if err != nil {
			return age, err
		}
		if len(reply.GetTexts()) > 0 {
			received(reply.GetTexts())
		}
	}
}

// unknownAge is the age of copies that a worker does not report.
const unknownAge = time.Duration(-1)

// copyAgeOf returns the age of a worker's copies that the header of its answer reports.
func copyAgeOf(header http.Header) time.Duration {
	millis, err := strconv.ParseUint(header.Get(copyAgeHeader), 10, 31)
	if err != nil {
		return unknownAge
	}
	return time.Duration(millis) * time.Millisecond
}

// recallAtOnce calls received with all texts of a worker, the longest first.
func (*Runner) recallAtOnce(ctx context.Context, address string, received func([]*Text)) error {
	client := conn.NewPeerClient(dialTimeout, 1)
	defer client.CloseIdleConnections()
	reply, err := NewStandbyProtobufClient("http://"+address, client).Recall(ctx, &RecallRequest{})
	if err != nil {
		return err
	}
	texts := reply.GetTexts()
	slices.SortStableFunc(texts, func(a, b *Text) int { return cmp.Compare(len(b.GetPieces()), len(a.GetPieces())) })
	if len(texts) > 0 {
		received(texts)
	}
	return nil
}
