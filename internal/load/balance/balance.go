// Package balance reconciles the usage that instances reported to the usage
// intake with what callers received, and computes the figures of a run.
//
// # Usage
//
//	served := balance.Served{}
//	served.AddLoad(result)
//	served.AddTrainer("lab", summary)
//	reported, err := balance.ParseUsage(body) // the response of the platform's /fake/usage
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

// Totals holds the usage of one client account.
type Totals struct {
	Requests  int64 `json:"requests"`
	TokensOut int64 `json:"tokens_out"`
	TokensIn  int64 `json:"tokens_in"`
	Cost      int64 `json:"cost"`
	// Trainer marks the account of a trainer. Its reported usage may exceed what
	// it received, because hedged and retried attempts are reported as well.
	Trainer bool `json:"trainer"`
}

// Served holds the totals that callers received, by client account.
type Served map[string]Totals

// AddLoad adds the requests with a whole response and the delivered tokens of a
// run of the load generator.
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

// Tokens returns the output tokens reported for all accounts.
func (r Reported) Tokens() int64 {
	sum := int64(0)
	for _, a := range r.Accounts {
		sum += a.TokensOut
	}
	return sum
}

// Reported holds what the usage intake received.
type Reported struct {
	Accounts map[string]Totals
	Windows  int
	// Bodies counts the report bodies of all windows.
	Bodies int
	// Conflicts lists the windows for which different bodies were received.
	Conflicts []string
}

type usageBody struct {
	Windows map[string][]struct {
		Body string `json:"body"`
		Kept bool   `json:"kept"`
	} `json:"windows"`
}

// ParseUsage decodes a response of the platform's /fake/usage. For each window,
// only the body that the intake kept is counted.
func ParseUsage(raw []byte) (Reported, error) {
	r := Reported{Accounts: map[string]Totals{}}
	var usage usageBody
	if err := json.Unmarshal(raw, &usage); err != nil {
		return r, eris.Wrap(err, "decode usage")
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

// add adds every entry with an account and a number of requests to the totals,
// at any depth of the report.
func (r *Reported) add(value any) {
	switch v := value.(type) {
	case []any:
		for _, e := range v {
			r.add(e)
		}
	case map[string]any:
		account, hasAccount := v["account"].(string)
		_, hasRequests := v["requests"].(float64)
		if hasAccount && hasRequests {
			sum := r.Accounts[account]
			sum.Requests += toInt64(v["requests"])
			sum.TokensIn += toInt64(v["tokens_in"])
			sum.TokensOut += toInt64(v["tokens_out"])
			sum.Cost += toInt64(v["cost"])
			r.Accounts[account] = sum
			return
		}
		for _, e := range v {
			r.add(e)
		}
	}
}

func toInt64(v any) int64 {
	n, _ := v.(float64)
	return int64(n)
}

// Compare returns a message for each difference between what was served and what
// was reported, and for each window with conflicting reports.
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
