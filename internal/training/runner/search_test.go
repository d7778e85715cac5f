package runner

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	searchRuns    = flag.Int("runs", 2000, "number of runs of TestSearch")
	searchFirst   = flag.Uint64("first", 1, "first seed of TestSearch")
	searchRule    = flag.String("rule", "", "rule that TestSearch looks for; empty for any")
	searchPlayers = flag.Int("players", 4, "number of runs at a time")
)

// progressRuns is the number of runs between two progress lines.
const progressRuns = 5000

// maxVariantRuns is the number of runs within which the search has to find a former
// behaviour.
const maxVariantRuns = 20000

// playTape executes one run.
func playTape(t *testing.T, v variant, choices tape, verbose bool) *world {
	w := &world{variant: v, choices: choices, verbose: verbose}
	synctest.Test(t, func(*testing.T) { w.play() })
	return w
}

// outcome is what a search found: the lowest seed that breaks a rule, the rule, and the
// number of runs up to it.
type outcome struct {
	seed   uint64
	broken *failure
	runs   int
}

// searchSeeds plays seeds, several at a time, until a rule of the given kind is broken;
// "" stands for any rule.
func searchSeeds(t *testing.T, v variant, first uint64, runs int, rule string) outcome {
	t.Helper()
	began := time.Now()
	var mu sync.Mutex
	next, found := 0, outcome{runs: runs}
	take := func() (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		next++
		if next%progressRuns == 0 {
			t.Logf("%d runs, %.0f a second", next, float64(next)/time.Since(began).Seconds())
		}
		return next - 1, next <= found.runs
	}
	var players sync.WaitGroup
	for range *searchPlayers {
		players.Go(func() {
			for i, left := take(); left; i, left = take() {
				seed := first + uint64(i)
				f := playTape(t, v, newTape(seed), false).failure
				if f == nil || rule != "" && f.rule != rule {
					continue
				}
				mu.Lock()
				if i < found.runs {
					found = outcome{seed, f, i + 1}
				}
				mu.Unlock()
			}
		})
	}
	players.Wait()
	t.Logf("%d runs, %.0f a second", found.runs, float64(found.runs)/time.Since(began).Seconds())
	return found
}

// shrink returns a shorter list of choices that breaks the same rule.
func shrink(t *testing.T, v variant, choices tape, rule string) tape {
	breaks := func(c tape) bool {
		f := playTape(t, v, c, false).failure
		return f != nil && f.rule == rule
	}
	for changed := true; changed; {
		changed = false
		for size := len(choices) / 2; size > 0; size /= 2 {
			for at := 1; at+size <= len(choices); {
				shorter := slices.Delete(slices.Clone(choices), at, at+size)
				if breaks(shorter) {
					choices, changed = shorter, true
					continue
				}
				at += size
			}
		}
		for at := range choices {
			zeroed := slices.Clone(choices)
			zeroed[at] = 0
			if choices[at] != 0 && breaks(zeroed) {
				choices, changed = zeroed, true
			}
		}
	}
	return choices
}

// report returns the history of the shrunk run.
func report(t *testing.T, v variant, seed uint64, rule string) string {
	w := playTape(t, v, shrink(t, v, newTape(seed), rule), true)
	return strings.Join(w.history, "\n")
}

// Guards against readers that are told less than another one was told before.
func TestSearch(t *testing.T) {
	if found := searchSeeds(t, present, *searchFirst, *searchRuns, *searchRule); found.broken != nil {
		t.Errorf("seed %d, run %d: %s: %s\n%s", found.seed, found.runs, found.broken.rule, found.broken.text,
			report(t, present, found.seed, found.broken.rule))
	}
}

// Guards against a search that finds nothing: with a former behaviour restored, it must
// find the fault that was seen in operation.
func TestSearchFindsFormerFaults(t *testing.T) {
	for name, c := range map[string]struct {
		variant variant
		rule    string
	}{
		"believed workers": {believesWorkers, toldLess},
		"dead workers":     {asksDeadWorkers, noProgress},
	} {
		t.Run(name, func(t *testing.T) {
			found := searchSeeds(t, c.variant, 1, maxVariantRuns, c.rule)
			if found.broken == nil {
				t.Fatalf("not found in %d runs", maxVariantRuns)
			}
			t.Logf("seed %d, run %d: %s\n%s", found.seed, found.runs, found.broken.text, report(t, c.variant, found.seed, c.rule))
		})
	}
}
