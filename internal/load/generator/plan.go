// Package generator sends open-loop load of several client accounts to
// instances and checks that each response is complete and belongs to its
// request.
//
// # Usage
//
//	plan, err := generator.ReadPlan("plan.json")
//	result, err := generator.Run(ctx, plan)
//	result.WriteTable(os.Stdout)
//
// Arrivals follow a seeded Poisson process and do not wait for responses. The
// latency of a request is measured from its intended start, so that a stalled
// service cannot hide its delay by holding back later requests (coordinated
// omission).
package generator

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// Values of Account.Kind: a request to a model engine or to a plain service.
const (
	KindGenerate = "generate"
	KindCall     = "call"
)

// Plan describes one load run.
type Plan struct {
	// Addresses are the instances' addresses for callers. Requests are sent
	// round-robin to those that pass the readiness probe /readyz, as by a load
	// balancer.
	Addresses []string `json:"addresses" validate:"min=1,dive,tcp_addr"`
	Seed      uint64   `json:"seed"`
	Seconds   float64  `json:"seconds" validate:"gt=0,max=3600"`
	// GraceMS is how long open requests may continue after the last arrival.
	GraceMS int64 `json:"grace_ms" validate:"min=0,max=600000"`
	// MaxInFlight limits the number of concurrent requests. A request above the
	// limit is counted as unsent.
	MaxInFlight int       `json:"flight" validate:"min=1,max=20000"`
	Accounts    []Account `json:"accounts" validate:"min=1,max=100,dive"`
}

// Account describes the load of one client account. An account may occur several
// times, with different kinds of requests.
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
	// Tokens is the mean response length in tokens. Lengths are between 0.5 and
	// 1.5 times the mean.
	Tokens int `json:"tokens" validate:"min=0,max=100000"`
	// PromptBytes is the length of the prompt. Its first SharedBytes bytes are
	// one of Prefixes different prefixes that the account's requests share.
	PromptBytes int `json:"prompt_bytes" validate:"min=0,max=1000000"`
	SharedBytes int `json:"shared" validate:"min=0,max=1000000"`
	Prefixes    int `json:"prefixes" validate:"min=1,max=100000"`
	// WorkMS is the processing time of a plain call.
	WorkMS int `json:"work_ms" validate:"min=0,max=60000"`
	// Idempotent sends an Idempotency-Key with plain calls.
	Idempotent bool `json:"idempotent"`
	// MaxResends is the maximum number of times that a request is sent again, with
	// the same Idempotency-Key if it has one, after a refusal or a broken
	// connection.
	MaxResends int `json:"resend" validate:"min=0,max=100"`
	// DeadlineMS is sent in the header Wigeonpin-Deadline-Ms unless it is 0.
	DeadlineMS int64 `json:"deadline_ms" validate:"min=0,max=600000"`
	// From and Until limit the load to a part of the run, in seconds from its
	// start. An Until of 0 is the end of the run.
	From  float64 `json:"from" validate:"min=0"`
	Until float64 `json:"until" validate:"min=0"`
}

// UnmarshalJSON decodes an account on top of the defaults.
func (a *Account) UnmarshalJSON(raw []byte) error {
	type plain Account
	defaults := plain{Kind: KindGenerate, Model: "tagger", Tokens: 60, PromptBytes: 400, SharedBytes: 256, Prefixes: 8, Stream: true}
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

// ParsePlan decodes a plan on top of the defaults and validates it.
func ParsePlan(raw []byte) (Plan, error) {
	plan := Plan{Seed: 1, Seconds: 20, GraceMS: 40_000, MaxInFlight: 2000}
	if err := codec.Decode(raw, &plan); err != nil {
		return Plan{}, eris.Wrap(err, "plan")
	}
	if err := setting.Check(plan); err != nil {
		return Plan{}, eris.Wrap(err, "plan")
	}
	return plan, nil
}
