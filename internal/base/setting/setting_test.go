package setting

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against settings that are accepted although a field is missing,
// unknown or out of range, and against errors that do not name the field.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		if _, err := Parse([]byte(d.Input)); err != nil {
			return err.Error() + "\n"
		}
		return "accepted\n"
	})
}
