package scorer

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

// Guards against scores that are assigned to the wrong sample, and against
// incomplete answers that are accepted.
func TestScore(t *testing.T) {
	for answer, want := range map[string][]float64{
		`{"scores":[{"id":"b","score":2},{"id":"a","score":1}]}`:                      {1, 2},
		`{"scores":[{"id":"a","score":1}]}`:                                           nil,
		`{"scores":[{"id":"a","score":1},{"id":"a","score":2},{"id":"b","score":3}]}`: nil,
		`{"scores":[{"id":"a","score":1},{"id":"b"}]}`:                                nil,
		`{"scores":[`: nil,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(answer))
		}))
		got, err := New(strings.TrimPrefix(server.URL, "http://"), server.Client()).Score(t.Context(), []Sample{{ID: "a"}, {ID: "b"}})
		server.Close()
		if !slices.Equal(got, want) || (err == nil) != (want != nil) {
			t.Errorf("answer %s gives %v and %v", answer, got, err)
		}
	}
}
