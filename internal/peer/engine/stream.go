package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// The reasons why a stream ended early.
var (
	// ErrSilent means that neither a chunk nor a heartbeat arrived within the
	// silence timeout.
	ErrSilent = errors.New("the connection is silent")
	// ErrIncomplete means that the stream ended without a valid final line, or
	// that the number of tokens in that line does not match the chunks.
	ErrIncomplete = errors.New("the stream ended early")
	// ErrCancelled means that the request was cancelled on the engine, so the
	// text is incomplete.
	ErrCancelled = errors.New("the engine cancelled the request")
	// ErrCrossed means that the stream carried lines of another request, or
	// chunks out of order.
	ErrCrossed = errors.New("the stream belongs to another request")
	// ErrTooLong means that the stream has more tokens, or more text, than the request
	// allows.
	ErrTooLong = errors.New("the stream exceeds the limit of the request")
	// ErrUnsent means that no connection was established, so nothing was sent.
	ErrUnsent = errors.New("no connection to the engine")
)

// maxLineBytes is the maximum length of a line. A chunk holds only a few tokens,
// so a longer line is a fault.
const maxLineBytes = 1 << 20

// maxTokenBytes bounds the text of a stream together with the limit of tokens, since
// lines without tokens may have text as well. minTextBytes is always allowed.
const (
	maxTokenBytes = 256
	minTextBytes  = 64 << 10
)

// Request is a generation request. Resume is the text that earlier attempts have
// generated, and ResumeTokens its number of tokens; the engine continues it.
type Request struct {
	Request      string `json:"request"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
	Seed         int64  `json:"seed"`
	Resume       string `json:"resume,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	// OnHeader is called with the header of the answer; it may be nil.
	OnHeader func(http.Header) `json:"-"`
}

// Chunk is a piece of generated text. Version is the weight version that
// generated it, or 0 when the engine did not report one.
type Chunk struct {
	Text    string
	Tokens  int
	Version int
}

// Result describes the end of a complete stream: the reason why the generation
// ended, and the number of tokens received.
type Result struct {
	Reason string
	Tokens int
}

type streamLine struct {
	Request   string `json:"request"`
	Index     *int   `json:"index"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
	Version   int    `json:"version"`
	Heartbeat bool   `json:"heartbeat"`
	Done      bool   `json:"done"`
	Reason    string `json:"reason"`
}

// Generate runs one attempt over a new connection and passes each chunk to
// receive, whose error ends the attempt.
func (c *Client) Generate(ctx context.Context, address string, request Request, receive func(Chunk) error) (Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.startWatchdog(cancel)
	defer timer.stop()
	resp, err := c.open(ctx, address, request)
	if err != nil {
		return Result{}, cause(ctx, err)
	}
	defer resp.Body.Close()
	if request.OnHeader != nil {
		request.OnHeader(resp.Header)
	}
	reader := &lineReader{request: request, receive: receive, onLine: timer.reset}
	done, err := reader.read(resp)
	return done, cause(ctx, err)
}

func (c *Client) open(ctx context.Context, address string, request Request) (*http.Response, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	// net/http may resend the body when an idle connection turns out to be closed.
	// That is safe, since a generation can be repeated.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(address)+"/v1/generate", bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(codec.HeaderRequest, request.Request)
	resp, err := c.streams.Do(req)
	if err != nil {
		if isDialError(err) {
			return nil, errors.Join(ErrUnsent, err)
		}
		return nil, errors.Join(ErrIncomplete, err)
	}
	return resp, nil
}

// cause replaces an error that results from the cancellation of ctx by the cause
// of the cancellation.
func cause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

type lineReader struct {
	request Request
	receive func(Chunk) error
	onLine  func()
	tokens  int
	bytes   int
	index   int
}

func (l *lineReader) read(resp *http.Response) (Result, error) {
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return Result{}, &codec.StatusError{Status: resp.StatusCode, Body: raw}
	}
	l.index = -1
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		l.onLine()
		done, err := l.handleLine(scanner.Bytes())
		if err != nil {
			return Result{}, err
		}
		if done != nil {
			return *done, nil
		}
	}
	return Result{}, errors.Join(ErrIncomplete, scanner.Err())
}

func (l *lineReader) handleLine(raw []byte) (*Result, error) {
	var next streamLine
	if err := json.Unmarshal(raw, &next); err != nil {
		return nil, errors.Join(ErrIncomplete, err)
	}
	if next.Heartbeat {
		return nil, nil
	}
	if next.Request != l.request.Request {
		return nil, ErrCrossed
	}
	if next.Done {
		return l.finish(next)
	}
	if next.Index != nil {
		if *next.Index <= l.index {
			return nil, ErrCrossed
		}
		l.index = *next.Index
	}
	l.tokens += next.Tokens
	l.bytes += len(next.Text)
	if l.tokens > l.request.MaxTokens || l.bytes > minTextBytes+maxTokenBytes*l.request.MaxTokens {
		return nil, ErrTooLong
	}
	return nil, l.receive(Chunk{Text: next.Text, Tokens: next.Tokens, Version: next.Version})
}

// reasonCancelled is the reason in the final line of a request that was
// cancelled, or replaced by a request with the same id.
const reasonCancelled = "cancelled"

// finish checks the number of tokens in the final line against the chunks
// received. The protocol does not say whether that number includes the resumed
// tokens, so both are accepted.
func (l *lineReader) finish(next streamLine) (*Result, error) {
	if next.Reason == reasonCancelled {
		return nil, ErrCancelled
	}
	if next.Tokens != l.tokens && next.Tokens != l.tokens+l.request.ResumeTokens {
		return nil, ErrIncomplete
	}
	return &Result{Reason: next.Reason, Tokens: l.tokens}, nil
}

type watchdog struct {
	lastLine atomic.Int64 // uptime at the latest line
	reset    func()
	stop     func()
}

// startWatchdog starts a watchdog, which cancels the attempt with ErrSilent when
// no line arrives within the silence timeout.
func (c *Client) startWatchdog(cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{}
	w.reset = func() { w.lastLine.Store(int64(c.timers.Uptime())) }
	w.reset()
	// Six checks per timeout detect a silent stream at most 1/6 of the timeout late.
	ticks := c.timers.Subscribe(max(c.silenceTimeout()/6, time.Millisecond))
	quit := make(chan struct{})
	w.stop = func() { ticks.Stop(); close(quit) }
	go func() {
		for {
			select {
			case <-quit:
				return
			case <-ticks.C:
				if c.timers.Uptime()-time.Duration(w.lastLine.Load()) >= c.silenceTimeout() {
					cancel(ErrSilent)
					return
				}
			}
		}
	}()
	return w
}

// isDialError reports whether err proves that no connection was established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
