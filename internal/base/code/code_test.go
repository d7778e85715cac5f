package code

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

const tablePath = "../../../docs/codes.md"

func table() string {
	codes := All()
	slices.Sort(codes)
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery error that a caller or operator gets carries one of these numbers. The hundreds name the area: 1 input, 2 keys, 3 admission, 4 endpoints, 5 configuration, 6 training, 7 usage, 9 internal. `WIGEONPIN_WRITE_CODES=1 go test ./internal/base/code` writes this page.\n\n")
	b.WriteString("| code | name | HTTP status | meaning |\n|---|---|---|---|\n")
	for _, c := range codes {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s |\n", int(c), c, c.Status(), c.Meaning())
	}
	return b.String()
}

// Guards against a table in docs/codes.md that differs from the defined codes.
func TestDocumentedTable(t *testing.T) {
	if os.Getenv("WIGEONPIN_WRITE_CODES") != "" {
		if err := os.WriteFile(tablePath, []byte(table()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	documented, err := os.ReadFile(tablePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(documented) != table() {
		t.Fatal("docs/codes.md is out of date; run WIGEONPIN_WRITE_CODES=1 go test ./internal/base/code")
	}
}

// Guards against a coded error that Of does not find once it is wrapped.
func TestOfFindsWrappedError(t *testing.T) {
	wrapped := fmt.Errorf("call: %w", New(QueueFull, "full").WithRun(NotRun))
	if got := Of(wrapped); got.Code != QueueFull || got.Run != NotRun {
		t.Fatalf("Of(%v) = %v, run %q", wrapped, got, got.Run)
	}
	if got := Of(fmt.Errorf("plain")); got.Code != Internal {
		t.Fatalf("Of gave %v for an error without a code", got)
	}
	if Of(nil) != nil {
		t.Fatal("Of(nil) returned an error")
	}
}
