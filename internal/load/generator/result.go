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
	lowestMicros      = 1
	highestMicros     = 3_600_000_000
	significantDigits = 3
)

// Result holds the counts and latencies of a load run.
type Result struct {
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	ElapsedMS int64   `json:"took_ms"`
	// Accounts holds the counts by account name.
	Accounts map[string]*Counts `json:"accounts"`
	// Timeline holds the outcomes for each second of the run.
	Timeline []Second `json:"timeline"`
	// NotRun holds the paths of refused calls for which every attempt was answered
	// with the statement that the call did not run.
	NotRun []string `json:"not_run"`

	mu sync.Mutex
	// accountKinds holds the name and kind of each entry of the plan's accounts.
	accountKinds []string
}

// Counts holds the outcomes of one account's requests.
type Counts struct {
	Sent int `json:"sent"`
	// Whole counts complete and correct responses.
	Whole  int `json:"whole"`
	Tokens int `json:"tokens"`
	// Refused counts error responses by code name, Wrong counts responses that
	// are incomplete, damaged or belong to another request, and Broken counts
	// failed connections, the latter two by reason.
	Refused map[string]int `json:"refused"`
	Wrong   map[string]int `json:"wrong"`
	Broken  map[string]int `json:"broken"`
	// Unsent counts requests above the plan's limit of concurrent requests.
	Unsent int `json:"unsent"`
	// WholeByKind counts complete and correct responses by the kind of request.
	WholeByKind map[string]int `json:"whole_by_kind"`
	// CutTokens counts the tokens of responses that were not whole.
	CutTokens int `json:"cut_tokens"`
	// Latencies of whole responses and of refusals, from the intended start.
	P50MS        float64 `json:"p50_ms"`
	P99MS        float64 `json:"p99_ms"`
	FirstP50MS   float64 `json:"first_p50_ms"`
	FirstP99MS   float64 `json:"first_p99_ms"`
	RefusalP99MS float64 `json:"refusal_p99_ms"`

	latency, firstToken, refusalLatency *hdrhistogram.Histogram
}

// Second holds the outcomes of the requests whose intended start is in one
// second of the run.
type Second struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Wrong   int `json:"wrong"`
	Broken  int `json:"broken"`
}

func newResult(plan Plan) *Result {
	r := &Result{
		Seed: plan.Seed, Seconds: plan.Seconds, Accounts: map[string]*Counts{},
		Timeline: make([]Second, int(plan.Seconds)+1),
	}
	for _, a := range plan.Accounts {
		r.accountKinds = append(r.accountKinds, a.Name+" "+a.Kind)
		if r.Accounts[a.Name] == nil {
			r.Accounts[a.Name] = &Counts{
				Refused: map[string]int{}, Wrong: map[string]int{}, Broken: map[string]int{}, WholeByKind: map[string]int{},
				latency: newHistogram(), firstToken: newHistogram(), refusalLatency: newHistogram(),
			}
		}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped into the histogram's range, so recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// add counts the outcome of a request that belongs to the plan's account entry
// at index. The intended start, at, is counted from the start of the run.
func (r *Result) add(index int, at time.Duration, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, kind, _ := strings.Cut(r.accountKinds[index], " ")
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
		record(c.latency, o.latency)
		record(c.firstToken, o.firstToken)
		return
	case refused:
		if o.notRun != "" {
			r.NotRun = append(r.NotRun, o.notRun)
		}
		c.Refused[o.code]++
		second.Refused++
		record(c.refusalLatency, o.latency)
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

func (r *Result) finish(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ElapsedMS = elapsed.Milliseconds()
	for _, c := range r.Accounts {
		c.P50MS, c.P99MS = quantileMS(c.latency, 50), quantileMS(c.latency, 99)
		c.FirstP50MS, c.FirstP99MS = quantileMS(c.firstToken, 50), quantileMS(c.firstToken, 99)
		c.RefusalP99MS = quantileMS(c.refusalLatency, 99)
	}
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Wrong returns the number of wrong responses.
func (r *Result) Wrong() int {
	n := 0
	for _, c := range r.Accounts {
		n += total(c.Wrong)
	}
	return n
}

// Whole returns the number of whole responses.
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

// WriteTable writes a table with one row per account to w, followed by the
// reasons of responses that were not whole.
func (r *Result) WriteTable(w io.Writer) {
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
				fmt.Fprintf(w, "%s %s: %s\n", name, kind.name, formatCounts(kind.counts))
			}
		}
	}
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
