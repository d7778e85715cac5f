package step

import (
	"slices"
	"strings"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
)

// sampleBuilder assembles a labelled sample from the chunks of one attempt.
type sampleBuilder struct {
	maxTokens int
	text      strings.Builder
	tokens    int
	ranges    []Range
}

// labelError returns an error for a sample whose labels are missing or
// inconsistent.
func labelError(format string, args ...any) error {
	return code.New(code.SampleUnlabelled, format, args...)
}

// add appends a chunk. It rejects a chunk without a version, because the version
// is the only record of the weights that produced the chunk.
func (b *sampleBuilder) add(c Chunk) error {
	if c.Tokens == 0 && c.Text == "" {
		return nil
	}
	if c.Version <= 0 || c.Tokens <= 0 {
		return labelError("a chunk has version %d and %d tokens", c.Version, c.Tokens)
	}
	if b.tokens+c.Tokens > b.maxTokens {
		return labelError("the chunks have %d tokens, more than the %d asked for", b.tokens+c.Tokens, b.maxTokens)
	}
	b.text.WriteString(c.Text)
	if n := len(b.ranges); n > 0 && b.ranges[n-1].Version == c.Version {
		b.ranges[n-1].To += c.Tokens
	} else {
		b.ranges = append(b.ranges, Range{Version: c.Version, From: b.tokens, To: b.tokens + c.Tokens})
	}
	b.tokens += c.Tokens
	return nil
}

// oldestVersion returns the lowest version so far, or 0 before the first chunk.
func (b *sampleBuilder) oldestVersion() int {
	oldest := 0
	for _, r := range b.ranges {
		if oldest == 0 || r.Version < oldest {
			oldest = r.Version
		}
	}
	return oldest
}

// build returns the labelled sample. It fails if the chunks are inconsistent with
// the result.
func (b *sampleBuilder) build(id string, r Result) (Sample, error) {
	if b.tokens == 0 {
		return Sample{}, labelError("no chunk came with a version")
	}
	if r.Tokens != b.tokens {
		return Sample{}, labelError("the chunks have %d tokens, the result has %d", b.tokens, r.Tokens)
	}
	if r.Text != "" && r.Text != b.text.String() {
		return Sample{}, labelError("the text of the chunks differs from the result")
	}
	if len(r.Ranges) > 0 && !slices.Equal(r.Ranges, b.ranges) {
		return Sample{}, labelError("the chunks have the versions %v, the result has %v", b.ranges, r.Ranges)
	}
	return Sample{ID: id, Text: b.text.String(), Tokens: b.tokens, Versions: b.ranges}, nil
}
