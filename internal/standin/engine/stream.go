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
	errFallen    = errors.New("the engine fell over")
	errCancelled = errors.New("the request was cancelled")
)

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

// stream is one request that runs or waits.
type stream struct {
	body   generateBody
	ctx    context.Context
	end    context.CancelCauseFunc
	turn   chan struct{}
	cached int
	// at is the number of tokens so far, resumed ones included.
	at int
	// producing is set once the stream has sent a token.
	producing bool
}

// Tag returns the text that the tokens of a prompt begin with.
func Tag(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt))[:8] }

// Text returns the tokens from up to and without to of a prompt's answer.
func Text(prompt string, from, to int) string {
	tag := Tag(prompt)
	var text strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&text, "%s.%d ", tag, i)
	}
	return text.String()
}

var lengthMark = regexp.MustCompile(`len=(\d+) `)

// Length returns the number of tokens of a prompt's answer and why it ends.
func Length(prompt string, maxTokens int) (int, string) {
	if found := lengthMark.FindStringSubmatch(prompt); found != nil {
		if n, err := strconv.Atoi(found[1]); err == nil && n < maxTokens {
			return n, "stop"
		}
	}
	return maxTokens, "length"
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
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
	s := &stream{body: b, ctx: ctx, end: end, turn: make(chan struct{}), at: b.ResumeTokens}
	if !e.admit(s) {
		host.Retry(w, "the engine's queue is full")
		return
	}
	defer e.remove(s)
	if e.run(w, s) != nil && !errors.Is(context.Cause(ctx), errCancelled) {
		// The stream ends without last line.
		host.Reset(r)
	}
}

// admit puts a stream in the queue. An engine that gets more than it bears
// while it is cold falls over, as does one that meets a poisonous prompt.
func (e *Engine) admit(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started++
	if e.poison[Tag(s.body.Prompt)] {
		e.streams[s.body.Request] = s
		e.fall()
		return true
	}
	if e.running+len(e.waiting)+1 > e.bears() {
		if !e.cold.is(time.Now()) {
			return false
		}
		e.streams[s.body.Request] = s
		e.fall()
		return true
	}
	if old, ok := e.streams[s.body.Request]; ok {
		// The caller has lost the older connection and resumes on this one.
		old.end(errCancelled)
		e.replaced++
	}
	e.streams[s.body.Request] = s
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *stream) int { return b.body.Priority - a.body.Priority })
	e.startNext()
	return true
}

// startNext gives free slots to waiting streams; the caller holds the lock.
func (e *Engine) startNext() {
	for e.running < e.options.Slots && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		next.cached = e.cache.use(next.body.Prompt)
		close(next.turn)
	}
}

func (e *Engine) remove(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.body.Request] == s {
		delete(e.streams, s.body.Request)
	}
	select {
	case <-s.turn:
		e.running--
		if s.producing {
			e.producing--
		}
	default:
		e.waiting = slices.DeleteFunc(e.waiting, func(w *stream) bool { return w == s })
	}
	e.startNext()
}

// run sends the stream's lines and returns an error when it ended early.
func (e *Engine) run(w http.ResponseWriter, s *stream) error {
	lines := host.NewLines(w)
	if err := lines.Write(heartbeatLine{true}); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatPeriod)
	defer heartbeat.Stop()
	idle := func(until <-chan time.Time, turn <-chan struct{}) error {
		for {
			select {
			case <-until:
				return nil
			case <-turn:
				return nil
			case <-heartbeat.C:
				if err := lines.Write(heartbeatLine{true}); err != nil {
					return err
				}
			case <-s.ctx.Done():
				return e.ended(lines, s)
			}
		}
	}
	if err := idle(nil, s.turn); err != nil {
		return err
	}
	// A resumed stream reads its text so far as part of the prompt.
	bytes := float64(len(s.body.Prompt) + len(s.body.Resume) - s.cached)
	prefill := time.NewTimer(time.Duration(bytes / e.options.Prefill / e.pace() * float64(time.Second)))
	defer prefill.Stop()
	if err := idle(prefill.C, nil); err != nil {
		return err
	}
	return e.decode(lines, s, idle)
}

func (e *Engine) decode(lines *host.Lines, s *stream, idle func(<-chan time.Time, <-chan struct{}) error) error {
	total, reason := Length(s.body.Prompt, s.body.MaxTokens)
	index, credit, last := 0, 1.0, time.Now()
	ticker := time.NewTicker(e.options.Chunk)
	defer ticker.Stop()
	for s.at < total {
		if n := min(int(credit), total-s.at); n > 0 {
			if err := lines.Write(e.line(s, index, n)); err != nil {
				return err
			}
			e.produced(s)
			s.at, index, credit = s.at+n, index+1, credit-float64(n)
			continue
		}
		if err := idle(ticker.C, nil); err != nil {
			return err
		}
		now := time.Now()
		credit += e.rate() * now.Sub(last).Seconds()
		last = now
	}
	e.mu.Lock()
	e.cold.finish(e.options.Slots)
	e.mu.Unlock()
	return lines.Write(doneLine{s.body.Request, true, reason, s.at})
}

// produced notes that a stream sent a token.
func (e *Engine) produced(s *stream) {
	if s.producing {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.producing = true
	e.producing++
}

// line returns a chunk, or that of another request when answers are crossed.
func (e *Engine) line(s *stream, index, n int) chunkLine {
	e.mu.Lock()
	version := e.versions.active
	e.tokens += int64(n)
	e.mu.Unlock()
	if e.crossed.Take() {
		return chunkLine{"crossed-" + s.body.Request, index, Text("another prompt", s.at, s.at+n), n, version}
	}
	return chunkLine{s.body.Request, index, Text(s.body.Prompt, s.at, s.at+n), n, version}
}

// ended sends the last line of a cancelled stream and returns why it ended.
func (e *Engine) ended(lines *host.Lines, s *stream) error {
	cause := context.Cause(s.ctx)
	if errors.Is(cause, errCancelled) {
		_ = lines.Write(doneLine{s.body.Request, true, "cancelled", s.at})
	}
	return cause
}

// pace is the engine's present speed relative to its full one.
func (e *Engine) pace() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	speed := e.cold.speed(now)
	if e.slowTill.IsZero() || now.Before(e.slowTill) {
		speed /= e.slowness
	}
	return speed
}

// rate returns the present tokens per second of one stream.
func (e *Engine) rate() float64 {
	pace := e.pace()
	e.mu.Lock()
	defer e.mu.Unlock()
	return pace * min(e.options.Rate, e.options.Total/float64(max(e.running, 1)))
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
