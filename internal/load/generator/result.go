package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestMicros  = 1
	highestMicros = 3_600_000_000
	digits        = 3
)

// Result is what came of a run.
type Result struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	TookMS  int64   `json:"took_ms"`
	// Accounts holds the accounts by name.
	Accounts map[string]*Counts `json:"accounts"`
	// Timeline holds the outcome by the second of the intended start.
	Timeline []Second `json:"timeline"`
	// NotRun holds the paths of calls that were refused as not run.
	NotRun []string `json:"not_run"`

	mu    sync.Mutex
	names []string
}

// Counts is what came of one account's requests.
type Counts struct {
	Sent   int `json:"sent"`
	Whole  int `json:"whole"`
	Tokens int `json:"tokens"`
	// Refused counts coded errors, Wrong answers that are not whole or not the
	// request's own, Broken failures of the connection, each by name.
	Refused map[string]int `json:"refused"`
	Wrong   map[string]int `json:"wrong"`
	Broken  map[string]int `json:"broken"`
	Unsent  int            `json:"unsent"`
	// WholeByKind counts whole answers by the kind of request.
	WholeByKind map[string]int `json:"whole_by_kind"`
	// CutTokens are tokens of answers that ended early.
	CutTokens int `json:"cut_tokens"`
	// Latencies of whole answers and of refusals, from the intended start.
	P50MS        float64 `json:"p50_ms"`
	P99MS        float64 `json:"p99_ms"`
	FirstP50MS   float64 `json:"first_p50_ms"`
	FirstP99MS   float64 `json:"first_p99_ms"`
	RefusalP99MS float64 `json:"refusal_p99_ms"`

	took, first, refusal *hdrhistogram.Histogram
}

// Second is the outcome of the requests of one second.
type Second struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Wrong   int `json:"wrong"`
	Broken  int `json:"broken"`
}

func newResult(plan Plan) *Result {
	r := &Result{
		Seed: plan.Seed, Seconds: plan.SecondsOf, Accounts: map[string]*Counts{},
		Timeline: make([]Second, int(plan.SecondsOf)+1),
	}
	for _, a := range plan.Accounts {
		r.names = append(r.names, a.Name+" "+a.Kind)
		if r.Accounts[a.Name] == nil {
			r.Accounts[a.Name] = &Counts{
				Refused: map[string]int{}, Wrong: map[string]int{}, Broken: map[string]int{}, WholeByKind: map[string]int{},
				took: histogram(), first: histogram(), refusal: histogram(),
			}
		}
	}
	return r
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped into the histogram's range, so recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// add counts the outcome of a request of the plan's account line index.
func (r *Result) add(index int, at time.Duration, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, kind, _ := strings.Cut(r.names[index], " ")
	c := r.Accounts[name]
	second := &r.Timeline[min(int(at.Seconds()), len(r.Timeline)-1)]
	c.Sent++
	second.Sent++
	switch o.kind {
	case whole:
		c.Whole++
		c.WholeByKind[kind]++
		c.Tokens += o.tokens
		second.Whole++
		record(c.took, o.took)
		record(c.first, o.first)
		return
	case refused:
		if o.notRun != "" {
			r.NotRun = append(r.NotRun, o.notRun)
		}
		c.Refused[o.code]++
		second.Refused++
		record(c.refusal, o.took)
	case wrong:
		c.Wrong[o.code]++
		second.Wrong++
	case broken:
		c.Broken[o.code]++
		second.Broken++
	case unsent:
		c.Unsent++
	}
	c.CutTokens += o.tokens
}

func (r *Result) finish(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.TookMS = took.Milliseconds()
	for _, c := range r.Accounts {
		c.P50MS, c.P99MS = quantile(c.took, 50), quantile(c.took, 99)
		c.FirstP50MS, c.FirstP99MS = quantile(c.first, 50), quantile(c.first, 99)
		c.RefusalP99MS = quantile(c.refusal, 99)
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Faults returns the number of wrong answers.
func (r *Result) Faults() int {
	n := 0
	for _, c := range r.Accounts {
		n += total(c.Wrong)
	}
	return n
}

// Whole returns the number of whole answers.
func (r *Result) Whole() int {
	n := 0
	for _, c := range r.Accounts {
		n += c.Whole
	}
	return n
}

func total(counts map[string]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}

// Table prints a line for each account.
func (r *Result) Table(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "account\tsent\twhole\trefused\twrong\tbroken\tp50 ms\tp99 ms\ttokens\t")
	for _, name := range slices.Sorted(maps.Keys(r.Accounts)) {
		c := r.Accounts[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t\n",
			name, c.Sent, c.Whole, total(c.Refused), total(c.Wrong), total(c.Broken)+c.Unsent, c.P50MS, c.P99MS, c.Tokens)
	}
	_ = t.Flush()
	for _, name := range slices.Sorted(maps.Keys(r.Accounts)) {
		c := r.Accounts[name]
		for _, kind := range []struct {
			name   string
			counts map[string]int
		}{{"refused", c.Refused}, {"wrong", c.Wrong}, {"broken", c.Broken}} {
			if len(kind.counts) > 0 {
				fmt.Fprintf(w, "%s %s: %s\n", name, kind.name, list(kind.counts))
			}
		}
	}
}

func list(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
