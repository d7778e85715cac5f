package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crowd"] = playCrowd }

const (
	// limits.memoryMb of the settings
	entryMemoryMb  = 284
	workerMemoryMb = 314

	crowdSize     = 1600
	crowdTargets  = 2
	headBytes     = 16_000 // of a request; maxHeaderBytes is 16,384
	crowdFor      = 75 * time.Second
	headPause     = 8 * time.Second // after which a connection is given up and made anew
	memoryPeriod  = 50 * time.Millisecond
	restartPause  = time.Second
	faultEnds     = 3
	faultMachines = 2
)

// playCrowd lets clients open many connections to two entry machines and stop short of the end of their heads.
func playCrowd(w *world, trouble bool) {
	if !w.build(2, 1, 2, 20, 20*time.Millisecond) {
		return
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	ends := map[string]int{}
	var mu sync.Mutex
	for _, p := range w.processes {
		all.Go(func() {
			n := w.enforceMemory(p, stop)
			mu.Lock()
			defer mu.Unlock()
			ends[p.name] = n
		})
	}
	for i, p := range w.entries {
		all.Go(func() { w.ordinary(i, p, stop) })
	}
	time.Sleep(2 * time.Second)
	for i := range crowdSize * crowdTargets {
		if !trouble {
			break
		}
		all.Go(func() { stopShort(w.entries[2*(i%crowdTargets)], i, stop) })
	}
	time.Sleep(crowdFor)
	close(stop)
	all.Wait()
	w.judgeEnds(ends)
}

// judgeEnds checks rule Fault: how often processes used more than their memory.
func (w *world) judgeEnds(ends map[string]int) {
	machines := 0
	for _, p := range w.processes {
		w.note("%s: ended %d times, peak %d MB", p.name, ends[p.name], p.peak)
		if ends[p.name] >= faultEnds {
			machines++
		}
	}
	if machines >= faultMachines {
		w.broke("Fault: on %d machines a process used more than its memory and was ended %d times or more: %v", machines, faultEnds, ends)
	}
}

// enforceMemory does what the platform does to a process that uses more than its memory: it ends it, and
// starts it again. It returns how often it did so.
func (w *world) enforceMemory(p *process, stop chan struct{}) int {
	ends := 0
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(memoryPeriod):
		}
		used := residentMb(p.command.Process.Pid)
		p.peak = max(p.peak, used)
		if used <= p.memory() {
			continue
		}
		ends++
		w.note("%s uses %d MB of %d and is ended", p.name, used, p.memory())
		p.restart(syscall.SIGKILL, restartPause)
	}
}

// residentMb returns the resident memory of a process in MB.
func residentMb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// head returns a request head of short fields that lacks its end.
func head() []byte {
	out := bytes.NewBufferString("POST /plain/x HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + keys["acme"] + "\r\n")
	for n := 0; out.Len() < headBytes; n++ {
		fmt.Fprintf(out, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	return out.Bytes()
}

// stopShort opens connections, each with a head that stops short of its end and stays open.
func stopShort(p *process, number int, stop chan struct{}) {
	text := head()
	time.Sleep(time.Duration(number%500) * time.Millisecond)
	for {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, frontPort), time.Second)
		if err == nil {
			_, _ = c.Write(text)
		}
		select {
		case <-stop:
		case <-time.After(headPause):
		}
		if err == nil {
			_ = c.Close()
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// ordinary sends requests of a caller that stays inside the limits.
func (w *world) ordinary(number int, p *process, stop chan struct{}) {
	served, other := 0, 0
	for n := 0; ; n++ {
		select {
		case <-stop:
			w.note("%s: %d ordinary requests served, %d not", p.name, served, other)
			return
		case <-time.After(300 * time.Millisecond):
		}
		a := p.call(http.MethodPost, "/plain/x", keys["acme"], fmt.Sprintf("o-%d-%d", number, n), map[string]string{"Deadline-Ms": "1500"}, []byte("x"), 1500*time.Millisecond)
		if a.err == nil && a.status == http.StatusOK {
			served++
		} else {
			other++
		}
	}
}
