package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/load/balance"
)

type compareCommand struct {
	First  string `arg:"positional,required" help:"folder with the figures of one build or setting, SCENARIO-SEED.json each"`
	Second string `arg:"positional,required" help:"folder with the figures of the other"`
}

// pair holds the figures of both sides for one scenario and seed.
type pair struct{ first, second balance.Figures }

func (c *compareCommand) run(context.Context) error {
	paths, err := filepath.Glob(filepath.Join(c.First, "*-*.json"))
	if err != nil {
		return eris.Wrap(err, "compare")
	}
	scenarios := map[string][]pair{}
	var names []string
	for _, path := range paths {
		file := filepath.Base(path)
		other := filepath.Join(c.Second, file)
		if _, err := os.Stat(other); err != nil {
			fmt.Fprintf(os.Stderr, "%s has no counterpart in %s\n", file, c.Second)
			continue
		}
		var p pair
		if err := readJSON(path, &p.first); err != nil {
			return err
		}
		if err := readJSON(other, &p.second); err != nil {
			return err
		}
		name := file[:strings.LastIndex(file, "-")]
		if scenarios[name] == nil {
			names = append(names, name)
		}
		scenarios[name] = append(scenarios[name], p)
	}
	if len(names) == 0 {
		return eris.Errorf("%s and %s have no figures file in common", c.First, c.Second)
	}
	slices.Sort(names)
	for _, name := range names {
		printPairs(name, scenarios[name])
	}
	return nil
}

// printPairs prints the mean of each figure on both sides, and the number of
// pairs in which the second side is better and worse.
func printPairs(name string, pairs []pair) {
	fmt.Printf("%s, %d pairs\n", name, len(pairs))
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "figure\tfirst\tsecond\tdifference\tsecond better\tsecond worse\t")
	for _, d := range balance.AllFigures() {
		var first, second float64
		better, worse := 0, 0
		for _, p := range pairs {
			a, b := d.Value(p.first), d.Value(p.second)
			first, second = first+a/float64(len(pairs)), second+b/float64(len(pairs))
			switch {
			case a == b:
			case (b > a) == d.HigherIsBetter:
				better++
			default:
				worse++
			}
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g\t%d\t%d\t\n", d.Name, first, second, second-first, better, worse)
	}
	_ = t.Flush()
}
