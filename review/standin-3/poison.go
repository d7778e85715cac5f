package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["poison"] = poison }

const (
	poisonBody = "a request that ends each replica that begins to run it"
	// backAfter is how long a replica that crashed is down, and lapse how long its entry
	// stays: three heartbeats.
	backAfter = 2 * time.Second
	lapse     = 3600 * time.Millisecond
	// poisonPeriod is the time between two attempts of the caller of that request.
	poisonPeriod = 400 * time.Millisecond
	contact      = 3 * time.Second // contactMs of the settings
	// allowedRetries is how many retries may reach replicas once contact has passed since
	// the third crash.
	allowedRetries = 3
	downTime       = 1200 * time.Millisecond // of the final fault
	beforeFault    = 12 * time.Second        // from the first attempt
	afterFault     = 20 * time.Second        // for which the caller goes on
)

// crasher is a plain service whose replica crashes when a request with poisonBody begins
// to run, and comes back under another id.
type crasher struct {
	f                *fleet
	name, zone       string
	address          string
	mu               sync.Mutex
	server           *http.Server
	starts           int
	crashes, reached *log
}

// log holds the times and ids of events.
type log struct {
	mu    sync.Mutex
	times []time.Time
	ids   []string
}

func (l *log) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times, l.ids = append(l.times, time.Now()), append(l.ids, id)
}

// since returns the different ids of the events from a time on.
func (l *log) since(at time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := map[string]bool{}
	for i, t := range l.times {
		if !t.Before(at) {
			found[l.ids[i]] = true
		}
	}
	return found
}

// count returns the number of events.
func (l *log) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.times)
}

// groups returns the number of groups of events from a time on. Less than gap lies between
// two events of a group.
func (l *log) groups(from time.Time, gap time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	var last time.Time
	for _, at := range l.times {
		if at.Before(from) {
			continue
		}
		if at.Sub(last) > gap {
			count++
		}
		last = at
	}
	return count
}

// third returns when the third event was.
func (l *log) third() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.times) < 3 {
		return time.Time{}, false
	}
	return l.times[2], true
}

// start starts the replica under a new id.
func (c *crasher) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	c.address = listener.Addr().String()
	c.starts++
	id := fmt.Sprintf("%s-%d", c.name, c.starts)
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || ctx.Err() != nil {
			return
		}
		request := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", request)
		if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if string(body) == poisonBody {
			c.f.note("replica %s begins %s and crashes", id, request)
			c.reached.add(request)
			c.crashes.add(request)
			cancel()
			go c.crash(server, id)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Server-Stamp", "stamp."+request)
		_, _ = io.WriteString(w, "done "+request) // the caller may be gone
	})
	c.server = server
	go func() { _ = server.Serve(listener) }() // ends with the crash
	c.f.store.write("servers", id, map[string]any{
		"service": "s", "address": c.address, "zone": c.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// crash closes the replica, and starts it again later.
func (c *crasher) crash(server *http.Server, id string) {
	_ = server.Close()
	time.AfterFunc(lapse, func() { c.f.store.remove("servers", id) })
	time.Sleep(backAfter)
	if err := c.start(); err != nil {
		c.f.note("replica %s does not start again: %v", c.name, err)
	}
}

// attempt sends one request on a channel of its own, and returns the status, 0 for none.
func attempt(front, id, body string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/w/order", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	request.Header.Set("Authorization", "Bearer key1")
	client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// startAll starts six entry processes and three workers in three zones.
func startAll(f *fleet) ([]*process, error) {
	var fronts []*process
	for _, zone := range []string{"a", "b", "c"} {
		for n := 1; n <= 2; n++ {
			p, err := f.start(fmt.Sprintf("edge-%s-%d", zone, n), "entry", zone, "127.0.0.1")
			if err != nil {
				return nil, err
			}
			fronts = append(fronts, p)
		}
		if _, err := f.start(fmt.Sprintf("storage-%s-1", zone), "worker", zone, "127.0.0.1"); err != nil {
			return nil, err
		}
	}
	for _, p := range fronts {
		if err := p.awaitReady(); err != nil {
			return nil, err
		}
	}
	f.note("all processes are ready")
	return fronts, nil
}

// restartAll starts all processes again at their addresses.
func restartAll(f *fleet) ([]*process, error) {
	var fronts []*process
	for _, p := range f.all() {
		next, err := f.restart(p)
		if err != nil {
			return nil, err
		}
		if next.role == "entry" {
			fronts = append(fronts, next)
		}
	}
	for _, p := range fronts {
		if err := p.awaitReady(); err != nil {
			return nil, err
		}
	}
	f.note("all processes are ready again")
	return fronts, nil
}

// poison sends a request that crashes replicas again and again, before and after a kill of
// all processes.
func poison(f *fleet, trouble bool) (bool, error) {
	f.store.write("config", "main", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "w", "host": "h.example", "pathPrefix": "/w/", "kind": "idempotent", "service": "s", "timeoutMs": 2000, "targetLatencyMs": 150, "maxAttempts": 2, "priority": 2}},
		"services": []map[string]any{{"name": "s", "healthPath": "/healthz", "maxConnections": 96, "coldStartS": 0, "coldPerS": 0}},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{"key1"}, "priority": 1}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	crashes, reached := &log{}, &log{}
	for i, zone := range []string{"a", "b", "c", "a", "b", "c"} {
		c := &crasher{f: f, name: fmt.Sprintf("i%d", i), zone: zone, address: "127.0.0.1:0", crashes: crashes, reached: reached}
		if err := c.start(); err != nil {
			return false, err
		}
	}
	fronts, err := startAll(f)
	if err != nil {
		return false, err
	}
	number := 0
	send := func(until time.Time) {
		for ; time.Now().Before(until); time.Sleep(poisonPeriod) {
			number++
			front, id := fronts[number%len(fronts)], fmt.Sprintf("c%04d", number)
			f.note("the caller sends %s at %s: status %d", id, front.name, attempt(front.front, id, poisonBody))
			f.note("another caller: status %d", attempt(fronts[(number+3)%len(fronts)].front, fmt.Sprintf("n%04d", number), "harmless"))
		}
	}
	send(time.Now().Add(beforeFault))
	third, crashed := crashes.third()
	if !crashed {
		return false, fmt.Errorf("the request crashed fewer than three replicas")
	}
	from := third.Add(contact)
	if trouble {
		f.note("the final fault: all processes are killed")
		for _, p := range f.all() {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range f.all() {
			<-p.ended
		}
		time.Sleep(downTime)
		if fronts, err = restartAll(f); err != nil {
			return false, err
		}
		time.Sleep(contact + 500*time.Millisecond)
	}
	inTouch := time.Now()
	send(inTouch.Add(afterFault))
	if inTouch.After(from) {
		from = inTouch
	}
	retries := reached.since(from)
	f.note("%d crashes in all; retries that reached replicas %s after the third crash or later, from machines in touch: %d, allowed: %d", crashes.count(), contact, len(retries), allowedRetries)
	return len(retries) > allowedRetries, nil
}
