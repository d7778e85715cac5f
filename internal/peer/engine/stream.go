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
	// ErrSilent means that neither a chunk nor a heartbeat came in time.
	ErrSilent = errors.New("the connection is silent")
	// ErrIncomplete means that the stream ended without its last line.
	ErrIncomplete = errors.New("the stream ended early")
	// ErrCancelled means that the engine ended the request on somebody's order.
	// The text so far is not whole.
	ErrCancelled = errors.New("the engine cancelled the request")
	// ErrCrossed means that the stream carried lines of another request.
	ErrCrossed = errors.New("the stream belongs to another request")
	// ErrUnsent means that no connection could be made, so nothing was sent.
	ErrUnsent = errors.New("no connection to the engine")
)

// A chunk holds a few tokens; a line beyond this size is no chunk.
const lineLimit = 1 << 20

// Request is one generation. Resume continues a text that another attempt
// has generated so far.
type Request struct {
	Request      string `json:"request"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
	Seed         int64  `json:"seed"`
	Resume       string `json:"resume,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
}

// Chunk is a piece of generated text. Version is 0 when the engine named none.
type Chunk struct {
	Text    string
	Tokens  int
	Version int
}

// Done is the end of a complete stream.
type Done struct {
	Reason string
	Tokens int
}

type line struct {
	Request   string `json:"request"`
	Index     *int   `json:"index"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
	Version   int    `json:"version"`
	Heartbeat bool   `json:"heartbeat"`
	Done      bool   `json:"done"`
	Reason    string `json:"reason"`
}

// Generate runs one attempt over a connection of its own and passes each chunk
// to receive.
func (c *Client) Generate(ctx context.Context, address string, request Request, receive func(Chunk) error) (Done, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := c.watch(cancel)
	defer watch.stop()
	resp, err := c.open(ctx, address, request)
	if err != nil {
		return Done{}, cause(ctx, err)
	}
	defer resp.Body.Close()
	reader := &lineReader{request: request, receive: receive, beat: watch.beat}
	done, err := reader.read(resp)
	return done, cause(ctx, err)
}

func (c *Client) open(ctx context.Context, address string, request Request) (*http.Response, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	// net/http may resend this body by itself when an idle connection turns out
	// to be closed, which does no harm: a generation can be repeated.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base(address)+"/v1/generate", bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(codec.HeaderRequest, request.Request)
	resp, err := c.streams.Do(req)
	if err != nil {
		if unsent(err) {
			return nil, errors.Join(ErrUnsent, err)
		}
		return nil, errors.Join(ErrIncomplete, err)
	}
	return resp, nil
}

// cause replaces the error that a cancelled context leads to by the reason of
// the cancellation.
func cause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

type lineReader struct {
	request Request
	receive func(Chunk) error
	beat    func()
	tokens  int
	index   int
}

func (l *lineReader) read(resp *http.Response) (Done, error) {
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return Done{}, &codec.StatusError{Status: resp.StatusCode, Body: raw}
	}
	l.index = -1
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), lineLimit)
	for scanner.Scan() {
		l.beat()
		done, err := l.take(scanner.Bytes())
		if err != nil {
			return Done{}, err
		}
		if done != nil {
			return *done, nil
		}
	}
	return Done{}, errors.Join(ErrIncomplete, scanner.Err())
}

func (l *lineReader) take(raw []byte) (*Done, error) {
	var next line
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
	return nil, l.receive(Chunk{Text: next.Text, Tokens: next.Tokens, Version: next.Version})
}

// reasonCancelled ends a stream that was cancelled, or replaced by a request
// with the same id.
const reasonCancelled = "cancelled"

// finish compares the total with the chunks received. The protocol leaves open
// whether the total includes the resumed tokens, so both are accepted.
func (l *lineReader) finish(next line) (*Done, error) {
	if next.Reason == reasonCancelled {
		return nil, ErrCancelled
	}
	if next.Tokens != l.tokens && next.Tokens != l.tokens+l.request.ResumeTokens {
		return nil, ErrIncomplete
	}
	return &Done{Reason: next.Reason, Tokens: l.tokens}, nil
}

type watchdog struct {
	last atomic.Int64
	beat func()
	stop func()
}

// watch cancels the attempt with ErrSilent when no line came for the silence
// timeout.
func (c *Client) watch(cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{}
	w.beat = func() { w.last.Store(c.timers.Now().UnixNano()) }
	w.beat()
	// Six checks in the timeout keep the detection within 1/6 of its length.
	ticks := c.timers.Subscribe(max(c.silence()/6, time.Millisecond))
	quit := make(chan struct{})
	w.stop = func() { ticks.Stop(); close(quit) }
	go func() {
		for {
			select {
			case <-quit:
				return
			case <-ticks.C:
				if c.timers.Now().UnixNano()-w.last.Load() >= int64(c.silence()) {
					cancel(ErrSilent)
					return
				}
			}
		}
	}()
	return w
}

// unsent reports whether err shows that the connection was never made.
func unsent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
