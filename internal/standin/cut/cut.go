// Package cut is a TCP proxy that injects network faults on request, so that
// tests can partition processes or silence their connections.
//
// # Usage
//
//	r := cut.New([]cut.Pair{{Listen: "127.0.0.1:7301", Target: "127.0.0.1:7101"}})
//	if err := r.Start(); err != nil {
//		return err
//	}
//	http.Serve(control, r.Handler())
//
// The handler serves one switch for each fault, as POST /fake/NAME:
//
//   - drop resets all connections and refuses new ones;
//   - hold forwards no data but leaves the connections open; with existing set,
//     it affects only the connections that are open now, and permanently;
//   - delay adds a latency to each direction.
//
// The field pairs of the body limits a switch to the pairs with these listen
// addresses.
package cut

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

const (
	dialTimeout = 5 * time.Second
	chunkBytes  = 32 << 10
	// queuedChunks bounds the data that one direction buffers while it is delayed.
	queuedChunks = 64
)

// Pair is a listen address and the address that its connections are relayed to.
type Pair struct {
	Listen string
	Target string
}

// Relay is a TCP proxy for any number of pairs.
type Relay struct {
	links []*link
}

// New returns a relay that does not listen yet.
func New(pairs []Pair) *Relay {
	r := &Relay{}
	for _, p := range pairs {
		r.links = append(r.links, &link{pair: p, conns: map[*relayedConn]struct{}{}})
	}
	return r
}

// Start listens on all pairs.
func (r *Relay) Start() error {
	for _, l := range r.links {
		if err := l.listen(); err != nil {
			r.Close()
			return err
		}
	}
	return nil
}

// Addresses returns the listen addresses in the order of the pairs.
func (r *Relay) Addresses() []string {
	var all []string
	for _, l := range r.links {
		all = append(all, l.address())
	}
	return all
}

// Close resets all connections and closes all listeners.
func (r *Relay) Close() {
	for _, l := range r.links {
		l.hold(false, false)
		l.holdResponses(false)
		l.drop(true)
	}
}

// Drop resets the connections of a listen address and refuses new ones.
func (r *Relay) Drop(listen string, on bool) {
	r.each(faultBody{Pairs: []string{listen}}, func(l *link, _ faultBody) { l.drop(on) })
}

// Reset resets the connections of a listen address and accepts new ones.
func (r *Relay) Reset(listen string) {
	r.Drop(listen, true)
	r.Drop(listen, false)
}

// Hold stops forwarding data without closing connections, or resumes it if on
// is false. With oneWay set, only data towards the client is held.
func (r *Relay) Hold(listen string, on, oneWay bool) {
	r.each(faultBody{Pairs: []string{listen}}, func(l *link, _ faultBody) {
		if oneWay {
			l.holdResponses(on)
			return
		}
		l.hold(on, false)
	})
}

// Silence permanently stops forwarding data on the connections that are open
// now. New connections work.
func (r *Relay) Silence(listen string) {
	r.each(faultBody{Pairs: []string{listen}}, func(l *link, _ faultBody) { l.hold(true, true) })
}

// Delay adds a latency to each direction; 0 removes it.
func (r *Relay) Delay(listen string, delay time.Duration) {
	r.each(faultBody{Pairs: []string{listen}}, func(l *link, _ faultBody) { l.setDelay(delay) })
}

type faultBody struct {
	On       bool     `json:"on"`
	MS       int64    `json:"ms"`
	DelayMS  float64  `json:"delay_ms"`
	Existing bool     `json:"existing"`
	Pairs    []string `json:"pairs"`
}

// Handler serves the switches described in the package comment.
func (r *Relay) Handler() http.Handler {
	router := mux.NewRouter()
	router.NotFoundHandler = http.HandlerFunc(host.NotFound)
	handle := func(name string, apply func(*link, faultBody)) {
		router.HandleFunc("/fake/"+name, func(w http.ResponseWriter, req *http.Request) {
			host.Switch(w, req, faultBody{On: true, DelayMS: 100}, func(b faultBody) (any, error) {
				r.each(b, apply)
				if b.On && b.MS > 0 && !b.Existing {
					off := b
					off.On = false
					time.AfterFunc(time.Duration(b.MS)*time.Millisecond, func() { r.each(off, apply) })
				}
				return b, nil
			})
		}).Methods(http.MethodPost)
	}
	handle("drop", func(l *link, b faultBody) { l.drop(b.On) })
	handle("hold", func(l *link, b faultBody) { l.hold(b.On, b.Existing) })
	handle("delay", func(l *link, b faultBody) {
		if !b.On {
			l.setDelay(0)
			return
		}
		l.setDelay(time.Duration(b.DelayMS * float64(time.Millisecond)))
	})
	return router
}

// each applies a fault to the pairs that the body names, or to all.
func (r *Relay) each(b faultBody, apply func(*link, faultBody)) {
	for _, l := range r.links {
		if len(b.Pairs) == 0 || slices.Contains(b.Pairs, l.address()) {
			apply(l, b)
		}
	}
}

// link relays one pair. The channels held and heldResponses are nil while data
// flows; otherwise they are closed once data may flow again.
type link struct {
	mu            sync.Mutex
	pair          Pair
	listener      net.Listener
	conns         map[*relayedConn]struct{}
	delay         time.Duration
	held          chan struct{}
	heldResponses chan struct{} // holds only data towards the client
}

// relayedConn is a client connection with its connection to the server.
type relayedConn struct {
	client, server net.Conn
	once           sync.Once
	closed         chan struct{}
	// silenced is closed when the connection must never forward data again.
	silenced chan struct{}
}

func (rc *relayedConn) close(abort bool) {
	rc.once.Do(func() {
		close(rc.closed)
		for _, c := range []net.Conn{rc.client, rc.server} {
			if tcp, ok := c.(*net.TCPConn); ok && abort {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// address returns the listen address, which listen replaces by the one bound.
func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pair.Listen
}

func (l *link) listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.pair.Listen)
	if err != nil {
		return eris.Wrap(err, "cut: listen")
	}
	l.listener, l.pair.Listen = listener, listener.Addr().String()
	go l.accept(listener)
	return nil
}

func (l *link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.relay(client)
	}
}

func (l *link) relay(client net.Conn) {
	// A held link accepts connections but does not dial the server, which looks
	// to the client like a network that loses packets.
	if gate := l.gate(); gate != nil {
		<-gate
	}
	server, err := net.DialTimeout("tcp", l.pair.Target, dialTimeout)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	rc := &relayedConn{client: client, server: server, closed: make(chan struct{}), silenced: make(chan struct{})}
	l.mu.Lock()
	l.conns[rc] = struct{}{}
	l.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.copyStream(rc, client, server, l.gate) })
	group.Go(func() { l.copyStream(rc, server, client, l.responseGate) })
	group.Wait()
	rc.close(false)
	l.mu.Lock()
	delete(l.conns, rc)
	l.mu.Unlock()
}

// chunk is data that is forwarded once it is due.
type chunk struct {
	bytes []byte
	due   time.Time
}

// copyStream forwards one direction, including the end of the stream.
func (l *link) copyStream(rc *relayedConn, from, to net.Conn, currentGate func() chan struct{}) {
	queue := make(chan chunk, queuedChunks)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, chunkBytes)
			n, err := from.Read(buffer)
			if n > 0 {
				l.mu.Lock()
				due := time.Now().Add(l.delay)
				l.mu.Unlock()
				select {
				case queue <- chunk{buffer[:n], due}:
				case <-rc.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		if !l.waitToForward(rc, c.due, currentGate) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			rc.close(true)
			return
		}
	}
	if !l.waitToForward(rc, time.Time{}, currentGate) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// waitToForward waits until data is due and not held. It returns false if the
// connection was closed meanwhile.
func (l *link) waitToForward(rc *relayedConn, due time.Time, currentGate func() chan struct{}) bool {
	timer := time.NewTimer(max(0, time.Until(due)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-rc.closed:
		return false
	}
	for {
		gate := currentGate()
		select {
		case <-rc.silenced:
			<-rc.closed
			return false
		default:
		}
		if gate == nil {
			return true
		}
		select {
		case <-gate:
		case <-rc.closed:
			return false
		}
	}
}

// gate returns the gate of data towards the server, nil if it is open.
func (l *link) gate() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// responseGate returns the gate of data towards the client, nil if it is open.
func (l *link) responseGate() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		return l.held
	}
	return l.heldResponses
}

func (l *link) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

func (l *link) holdResponses(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.heldResponses == nil:
		l.heldResponses = make(chan struct{})
	case !on && l.heldResponses != nil:
		close(l.heldResponses)
		l.heldResponses = nil
	}
}

func (l *link) hold(on, existing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && existing:
		for rc := range l.conns {
			select {
			case <-rc.silenced:
			default:
				close(rc.silenced)
			}
		}
	case on && l.held == nil:
		l.held = make(chan struct{})
	case !on && l.held != nil:
		close(l.held)
		l.held = nil
	}
}

func (l *link) drop(on bool) {
	if !on {
		_ = l.listen()
		return
	}
	l.mu.Lock()
	listener := l.listener
	l.listener = nil
	conns := make([]*relayedConn, 0, len(l.conns))
	for rc := range l.conns {
		conns = append(conns, rc)
	}
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, rc := range conns {
		rc.close(true)
	}
}
