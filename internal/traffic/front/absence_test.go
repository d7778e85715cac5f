package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// absenceLines returns the fields of the log lines of answers without results.
func absenceLines(hook *logtest.Hook) []logrus.Fields {
	var lines []logrus.Fields
	for _, entry := range hook.AllEntries() {
		if entry.Message == "answer without results" {
			lines = append(lines, entry.Data)
		}
	}
	return lines
}

// Guards against answers without results of which nobody can tell how old the read of
// the store was that they rest on.
func TestAnswersWithoutResultsAreLogged(t *testing.T) {
	fx := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	hook := logtest.NewLocal(fx.front.log.Logger)
	if status, _, _, err := fx.call(t, http.MethodPost, "/batch/a", "k1", "i1"); err != nil || status != http.StatusAccepted {
		t.Fatalf("status %d, error %v", status, err)
	}
	for _, path := range []string{"/results/id-i1", "/results/none?after=2"} {
		if _, _, _, err := fx.call(t, http.MethodGet, path, "k1", ""); err != nil {
			t.Fatal(err)
		}
	}
	fx.server.Close() // lines are written after the answers
	lines := absenceLines(hook)
	if len(lines) != 2 {
		t.Fatalf("lines: %v, want 2", lines)
	}
	for i, want := range []logrus.Fields{
		{"batch": "id-i1", "status": http.StatusOK, "position": 0, "path": "direct", "source": "store", "known": 0},
		{"batch": "none", "status": http.StatusNotFound, "position": 2, "path": "direct", "source": "store", "known": 0},
	} {
		for name, value := range want {
			if lines[i][name] != value {
				t.Errorf("line %d: %s is %v, want %v", i, name, lines[i][name], value)
			}
		}
		if lines[i]["age_ms"] == nil || lines[i]["written_age_ms"] == nil {
			t.Errorf("line %d has no ages: %v", i, lines[i])
		}
	}
}

// TestOldProofsAreNotPassedOn guards against answers that tell a caller "there is
// nothing" from a read of the store that is older than what other callers were told: its
// answer came late, or the process was paused before it wrote its own.
func TestOldProofsAreNotPassedOn(t *testing.T) {
	datadriven.Walk(t, "testdata/absence", func(t *testing.T, path string) {
		fx := newFixture(t, echo)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "late":
				fx.delayReads(t, d)
				return ""
			case "pause":
				fx.pauseBeforeWrite(t, d)
				return ""
			case "manifest":
				fx.manifest.Store(parseManifest(t, fx.manifest.Load().Version+1, d))
				return ""
			case "call":
				return fx.scriptedCall(t, d)
			case "late-proofs":
				return strconv.FormatInt(fx.front.late.Value(d.CmdArgs[0].Key), 10) + "\n"
			case "limit":
				return fx.lastLimit()
			}
			t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			return ""
		})
	})
}

// lastLimit returns the limit of the latest answer whose delivery was limited, or "none"
// if there was none since the last call.
func (fx *fixture) lastLimit() string {
	last := "none"
	for len(fx.limits) > 0 {
		last = (<-fx.limits).String()
	}
	return last + "\n"
}

// jump returns a function that advances the uptime by the argument ms, for the calls
// after the first skip ones, as many as the argument times.
func (fx *fixture) jump(t *testing.T, d *datadriven.TestData) func() bool {
	t.Helper()
	var ms, skip, times int
	d.ScanArgs(t, "ms", &ms)
	d.ScanArgs(t, "times", &times)
	d.MaybeScanArgs(t, "skip", &skip)
	var calls atomic.Int64
	return func() bool {
		if n := int(calls.Add(1)); n <= skip || n > skip+times {
			return false
		}
		fx.uptime.Add(int64(time.Duration(ms) * time.Millisecond))
		return true
	}
}

// delayReads lets the store's answers to reads of a kind come late. The first page of
// the batch in the argument page is written meanwhile, and read by another caller if
// the argument read is given.
func (fx *fixture) delayReads(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	var kind, page string
	d.ScanArgs(t, "kind", &kind)
	d.MaybeScanArgs(t, "page", &page)
	jump, read, pos := fx.jump(t, d), d.HasArg("read"), d.Pos // d is used again for the next command
	hook := func(answered string) {
		if answered != kind || !jump() || page == "" {
			return
		}
		stored := batch.NewStore(fx.ledger.Store(), 1<<20)
		_ = stored.Append(context.Background(), page, 0, batch.Page{Results: []batch.Result{{ID: "i1"}}}) // it may be there
		if read {
			_, _, body, _ := fx.call(t, http.MethodGet, "/results/"+page, "k1", "other")
			if !strings.HasPrefix(body, "1/") {
				t.Errorf("%s: the other caller got %q", pos, body)
			}
		}
	}
	fx.onRead.Store(&hook)
}

// pauseBeforeWrite pauses the process while an answer is encoded.
func (fx *fixture) pauseBeforeWrite(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	jump := fx.jump(t, d)
	hook := func() { jump() }
	fx.onEncode.Store(&hook)
}
