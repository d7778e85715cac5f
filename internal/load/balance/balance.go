// Package balance compares what callers were served with what the instances
// reported to the usage intake.
//
// # Usage
//
//	served := balance.Served{}
//	served.AddLoad(result)
//	served.AddTrainer("lab", summary)
//	reported, err := balance.ParseUsage(body) // of the platform's /fake/usage
//	for _, difference := range balance.Compare(served, reported) {
//		fmt.Println(difference)
//	}
package balance

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/load/generator"
	"github.com/wigeonpin/wigeonpin/internal/standin/trainer"
)

// Sum is what one client account got.
type Sum struct {
	Requests  int64 `json:"requests"`
	TokensOut int64 `json:"tokens_out"`
	TokensIn  int64 `json:"tokens_in"`
	Cost      int64 `json:"cost"`
	// Trainer marks an account with a trainer. More may be reported for it than
	// it received: the tokens of attempts that were hedged or made again.
	Trainer bool `json:"trainer"`
}

// Served holds the sums that callers saw, by client account.
type Served map[string]Sum

// AddLoad adds the whole answers of a run of the load generator.
func (s Served) AddLoad(r *generator.Result) {
	for name, c := range r.Accounts {
		sum := s[name]
		sum.Requests += int64(c.Whole)
		// Tokens that were delivered before a stream ended early are reported.
		sum.TokensOut += int64(c.Tokens + c.CutTokens)
		s[name] = sum
	}
}

// AddTrainer adds the samples that a trainer of the account received.
func (s Served) AddTrainer(account string, t trainer.Summary) {
	sum := s[account]
	sum.Requests += int64(t.Samples)
	sum.TokensOut += t.Tokens
	sum.Trainer = true
	s[account] = sum
}

// Tokens returns the tokens reported for all accounts.
func (r Reported) Tokens() int64 {
	sum := int64(0)
	for _, a := range r.Accounts {
		sum += a.TokensOut
	}
	return sum
}

// Reported is what came to the usage intake.
type Reported struct {
	Accounts map[string]Sum
	Windows  int
	Bodies   int
	// Conflicts names the windows for which different bodies came.
	Conflicts []string
}

type usageBody struct {
	Windows map[string][]struct {
		Body string `json:"body"`
		Kept bool   `json:"kept"`
	} `json:"windows"`
}

// ParseUsage reads the platform's /fake/usage. Of each window only the kept
// body counts.
func ParseUsage(raw []byte) (Reported, error) {
	r := Reported{Accounts: map[string]Sum{}}
	var usage usageBody
	if err := json.Unmarshal(raw, &usage); err != nil {
		return r, eris.Wrap(err, "usage")
	}
	for _, window := range slices.Sorted(maps.Keys(usage.Windows)) {
		bodies := usage.Windows[window]
		r.Windows++
		r.Bodies += len(bodies)
		for _, b := range bodies {
			if b.Body != bodies[0].Body && !slices.Contains(r.Conflicts, window) {
				r.Conflicts = append(r.Conflicts, window)
			}
			if !b.Kept {
				continue
			}
			var body any
			if err := json.Unmarshal([]byte(b.Body), &body); err != nil {
				return r, eris.Wrapf(err, "report of window %s", window)
			}
			r.add(body)
		}
	}
	return r, nil
}

// add sums up every entry with an account and a number of requests, at
// whatever depth of the report it stands.
func (r *Reported) add(value any) {
	switch v := value.(type) {
	case []any:
		for _, e := range v {
			r.add(e)
		}
	case map[string]any:
		account, named := v["account"].(string)
		_, counted := v["requests"].(float64)
		if named && counted {
			sum := r.Accounts[account]
			sum.Requests += number(v["requests"])
			sum.TokensIn += number(v["tokens_in"])
			sum.TokensOut += number(v["tokens_out"])
			sum.Cost += number(v["cost"])
			r.Accounts[account] = sum
			return
		}
		for _, e := range v {
			r.add(e)
		}
	}
}

func number(v any) int64 {
	n, _ := v.(float64)
	return int64(n)
}

// Compare returns a sentence for each figure in which the two sides differ.
func Compare(served Served, reported Reported) []string {
	var out []string
	names := slices.Collect(maps.Keys(served))
	for name := range reported.Accounts {
		if _, ok := served[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		a, b := served[name], reported.Accounts[name]
		if a.Requests != b.Requests && (!a.Trainer || b.Requests < a.Requests) {
			out = append(out, fmt.Sprintf("account %s: %d requests served, %d reported", name, a.Requests, b.Requests))
		}
		if a.TokensOut != b.TokensOut && (!a.Trainer || b.TokensOut < a.TokensOut) {
			out = append(out, fmt.Sprintf("account %s: %d tokens served, %d reported", name, a.TokensOut, b.TokensOut))
		}
	}
	for _, window := range reported.Conflicts {
		out = append(out, fmt.Sprintf("window %s was reported with different figures", window))
	}
	return out
}
