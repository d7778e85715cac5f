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

func init() { cases["ready"] = ready }

const (
	// frontMemoryMb and workerMemoryMb are memoryMb of the machines of the site.
	frontMemoryMb  = 134
	workerMemoryMb = 174

	crowdSize    = 1500             // clients at each of the machines
	crowdTargets = 2                // machines
	headBytes    = 16_000           // of a request; maxHeaderBytes is 16,384
	crowdTime    = 60 * time.Second // the crowd stays for this time
	givesUp      = 8 * time.Second  // a client closes its connection then, and connects again

	memoryPeriod = 50 * time.Millisecond
	restartPause = time.Second
	faultEnds    = 3 // of the processes of a machine
)

// ready has clients open connections to the address that says ready, which stop just short
// of the end of their heads.
func ready(f *fleet, trouble bool) (bool, error) {
	f.memoryMb["entry"], f.memoryMb["worker"] = frontMemoryMb, workerMemoryMb
	f.store.write("config", "main", batchManifest(1))
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := f.newReplica(fmt.Sprintf("s-%d", i), "s", zone, "127.0.0.1", ""); err != nil {
			return false, err
		}
	}
	fronts, err := startAll(f)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	ends := make([]int, len(fronts))
	for i, p := range fronts {
		all.Go(func() { ends[i] = f.enforceMemory(p, stop) })
		all.Go(func() { f.ordinary(i, p, stop) })
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.note("%d clients come to the readiness address of each of %d machines", crowdSize, crowdTargets)
		for i := range crowdSize * crowdTargets {
			all.Go(func() { stopShort(fronts[2*(i%crowdTargets)].ready, i, stop) })
		}
	}
	time.Sleep(crowdTime)
	close(stop)
	all.Wait()
	machines := 0
	for i, p := range fronts {
		f.note("%s: %d ends", p.name, ends[i])
		if ends[i] >= faultEnds {
			machines++
		}
	}
	return machines >= 2, nil
}

// enforceMemory does what the platform does to a process that uses more than its memory:
// it ends it. The process is then started again. It returns the number of ends.
func (f *fleet) enforceMemory(p *process, stop chan struct{}) int {
	ends, peak := 0, 0
	for {
		select {
		case <-stop:
			f.note("%s: peak %d MB", p.name, peak)
			return ends
		case <-p.ended:
			f.note("%s ended by itself", p.name)
		case <-time.After(memoryPeriod):
			used := residentMb(p.command.Process.Pid)
			peak = max(peak, used)
			if used <= frontMemoryMb {
				continue
			}
			f.note("%s uses %d MB of %d and is ended", p.name, used, frontMemoryMb)
			p.signal(syscall.SIGKILL)
			<-p.ended
		}
		ends++
		time.Sleep(restartPause)
		next, err := f.restart(p)
		if err != nil {
			f.note("%s did not start again: %v", p.name, err)
			return ends
		}
		p = next
	}
}

// residentMb returns the resident memory of a process in MB.
func residentMb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0]) // 0 is below each limit
			return kb / 1024
		}
	}
	return 0
}

// openHead returns the head of a readiness check with short fields, which lacks its last
// empty line.
func openHead() []byte {
	out := bytes.NewBufferString("GET /v1/readyz HTTP/1.1\r\nHost: h.example\r\n")
	for n := 0; out.Len() < headBytes; n++ {
		fmt.Fprintf(out, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	return out.Bytes()
}

// stopShort opens one connection after the other, each with a head that stops short of its
// end.
func stopShort(address string, number int, stop chan struct{}) {
	text := openHead()
	time.Sleep(time.Duration(number%500) * time.Millisecond)
	for {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_, _ = c.Write(text) // a client that is cut off connects again
		}
		select {
		case <-stop:
		case <-time.After(givesUp):
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

// ordinary sends requests of a caller inside the limits.
func (f *fleet) ordinary(number int, p *process, stop chan struct{}) {
	served, sent := 0, 0
	for ; ; sent++ {
		select {
		case <-stop:
			f.note("%s: %d of %d ordinary requests served", p.name, served, sent)
			return
		case <-time.After(300 * time.Millisecond):
		}
		id := fmt.Sprintf("o%d-%d", number, sent)
		if status, _ := call(http.MethodPost, p.front, "/w/"+id, id, []byte("x"), 1500*time.Millisecond, nil); status == http.StatusOK {
			served++
		}
	}
}
