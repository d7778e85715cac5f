package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines is the number of lines that are buffered for a slow output.
	queuedLines = 512
	// linesPerSecond limits the log volume under load.
	linesPerSecond = 300
)

// Bounded is a rate-limited writer that never blocks. It queues lines for a
// goroutine, and drops lines above the rate limit or while the queue is full.
// The number of dropped lines is logged once lines are accepted again.
type Bounded struct {
	lines chan []byte

	mu        sync.Mutex
	second    int64
	lineCount int
	dropped   int
}

// NewBounded returns a writer in front of out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, queuedLines)}
	go func() {
		for line := range b.lines {
			_, _ = out.Write(line) // a failed log output cannot be reported anywhere
		}
	}()
	return b
}

// Write queues one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := time.Now().Unix(); second != b.second {
		b.second, b.lineCount = second, 0
		b.reportDropped()
	}
	b.lineCount++
	if b.lineCount > linesPerSecond {
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
