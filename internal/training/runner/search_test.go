package runner

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var (
	searchRuns  = flag.Int("runs", 150, "number of runs of TestSearch")
	searchFirst = flag.Uint64("first", 1, "first seed of TestSearch")
	searchRule  = flag.String("rule", "", "rule that TestSearch looks for; empty for any")
)

// progressRuns is the number of runs between two progress lines.
const progressRuns = 5000

// sameSeedRuns is the number of seeds that are played twice.
const sameSeedRuns = 30

// searchGarbagePercent is the garbage that runs may leave before it is collected, in
// percent of the memory in use, which is little.
const searchGarbagePercent = 800

// shrinkTries is the number of random changes of a list of choices that are tried in the
// end, and maxChangedChoices the number of choices that each of them changes.
const (
	shrinkTries       = 500
	maxChangedChoices = 3
)

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

// searchSeeds plays seeds until a rule is broken; the rule "" stands for any.
func searchSeeds(t *testing.T, v variant, first uint64, runs int, rule string) outcome {
	t.Helper()
	useOneThread(t)
	began := time.Now()
	rate := func(runs int) float64 { return float64(runs) / time.Since(began).Seconds() }
	for i := range runs {
		seed := first + uint64(i)
		if f := playTape(t, v, newTape(seed), false).failure; f != nil && (rule == "" || f.rule == rule) {
			t.Logf("%d runs, %.0f a second", i+1, rate(i+1))
			return outcome{seed, f, i + 1}
		}
		if (i+1)%progressRuns == 0 {
			fmt.Printf("%d runs, %.0f a second\n", i+1, rate(i+1))
		}
	}
	t.Logf("%d runs, %.0f a second", runs, rate(runs))
	return outcome{runs: runs}
}

// useOneThread makes runs faster: one goroutine at a time can go on in them.
func useOneThread(t *testing.T) {
	threads, garbage := runtime.GOMAXPROCS(1), debug.SetGCPercent(searchGarbagePercent)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(threads)
		debug.SetGCPercent(garbage)
	})
}

// shrink returns a shorter list of choices that breaks the same rule with no more calls.
func shrink(t *testing.T, v variant, choices tape, rule string) tape {
	calls := math.MaxInt
	try := func(c tape) bool {
		w := playTape(t, v, c, false)
		if w.failure == nil || w.failure.rule != rule || w.calls > calls {
			return false
		}
		choices, calls = c, w.calls
		return true
	}
	try(choices)
	for changed := true; changed; {
		changed = false
		for size := len(choices) / 2; size > 0; size /= 2 {
			for at := 1; at+size <= len(choices); {
				if try(slices.Delete(slices.Clone(choices), at, at+size)) {
					changed = true
					continue
				}
				at += size
			}
		}
		for at := range choices {
			zeroed := slices.Clone(choices)
			zeroed[at] = 0
			changed = choices[at] != 0 && try(zeroed) || changed
		}
	}
	random := rand.New(rand.NewPCG(1, 0))
	for range shrinkTries {
		c := slices.Clone(choices)
		for range 1 + random.IntN(maxChangedChoices) {
			at := random.IntN(len(c))
			switch {
			case at > 0 && random.IntN(2) == 0:
				c = slices.Delete(c, at, at+1)
			default:
				c[at] = uint16(random.Uint32())
			}
		}
		try(c)
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
// find the fault that it had, in a run that breaks no rule now. The first seeds keep the
// test short; the numbers of runs from seed 1 on are in docs/soak.md.
func TestSearchFindsFormerFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		variant variant
		rule    string
		first   uint64
	}{
		{"believed workers", believesWorkers, toldLess, 1},
		{"dead workers", asksDeadWorkers, noProgress, 1},
		{"old empty answers", keepsOldAnswers, toldLess, 8581},
		{"old answers without batch", keepsOldAnswers, missingBatch, 5451},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := searchSeeds(t, c.variant, c.first, maxVariantRuns, c.rule)
			if found.broken == nil {
				t.Fatalf("not found in %d runs", maxVariantRuns)
			}
			t.Logf("seed %d, run %d: %s", found.seed, found.runs, found.broken.text)
			if testing.Verbose() {
				t.Log("\n" + report(t, c.variant, found.seed, c.rule))
			}
			if f := playTape(t, present, newTape(found.seed), false).failure; f != nil {
				t.Errorf("seed %d on the present code: %s: %s", found.seed, f.rule, f.text)
			}
		})
	}
}

// Guards against an empty answer for a batch that a process whose clock is wrong has
// removed early: readers of other processes were told results of it.
func TestSearchOfEarlyRemovals(t *testing.T) {
	if found := searchSeeds(t, wrongClock, 1, *searchRuns, toldLess); found.broken != nil {
		t.Errorf("seed %d, run %d: %s\n%s", found.seed, found.runs, found.broken.text, report(t, wrongClock, found.seed, toldLess))
	}
}

// Guards against runs that depend on anything but the seed.
func TestSameSeedIsTheSameRun(t *testing.T) {
	for seed := range uint64(sameSeedRuns) {
		first, second := playTape(t, present, newTape(seed), true), playTape(t, present, newTape(seed), true)
		if !slices.Equal(first.history, second.history) {
			t.Fatalf("seed %d:\n%s\n\nand then\n\n%s", seed, strings.Join(first.history, "\n"), strings.Join(second.history, "\n"))
		}
	}
}
