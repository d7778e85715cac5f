package step

import (
	"runtime"
	"testing"
	"time"
)

// Guards against an instance that exceeds its memory with one pull of legal size, whose
// samples all wait in goroutines of their own: their groups are small, but each has up to
// 1,024 samples. All samples must come in the end.
func TestWaitingSamplesAreBounded(t *testing.T) {
	const groups, size = 24, 1024
	tc := newTestCluster(t, 1)
	release := make(chan struct{})
	tc.gen.beforeCheck = func(Job) { <-release }
	// Two goroutines for each of the samples that maxBytes allows, and those of one more
	// group, since a group is not split.
	limit := 2*(maxBytes/missingOverhead+size) + 1000
	peak := make(chan int)
	go func() {
		most := 0
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			most = max(most, runtime.NumGoroutine())
		}
		close(release)
		peak <- most
	}()
	got := tc.pullAll(t, newPull(1, groups, size), "i-0")
	if most := <-peak; most > limit {
		t.Errorf("%d goroutines while %d samples wait, want at most %d", most, groups*size, limit)
	}
	if len(got) != groups*size {
		t.Errorf("%d samples, want %d", len(got), groups*size)
	}
}
