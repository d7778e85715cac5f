package runner

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// escapedTexts are texts whose characters take one to six bytes in JSON.
var escapedTexts = map[string]string{
	"plain":        "plain text ",
	"markup":       "<a href=\"#\">&</a>",
	"lines":        "one\ntwo\tthree\r\n",
	"controls":     "\x00\x01\x1f\b\f",
	"separators":   "\u2028\u2029",
	"not UTF-8":    "\xff\xfe\xc3",
	"other script": "Улаанбаатар",
}

// Guards against a batch that is never listed: a page whose texts grow when they are
// encoded exceeds the largest record, and the store refuses it each time.
func TestPageFitsIntoARecord(t *testing.T) {
	const valueBytes = 16 << 10
	for name, unit := range escapedTexts {
		t.Run(name, func(t *testing.T) {
			j := &job{}
			output := strings.Repeat(unit, valueBytes/10/len(unit))
			for _, id := range []string{"i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8", "i9"} {
				result := batch.Result{ID: id, Done: true, Output: output, Versions: []int64{1, 2}, Score: "3e1b.07"}
				j.ready = append(j.ready, result)
			}
			for len(j.ready) > 0 {
				page := j.nextPage(maxPageBytes(valueBytes))
				body, err := json.Marshal(page)
				if err != nil {
					t.Fatal(err)
				}
				if len(body) > valueBytes {
					t.Fatalf("a page with %d results takes %d bytes, a record %d at most", len(page.Results), len(body), valueBytes)
				}
				j.ready = j.ready[len(page.Results):]
			}
		})
	}
}

// Guards against a size that differs from that of the encoding.
func TestResultSize(t *testing.T) {
	for name, text := range escapedTexts {
		result := batch.Result{ID: "i1", Done: true, Output: text, Versions: []int64{7, 12}, Score: "<s>"}
		body, err := json.Marshal(result)
		if err != nil {
			t.Fatal(err)
		}
		if size := resultSize(result); size < len(body) || size > len(body)+resultOverhead+2*versionSize {
			t.Errorf("%s: size %d, the encoded result has %d bytes", name, size, len(body))
		}
	}
}

// Guards against a batch that is never listed, since one result alone exceeds the
// largest record: it is given up, and the others are listed.
func TestResultLargerThanARecordIsGivenUp(t *testing.T) {
	r := &Runner{seams: Seams{ValueBytes: 1 << 10}, log: logs.Discard()}
	large := batch.Result{ID: "large-1", Done: true, Output: strings.Repeat("<", 1<<10), Versions: []int64{5}}
	if got := r.storable(large); got.Done || got.Output != "" || got.ID != "large-1" {
		t.Errorf("result %+v, want the item given up", got)
	}
	small := batch.Result{ID: "small-1", Done: true, Output: "text", Versions: []int64{5}}
	if got := r.storable(small); !got.Done || got.Output != "text" {
		t.Errorf("result %+v, want it unchanged", got)
	}
}
