package runner

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// longestText is the number of events of the longest text seen at a takeover, and
	// eventBytes the size of one event.
	longestText = 147
	eventBytes  = 400
)

// newTexts returns a batch and a whole text for each item: as many as there are items,
// from minCopyEvents to longestText events long.
func newTexts(origin string, items int) (*batch.Batch, []*Text) {
	var ids []string
	for n := range items {
		ids = append(ids, fmt.Sprintf("plain-%d", n))
	}
	b := newBatch(ids...)
	var texts []*Text
	for n := range ids {
		length := minCopyEvents + n*(longestText-minCopyEvents)/max(1, items-1)
		p := newPart(b.TextKey(&b.Items[n]), origin, 0, length)
		for i := range p.Pieces {
			p.Pieces[i] += strings.Repeat(".", eventBytes-len(p.Pieces[i]))
		}
		texts = append(texts, p)
	}
	return b, texts
}

// startRunner returns a runner without engines that knows the batch and the texts.
func startRunner(t testing.TB, b *batch.Batch, texts []*Text) *Runner {
	t.Helper()
	r := New(Seams{Store: newHarnessStore(), Manifest: noManifest}, clock.NewSystem(), logs.Discard())
	r.seams.Fleet = newEmptyFleet(r)
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-finished })
	r.post(ctx, func(ctx context.Context) {
		r.add(ctx, b, true)
		for _, p := range texts {
			r.mergeText(p)
		}
	})
	return r
}

// serveRunner returns the address of the runner's handlers. Responses are written through
// the link.
func serveRunner(t testing.TB, r *Runner, link func(net.Conn) net.Conn) string {
	t.Helper()
	mux := http.NewServeMux()
	r.Mount(t.Context(), mux)
	return serve(t, mux, link)
}

func serve(t testing.TB, handler http.Handler, link func(net.Conn) net.Conn) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Listener = &linkListener{Listener: server.Listener, link: link}
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

// linkListener passes accepted connections through a link.
type linkListener struct {
	net.Listener
	link func(net.Conn) net.Conn
}

func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.link == nil {
		return c, err
	}
	return l.link(c), nil
}

// linkConn passes limit bytes and no more until the connection is closed, at most rate
// bytes a second. A limit or rate of 0 is none.
type linkConn struct {
	net.Conn
	rate, limit int
	written     int
	once        sync.Once
	closed      chan struct{}
}

func newLink(rate, limit int) func(net.Conn) net.Conn {
	return func(c net.Conn) net.Conn {
		return &linkConn{Conn: c, rate: rate, limit: limit, closed: make(chan struct{})}
	}
}

func (c *linkConn) Write(p []byte) (int, error) {
	if c.written += len(p); c.limit > 0 && c.written > c.limit {
		<-c.closed
		return 0, net.ErrClosed
	}
	if c.rate > 0 {
		time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(c.rate))
	}
	return c.Conn.Write(p)
}

func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// textLengths returns the number of events that the runner has of each item, in the order
// of the batch.
func textLengths(t testing.TB, r *Runner, b *batch.Batch) []int {
	t.Helper()
	lengths := make(chan []int, 1)
	r.post(t.Context(), func(context.Context) {
		var all []int
		for _, task := range r.findJob(b.ID).tasks {
			all = append(all, len(task.text.pieces))
		}
		lengths <- all
	})
	return <-lengths
}

// countTexts returns how many of the lengths are not 0.
func countTexts(lengths []int) int {
	count := 0
	for _, n := range lengths {
		if n > 0 {
			count++
		}
	}
	return count
}

// areLongest reports whether no text that is lacking is longer than one that is not. Texts
// of the same length may end up on either side.
func areLongest(lengths []int, texts []*Text) bool {
	shortest, lacking := longestText, 0
	for i, n := range lengths {
		if n > 0 {
			shortest = min(shortest, n)
		} else {
			lacking = max(lacking, len(texts[i].GetPieces()))
		}
	}
	return lacking <= shortest
}

// timeRecall recalls the texts and returns how long runs were kept waiting.
func timeRecall(t testing.TB, r *Runner, peers ...string) time.Duration {
	t.Helper()
	start := time.Now()
	r.recall(t.Context(), peers)
	return time.Since(start)
}

// Guards against a takeover that loses all copies since their body, of several megabytes,
// does not arrive within the time limit: seven batches were generated again, 4.7 to 8 s late.
func TestRecallOverASlowLinkKeepsWhatArrived(t *testing.T) {
	const items, rate = 400, 8 << 20 // 13 MB: 1.6 s
	b, texts := newTexts("a", items)
	peer := startRunner(t, b, texts)
	successor := startRunner(t, b, nil)
	took := timeRecall(t, successor, serveRunner(t, peer, newLink(rate, 0)))
	lengths := textLengths(t, successor, b)
	got := countTexts(lengths)
	t.Logf("%d of %d texts in %v", got, items, took)
	if got < items/4 || !areLongest(lengths, texts) {
		t.Errorf("%d of %d texts recalled, want at least a fourth, the longest", got, items)
	}
	if slack := 300 * time.Millisecond; took > 1500*time.Millisecond+slack {
		t.Errorf("runs waited for %v", took)
	}
}

// Guards against recalled texts that are lost since the standby stops in the middle of its
// answer, and against runs that wait for the rest of it.
func TestStandbyPausedDuringARecall(t *testing.T) {
	const items, sent = 400, 4 << 20
	b, texts := newTexts("a", items)
	peer := startRunner(t, b, texts)
	successor := startRunner(t, b, nil)
	took := timeRecall(t, successor, serveRunner(t, peer, newLink(0, sent)))
	lengths := textLengths(t, successor, b)
	got := countTexts(lengths)
	t.Logf("%d of %d texts in %v", got, items, took)
	if want := sent / (longestText * eventBytes) / 2; got < want || !areLongest(lengths, texts) {
		t.Errorf("%d texts recalled, want at least %d, the longest", got, want)
	}
	if limit := 2 * recallTimeout; took > limit {
		t.Errorf("runs waited for %v, want at most %v", took, limit)
	}
}

// formerWorker answers calls as a worker of the previous release does.
type formerWorker struct {
	texts []*Text
	kept  chan *KeepRequest
}

func (w *formerWorker) Keep(_ context.Context, request *KeepRequest) (*KeepReply, error) {
	if w.kept != nil {
		w.kept <- request
	}
	return &KeepReply{}, nil
}

func (w *formerWorker) Recall(context.Context, *RecallRequest) (*RecallReply, error) {
	return &RecallReply{Texts: w.texts}, nil
}

// Guards against texts that are lost while workers of two releases run: a worker of the
// previous release sends all texts at once, and asks for them with its own call.
func TestRecallBetweenReleases(t *testing.T) {
	const items = 50
	b, texts := newTexts("a", items)
	t.Run("former peer", func(t *testing.T) {
		mux := http.NewServeMux()
		mux.Handle(StandbyPathPrefix, NewStandbyServer(&formerWorker{texts: texts}))
		successor := startRunner(t, b, nil)
		timeRecall(t, successor, serve(t, mux, nil))
		if got := countTexts(textLengths(t, successor, b)); got != items {
			t.Errorf("%d texts, want %d", got, items)
		}
	})
	t.Run("former successor", func(t *testing.T) {
		address := serveRunner(t, startRunner(t, b, texts), nil)
		reply, err := NewStandbyProtobufClient("http://"+address, http.DefaultClient).Recall(t.Context(), &RecallRequest{})
		if err != nil || len(reply.GetTexts()) != items {
			t.Errorf("%d texts, error %v, want %d", len(reply.GetTexts()), err, items)
		}
	})
}

// Guards against a recall that sends texts again that the successor has, or joins parts of
// different runs.
func TestRecallBringsOnlyWhatIsLacking(t *testing.T) {
	b, texts := newTexts("a", 3)
	shorter := func(p *Text, origin string) *Text { return newPart(p.GetItem(), origin, 0, 10) }
	peer := startRunner(t, b, texts)
	successor := startRunner(t, b, []*Text{shorter(texts[0], "a"), shorter(texts[1], "b"), texts[2]})
	parts := map[string]int{}
	known, _ := successor.collect(t.Context(), successor.knownTexts)
	_, err := successor.recallPieces(t.Context(), serveRunner(t, peer, nil), known, func(pieces []*Text) {
		for _, p := range pieces {
			parts[p.GetItem()] = len(p.GetPieces())
		}
	})
	want := map[string]int{texts[0].GetItem(): len(texts[0].GetPieces()) - 10, texts[1].GetItem(): len(texts[1].GetPieces())}
	if err != nil || !maps.Equal(parts, want) {
		t.Errorf("events %v, error %v, want %v", parts, err, want)
	}
	timeRecall(t, successor, serveRunner(t, peer, nil))
	for i, n := range textLengths(t, successor, b) {
		if n != len(texts[i].GetPieces()) {
			t.Errorf("%d events of text %d, want %d", n, i, len(texts[i].GetPieces()))
		}
	}
}

// Guards against runs that wait longer for texts than the texts are worth, or that start
// while the longest texts still arrive.
func TestRecallWait(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name string
		wait recallWait
		want time.Duration
	}{
		{"nothing arrived", recallWait{shortest: map[string]int{"p": 0}}, 400 * ms},
		{"long texts arrive", recallWait{latest: 900 * ms, shortest: map[string]int{"p": 140}}, 1300 * ms},
		{"limit", recallWait{latest: 1400 * ms, shortest: map[string]int{"p": 200}}, 1500 * ms},
		{"short texts arrive", recallWait{latest: 390 * ms, shortest: map[string]int{"p": 50}}, 500 * ms},
		{"shortest texts arrive", recallWait{latest: 390 * ms, shortest: map[string]int{"p": 20}}, 400 * ms},
		{"another worker is complete", recallWait{latest: 50 * ms, complete: true, shortest: map[string]int{"p": 0}}, 150 * ms},
	}
	for _, c := range cases {
		if got := c.wait.deadline(); got != c.want {
			t.Errorf("%s: waits until %v, want %v", c.name, got, c.want)
		}
	}
}
