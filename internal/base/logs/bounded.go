package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines is how many lines wait for a slow reader.
	queuedLines = 512
	// linesPerSecond bounds the volume under load.
	linesPerSecond = 300
)

// Bounded is a writer that never blocks: it hands lines to a goroutine and
// drops those that come too fast or that the reader does not take. Dropped
// lines are counted, and the count is written when lines pass again.
type Bounded struct {
	lines chan []byte

	mu      sync.Mutex
	second  int64
	passed  int
	dropped int
}

// NewBounded returns a writer in front of out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, queuedLines)}
	go func() {
		for line := range b.lines {
			_, _ = out.Write(line) // there is nowhere to report a broken log output
		}
	}()
	return b
}

// Write queues one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := time.Now().Unix(); second != b.second {
		b.second, b.passed = second, 0
		b.reportDropped()
	}
	b.passed++
	if b.passed > linesPerSecond {
		b.dropped++
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped++
	}
	return len(line), nil
}

func (b *Bounded) reportDropped() {
	if b.dropped == 0 {
		return
	}
	select {
	case b.lines <- fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", b.dropped):
		b.dropped = 0
	default:
	}
}
