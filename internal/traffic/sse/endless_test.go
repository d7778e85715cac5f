package sse

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// endlessReader repeats the same text without end and counts the bytes read.
type endlessReader struct {
	text string
	read int64
}

func (f *endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], f.text)
	}
	f.read += int64(n)
	return n, nil
}

// Guards against an endpoint that sends an event without end: the reader must
// stop at the maximum event size instead of exhausting the memory.
func TestEndlessEvent(t *testing.T) {
	for name, text := range map[string]string{
		"a line without end":        "x",
		"lines without a blank one": "data: x\n",
	} {
		t.Run(name, func(t *testing.T) {
			source := &endlessReader{text: text}
			_, err := NewReader(source, "versions").Next()
			if !errors.Is(err, ErrTooLarge) {
				t.Errorf("error %v, want ErrTooLarge", err)
			}
			if source.read > 2*maxEventBytes {
				t.Errorf("read %d bytes for an event of at most %d", source.read, maxEventBytes)
			}
		})
	}
}

// Guards against comments that are taken for output: an endpoint may send them
// to keep a connection alive while it produces none.
func TestCommentsAreNotOutput(t *testing.T) {
	reader := NewReader(strings.NewReader(": wait\n\nid: 1\ndata: a\n\n\n"), "versions")
	var hasOutput []bool
	for {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		hasOutput = append(hasOutput, e.HasOutput())
	}
	if len(hasOutput) != 3 || hasOutput[0] || !hasOutput[1] || hasOutput[2] {
		t.Errorf("events with output: %v, want only the second", hasOutput)
	}
}
