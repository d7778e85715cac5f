package runner

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
)

// benchmarkTexts is the number of unfinished items at a takeover.
const benchmarkTexts = 500

// newBenchmarkRunner returns an active runner with texts whose goroutine does not run.
func newBenchmarkRunner() (*Runner, []*Text) {
	b, texts := newTexts("a", benchmarkTexts)
	r, _, _ := newDrivenRunner()
	r.active = false
	r.add(context.Background(), b, true)
	for _, p := range texts {
		r.mergeText(p)
	}
	r.active = true
	return r, texts
}

// Measures what one standby costs the runner's goroutine when it has no text yet.
func BenchmarkCollectAllCopies(b *testing.B) {
	r, _ := newBenchmarkRunner()
	for b.Loop() {
		if len(r.partsFor("standby")) != benchmarkTexts {
			b.Fatal("texts are missing")
		}
	}
}

// Measures what the runner's goroutine does after a round of copies of all texts.
func BenchmarkNoteCopies(b *testing.B) {
	r, texts := newBenchmarkRunner()
	for b.Loop() {
		r.noteCopied("standby", texts, nil)
	}
}

// Measures what the goroutine that calls the standby does: sorting and encoding.
func BenchmarkEncodeAllCopies(b *testing.B) {
	r, _ := newBenchmarkRunner()
	parts := r.partsFor("standby")
	for b.Loop() {
		for _, texts := range splitParts(parts, copyBytes) {
			if _, err := proto.Marshal(&KeepRequest{Texts: texts}); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// Measures what a round of copies costs the runner's goroutine of a standby: each of the
// running items has as many new events as engines generate in copyInterval.
func BenchmarkMergeCopies(b *testing.B) {
	r, texts := newBenchmarkRunner()
	const newEvents = int(copyInterval / eventTime)
	r.active = false
	for b.Loop() {
		for _, p := range texts {
			t := r.findTask(p.GetItem())
			n := len(p.GetPieces()) - newEvents
			t.text.pieces = t.text.pieces[:n]
			r.mergeText(&Text{Item: p.GetItem(), Origin: "a", From: int64(n), Pieces: p.GetPieces()[n:], Last: p.GetLast(), Versions: p.GetVersions()})
		}
	}
}

// Measures what recalled texts cost the runner's goroutine of a successor that has none.
func BenchmarkMergeRecalledTexts(b *testing.B) {
	r, texts := newBenchmarkRunner()
	for b.Loop() {
		for _, p := range texts {
			r.findTask(p.GetItem()).text = text{}
			r.mergeIfLonger(p)
		}
	}
}
