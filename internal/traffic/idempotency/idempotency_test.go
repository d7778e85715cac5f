package idempotency

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// group is a set of instances in one process. Tests inject faults into the
// calls between them.
type group struct {
	timers *clock.Service
	driver *clock.Driver
	mu     sync.Mutex
	nodes  map[string]*node
}

type node struct {
	records *Records
	view    *member.View
	// fault is "" for none, "refused" for a dead instance whose port is closed,
	// "silent" for an instance cut off from the others in both directions, "lost"
	// for an instance that runs calls but whose answers are lost, or "frozen" for a
	// process that does nothing until it goes on with the state it had.
	fault string
	// claims holds the claims that have not ended, by idempotency key.
	claims map[string]*Claim
}

func newGroup() *group {
	g := &group{nodes: map[string]*node{}}
	g.timers, g.driver = clock.NewDriven(time.Unix(1000, 0))
	return g
}

func (g *group) fault(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nodes[id].fault
}

func (g *group) start(id string, view *member.View) {
	n := &node{view: view, claims: map[string]*Claim{}}
	g.mu.Lock()
	g.nodes[id] = n
	g.mu.Unlock()
	settings := setting.Defaults()
	settings.ID = id
	n.records = New(settings, g.timers, meter.NewSet(), Seams{
		View: func() *member.View { return n.view },
		Peer: func(i member.Instance) Once { return link{g, id, i.ID} },
		Refused: func(err error) bool {
			return errors.Is(err, syscall.ECONNREFUSED)
		},
		Report: func(string, bool, bool) {},
		// An instance that is cut off has no up-to-date view.
		Current: func() bool { return n.fault != "silent" },
	})
}

// link is the client of one instance for another. It fails calls according to
// the faults of both.
type link struct {
	group    *group
	from, to string
}

// invoke runs one call at the instance to, with copies of the request and the
// answer as if they had been encoded.
func invoke[Q, A proto.Message](l link, q Q, f func(*server, Q) (A, error)) (A, error) {
	var none A
	fault := l.group.fault(l.to)
	if fault == "refused" {
		return none, syscall.ECONNREFUSED
	}
	if fault == "silent" || fault == "frozen" || l.group.fault(l.from) == "silent" {
		return none, context.DeadlineExceeded
	}
	answer, err := f((*server)(l.group.nodes[l.to].records), proto.Clone(q).(Q))
	if fault == "lost" {
		return none, context.DeadlineExceeded
	}
	return proto.Clone(answer).(A), err
}

func (l link) Claim(ctx context.Context, q *ClaimRequest) (*ClaimAnswer, error) {
	return invoke(l, q, func(s *server, q *ClaimRequest) (*ClaimAnswer, error) { return s.Claim(ctx, q) })
}

func (l link) Put(ctx context.Context, q *PutRequest) (*PutAnswer, error) {
	return invoke(l, q, func(s *server, q *PutRequest) (*PutAnswer, error) { return s.Put(ctx, q) })
}

func (l link) Drop(ctx context.Context, q *DropRequest) (*DropAnswer, error) {
	return invoke(l, q, func(s *server, q *DropRequest) (*DropAnswer, error) { return s.Drop(ctx, q) })
}

func (l link) Ask(ctx context.Context, q *AskRequest) (*AskAnswer, error) {
	return invoke(l, q, func(s *server, q *AskRequest) (*AskAnswer, error) { return s.Ask(ctx, q) })
}

// advance moves the time forward and does the periodic work of each running
// instance.
func (g *group) advance(step time.Duration) {
	for ; step > 0; step -= tickPeriod {
		g.driver.Advance(min(step, tickPeriod))
		for _, n := range g.nodes {
			if n.fault != "refused" && n.fault != "frozen" {
				n.records.observe()
				n.records.store.expire()
				n.records.maintain(context.Background())
			}
		}
	}
}

func (g *group) claim(via, id, digest string) string {
	n := g.nodes[via]
	claim, err := n.records.Claim(context.Background(), "acme", id, digest)
	if err != nil {
		coded := code.Of(err)
		return fmt.Sprintf("%s run=%s", coded.Code, coded.Run)
	}
	if replay, ok := claim.Replay(); ok {
		return fmt.Sprintf("replay %d %s", replay.Status, replay.Body)
	}
	n.claims[id] = claim
	return "claimed"
}

func (g *group) done(via, id string, run code.Run, body string) {
	if claim := g.nodes[via].claims[id]; claim != nil {
		claim.Done(context.Background(), Outcome{Run: run, Status: 200, Body: []byte(body), Whole: true})
		delete(g.nodes[via].claims, id)
	}
}

func viewOf(ids []string) *member.View {
	var list []member.Instance
	for _, id := range ids {
		list = append(list, member.Instance{ID: id, Zone: id[:1], Peer: id})
	}
	return member.NewView(list)
}

// The scripts guard against a request that runs twice under its idempotency
// key, and against the answer not_run for a request that may have run. The
// causes are resends through other instances, the death of the claimer, of one
// home or of both homes, and changes of the homes.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		g := newGroup()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out []string
			for _, line := range strings.Split(d.Input, "\n") {
				if words := strings.Fields(line); len(words) > 0 {
					out = append(out, g.run(t, words)...)
				}
			}
			return strings.Join(out, "\n")
		})
	})
}

func (g *group) run(t *testing.T, words []string) []string {
	arg := func(n int) string {
		if n < len(words) {
			return words[n]
		}
		return ""
	}
	switch words[0] {
	case "members": // members ID...: starts new instances and gives all instances the view
		view := viewOf(words[1:])
		for _, id := range words[1:] {
			if g.nodes[id] == nil {
				g.start(id, view)
			}
		}
		for _, n := range g.nodes {
			n.view = view
		}
	case "homes": // homes VIA ID
		return []string{strings.Join(g.nodes[arg(1)].view.Homes("acme\x00"+arg(2), homeCount), " ")}
	case "advance": // advance DURATION
		step, err := time.ParseDuration(arg(1))
		if err != nil {
			t.Fatal(err)
		}
		g.advance(step)
	case "claim": // claim VIA ID [DIGEST]
		return []string{g.claim(arg(1), arg(2), arg(3))}
	case "done": // done VIA ID RUN [BODY]
		g.done(arg(1), arg(2), code.Run(arg(3)), arg(4))
	case "fault": // fault ID [KIND]
		g.nodes[arg(1)].fault = arg(2)
	case "restart": // restart ID: also clears its fault
		g.start(arg(1), g.nodes[arg(1)].view)
	default:
		t.Fatalf("unknown directive %q", words[0])
	}
	return nil
}

// Guards against an id that runs twice within the resend window, and against
// the answer not_run for an id that may have run. The causes are random faults,
// restarts, late member lists and resends through any instance.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		all := []string{"a1", "a2", "b1", "b2", "c1"}
		listed := slices.Clone(all)
		for _, id := range all {
			g.start(id, viewOf(all))
		}
		g.advance(66 * time.Second)
		type lastRun struct {
			via  string
			open bool
			// end is when the run ended or when its claimer was cut off. It is
			// zero while the run goes on and its claimer is reachable.
			end time.Time
		}
		runs := map[string]lastRun{}
		// setEnd sets the end of the open runs of a claimer.
		setEnd := func(via string, end time.Time) {
			for id, r := range runs {
				if r.via == via && r.open {
					runs[id] = lastRun{via, true, end}
				}
			}
		}
		node := func() string { return rapid.SampledFrom(all).Draw(t, "node") }
		key := func() string { return rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id") }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				via, id := node(), key()
				if g.nodes[via].fault == "refused" {
					return
				}
				answer := g.claim(via, id, "d")
				r, ok := runs[id]
				ok = ok && (r.end.IsZero() || g.timers.Since(r.end) < 60*time.Second)
				if ok && (answer == "claimed" || strings.Contains(answer, "not_run")) {
					t.Fatalf("claim of %s via %s gave %q, but it ran via %s until %s, which is within the resend window", id, via, answer, r.via, r.end)
				}
				if answer != "claimed" {
					return
				}
				runs[id] = lastRun{via: via, open: true}
				if g.nodes[via].fault == "silent" {
					runs[id] = lastRun{via, true, g.timers.Now()}
				}
			},
			"done": func(t *rapid.T) {
				id := key()
				if r, ok := runs[id]; ok && r.open {
					run := rapid.SampledFrom([]code.Run{code.Ran, code.MaybeRun, code.NotRun}).Draw(t, "run")
					g.done(r.via, id, run, "body")
					runs[id] = lastRun{r.via, false, g.timers.Now()}
					if g.nodes[r.via].fault == "silent" {
						runs[id] = lastRun{r.via, false, r.end}
					}
					if run == code.NotRun {
						delete(runs, id)
					}
				}
			},
			"fault": func(t *rapid.T) {
				id := node()
				n := g.nodes[id]
				if n.fault == "refused" {
					return
				}
				previous := n.fault
				n.fault = rapid.SampledFrom([]string{"", "", "silent", "lost"}).Draw(t, "fault")
				if n.fault == "silent" && previous != "silent" {
					setEnd(id, g.timers.Now())
				} else if n.fault != "silent" && previous == "silent" {
					setEnd(id, time.Time{})
				}
			},
			"crash": func(*rapid.T) {
				id := node()
				for key, r := range runs {
					if r.via == id && r.open {
						if r.end.IsZero() {
							r.end = g.timers.Now()
						}
						runs[key] = lastRun{id, false, r.end}
					}
				}
				g.start(id, g.nodes[id].view)
				g.nodes[id].fault = "refused"
			},
			"restart": func(*rapid.T) {
				if id := node(); g.nodes[id].fault == "refused" {
					g.start(id, g.nodes[id].view)
				}
			},
			"list": func(*rapid.T) {
				if id := node(); slices.Contains(listed, id) && len(listed) > 2 {
					listed = slices.DeleteFunc(slices.Clone(listed), func(o string) bool { return o == id })
				} else if !slices.Contains(listed, id) {
					listed = append(slices.Clone(listed), id)
				}
			},
			"adopt": func(*rapid.T) { g.nodes[node()].view = viewOf(listed) },
			"advance": func(t *rapid.T) {
				// The member list reaches every instance within its lag bound of 5 s.
				for _, n := range g.nodes {
					n.view = viewOf(listed)
				}
				g.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}
