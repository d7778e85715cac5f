package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/config"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// Guards against requests that succeed without the operator key, responses
// without a result code, and conflicts that do not return the winning row.
func TestCalls(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	drained := false
	handler := New(hex.EncodeToString(sum[:]), Seams{
		Table: table.New,
		Edit: func(_ context.Context, id string, row table.Row) (config.EditResult, error) {
			switch id {
			case "lost":
				winner := table.Row{Table: row.Table, Name: row.Name, Revision: 9, Value: json.RawMessage(`{"weight":4}`)}
				return config.EditResult{Row: winner}, code.New(code.EditConflict, "lost").WithRun(code.NotRun)
			case "broken":
				return config.EditResult{}, errors.New("broken")
			}
			return config.EditResult{Sequence: 7, Row: row, Pushed: true}, nil
		},
		Status: func() any { return map[string]int{"sequence": 7} },
		Drain:  func() { drained = true },
	}, logs.Discard())
	server := httptest.NewServer(handler)
	defer server.Close()
	cases := []struct {
		method, path, key, body string
		status                  int
		contains                string
	}{
		{"GET", "/v1/table", "", "", 401, `"key_missing"`},
		{"GET", "/v1/table", "wrong", "", 401, `"key_unknown"`},
		{"POST", "/v1/drain", "wrong", "", 401, `"key_unknown"`},
		{"GET", "/v1/table", "secret", "", 200, `"sequence":0`},
		{"GET", "/v1/status", "secret", "", 200, `"sequence":7`},
		{"GET", "/v1/nothing", "secret", "", 404, `"unknown_route"`},
		{"GET", "/v1/edits", "secret", "", 405, `"bad_method"`},
		{"POST", "/v1/edits", "secret", `{"edit_id":"e","row":{"table":"account","name":"a"}}`, 200, `"pushed":true`},
		{"POST", "/v1/edits", "secret", `{"edit_id":"e","rows":[]}`, 400, `"unknown_field"`},
		{"POST", "/v1/edits", "secret", `{`, 400, `"bad_request"`},
		{"POST", "/v1/edits", "secret", `{"edit_id":"` + strings.Repeat("x", maxEditBytes) + `"}`, 413, `"body_too_large"`},
		{"POST", "/v1/edits", "secret", `{"edit_id":"lost","row":{"table":"account","name":"a"}}`, 409, `"revision":9,"value":{"weight":4}`},
		{"POST", "/v1/edits", "secret", `{"edit_id":"broken","row":{"table":"account","name":"a"}}`, 500, `"internal"`},
	}
	for _, c := range cases {
		r, err := http.NewRequest(c.method, server.URL+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		if c.key != "" {
			r.Header.Set("Authorization", "Bearer "+c.key)
		}
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode != c.status || !strings.Contains(string(body), c.contains) {
			t.Errorf("%s %s with key %q: %d %s, want %d with %s", c.method, c.path, c.key, answer.StatusCode, body, c.status, c.contains)
		}
	}
	if drained {
		t.Error("a request with a wrong key started the shutdown")
	}
}
