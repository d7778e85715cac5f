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

// The kinds of outcomes, named after the counters in Counts.
const (
	whole = iota
	refused
	wrong
	broken
	unsent
)

// outcome is the result of one request.
type outcome struct {
	kind int
	// code is the reason of an outcome other than whole.
	code   string
	tokens int
	// firstToken and latency are counted from the intended start.
	firstToken time.Duration
	latency    time.Duration
	// run states whether a refused request ran, retryAfter when it may be sent
	// again.
	run        string
	retryAfter time.Duration
	// notRun is the path of a call if every attempt was answered with the
	// statement that it did not run.
	notRun string
}

const maxResponseBytes = 64 << 20

// Path prefixes of plain calls. Each call has its own path, so that a service can
// count how often it ran. Calls below OncePath must not run more than once.
const (
	OncePath       = "/once/"
	RepeatablePath = "/any/"
)

// send sends a request. It sends the request again after a refusal or a broken
// connection, up to the account's limit and unless the response states that the
// request ran. Idempotent calls keep their idempotency key.
func (g *generator) send(ctx context.Context, j job) outcome {
	notRun := true
	for n := 0; ; n++ {
		out := g.sendOnce(ctx, j)
		notRun = notRun && out.run == "not_run"
		if notRun && j.account.Kind == KindCall {
			out.notRun = callPath(j)
		}
		if n >= j.account.MaxResends || (out.kind != refused && out.kind != broken) || out.run == "ran" {
			return out
		}
		if !sleepUntil(ctx, time.Now().Add(max(out.retryAfter, minResendDelay))) {
			return out
		}
	}
}

func (g *generator) sendOnce(ctx context.Context, j job) outcome {
	req, err := g.newRequest(ctx, j)
	if err != nil {
		return outcome{kind: broken, code: "request"}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return outcome{kind: broken, code: errorKind(ctx, err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedOutcome(resp)
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

func (g *generator) newRequest(ctx context.Context, j job) (*http.Request, error) {
	a := j.account
	url, body := fmt.Sprintf("http://%s/v1/generate", g.nextAddress()), []byte(nil)
	if a.Kind == KindCall {
		url = fmt.Sprintf("http://%s/s/%s%s?work_ms=%d", g.nextAddress(), a.Route, callPath(j), a.WorkMS)
		body = []byte(j.prompt)
	} else {
		var err error
		if body, err = json.Marshal(generateBody{a.Model, j.prompt, j.maxTokens, a.Stream}); err != nil {
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

// errorKind classifies a failure of the connection.
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
	// RetryMS is the delay after which the request may be sent again.
	RetryMS int64 `json:"retry_after_ms"`
}

func refusedOutcome(resp *http.Response) outcome {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	var body errorBody
	if json.Unmarshal(raw, &body) != nil || body.Name == "" {
		body.Name = "status_" + strconv.Itoa(resp.StatusCode)
	}
	return outcome{kind: refused, code: body.Name, run: body.Run, retryAfter: time.Duration(body.RetryMS) * time.Millisecond}
}

// responsePart is one line of a streamed response, or the whole response if it is
// a single object.
type responsePart struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Done   bool   `json:"done"`
	// Error ends a stream that has already started.
	Error *errorBody `json:"error"`
}

func checkStream(ctx context.Context, resp *http.Response, j job) outcome {
	var text strings.Builder
	tokens, done := 0, false
	var firstToken time.Duration
	reader := bufio.NewReader(resp.Body)
	for {
		raw, err := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(raw)) > 0 && err == nil {
			var part responsePart
			if json.Unmarshal(raw, &part) != nil {
				return outcome{kind: wrong, code: "not_json", tokens: tokens}
			}
			switch {
			case part.Error != nil:
				return outcome{kind: refused, code: part.Error.Name, run: part.Error.Run, tokens: tokens}
			case done:
				return outcome{kind: wrong, code: "after_end", tokens: tokens}
			case part.Done:
				done = true
			case part.Text != "":
				if firstToken == 0 {
					firstToken = time.Since(j.intended)
				}
				text.WriteString(part.Text)
				tokens += part.Tokens
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
		return checkText(j, text.String(), tokens, firstToken)
	}
}

func checkObject(ctx context.Context, resp *http.Response, j job) outcome {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return outcome{kind: broken, code: errorKind(ctx, err)}
	}
	var part responsePart
	if json.Unmarshal(raw, &part) != nil {
		return outcome{kind: wrong, code: "not_json"}
	}
	return checkText(j, part.Text, part.Tokens, time.Since(j.intended))
}

// checkText checks that text is the complete response to the job's prompt.
func checkText(j job, text string, tokens int, firstToken time.Duration) outcome {
	want, _ := engine.Length(j.prompt, j.maxTokens)
	expected := engine.Text(j.prompt, 0, want)
	out := outcome{kind: whole, tokens: tokens, firstToken: firstToken}
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

type callResponse struct {
	Path   string `json:"path"`
	Digest string `json:"digest"`
}

func checkCall(ctx context.Context, resp *http.Response, j job) outcome {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return outcome{kind: broken, code: errorKind(ctx, err)}
	}
	var response callResponse
	if json.Unmarshal(raw, &response) != nil {
		return outcome{kind: wrong, code: "incomplete"}
	}
	if response.Digest != service.Digest([]byte(j.prompt)) {
		return outcome{kind: wrong, code: "other_request"}
	}
	return outcome{kind: whole, firstToken: time.Since(j.intended)}
}
