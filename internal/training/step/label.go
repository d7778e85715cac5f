package step

import (
	"slices"
	"strings"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
)

// label collects the chunks of one attempt with their versions.
type label struct {
	limit  int
	text   strings.Builder
	tokens int
	ranges []Range
}

func unlabelled(format string, args ...any) error {
	return code.New(code.SampleUnlabel, format, args...)
}

// add appends a chunk. A chunk without version is an error, since nothing else
// tells which weights produced it.
func (l *label) add(c Chunk) error {
	if c.Tokens == 0 && c.Text == "" {
		return nil
	}
	if c.Version <= 0 || c.Tokens <= 0 {
		return unlabelled("a chunk has version %d and %d tokens", c.Version, c.Tokens)
	}
	if l.tokens+c.Tokens > l.limit {
		return unlabelled("the chunks have %d tokens, more than the %d asked for", l.tokens+c.Tokens, l.limit)
	}
	l.text.WriteString(c.Text)
	if n := len(l.ranges); n > 0 && l.ranges[n-1].Version == c.Version {
		l.ranges[n-1].To += c.Tokens
	} else {
		l.ranges = append(l.ranges, Range{Version: c.Version, From: l.tokens, To: l.tokens + c.Tokens})
	}
	l.tokens += c.Tokens
	return nil
}

// oldest returns the smallest version so far, or 0 before the first chunk.
func (l *label) oldest() int {
	oldest := 0
	for _, r := range l.ranges {
		if oldest == 0 || r.Version < oldest {
			oldest = r.Version
		}
	}
	return oldest
}

// sample returns the labelled sample, or an error when the chunks contradict
// the result.
func (l *label) sample(id string, r Result) (Sample, error) {
	if l.tokens == 0 {
		return Sample{}, unlabelled("no chunk came with a version")
	}
	if r.Tokens != l.tokens {
		return Sample{}, unlabelled("the chunks have %d tokens, the result has %d", l.tokens, r.Tokens)
	}
	if r.Text != "" && r.Text != l.text.String() {
		return Sample{}, unlabelled("the text of the chunks differs from the result")
	}
	if len(r.Ranges) > 0 && !slices.Equal(r.Ranges, l.ranges) {
		return Sample{}, unlabelled("the chunks have the versions %v, the result has %v", l.ranges, r.Ranges)
	}
	return Sample{ID: id, Text: l.text.String(), Tokens: l.tokens, Versions: l.ranges}, nil
}
