package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

var (
	errCrashed   = errors.New("the engine crashed")
	errCancelled = errors.New("the request was cancelled")
)

// heartbeatPeriod is the interval of the heartbeat lines in a stream.
const heartbeatPeriod = 900 * time.Millisecond

type generateBody struct {
	Request      string `json:"request"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
	Seed         int64  `json:"seed"`
	Resume       string `json:"resume"`
	ResumeTokens int    `json:"resume_tokens"`
}

type chunkLine struct {
	Request string `json:"request"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
	Tokens  int    `json:"tokens"`
	Version int    `json:"version"`
}

type heartbeatLine struct {
	Heartbeat bool `json:"heartbeat"`
}

type doneLine struct {
	Request string `json:"request"`
	Done    bool   `json:"done"`
	Reason  string `json:"reason"`
	Tokens  int    `json:"tokens"`
}

// stream is a request that runs or waits for a slot.
type stream struct {
	body        generateBody
	ctx         context.Context
	end         context.CancelCauseFunc
	scheduled   chan struct{}
	cachedBytes int
	// position is the number of tokens so far, including resumed ones.
	position int
	// producing is set once the stream has sent a token.
	producing bool
}

// Tag returns the prefix of all tokens that are generated for a prompt.
func Tag(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt))[:8] }

// Text returns the tokens from (inclusive) to to (exclusive) that are generated
// for a prompt.
func Text(prompt string, from, to int) string {
	tag := Tag(prompt)
	var text strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&text, "%s.%d ", tag, i)
	}
	return text.String()
}

var lengthPattern = regexp.MustCompile(`len=(\d+) `)

// Length returns the number of tokens that are generated for a prompt and the
// reason why generation ends there.
func Length(prompt string, maxTokens int) (int, string) {
	if found := lengthPattern.FindStringSubmatch(prompt); found != nil {
		if n, err := strconv.Atoi(found[1]); err == nil && n < maxTokens {
			return n, "stop"
		}
	}
	return maxTokens, "length"
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	e.limit.Name(w)
	b, err := codec.Read[generateBody](r, 16*host.BodyLimit)
	if err == nil && (b.Request == "" || b.MaxTokens <= 0) {
		err = code.New(code.BadRequest, "a request needs request and max_tokens")
	}
	if err == nil && b.Model != e.options.Model {
		err = code.New(code.MissingObject, "field \"model\" has value %q, must be %q", b.Model, e.options.Model)
	}
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	s := &stream{body: b, ctx: ctx, end: end, scheduled: make(chan struct{}), position: b.ResumeTokens}
	if !e.admit(s) {
		host.TooManyRequests(w, "the engine's queue is full")
		return
	}
	defer e.remove(s)
	if e.run(w, s) != nil && !errors.Is(context.Cause(ctx), errCancelled) {
		// The stream ends without its last line.
		host.ResetConn(r)
	}
}

// admit puts a stream into the queue; it returns false if the queue is full. A
// cold engine that gets more requests than its capacity crashes, and so does an
// engine that gets a poisonous prompt.
func (e *Engine) admit(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received++
	if e.poison[Tag(s.body.Prompt)] {
		e.streams[s.body.Request] = s
		e.crash()
		return true
	}
	if e.running+len(e.waiting)+1 > e.capacity() {
		if !e.warmup.active(time.Now()) {
			return false
		}
		e.streams[s.body.Request] = s
		e.crash()
		return true
	}
	if old, ok := e.streams[s.body.Request]; ok {
		// The caller lost the older connection and resumes on this one.
		old.end(errCancelled)
		e.replaced++
	}
	e.streams[s.body.Request] = s
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *stream) int { return b.body.Priority - a.body.Priority })
	e.startNext()
	return true
}

// startNext assigns free slots to waiting streams. The caller holds the lock.
func (e *Engine) startNext() {
	for e.running < e.options.Slots && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		next.cachedBytes = e.cache.lookupAndAdd(next.body.Prompt)
		close(next.scheduled)
	}
}

// remove releases the stream's slot, or its place in the queue.
func (e *Engine) remove(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.body.Request] == s {
		delete(e.streams, s.body.Request)
	}
	select {
	case <-s.scheduled:
		e.running--
		if s.producing {
			e.producing--
		}
	default:
		e.waiting = slices.DeleteFunc(e.waiting, func(w *stream) bool { return w == s })
	}
	e.startNext()
}

// run sends the stream's lines and returns an error if the stream ended early.
func (e *Engine) run(w http.ResponseWriter, s *stream) error {
	lines := host.NewLineWriter(w)
	if err := lines.Write(heartbeatLine{true}); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatPeriod)
	defer heartbeat.Stop()
	wait := func(until <-chan time.Time, scheduled <-chan struct{}) error {
		for {
			select {
			case <-until:
				return nil
			case <-scheduled:
				return nil
			case <-heartbeat.C:
				if err := lines.Write(heartbeatLine{true}); err != nil {
					return err
				}
			case <-s.ctx.Done():
				return e.finishCancelled(lines, s)
			}
		}
	}
	if err := wait(nil, s.scheduled); err != nil {
		return err
	}
	// A resumed stream processes its earlier text as part of the prompt.
	bytes := float64(len(s.body.Prompt) + len(s.body.Resume) - s.cachedBytes)
	prefill := time.NewTimer(time.Duration(bytes / e.options.PrefillRate / e.relativeSpeed() * float64(time.Second)))
	defer prefill.Stop()
	if err := wait(prefill.C, nil); err != nil {
		return err
	}
	return e.decode(lines, s, wait)
}

// decode sends the tokens in chunks. Each stream earns credit at the current
// token rate and sends as many tokens as its credit allows.
func (e *Engine) decode(lines *host.LineWriter, s *stream, wait func(<-chan time.Time, <-chan struct{}) error) error {
	total, reason := Length(s.body.Prompt, s.body.MaxTokens)
	index, credit, last := 0, 1.0, time.Now()
	ticker := time.NewTicker(e.options.ChunkInterval)
	defer ticker.Stop()
	for s.position < total {
		if n := min(int(credit), total-s.position); n > 0 {
			if err := lines.Write(e.nextChunk(s, index, n)); err != nil {
				return err
			}
			e.markProducing(s)
			s.position, index, credit = s.position+n, index+1, credit-float64(n)
			continue
		}
		if err := wait(ticker.C, nil); err != nil {
			return err
		}
		now := time.Now()
		credit += e.rate() * now.Sub(last).Seconds()
		last = now
	}
	e.mu.Lock()
	e.warmup.requestDone(e.options.Slots)
	e.mu.Unlock()
	return lines.Write(doneLine{s.body.Request, true, reason, s.position})
}

// markProducing counts a stream as producing after it sent its first token.
func (e *Engine) markProducing(s *stream) {
	if s.producing {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.producing = true
	e.producing++
}

// nextChunk returns the next chunk of a stream. While the switch crossed acts, it
// returns a chunk of another request, as an engine that mixes up responses would.
func (e *Engine) nextChunk(s *stream, index, n int) chunkLine {
	e.mu.Lock()
	version := e.versions.active
	e.tokens += int64(n)
	e.mu.Unlock()
	if e.crossed.Take() {
		return chunkLine{"crossed-" + s.body.Request, index, Text("another prompt", s.position, s.position+n), n, version}
	}
	return chunkLine{s.body.Request, index, Text(s.body.Prompt, s.position, s.position+n), n, version}
}

// finishCancelled sends the last line if the stream was cancelled, and returns the
// cause of its end.
func (e *Engine) finishCancelled(lines *host.LineWriter, s *stream) error {
	cause := context.Cause(s.ctx)
	if errors.Is(cause, errCancelled) {
		_ = lines.Write(doneLine{s.body.Request, true, "cancelled", s.position})
	}
	return cause
}

// relativeSpeed returns the engine's current speed as a fraction of its full speed.
func (e *Engine) relativeSpeed() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	speed := e.warmup.speed(now)
	if e.slowUntil.IsZero() || now.Before(e.slowUntil) {
		speed /= e.slowFactor
	}
	return speed
}

// rate returns the current tokens per second of one stream.
func (e *Engine) rate() float64 {
	speed := e.relativeSpeed()
	e.mu.Lock()
	defer e.mu.Unlock()
	return speed * min(e.options.StreamRate, e.options.TotalRate/float64(max(e.running, 1)))
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["request"]
	e.mu.Lock()
	s, ok := e.streams[id]
	e.mu.Unlock()
	if !ok {
		codec.WriteError(w, code.New(code.MissingObject, "request %q is not running", id))
		return
	}
	s.end(errCancelled)
	codec.Write(w, http.StatusOK, struct{}{})
}
