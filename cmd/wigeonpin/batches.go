package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/training/chain"
)

type batchesCommand struct {
	Files []string `arg:"positional,required" help:"log files of the processes"`
}

// run prints what became of each batch, and the calls to the store, as the logs tell.
func (c batchesCommand) run(context.Context) error {
	report := chain.NewReport()
	for _, path := range c.Files {
		if err := addLog(report, path); err != nil {
			return err
		}
	}
	if len(report.Batches()) == 0 {
		return eris.Errorf("no batch was started in %d files", len(c.Files))
	}
	return printReport(os.Stdout, report)
}

func addLog(report *chain.Report, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		report.Add(scanner.Text())
	}
	return eris.Wrapf(scanner.Err(), "read log file %s", path)
}

// printReport writes two tables: the batches by model and step, and the calls to the
// store, the most frequent first.
func printReport(out io.Writer, report *chain.Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "model\tstep\tbatch\taccepted\tstart ms\ttook ms\trestarts\tbroken\tslow\tsilent\tlate\twaited ms\tcauses")
	for _, b := range report.Batches() {
		took := "open"
		if b.Took() > 0 {
			took = fmt.Sprint(b.Took().Milliseconds())
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
			b.Model, b.Step, b.ID, b.Accepted.Format("15:04:05.000"), b.Started.Sub(b.Accepted).Milliseconds(), took,
			b.Restarts, b.Broken, b.Slow, b.Silent, b.Late, b.Waited.Milliseconds(), formatCauses(b.Causes))
	}
	calls := report.Calls()
	fmt.Fprintln(table, "\ncalls\tstore call")
	for _, call := range slices.SortedFunc(maps.Keys(calls), func(a, b string) int {
		return cmp.Or(cmp.Compare(calls[b], calls[a]), strings.Compare(a, b))
	}) {
		fmt.Fprintf(table, "%d\t%s\n", calls[call], call)
	}
	return table.Flush()
}

// formatCauses returns the causes of broken runs with their numbers.
func formatCauses(causes map[string]int) string {
	var list []string
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		list = append(list, fmt.Sprintf("%d %s", causes[cause], cause))
	}
	return strings.Join(list, "; ")
}
