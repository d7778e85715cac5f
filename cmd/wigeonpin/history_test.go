package main

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against lines that are missed because a log collector put a prefix before
// the JSON object, and against lines of other ids in the result.
func TestSearch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	text := `{"time":"2026-01-01T00:00:02Z","request":"r1","msg":"b"}
12.5 edge-1 {"time":"2026-01-01T00:00:01Z","request":"r1","msg":"a"}
{"time":"2026-01-01T00:00:03Z","request":"r2","msg":"c"}
r1 in a line that is no JSON
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	found, err := search(path, "r1")
	if err != nil || len(found) != 2 || found[1].Time != "2026-01-01T00:00:01Z" {
		t.Errorf("search returned %+v and error %v, want the two lines of r1", found, err)
	}
	if _, err := search(path+".missing", "r1"); err == nil {
		t.Error("search of a missing file returned no error")
	}
}
