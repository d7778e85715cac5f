// Package generator sends open-loop load of several client accounts to
// instances and checks that each answer is whole and belongs to its request.
//
// # Usage
//
//	plan, err := generator.ReadPlan("plan.json")
//	result, err := generator.Run(ctx, plan)
//	result.Table(os.Stdout)
//
// Arrivals follow a seeded Poisson process and do not wait for answers. The
// latency of a request is counted from its intended start, so that a stalled
// service cannot hide by delaying the next requests.
package generator

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// The kinds of requests.
const (
	KindGenerate = "generate"
	KindCall     = "call"
)

// Plan describes a whole run.
type Plan struct {
	// Addresses are the instances' addresses for callers. Requests go in turn
	// to those that answer /readyz, as a load balancer would send them.
	Addresses []string  `json:"addresses" validate:"min=1,dive,tcp_addr"`
	Seed      uint64    `json:"seed"`
	SecondsOf float64   `json:"seconds" validate:"gt=0,max=3600"`
	GraceMS   int64     `json:"grace_ms" validate:"min=0,max=600000"`
	Flight    int       `json:"flight" validate:"min=1,max=20000"`
	Accounts  []Account `json:"accounts" validate:"min=1,max=100,dive"`
}

// Account is one client account's load. An account may occur several times,
// with different kinds of requests.
type Account struct {
	Name string `json:"name" validate:"required"`
	Key  string `json:"key"`
	Kind string `json:"kind" validate:"oneof=generate call"`
	// Rate is the mean number of requests per second.
	Rate  float64 `json:"rate" validate:"gt=0,max=10000"`
	Model string  `json:"model"`
	Route string  `json:"route"`
	// Stream asks for JSON lines instead of one object.
	Stream bool `json:"stream"`
	// Tokens is the mean answer length; lengths lie between a half and one and
	// a half of it.
	Tokens int `json:"tokens" validate:"min=0,max=100000"`
	// PromptBytes is the prompt's length, of which Shared bytes are one of
	// Prefixes texts that requests share.
	PromptBytes int `json:"prompt_bytes" validate:"min=0,max=1000000"`
	Shared      int `json:"shared" validate:"min=0,max=1000000"`
	Prefixes    int `json:"prefixes" validate:"min=1,max=100000"`
	// WorkMS is the time of a plain call.
	WorkMS int `json:"work_ms" validate:"min=0,max=60000"`
	// Idempotent sends an Idempotency-Key with plain calls.
	Idempotent bool `json:"idempotent"`
	// Resend is how often a call is sent again with the same Idempotency-Key
	// after a refusal or a broken connection.
	Resend int `json:"resend" validate:"min=0,max=100"`
	// DeadlineMS is sent as Wigeonpin-Deadline-Ms unless it is 0.
	DeadlineMS int64 `json:"deadline_ms" validate:"min=0,max=600000"`
	// From and Until limit the load to a part of the run, in seconds.
	From  float64 `json:"from" validate:"min=0"`
	Until float64 `json:"until" validate:"min=0"`
}

// UnmarshalJSON decodes an account over the defaults.
func (a *Account) UnmarshalJSON(raw []byte) error {
	type plain Account
	defaults := plain{Kind: KindGenerate, Model: "tagger", Tokens: 60, PromptBytes: 400, Shared: 256, Prefixes: 8, Stream: true}
	if err := codec.Decode(raw, &defaults); err != nil {
		return err
	}
	*a = Account(defaults)
	return nil
}

// ReadPlan reads a plan from a JSON file.
func ReadPlan(path string) (Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, eris.Wrap(err, "plan")
	}
	return ParsePlan(raw)
}

// ParsePlan decodes a plan over the defaults and checks it.
func ParsePlan(raw []byte) (Plan, error) {
	plan := Plan{Seed: 1, SecondsOf: 20, GraceMS: 40_000, Flight: 2000}
	if err := codec.Decode(raw, &plan); err != nil {
		return Plan{}, eris.Wrap(err, "plan")
	}
	if err := setting.Check(plan); err != nil {
		return Plan{}, eris.Wrap(err, "plan")
	}
	return plan, nil
}
