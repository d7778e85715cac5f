package front

import (
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
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
