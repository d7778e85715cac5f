package entry

import (
	"encoding/base64"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

// Pull is a trainer's request for finished groups of a step. Check must be
// called before work starts.
type Pull struct {
	Step, Version, Groups, GroupSize, MaxTokens int
	Prompts                                     []string
	// Have is a bitmap of the groups that the trainer already has.
	Have []byte
	// Wait is how long the trainer waits for a response, Deadline the time at
	// which the step must be complete.
	Wait     time.Duration
	Deadline time.Time
	Check    func() error
}

type pullRequest struct {
	Version    int      `json:"version" validate:"min=0"`
	Groups     int      `json:"groups" validate:"min=1,max=65536"`
	GroupSize  int      `json:"group_size" validate:"min=1,max=4096"`
	Prompts    []string `json:"prompts" validate:"required,max=65536"`
	MaxTokens  int      `json:"max_tokens" validate:"min=1,max=1048576"`
	Have       string   `json:"have" validate:"max=1048576"`
	WaitMS     int64    `json:"wait_ms" validate:"min=0,max=600000"`
	DeadlineMS int64    `json:"deadline_ms" validate:"min=1,max=3600000"`
}

type versionRequest struct {
	Version int `json:"version" validate:"min=1"`
}

// authenticateTrainer authenticates the caller and checks that its account owns
// the trainer in the path.
func (e *Entry) authenticateTrainer(r *http.Request, c *caller) (table.Trainer, error) {
	name := mux.Vars(r)["trainer"]
	err := e.authenticate(r, c, func(account string, current *table.Table) error {
		row, ok := current.Trainer(name)
		if !ok {
			return code.New(code.UnknownTrainer, "no trainer has this name").WithRun(code.NotRun)
		}
		if row.Account != account {
			return code.New(code.KeyForbidden, "the account may not use this trainer").WithRun(code.NotRun)
		}
		return nil
	})
	if err != nil {
		return table.Trainer{}, err
	}
	row, _ := e.seams.Table().Trainer(name)
	return row, nil
}

func (e *Entry) announceVersion(w http.ResponseWriter, r *http.Request, c *caller) error {
	row, err := e.authenticateTrainer(r, c)
	if err != nil {
		return err
	}
	request, err := readJSON[versionRequest](e, w, r, e.settings.BodyBytes)
	if err != nil {
		return err
	}
	if err := setting.Check(request); err != nil {
		return code.New(code.OutOfRange, "%s", err).WithRun(code.NotRun)
	}
	if err := e.seams.Announce(r.Context(), row, request.Version); err != nil {
		return err
	}
	e.setWriteDeadline(w)
	w.Header().Set(codec.HeaderRun, string(code.Ran))
	codec.Write(w, http.StatusOK, request)
	return nil
}

func (e *Entry) pull(w http.ResponseWriter, r *http.Request, c *caller) error {
	row, err := e.authenticateTrainer(r, c)
	if err != nil {
		return err
	}
	pull, err := e.readPull(w, r, c)
	if err != nil {
		return err
	}
	groups, err := e.seams.Pull(r.Context(), row, pull)
	if err != nil {
		return err
	}
	e.setWriteDeadline(w)
	w.Header().Set(codec.HeaderRun, string(code.Ran))
	codec.Write(w, http.StatusOK, groups)
	return nil
}

func (e *Entry) readPull(w http.ResponseWriter, r *http.Request, c *caller) (Pull, error) {
	step, err := strconv.Atoi(mux.Vars(r)["step"])
	if err != nil || step < 0 {
		return Pull{}, code.New(code.BadRequest, "the step in the path must be a number from 0").WithRun(code.NotRun)
	}
	request, err := readJSON[pullRequest](e, w, r, e.settings.StepBytes)
	if err != nil {
		return Pull{}, err
	}
	if err := setting.Check(request); err != nil {
		return Pull{}, code.New(code.OutOfRange, "%s", err).WithRun(code.NotRun)
	}
	if len(request.Prompts) != request.Groups {
		return Pull{}, code.New(code.StepInvalid, "the step has %d groups and %d prompts", request.Groups, len(request.Prompts)).WithRun(code.NotRun)
	}
	have, err := base64.StdEncoding.DecodeString(request.Have)
	if err != nil {
		return Pull{}, code.New(code.BadRequest, "field \"have\" must be base64").WithRun(code.NotRun)
	}
	wait := setting.Milliseconds(request.WaitMS)
	if left, begun := e.plan.Left(); begun {
		wait = min(wait, max(0, left-lastAnswersTime))
	}
	work := stop.Work{Class: "pull", Deadline: e.timers.Now().Add(wait), Repeatable: true}
	if err := e.checkEnd(work); err != nil {
		return Pull{}, err
	}
	current := e.seams.Table()
	for _, prompt := range request.Prompts {
		if err := rejectKey("prompt", prompt, c, current); err != nil {
			return Pull{}, err
		}
	}
	return Pull{
		Step: step, Version: request.Version, Groups: request.Groups, GroupSize: request.GroupSize,
		MaxTokens: request.MaxTokens, Prompts: request.Prompts, Have: have,
		Wait:     wait,
		Deadline: e.timers.Now().Add(setting.Milliseconds(request.DeadlineMS)), Check: e.dispatchCheck(c, work),
	}, nil
}
