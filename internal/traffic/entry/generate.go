package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

type generateRequest struct {
	Model     string `json:"model" validate:"required,max=64"`
	Prompt    string `json:"prompt" validate:"required"`
	MaxTokens int    `json:"max_tokens" validate:"min=1,max=1048576"`
	Priority  int    `json:"priority" validate:"min=-100,max=100"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
}

type generateChunk struct {
	Text    string `json:"text"`
	Tokens  int    `json:"tokens"`
	Version int    `json:"version"`
}

type generateDone struct {
	Done     bool             `json:"done"`
	Request  string           `json:"request"`
	Reason   string           `json:"reason"`
	Tokens   int              `json:"tokens"`
	Versions []dispatch.Range `json:"versions"`
	Resumed  int              `json:"resumed"`
}

type generateResponse struct {
	Text string `json:"text"`
	generateDone
}

type generateFailure struct {
	Error any `json:"error"`
}

// generate runs a generation and responds with a stream of JSON lines or with
// one JSON object.
func (e *Entry) generate(w http.ResponseWriter, r *http.Request, c *caller) error {
	if err := e.authenticate(r, c, anyAccount); err != nil {
		return err
	}
	job, stream, err := e.readJob(w, r, c)
	if err != nil {
		return err
	}
	defer e.plan.Start(stop.Work{Class: "model " + job.Model}).Finish()
	if stream {
		return e.stream(w, r, c, job)
	}
	result, err := e.seams.Generate(r.Context(), job, func(dispatch.Chunk) error { return context.Cause(r.Context()) })
	if err != nil {
		return err
	}
	e.setWriteDeadline(w)
	w.Header().Set(codec.HeaderRun, string(code.Ran))
	codec.Write(w, http.StatusOK, generateResponse{Text: result.Text, generateDone: newGenerateDone(job, result)})
	return nil
}

func newGenerateDone(job dispatch.Job, result dispatch.Result) generateDone {
	return generateDone{
		Done: true, Request: job.Request, Reason: result.Reason, Tokens: result.Tokens,
		Versions: result.Ranges, Resumed: result.Resumed,
	}
}

// readJob reads and validates the request. It also reports whether the caller
// wants a stream.
func (e *Entry) readJob(w http.ResponseWriter, r *http.Request, c *caller) (dispatch.Job, bool, error) {
	deadline, err := e.deadline(r)
	if err != nil {
		return dispatch.Job{}, false, err
	}
	request, err := readJSON[generateRequest](e, w, r, e.settings.BodyBytes)
	if err != nil {
		return dispatch.Job{}, false, err
	}
	if err := setting.Check(request); err != nil {
		return dispatch.Job{}, false, code.New(code.OutOfRange, "%s", err).WithRun(code.NotRun)
	}
	work := stop.Work{Class: "model " + request.Model, Deadline: deadline, Repeatable: true}
	if err := e.checkEnd(work); err != nil {
		return dispatch.Job{}, false, err
	}
	current := e.seams.Table()
	if !hasEngine(current, request.Model) {
		// The table may lack a model that others know.
		if err := e.requireFreshKeys(); err != nil {
			return dispatch.Job{}, false, err
		}
		if current = e.seams.Table(); !hasEngine(current, request.Model) {
			return dispatch.Job{}, false, code.New(code.MissingObject, "no model has the name %q", request.Model).WithRun(code.NotRun)
		}
	}
	if err := rejectKey("prompt", request.Prompt, c, current); err != nil {
		return dispatch.Job{}, false, err
	}
	return dispatch.Job{
		Request: newRequestID(), Account: c.account, Model: request.Model, Class: request.Model,
		Prompt: request.Prompt, MaxTokens: request.MaxTokens, Priority: request.Priority, Seed: request.Seed,
		Deadline: deadline, Check: e.dispatchCheck(c, work),
	}, request.Stream, nil
}

// hasEngine reports whether engines run a model with this name.
func hasEngine(current *table.Table, name string) bool {
	model, found := current.Model(name)
	return found && model.Kind == roster.KindEngine
}

// stream sends each chunk as a JSON line. The status is sent with the first
// chunk, so that a job that fails earlier gets an ordinary error response.
func (e *Entry) stream(w http.ResponseWriter, r *http.Request, c *caller, job dispatch.Job) error {
	out := e.newStreamWriter(w, c)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set(codec.HeaderRequest, job.Request)
	result, err := e.seams.Generate(r.Context(), job, func(chunk dispatch.Chunk) error {
		if cause := context.Cause(r.Context()); cause != nil {
			return cause
		}
		return out.writeLine(generateChunk{Text: chunk.Text, Tokens: chunk.Tokens, Version: chunk.Version})
	})
	if err == nil {
		// A failed write means that the caller has disconnected, so there is
		// nobody to report it to.
		_ = out.writeLine(newGenerateDone(job, result))
		return nil
	}
	if !c.responseStarted {
		w.Header().Del("Content-Type")
		return err
	}
	coded := code.Of(err)
	e.refused.Add(c.account+"/"+coded.Code.String(), 1)
	_ = out.writeLine(generateFailure{codec.ErrorBody(coded)})
	return nil
}

func (o *streamWriter) writeLine(value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return code.New(code.Internal, "encode a line")
	}
	return o.write(append(raw, '\n'))
}
