package generator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/standin/engine"
	"github.com/wigeonpin/wigeonpin/internal/standin/service"
)

// The kinds of outcomes.
const (
	whole = iota
	refused
	wrong
	broken
	unsent
)

// outcome is what came of one request.
type outcome struct {
	kind int
	// code names the result of an answer that is not whole.
	code   string
	tokens int
	first  time.Duration
	took   time.Duration
	run    string
	retry  time.Duration
	// notRun is the path of a call of which every answer said that it did not
	// run.
	notRun string
}

const answerLimit = 64 << 20

// The paths of plain calls. Each call has its own path, so that a service can
// tell how often it ran.
const (
	OncePath       = "/once/"
	RepeatablePath = "/any/"
)

// send sends a request, and sends an idempotent call again with the same id
// while its outcome is not known.
func (g *generator) send(ctx context.Context, j job) outcome {
	notRun := true
	for n := 0; ; n++ {
		out := g.sendOnce(ctx, j)
		notRun = notRun && out.run == "not_run"
		if notRun && j.account.Kind == KindCall {
			out.notRun = callPath(j)
		}
		if n >= j.account.Resend || (out.kind != refused && out.kind != broken) || out.run == "ran" {
			return out
		}
		if !sleepUntil(ctx, time.Now().Add(max(out.retry, resendPause))) {
			return out
		}
	}
}

func (g *generator) sendOnce(ctx context.Context, j job) outcome {
	req, err := g.request(ctx, j)
	if err != nil {
		return outcome{kind: broken, code: "request"}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return outcome{kind: broken, code: errorKind(ctx, err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	switch {
	case j.account.Kind == KindCall:
		return checkCall(ctx, resp, j)
	case j.account.Stream:
		return checkStream(ctx, resp, j)
	default:
		return checkObject(ctx, resp, j)
	}
}

type generateBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (g *generator) request(ctx context.Context, j job) (*http.Request, error) {
	a := j.account
	url, body := fmt.Sprintf("http://%s/v1/generate", g.address()), []byte(nil)
	if a.Kind == KindCall {
		url = fmt.Sprintf("http://%s/s/%s%s?work_ms=%d", g.address(), a.Route, callPath(j), a.WorkMS)
		body = []byte(j.prompt)
	} else {
		var err error
		if body, err = json.Marshal(generateBody{a.Model, j.prompt, j.max, a.Stream}); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if a.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.Key)
	}
	if a.DeadlineMS > 0 {
		req.Header.Set("Wigeonpin-Deadline-Ms", strconv.FormatInt(a.DeadlineMS, 10))
	}
	if a.Kind == KindCall && a.Idempotent {
		req.Header.Set("Idempotency-Key", j.id)
	}
	return req, nil
}

func callPath(j job) string {
	if j.account.Idempotent {
		return OncePath + j.id
	}
	return RepeatablePath + j.id
}

// errorKind names a failure of the connection.
func errorKind(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return "timeout"
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "cut_off"
	}
	return "connection"
}

type errorBody struct {
	Code int    `json:"code"`
	Name string `json:"name"`
	Run  string `json:"run"`
	// RetryMS is when to come back.
	RetryMS int64 `json:"retry_after_ms"`
}

func refusal(resp *http.Response) outcome {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	var body errorBody
	if json.Unmarshal(raw, &body) != nil || body.Name == "" {
		body.Name = "status_" + strconv.Itoa(resp.StatusCode)
	}
	return outcome{kind: refused, code: body.Name, run: body.Run, retry: time.Duration(body.RetryMS) * time.Millisecond}
}

// line is one line of a stream, or the answer as one object.
type line struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Done   bool   `json:"done"`
	// Error ends a stream that had begun.
	Error *errorBody `json:"error"`
}

func checkStream(ctx context.Context, resp *http.Response, j job) outcome {
	var text strings.Builder
	tokens, done := 0, false
	var first time.Duration
	reader := bufio.NewReader(resp.Body)
	for {
		raw, err := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(raw)) > 0 && err == nil {
			var l line
			if json.Unmarshal(raw, &l) != nil {
				return outcome{kind: wrong, code: "not_json", tokens: tokens}
			}
			switch {
			case l.Error != nil:
				return outcome{kind: refused, code: l.Error.Name, run: l.Error.Run, tokens: tokens}
			case done:
				return outcome{kind: wrong, code: "after_end", tokens: tokens}
			case l.Done:
				done = true
			case l.Text != "":
				if first == 0 {
					first = time.Since(j.intended)
				}
				text.WriteString(l.Text)
				tokens += l.Tokens
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return outcome{kind: broken, code: errorKind(ctx, err), tokens: tokens}
		}
		if !done {
			return outcome{kind: wrong, code: "incomplete", tokens: tokens}
		}
		return compare(j, text.String(), tokens, first)
	}
}

func checkObject(ctx context.Context, resp *http.Response, j job) outcome {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return outcome{kind: broken, code: errorKind(ctx, err)}
	}
	var l line
	if json.Unmarshal(raw, &l) != nil {
		return outcome{kind: wrong, code: "not_json"}
	}
	return compare(j, l.Text, l.Tokens, time.Since(j.intended))
}

// compare checks that the text is the whole answer to the job's prompt.
func compare(j job, text string, tokens int, first time.Duration) outcome {
	want, _ := engine.Length(j.prompt, j.max)
	expected := engine.Text(j.prompt, 0, want)
	out := outcome{kind: whole, tokens: tokens, first: first}
	switch {
	case text == expected && tokens == want:
	case text == expected:
		out.kind, out.code = wrong, "token_count"
	case strings.HasPrefix(expected, text):
		out.kind, out.code = wrong, "incomplete"
	case !strings.HasPrefix(text, engine.Tag(j.prompt)):
		out.kind, out.code = wrong, "other_request"
	default:
		out.kind, out.code = wrong, "damaged"
	}
	return out
}

type callAnswer struct {
	Path   string `json:"path"`
	Digest string `json:"digest"`
}

func checkCall(ctx context.Context, resp *http.Response, j job) outcome {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return outcome{kind: broken, code: errorKind(ctx, err)}
	}
	var answer callAnswer
	if json.Unmarshal(raw, &answer) != nil {
		return outcome{kind: wrong, code: "incomplete"}
	}
	if answer.Digest != service.Digest([]byte(j.prompt)) {
		return outcome{kind: wrong, code: "other_request"}
	}
	return outcome{kind: whole, first: time.Since(j.intended)}
}
