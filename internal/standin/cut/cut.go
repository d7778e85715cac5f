// Package cut relays TCP connections between two addresses and fails on
// request, so that tests partition or silence processes.
//
// # Usage
//
//	r := cut.New([]cut.Pair{{Listen: "127.0.0.1:7301", To: "127.0.0.1:7101"}})
//	if err := r.Start(); err != nil {
//		return err
//	}
//	http.Serve(control, r.Handler())
//
// Switches: drop resets the connections and refuses new ones; hold carries
// nothing and leaves the connections open, with existing only those that are
// open now and for good; delay adds a time to each direction. The list pairs
// in a body limits a switch to these listen addresses.
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
	// queuedChunks bounds what a delayed direction holds in memory.
	queuedChunks = 64
)

// Pair is a relayed address.
type Pair struct {
	Listen string
	To     string
}

// Relay relays any number of pairs.
type Relay struct {
	links []*link
}

// New returns a relay that does not listen yet.
func New(pairs []Pair) *Relay {
	r := &Relay{}
	for _, p := range pairs {
		r.links = append(r.links, &link{pair: p, conns: map[*joined]struct{}{}})
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

// Addresses returns the listen addresses in order of the pairs.
func (r *Relay) Addresses() []string {
	var all []string
	for _, l := range r.links {
		all = append(all, l.address())
	}
	return all
}

// Close ends all connections and listeners.
func (r *Relay) Close() {
	for _, l := range r.links {
		l.hold(false, false)
		l.holdBack(false)
		l.drop(true)
	}
}

// Drop resets the connections of a listen address and refuses new ones.
func (r *Relay) Drop(listen string, on bool) {
	r.each(cutBody{Pairs: []string{listen}}, func(l *link, _ cutBody) { l.drop(on) })
}

// Reset resets the connections of a listen address and accepts new ones.
func (r *Relay) Reset(listen string) {
	r.Drop(listen, true)
	r.Drop(listen, false)
}

// Hold carries nothing, or nothing towards the caller if oneWay is set.
func (r *Relay) Hold(listen string, on, oneWay bool) {
	r.each(cutBody{Pairs: []string{listen}}, func(l *link, _ cutBody) {
		if oneWay {
			l.holdBack(on)
			return
		}
		l.hold(on, false)
	})
}

// Silence makes the connections that are open now carry nothing for good.
func (r *Relay) Silence(listen string) {
	r.each(cutBody{Pairs: []string{listen}}, func(l *link, _ cutBody) { l.hold(true, true) })
}

// Delay adds a time to each direction.
func (r *Relay) Delay(listen string, delay time.Duration) {
	r.each(cutBody{Pairs: []string{listen}}, func(l *link, _ cutBody) { l.slow(delay) })
}

type cutBody struct {
	On       bool     `json:"on"`
	MS       int64    `json:"ms"`
	DelayMS  float64  `json:"delay_ms"`
	Existing bool     `json:"existing"`
	Pairs    []string `json:"pairs"`
}

// Handler returns the switches.
func (r *Relay) Handler() http.Handler {
	router := mux.NewRouter()
	router.NotFoundHandler = http.HandlerFunc(host.Unknown)
	set := func(name string, apply func(*link, cutBody)) {
		router.HandleFunc("/fake/"+name, func(w http.ResponseWriter, req *http.Request) {
			host.Switch(w, req, cutBody{On: true, DelayMS: 100}, func(b cutBody) (any, error) {
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
	set("drop", func(l *link, b cutBody) { l.drop(b.On) })
	set("hold", func(l *link, b cutBody) { l.hold(b.On, b.Existing) })
	set("delay", func(l *link, b cutBody) {
		if !b.On {
			l.slow(0)
			return
		}
		l.slow(time.Duration(b.DelayMS * float64(time.Millisecond)))
	})
	return router
}

func (r *Relay) each(b cutBody, apply func(*link, cutBody)) {
	for _, l := range r.links {
		if len(b.Pairs) == 0 || slices.Contains(b.Pairs, l.address()) {
			apply(l, b)
		}
	}
}

// link is one pair with its connections.
type link struct {
	mu       sync.Mutex
	pair     Pair
	listener net.Listener
	conns    map[*joined]struct{}
	delay    time.Duration
	held     chan struct{}
	heldBack chan struct{} // holds only what goes to the caller
}

// joined is a relayed connection.
type joined struct {
	near, far net.Conn
	once      sync.Once
	gone      chan struct{}
	// silent is closed when the connection shall carry nothing more for good.
	silent chan struct{}
}

func (j *joined) close(abort bool) {
	j.once.Do(func() {
		close(j.gone)
		for _, c := range []net.Conn{j.near, j.far} {
			if tcp, ok := c.(*net.TCPConn); ok && abort {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// address returns the listen address, which listen may set anew.
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
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.join(near)
	}
}

func (l *link) join(near net.Conn) {
	// A held link accepts but reaches nothing, as a network that loses packets.
	if gate := l.gate(); gate != nil {
		<-gate
	}
	far, err := net.DialTimeout("tcp", l.pair.To, dialTimeout)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = near.Close()
		return
	}
	j := &joined{near: near, far: far, gone: make(chan struct{}), silent: make(chan struct{})}
	l.mu.Lock()
	l.conns[j] = struct{}{}
	l.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.carry(j, near, far, l.gate) })
	group.Go(func() { l.carry(j, far, near, l.backGate) })
	group.Wait()
	j.close(false)
	l.mu.Lock()
	delete(l.conns, j)
	l.mu.Unlock()
}

type chunk struct {
	bytes []byte
	due   time.Time
}

// carry copies one direction; the end of the stream is carried on as well.
func (l *link) carry(j *joined, from, to net.Conn, gate func() chan struct{}) {
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
				case <-j.gone:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		if !l.pass(j, c.due, gate) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			j.close(true)
			return
		}
	}
	if !l.pass(j, time.Time{}, gate) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// pass waits until bytes that are due may go on; false means that the
// connection is gone.
func (l *link) pass(j *joined, due time.Time, held func() chan struct{}) bool {
	timer := time.NewTimer(max(0, time.Until(due)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-j.gone:
		return false
	}
	for {
		gate := held()
		select {
		case <-j.silent:
			<-j.gone
			return false
		default:
		}
		if gate == nil {
			return true
		}
		select {
		case <-gate:
		case <-j.gone:
			return false
		}
	}
}

func (l *link) gate() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// backGate returns the gate of what goes to the caller.
func (l *link) backGate() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		return l.held
	}
	return l.heldBack
}

func (l *link) slow(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

func (l *link) holdBack(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.heldBack == nil:
		l.heldBack = make(chan struct{})
	case !on && l.heldBack != nil:
		close(l.heldBack)
		l.heldBack = nil
	}
}

func (l *link) hold(on, existing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && existing:
		for j := range l.conns {
			select {
			case <-j.silent:
			default:
				close(j.silent)
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
	conns := make([]*joined, 0, len(l.conns))
	for j := range l.conns {
		conns = append(conns, j)
	}
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, j := range conns {
		j.close(true)
	}
}
