package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/load/balance"
	"github.com/wigeonpin/wigeonpin/internal/load/generator"
	"github.com/wigeonpin/wigeonpin/internal/standin/trainer"
)

type summaryCommand struct {
	Platform string   `arg:"--platform,required" help:"address of the platform stand-in"`
	Load     []string `arg:"--load,separate" help:"JSON results of loadgen run"`
	Trainer  []string `arg:"--trainer,separate" help:"ACCOUNT=FILE with a trainer's JSON summary"`
	Service  []string `arg:"--service,separate" help:"addresses of service stand-ins, whose runs are checked"`
	Engine   []string `arg:"--engine,separate" help:"addresses of engine stand-ins, which bound the reported tokens"`
	Ignore   []string `arg:"--ignore,separate" help:"accounts that are not compared"`
	WaitMS   int      `arg:"--wait-ms" default:"30000" help:"how long to wait for the reports to be complete"`
	Spent    string   `arg:"--spent" help:"JSON file with the endpoint spend at the start, which is taken off"`
	Changes  int      `arg:"--changes" default:"0" help:"weight changes that each trainer must have made"`
	Out      string   `arg:"--out" help:"file for the run's figures as JSON; faults then do not fail the command"`
	Share    float64  `arg:"--share" default:"0.95" help:"smallest share of whole answers"`
}

// pollPeriod is the time between two reads of the usage intake.
const pollPeriod = 500 * time.Millisecond

func (c *summaryCommand) run(ctx context.Context) error {
	served := balance.Served{}
	var faults []string
	sent, whole := 0, 0
	var loads []*generator.Result
	for _, path := range c.Load {
		var r generator.Result
		if err := readJSON(path, &r); err != nil {
			return err
		}
		served.AddLoad(&r)
		loads = append(loads, &r)
		whole += r.Whole()
		for name, a := range r.Accounts {
			sent += a.Sent
			for kind, n := range a.Wrong {
				faults = append(faults, fmt.Sprintf("account %s: %d answers were wrong (%s)", name, n, kind))
			}
		}
	}
	if sent > 0 && float64(whole) < c.Share*float64(sent) {
		faults = append(faults, fmt.Sprintf("%d of %d answers were whole, less than %.0f %%", whole, sent, 100*c.Share))
	}
	trainers, err := c.readTrainers(served)
	if err != nil {
		return err
	}
	for _, t := range trainers {
		faults = append(faults, c.checkTrainer(t)...)
	}
	runFaults, err := c.checkRuns(ctx, loads)
	if err != nil {
		return err
	}
	faults = append(faults, runFaults...)
	reported, differences, err := c.awaitReports(ctx, served)
	if err != nil {
		return err
	}
	generated, err := c.generatedTokens(ctx)
	if err != nil {
		return err
	}
	if len(c.Engine) > 0 && reported.Tokens() > generated {
		differences = append(differences, fmt.Sprintf("%d tokens reported, only %d generated", reported.Tokens(), generated))
	}
	faults = append(faults, differences...)
	spend, err := fetch[spending](ctx, c.Platform, "/fake/spend")
	if err != nil {
		return err
	}
	if c.Spent != "" {
		var before spending
		if err := readJSON(c.Spent, &before); err != nil {
			return err
		}
		spend = spend.since(before)
	}
	if spend.Total <= 0 {
		faults = append(faults, "no endpoint time was paid for")
	}
	printSummary(os.Stdout, served, reported, trainers, spend, whole, sent)
	if c.Out != "" {
		for _, fault := range faults {
			fmt.Println("fault:", fault)
		}
		return writeJSON(c.Out, balance.Measure(loads, trainers, len(differences), spend.Total, spend.Seconds))
	}
	if len(faults) == 0 {
		fmt.Println("all figures agree")
		return nil
	}
	return eris.New(strings.Join(faults, "\n  "))
}

// readJSON decodes a JSON file into a value.
func readJSON(path string, into any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read JSON file")
	}
	return eris.Wrapf(json.Unmarshal(raw, into), "decode %s", path)
}

// readTrainers reads the summaries of all trainers and adds their samples to
// what was served.
func (c *summaryCommand) readTrainers(served balance.Served) ([]trainer.Summary, error) {
	var all []trainer.Summary
	for _, text := range c.Trainer {
		account, path, ok := strings.Cut(text, "=")
		if !ok {
			return nil, eris.Errorf("trainer %q must be of the form ACCOUNT=FILE", text)
		}
		var t trainer.Summary
		if err := readJSON(path, &t); err != nil {
			return nil, err
		}
		served.AddTrainer(account, t)
		all = append(all, t)
	}
	return all, nil
}

// checkTrainer returns a sentence for each fault in a trainer's summary.
func (c *summaryCommand) checkTrainer(t trainer.Summary) []string {
	var faults []string
	if t.Violations() > 0 {
		faults = append(faults, fmt.Sprintf("trainer %s has faulty samples: %d received twice, %d missing, %d wrong, %d unlabelled, %d too old",
			t.Trainer, t.Duplicates, t.Missing, t.Wrong, t.Unlabelled, t.TooOld))
	}
	if t.Samples == 0 {
		faults = append(faults, fmt.Sprintf("trainer %s received no samples", t.Trainer))
	}
	if len(t.Announced)-1 < c.Changes {
		faults = append(faults, fmt.Sprintf("trainer %s changed its weights %d times, fewer than %d",
			t.Trainer, len(t.Announced)-1, c.Changes))
	}
	return faults
}

// awaitReports polls the usage intake until the reports match what was served or
// the wait time is over. It returns the last reports and their differences from
// what was served.
func (c *summaryCommand) awaitReports(ctx context.Context, served balance.Served) (balance.Reported, []string, error) {
	deadline := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond)
	for {
		raw, err := codec.Exchange(ctx, http.DefaultClient, http.MethodGet, "http://"+c.Platform+"/fake/usage", nil, nil)
		if err != nil {
			return balance.Reported{}, nil, err
		}
		reported, err := balance.ParseUsage(raw)
		if err != nil {
			return reported, nil, err
		}
		for _, name := range c.Ignore {
			delete(reported.Accounts, name)
		}
		differences := balance.Compare(served, reported)
		if len(differences) == 0 || !time.Now().Before(deadline) {
			return reported, differences, nil
		}
		time.Sleep(pollPeriod)
	}
}

// runCounts is what a service stand-in answers: how often each path ran.
type runCounts struct {
	Paths map[string]int `json:"paths"`
}

// checkRuns returns a sentence for each non-repeatable call that ran more than
// once, counted over all services, and for each call that ran although its answer
// said that it had not run.
func (c *summaryCommand) checkRuns(ctx context.Context, loads []*generator.Result) ([]string, error) {
	all := map[string]int{}
	for _, address := range c.Service {
		found, err := fetch[runCounts](ctx, address, "/fake/runs")
		if err != nil {
			return nil, err
		}
		for path, n := range found.Paths {
			all[path] += n
		}
	}
	var out []string
	for _, r := range loads {
		for _, path := range r.NotRun {
			if all[path] > 0 {
				out = append(out, fmt.Sprintf("call %s ran although it was refused as not run", path))
			}
		}
	}
	for path, n := range all {
		if n > 1 && strings.HasPrefix(path, generator.OncePath) {
			out = append(out, fmt.Sprintf("call %s ran %d times", path, n))
		}
	}
	return out, nil
}

// engineState is the part of an engine stand-in's state that is checked.
type engineState struct {
	Tokens int64 `json:"tokens"`
}

// generatedTokens returns the number of tokens generated by all engines.
func (c *summaryCommand) generatedTokens(ctx context.Context) (int64, error) {
	sum := int64(0)
	for _, address := range c.Engine {
		state, err := fetch[engineState](ctx, address, "/fake/state")
		if err != nil {
			return 0, err
		}
		sum += state.Tokens
	}
	return sum, nil
}

// spending is the price of endpoint time, in total and by endpoint class, and the
// endpoint seconds by class.
type spending struct {
	Total   float64            `json:"total"`
	Class   map[string]float64 `json:"class"`
	Seconds map[string]float64 `json:"seconds"`
}

// fetch reads a JSON value from a stand-in.
func fetch[T any](ctx context.Context, address, path string) (T, error) {
	return codec.Call[T](ctx, http.DefaultClient, http.MethodGet, "http://"+address+path, nil, nil)
}

// since returns the spending since an earlier reading.
func (s spending) since(before spending) spending {
	out := spending{Total: s.Total - before.Total, Class: map[string]float64{}, Seconds: map[string]float64{}}
	for class, n := range s.Class {
		out.Class[class] = n - before.Class[class]
	}
	for class, n := range s.Seconds {
		out.Seconds[class] = n - before.Seconds[class]
	}
	return out
}

func printSummary(w io.Writer, served balance.Served, reported balance.Reported, trainers []trainer.Summary, spend spending, whole, sent int) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "account\trequests served\treported\ttokens served\treported\t")
	for _, name := range slices.Sorted(maps.Keys(served)) {
		a, b := served[name], reported.Accounts[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t\n", name, a.Requests, b.Requests, a.TokensOut, b.TokensOut)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "whole answers: %d of %d sent\n", whole, sent)
	fmt.Fprintf(w, "usage reports: %d windows, %d bodies, %d windows with different figures\n",
		reported.Windows, reported.Bodies, len(reported.Conflicts))
	for _, s := range trainers {
		fmt.Fprintf(w, "trainer %s: %d steps, %d samples, by oldest version %v, age mean %.2f most %d, idle %.1f s of %.1f s (%.0f %%)\n",
			s.Trainer, s.Steps, s.Samples, s.Versions, s.MeanAge, s.MaxAge,
			float64(s.IdleMS)/1000, float64(s.RunMS)/1000, 100*s.IdleShare)
	}
	fmt.Fprintf(w, "endpoint spend: %.4f in total, by class %.4v, endpoint seconds %.4v\n", spend.Total, spend.Class, spend.Seconds)
}
