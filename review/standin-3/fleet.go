package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// peerPorts is the number of ports in the range for calls between processes.
	peerPorts = 16
	// readyTimeout bounds the start of the processes.
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// fleet is a small deployment: the processes of the system, the store, and a record of
// what happens.
type fleet struct {
	folder    string // of settings and logs
	program   string
	store     *store
	processes []*process
	began     time.Time
	memoryMb  map[string]int // by role

	mu     sync.Mutex
	record io.Writer
}

// process is a process of the system.
type process struct {
	name, role, front, ready string
	command                  *exec.Cmd
	ended                    chan struct{}
}

// newFleet starts the store. It writes the record to a file.
func newFleet(program, recordPath string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := newStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return &fleet{folder: folder, program: program, store: s, began: time.Now(), memoryMb: map[string]int{"entry": 284, "worker": 284}, record: record}, nil
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...)) // the verdict does not depend on it
}

// freeAddress returns an address at which nothing listens.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// freeRange returns the first port of a range in which nothing listens.
func freeRange(ip string) (int, error) {
	for first := 21000; first < 31000; first += peerPorts {
		free := true
		for port := first; port < first+peerPorts && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				listener.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free range of ports")
}

// start starts a process of the system in a zone, at addresses of its own.
func (f *fleet) start(name, role, zone, ip string) (*process, error) {
	p := &process{name: name, role: role, ended: make(chan struct{})}
	var err error
	if p.front, err = freeAddress(ip); err != nil {
		return nil, err
	}
	if p.ready, err = freeAddress(ip); err != nil {
		return nil, err
	}
	first, err := freeRange(ip)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{
		"nodeName": name, "role": role, "ip": ip, "zone": zone, "region": "loop", "zones": map[string]string{"a": "loop", "b": "loop", "c": "loop"},
		"listen": map[string]string{"front": p.front, "readiness": p.ready}, "portRange": []int{first, first + peerPorts - 1},
		"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": f.memoryMb[role], "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"heartbeatMs": 1200,
		"bounds": map[string]any{
			"drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "leaseMs": 3000, "usageWindowS": 5, "usageLateS": 10,
			"evacuateMs": 5000, "statusTtlS": 120, "cancelMs": 3000, "settleMs": 1000, "contactMs": 3000, "fencingEnforced": false,
		},
		"platform": map[string]any{"address": f.store.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1 << 20},
		"cloud":    map[string]any{"address": f.store.address, "dutyPerS": 50.0},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(f.settings(name), text, 0o600); err != nil {
		return nil, err
	}
	return p, f.run(p)
}

// settings returns the path of the settings file of a process.
func (f *fleet) settings(name string) string { return filepath.Join(f.folder, name+".json") }

// restart starts a process that has ended again, with the same settings.
func (f *fleet) restart(p *process) (*process, error) {
	next := &process{name: p.name, role: p.role, front: p.front, ready: p.ready, ended: make(chan struct{})}
	return next, f.run(next)
}

// run starts the program of a process.
func (f *fleet) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(f.program, p.role)
	p.command.Env = append(os.Environ(), "WIGEONPIN_CONFIG="+f.settings(p.name))
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	f.note("%s started, process %d, front %s", p.name, p.command.Process.Pid, p.front)
	go func() {
		defer close(p.ended)
		defer log.Close()
		f.note("%s ended: %v", p.name, p.command.Wait())
	}()
	return nil
}

// awaitReady waits until an entry process is ready.
func (p *process) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		answer, err := client.Get("http://" + p.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", p.name, readyTimeout)
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(s) // the process may have just ended
	}
}

// all returns the processes that were started.
func (f *fleet) all() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.processes)
}

// stop ends all processes and the store, and removes the folder.
func (f *fleet) stop() {
	for _, p := range f.all() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.all() {
		<-p.ended
	}
	_ = f.store.server.Close() // the program ends
	_ = os.RemoveAll(f.folder) // a leftover in the temporary folder does no harm
}
