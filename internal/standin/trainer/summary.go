package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// Summary is the result of a run.
type Summary struct {
	Trainer string `json:"trainer"`
	Steps   int    `json:"steps"`
	Pulls   int    `json:"pulls"`
	Samples int    `json:"samples"`
	Tokens  int64  `json:"tokens"`
	// Versions counts the samples by their oldest weight version.
	Versions map[int]int `json:"versions"`
	// Ages counts the samples by their age: the trainer's version at the pull minus
	// the oldest version of the sample.
	Ages      map[int]int `json:"ages"`
	MeanAge   float64     `json:"mean_age"`
	MaxAge    int         `json:"max_age"`
	Announced []int       `json:"announced"`
	IdleMS    int64       `json:"idle_ms"`
	RunMS     int64       `json:"run_ms"`
	// IdleShare is the idle time as a fraction of the run's time.
	IdleShare float64 `json:"idle_share"`
	// StepMS holds the time that each step took from its first pull to its last.
	StepMS []int64 `json:"step_ms"`
	// Errors counts the failed calls by result code name, else by HTTP status; those
	// without a response count as "connection".
	Errors map[string]int `json:"errors"`

	// The number of samples that violate each rule: received twice or beyond the
	// group size, not received, with another text or length than the prompt's,
	// with versions that do not cover all tokens, and older than Options.MaxAge.
	Duplicates int `json:"twice"`
	Missing    int `json:"missing"`
	Wrong      int `json:"wrong"`
	Unlabelled int `json:"unlabelled"`
	TooOld     int `json:"too_old"`
	// Examples describe the first violations.
	Examples []string `json:"examples"`
}

const maxExamples = 5

func (s *Summary) addExample(format string, args ...any) {
	if len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, fmt.Sprintf(format, args...))
	}
}

func newSummary(name string) Summary {
	return Summary{Trainer: name, Versions: map[int]int{}, Ages: map[int]int{}, Errors: map[string]int{}, StepMS: []int64{}}
}

// Violations returns the total number of rule violations.
func (s Summary) Violations() int {
	return s.Duplicates + s.Missing + s.Wrong + s.Unlabelled + s.TooOld
}

// Summary returns a copy of the current summary with its means and shares.
func (t *Trainer) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.summary
	s.Versions, s.Ages, s.Errors = maps.Clone(s.Versions), maps.Clone(s.Ages), maps.Clone(s.Errors)
	s.StepMS, s.Announced, s.Examples = slices.Clone(s.StepMS), slices.Clone(s.Announced), slices.Clone(s.Examples)
	sum, count := 0, 0
	for age, n := range s.Ages {
		sum, count = sum+age*n, count+n
		s.MaxAge = max(s.MaxAge, age)
	}
	if count > 0 {
		s.MeanAge = float64(sum) / float64(count)
	}
	if s.RunMS > 0 {
		s.IdleShare = float64(s.IdleMS) / float64(s.RunMS)
	}
	return s
}

func (t *Trainer) update(apply func(*Summary)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	apply(&t.summary)
}

func (t *Trainer) countError(err error) {
	t.update(func(s *Summary) { s.Errors[errorKind(err)]++ })
}

// errorKind returns the key of an error in Summary.Errors.
func errorKind(err error) string {
	var status *codec.StatusError
	if !errors.As(err, &status) {
		return "connection"
	}
	var body struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(status.Body, &body) == nil && body.Name != "" {
		return body.Name
	}
	return strconv.Itoa(status.Status)
}

// retryDelay returns the delay before a retry: the Retry-After time of the
// response, up to maxRetryDelay, else defaultRetryDelay.
func retryDelay(err error) time.Duration {
	var status *codec.StatusError
	if errors.As(err, &status) && status.RetryAfter > 0 {
		return min(status.RetryAfter, maxRetryDelay)
	}
	return defaultRetryDelay
}

// sleep waits for d and returns false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
