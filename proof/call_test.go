package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
)

// call makes a plain call with a key and, if id is set, an idempotency key.
func (f *fleet) call(p *process, key, path, id string, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	header := bearer(key)
	header["Wigeonpin-Deadline-Ms"] = fmt.Sprint(limit.Milliseconds())
	if id != "" {
		header["Idempotency-Key"] = id
	}
	return f.send(ctx, p.address, http.MethodPost, path, header, map[string]any{"id": id})
}

// runs returns how often each path ran in total on all services.
func (f *fleet) runs() map[string]int {
	f.t.Helper()
	all := map[string]int{}
	for _, p := range f.services {
		var found struct {
			Paths map[string]int `json:"paths"`
		}
		f.mustSend(p.control, http.MethodGet, "/fake/runs", nil, nil, &found)
		for path, n := range found.Paths {
			all[path] += n
		}
	}
	return all
}

// awaitCharge waits until an instance serves a non-repeatable call with an
// idempotency key.
func (f *fleet) awaitCharge(p *process, key string) {
	f.t.Helper()
	n := 0
	f.eventually(p.name+" serves a call with an idempotency key", func() bool {
		n++
		id := fmt.Sprintf("warm-%s-%d", p.name, n)
		return f.call(p, key, "/s/charge/"+id, id, 5*time.Second).status == http.StatusOK
	})
}

// Guards against a non-repeatable call that runs twice when instances are killed
// and callers resend it through others, and against a false "not run".
func TestCallsRunOnceWhenInstancesDie(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 2, services: 1, settings: map[string]any{"resend_ms": 10_000}})
	key := f.createAccount("acme")
	for _, p := range f.instances {
		f.awaitCharge(p, key)
	}
	const calls, path = 300, "/s/charge/%s?work_ms=400"
	answers := make([][]answer, calls)
	var wg sync.WaitGroup
	for c := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(c) * 10 * time.Millisecond)
			id := fmt.Sprintf("call-%d", c)
			for attempt := range 3 {
				a := f.call(f.instances[(c+attempt)%len(f.instances)], key, fmt.Sprintf(path, id), id, 3*time.Second)
				answers[c] = append(answers[c], a)
				if a.status == http.StatusOK {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	f.instances[1].kill()
	time.Sleep(time.Second)
	f.instances[4].kill()
	wg.Wait()
	f.checkCalls(answers)
	lost := 0
	for _, attempts := range answers {
		if attempts[0].err != nil {
			lost++
		}
	}
	if lost == 0 {
		t.Error("no call was in progress when an instance was killed")
	}
}

// Guards against a second run of a call that its caller sends through several
// instances at the same time.
func TestSameCallThroughTwoInstances(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1, services: 1, settings: map[string]any{"resend_ms": 10_000}})
	key := f.createAccount("acme")
	for _, p := range f.instances {
		f.awaitCharge(p, key)
	}
	f.checkSameCalls(key, 20)
}

// Guards against instances that act after a pause on the former home instances of
// idempotency keys, which may have changed meanwhile. They refuse such calls for
// the time in which resends are recognised, and serve them after it. Under load a
// late goroutine has the same effect as such a pause.
func TestSameCallAfterAPause(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1, services: 1, settings: map[string]any{"resend_ms": 5_000}})
	key := f.createAccount("acme")
	for _, p := range f.instances {
		f.awaitCharge(p, key)
	}
	for _, p := range f.instances[:2] {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(4 * time.Second) // longer than a membership view stays fresh
	for _, p := range f.instances[:2] {
		p.signal(syscall.SIGCONT)
	}
	f.checkSameCalls(key, 20)
}

// checkSameCalls sends calls through all instances at the same time, resends them
// after refusals, and checks that each runs exactly once.
func (f *fleet) checkSameCalls(key string, count int) {
	f.t.Helper()
	var sending sync.WaitGroup
	for c := range count {
		id := fmt.Sprintf("same-%d", c)
		for _, p := range f.instances {
			sending.Go(func() { f.sendUntilServed(p, key, id) })
		}
	}
	sending.Wait()
	runs := f.runs()
	for c := range count {
		if path := fmt.Sprintf("/same-%d", c); runs[path] != 1 {
			f.t.Errorf("call %s ran %d times, want 1", path, runs[path])
		}
	}
}

// retryableCodes are the refusals after which a caller resends the same call: the
// record of its idempotency key is not settled, the call is still running, or the
// membership view is not fresh. Records and keys both need a fresh view.
var retryableCodes = []code.Code{code.RecordUnsure, code.AlreadyRunning, code.KeysStale}

// sendUntilServed resends a call until it is served. As callers do, it waits for
// the retry time that each refusal gives.
func (f *fleet) sendUntilServed(p *process, key, id string) {
	var last answer
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		last = f.call(p, key, "/s/charge/"+id+"?work_ms=50", id, 5*time.Second)
		if last.status == http.StatusOK {
			return
		}
		var refusal struct {
			Code  code.Code `json:"code"`
			After int64     `json:"retry_after_ms"`
		}
		if err := json.Unmarshal(last.body, &refusal); err != nil || refusal.After <= 0 || !slices.Contains(retryableCodes, refusal.Code) {
			f.t.Errorf("call %s through %s: want it served or a retryable refusal, got %v", id, p.name, last)
			return
		}
		time.Sleep(time.Duration(refusal.After) * time.Millisecond)
	}
	f.t.Errorf("call %s through %s was not served within %v, last answer: %v", id, p.name, waitTimeout, last)
}

func (f *fleet) checkCalls(answers [][]answer) {
	f.t.Helper()
	runs, served := f.runs(), 0
	for c, attempts := range answers {
		path := fmt.Sprintf("/call-%d", c)
		if runs[path] > 1 {
			f.t.Errorf("call %d ran %d times: %v", c, runs[path], attempts)
		}
		notRun := true
		for _, a := range attempts {
			notRun = notRun && a.err == nil && a.run == "not_run"
			if a.status == http.StatusOK {
				served++
				if runs[path] != 1 {
					f.t.Errorf("call %d was answered and ran %d times", c, runs[path])
				}
			}
		}
		if notRun && runs[path] > 0 {
			f.t.Errorf("all answers to call %d say \"not run\", but it ran", c)
		}
	}
	if served < len(answers)/2 {
		f.t.Errorf("only %d of %d calls were served", served, len(answers))
	}
}

// Guards against a second run, or a false "not run", when the service itself
// crashes at any point of the exchange.
func TestServiceDiesAtEachPoint(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 1, instancesPerZone: 2, services: 1, settings: map[string]any{"resend_ms": 10_000}})
	key := f.createAccount("acme")
	f.awaitCharge(f.instances[0], key)
	for i, point := range []string{"before_read", "after_read", "after_run", "mid_response"} {
		f.setFault(f.services[0], "crash", map[string]any{"point": point, "count": 1, "ms": 300})
		id := fmt.Sprintf("point-%d", i)
		first := f.call(f.instances[0], key, "/s/charge/"+id, id, 5*time.Second)
		f.eventually("the service answers after "+point, func() bool {
			probe := fmt.Sprintf("after-%d-%d", i, time.Now().UnixNano())
			return f.call(f.instances[0], key, "/s/charge/"+probe, probe, 5*time.Second).status == http.StatusOK
		})
		f.call(f.instances[1], key, "/s/charge/"+id, id, 5*time.Second)
		ran := f.runs()["/"+id]
		if ran > 1 {
			t.Errorf("%s: the call ran %d times", point, ran)
		}
		if first.run == "not_run" && ran > 0 && first.status != http.StatusOK {
			t.Errorf("%s: the first answer says \"not run\", but the call ran %d times", point, ran)
		}
		if first.status == http.StatusOK {
			t.Errorf("%s: the crash did not reach the caller", point)
		}
	}
}

// Guards against a planned stop that cuts off a request in progress.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 1, instancesPerZone: 2, engines: 2, engineArgs: []string{"--rate", "10"}})
	key := f.createAccount("acme")
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	leaving := f.instances[0]
	const streams = 8
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The request runs longer than closing the servers may take.
			answers[i] = f.generate(leaving, key, fmt.Sprintf("prompt %d", i), 150, waitTimeout)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	leaving.signal(15)
	f.eventually("the leaving instance is not ready", func() bool { return f.httpStatus(leaving.address, "/readyz") != http.StatusOK })
	wg.Wait()
	for i, a := range answers {
		if a.err != nil || (a.status != http.StatusOK && a.run != "not_run") {
			t.Errorf("request %d was cut off: status %d, run %q, error %v", i, a.status, a.run, a.err)
		}
	}
	select {
	case <-leaving.done:
	case <-time.After(waitTimeout):
		t.Fatal("the leaving instance did not exit")
	}
}
