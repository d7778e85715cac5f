// Package step serves pull requests from trainers. A step's sample groups are
// distributed over the instances by rendezvous hashing. The home instance of a
// group generates its samples, labels them with the weight versions that produced
// them, has them scored and keeps them until the trainer is two versions further.
// The only delivery state is the trainer's bitmap of the groups that it has, so a
// pull may be repeated at any instance.
//
// # Usage
//
//	steps := step.New(settings, timers, step.Seams{View: directory.View, Client: client, Generate: generate, Score: scorer.Score}, meters, logger)
//	router.Handle(step.HomesPathPrefix, steps.Server())
//	go steps.Run(ctx)
//	groups, err := steps.Pull(ctx, trainer, step.Pull{Step: "12", Version: 12, Groups: 1, GroupSize: 8, ...})
package step

import (
	"strings"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
)

// Class is the job class of all generations for trainers.
const Class = "training"

// Job describes one generation.
type Job = dispatch.Job

// Chunk is a part of the generated text.
type Chunk = dispatch.Chunk

// Range is a half-open range of tokens [From, To) that one weight version
// produced.
type Range = dispatch.Range

// Result is the outcome of a complete generation. If Ranges is empty, it is not
// compared with the versions of the chunks.
type Result = dispatch.Result

// Pull is a trainer's request for finished groups. Each pull describes the whole
// step.
type Pull struct {
	Step string `json:"-" validate:"required,max=64"`
	// Version is the trainer's current weight version.
	Version   int      `json:"version" validate:"min=1,max=1000000000"`
	Groups    int      `json:"groups" validate:"min=1,max=8192"`
	GroupSize int      `json:"group_size" validate:"min=1,max=1024"`
	Prompts   []string `json:"prompts"`
	MaxTokens int      `json:"max_tokens" validate:"min=1,max=1000000"`
	// Have is the bitmap of the groups that the trainer already has. Group i is
	// bit i%8, counted from the lowest, of byte i/8. Missing bytes are zero.
	Have []byte `json:"have"`
	// WaitMS is the longest time to wait for the first finished group.
	WaitMS int64 `json:"wait_ms" validate:"min=0,max=600000"`
	// DeadlineMS is the time left to complete the whole step; 0 selects the longest
	// deadline that the settings allow.
	DeadlineMS int64 `json:"deadline_ms" validate:"min=0"`
}

// Groups is the response to a pull. Complete reports that the trainer has all
// groups of the step after receiving these.
type Groups struct {
	Groups   []Group `json:"groups"`
	Complete bool    `json:"complete"`
}

// Group is a finished sample group.
type Group struct {
	Group   int      `json:"group"`
	Samples []Sample `json:"samples"`
}

// Sample is a generated text with the weight versions that produced it.
type Sample struct {
	ID       string  `json:"id"`
	Text     string  `json:"text"`
	Score    float64 `json:"score"`
	Tokens   int     `json:"tokens"`
	Versions []Range `json:"versions"`

	scored bool // Score is set
}

// oldestVersion returns the lowest version that produced a part of the sample.
func (s Sample) oldestVersion() int {
	oldest := s.Versions[0].Version
	for _, r := range s.Versions {
		oldest = min(oldest, r.Version)
	}
	return oldest
}

// check validates the pull. The error names the offending field.
func (p Pull) check() error {
	if err := setting.Check(p); err != nil {
		return code.New(code.StepInvalid, "%s", err.Error()).WithRun(code.NotRun)
	}
	if strings.ContainsAny(p.Step, "/ \t\n") {
		return code.New(code.StepInvalid, "field \"step\" has value %q, must have no space or slash", p.Step).WithRun(code.NotRun)
	}
	if len(p.Prompts) != p.Groups {
		return code.New(code.StepInvalid, "field \"prompts\" has %d values, must have one for each of %d groups",
			len(p.Prompts), p.Groups).WithRun(code.NotRun)
	}
	if len(p.Have) > (p.Groups+7)/8 {
		return code.New(code.StepInvalid, "field \"have\" has %d bytes, must have at most %d",
			len(p.Have), (p.Groups+7)/8).WithRun(code.NotRun)
	}
	return nil
}

// missing returns the groups that the trainer does not have.
func (p Pull) missing() []int {
	var out []int
	for i := range p.Groups {
		if index := i / 8; index >= len(p.Have) || p.Have[index]&(1<<(i%8)) == 0 {
			out = append(out, i)
		}
	}
	return out
}
