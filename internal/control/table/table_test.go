package table

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
)

// Guards against invalid rows that take effect, rows that refer to a missing
// row, and typed views that differ from the rows after a reload.
func TestTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/rows", func(t *testing.T, d *datadriven.TestData) string {
		current := New()
		var b strings.Builder
		for i, line := range strings.Split(d.Input, "\n") {
			row := Row{}
			if err := json.Unmarshal([]byte(line), &row); err != nil {
				t.Fatal(err)
			}
			row.Revision = uint64(i + 1)
			next, err := current.With(row)
			if err != nil {
				fmt.Fprintln(&b, code.Of(err))
				continue
			}
			current = next
		}
		fmt.Fprintf(&b, "sequence %d\n", current.Sequence())
		for _, r := range current.Rows() {
			fmt.Fprintf(&b, "%s/%s revision %d deleted %v\n", r.Table, r.Name, r.Revision, r.Deleted)
		}
		reloaded := Load(current.Sequence(), current.Rows())
		if fmt.Sprint(reloaded.accounts, reloaded.keys, reloaded.zones) != fmt.Sprint(current.accounts, current.keys, current.zones) {
			t.Fatal("the typed views differ after a reload from the rows")
		}
		return b.String()
	})
}

// Guards against With changing the maps of an earlier table, which readers may
// still use.
func TestWithLeavesTheOldTable(t *testing.T) {
	first, err := New().With(Row{Table: Accounts, Name: "acme", Revision: 1, Value: json.RawMessage(`{"weight":1}`)})
	if err != nil {
		t.Fatal(err)
	}
	second, err := first.With(Row{Table: Accounts, Name: "acme", Revision: 2, Value: json.RawMessage(`{"weight":5}`)})
	if err != nil {
		t.Fatal(err)
	}
	old, _ := first.Account("acme")
	current, _ := second.Account("acme")
	if old.Weight != 1 || current.Weight != 5 || len(second.RowsAfter(1)) != 1 {
		t.Fatalf("weights %v and %v, want 1 and 5; %d rows after sequence 1, want 1", old.Weight, current.Weight, len(second.RowsAfter(1)))
	}
}
