package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["slash"] = slash }

// rawTimeout bounds one request of rawCall.
const rawTimeout = 4 * time.Second

// rawCall sends a request whose target is written as it is, and returns the status, 0 for
// none.
func rawCall(front, method, target, host, id string) int {
	c, err := net.Dial("tcp", front)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(rawTimeout)) // a failure also fails the read
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key1\r\nContent-Length: 0\r\n\r\n", method, target, host, id)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// slash sends requests whose paths begin with an empty segment, after the operator has
// added a route for all paths of a host.
func slash(f *fleet, trouble bool) (bool, error) {
	manifest := batchManifest(1)
	f.store.write("config", "main", manifest)
	e, err := f.newReplica("s-1", "s", "a", "127.0.0.1", "")
	if err != nil {
		return false, err
	}
	p, err := f.start("edge-a-1", "entry", "a", "127.0.0.1")
	if err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	if trouble {
		added := map[string]any{"name": "all", "host": "h.example", "pathPrefix": "/", "kind": "idempotent", "service": "s", "timeoutMs": 2000, "targetLatencyMs": 150, "maxAttempts": 2, "priority": 2}
		manifest["version"], manifest["routes"] = 2, append(manifest["routes"].([]map[string]any), added)
		f.store.write("config", "main", manifest)
		f.note("manifest 2 adds a route for all paths of h.example")
	}
	time.Sleep(2500 * time.Millisecond) // configApplyMs is 2000
	broken := false
	for n, target := range []string{"/plain/stock/7", "//stock/7", "//stock/7?part=2", "//w/order", "//other.example/admin", "///stock/7"} {
		id := fmt.Sprintf("d%03d", n)
		status := rawCall(p.front, http.MethodGet, target, "h.example", id)
		f.note("sent %s: GET %s, host h.example; status %d", id, target, status)
		for _, one := range runsOf(id, []*replica{e}) {
			if one.target != target || one.host != "h.example" {
				f.note("the replica ran %s as %s %s, host %s", id, one.method, one.target, one.host)
				broken = true
			}
		}
	}
	return broken, nil
}
