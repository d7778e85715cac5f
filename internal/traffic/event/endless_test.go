package event

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// filler yields the same bytes without end and counts them.
type filler struct {
	text string
	read int64
}

func (f *filler) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], f.text)
	}
	f.read += int64(n)
	return n, nil
}

// Guards against an endpoint that sends an event without end: the reader must
// stop at its bound and not at the end of the memory.
func TestEndlessEvent(t *testing.T) {
	for name, text := range map[string]string{
		"a line without end":        "x",
		"lines without a blank one": "data: x\n",
	} {
		t.Run(name, func(t *testing.T) {
			source := &filler{text: text}
			_, err := NewReader(source, "versions").Next()
			if !errors.Is(err, ErrTooLarge) {
				t.Errorf("error %v, want ErrTooLarge", err)
			}
			if source.read > 2*maxEvent {
				t.Errorf("%d bytes read for an event of at most %d", source.read, maxEvent)
			}
		})
	}
}

// Guards against comments that count as events: an endpoint may send them to
// keep a connection open while it has nothing to tell.
func TestCommentsAreNoProgress(t *testing.T) {
	reader := NewReader(strings.NewReader(": wait\n\nid: 1\ndata: a\n\n\n"), "versions")
	var progress []bool
	for {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		progress = append(progress, e.Progress())
	}
	if len(progress) != 3 || progress[0] || !progress[1] || progress[2] {
		t.Errorf("progress %v, want only the second event to count", progress)
	}
}
