package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/standin/cut"
)

const (
	frontPort = 8405
	readyPort = 8406
	firstPort = 7660
	lastPort  = 7675
	host      = "shop.example"
	zoneCount = 3
)

var keys = map[string]string{"acme": "key-of-acme", "birch": "key-of-birch"}

// process is a program under test.
type process struct {
	w                    *world
	name, role, zone, ip string
	storeLink, cloudLink string
	settings, log        string
	command              *exec.Cmd
	done                 chan struct{}
	expected             bool
	peak                 int // largest memory seen, in MB
}

// world is one run of a case: the programs, the stand-ins and what was seen.
type world struct {
	dir       string
	program   string
	block     string
	store     *store
	processes []*process
	entries   []*process
	workers   []*process
	replicas  []*replica
	began     time.Time

	mu       sync.Mutex
	links    map[string]*cut.Relay // by name
	nodeLink map[string]string     // target to listen address
	port     int
	runs     []run
	lines    []string
	broken   []string
	failed   []string
	closing  bool
}

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, program: os.Getenv("PROGRAM"), began: time.Now(), links: map[string]*cut.Relay{}, nodeLink: map[string]string{}, port: 20000,
		block: fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250)),
	}
	if w.program == "" {
		w.program = "target/wigeonpin"
	}
	w.store = newStore(w)
	return w, nil
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.block, n) }

// link starts a relay to a target and returns its address.
func (w *world) link(name, target string) (string, error) {
	w.mu.Lock()
	w.port++
	listen := fmt.Sprintf("%s:%d", w.ip(1), w.port)
	w.mu.Unlock()
	relay := cut.New([]cut.Pair{{Listen: listen, Target: target}})
	if err := relay.Start(); err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[name] = relay
	return listen, nil
}

// linkNode replaces the address in the record of a process by that of the link to it.
func (w *world) linkNode(name string, body []byte) []byte {
	var fields map[string]any
	if json.Unmarshal(body, &fields) != nil {
		return body
	}
	target, _ := fields["address"].(string)
	if target == "" {
		return body
	}
	w.mu.Lock()
	listen, known := w.nodeLink[target]
	w.mu.Unlock()
	if !known {
		var err error
		if listen, err = w.link("peer "+name+" "+target, target); err != nil {
			return body
		}
		w.mu.Lock()
		w.nodeLink[target] = listen
		w.mu.Unlock()
	}
	fields["address"] = listen
	out, _ := json.Marshal(fields)
	return out
}

// each applies f to the links whose names have the prefix.
func (w *world) each(prefix string, f func(r *cut.Relay, listen string)) int {
	w.mu.Lock()
	var found []*cut.Relay
	for name, r := range w.links {
		if strings.HasPrefix(name, prefix) {
			found = append(found, r)
		}
	}
	w.mu.Unlock()
	for _, r := range found {
		f(r, r.Addresses()[0])
	}
	return len(found)
}

func (w *world) silence(prefix string) int {
	return w.each(prefix, func(r *cut.Relay, listen string) { r.Silence(listen) })
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3f  ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// broke records that the rule was broken.
func (w *world) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// cannot records that the case could not run.
func (w *world) cannot(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("FAILED: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = append(w.failed, text)
}

// addRun records a request at a replica and returns its number.
func (w *world) addRun(r run) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	return len(w.runs) - 1
}

func (w *world) endRun(number int, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[number].end, w.runs[number].outcome = time.Now(), outcome
}

func (w *world) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

func (w *world) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(w.began).Seconds()) }

// addProcess prepares a process of a role in a zone.
func (w *world) addProcess(role string, zone, number int) error {
	p := &process{w: w, role: role, zone: fmt.Sprintf("zone-%c", 'a'+zone)}
	p.name = fmt.Sprintf("%s-%s-%d", map[string]string{"entry": "edge", "worker": "storage"}[role], p.zone, number)
	p.ip = w.ip(10 + 20*zone + number + map[string]int{"entry": 0, "worker": 10}[role])
	w.mu.Lock()
	w.port++
	address := fmt.Sprintf("%s:%d", w.ip(2), w.port)
	w.mu.Unlock()
	if err := w.store.listen(address, p.name); err != nil {
		return err
	}
	var err error
	if p.storeLink, err = w.link("store "+p.name, address); err != nil {
		return err
	}
	if p.cloudLink, err = w.link("cloud "+p.name, address); err != nil {
		return err
	}
	p.settings, p.log = filepath.Join(w.dir, p.name+".json"), filepath.Join(w.dir, p.name+".log")
	w.processes = append(w.processes, p)
	if role == "entry" {
		w.entries = append(w.entries, p)
	} else {
		w.workers = append(w.workers, p)
	}
	return p.writeSettings()
}

// memory returns the memory of the machine in MB, as on the site.
func (p *process) memory() int {
	if p.role == "worker" {
		return workerMemoryMb
	}
	return entryMemoryMb
}

func (p *process) writeSettings() error {
	class, serves, listen := "edge", "edge", map[string]any{
		"front": fmt.Sprintf("%s:%d", p.ip, frontPort), "readiness": fmt.Sprintf("%s:%d", p.ip, readyPort), "control": fmt.Sprintf("%s:%d", p.ip, 8407),
	}
	if p.role == "worker" {
		class, serves, listen = "storage", "storage", map[string]any{}
	}
	text, err := json.Marshal(map[string]any{
		"nodeName": p.name, "role": p.role, "machineClass": class, "serves": []string{serves}, "ip": p.ip, "zone": p.zone, "region": "one",
		"zones":  map[string]string{"zone-a": "one", "zone-b": "one", "zone-c": "one"},
		"listen": listen, "portRange": []int{firstPort, lastPort}, "seeds": []string{}, "bootstrap": true, "lossCounts": p.role == "worker",
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": p.memory(), "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "tenants", "leader", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.7, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "failClosed": false, "revokeMs": 5000, "fencingEnforced": false,
			"leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "coldOverage": 1.5, "coldSlack": 5,
			"evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "finishS": 10, "statusTtlS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOverage": 0.1,
		},
		"platform": map[string]any{"address": p.storeLink, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1048576, "minTtlMs": 1000},
		"cloud":    map[string]any{"address": p.cloudLink, "ratePerS": 50.0, "duties": []string{"usage_report", "autoscaler"}, "dutyPerS": 50.0},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, text, 0o600)
}

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.w.program, p.role)
	p.command.Env = append(os.Environ(), "WIGEONPIN_CONFIG="+p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done, p.expected = make(chan struct{}), false
	command, done := p.command, p.done
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.w.mu.Lock()
		expected := p.expected || p.w.closing
		p.w.mu.Unlock()
		if !expected {
			p.w.broke("%s ended by itself: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.w.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	p.w.mu.Unlock()
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.command.Process.Signal(s)
}

// restart ends the process with a signal and starts it again.
func (p *process) restart(s syscall.Signal, pause time.Duration) {
	p.w.note("%s gets %v", p.name, s)
	p.signal(s)
	select {
	case <-p.done:
	case <-time.After(8 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	time.Sleep(pause)
	if err := p.start(); err != nil {
		p.w.cannot("start of %s: %v", p.name, err)
	}
	p.w.note("%s is started again", p.name)
}

func (w *world) addReplica(service, zone string, number, events int, pause time.Duration, models ...string) (*replica, error) {
	w.mu.Lock()
	w.port++
	address := fmt.Sprintf("%s:%d", w.ip(3), w.port)
	w.mu.Unlock()
	e := &replica{w: w, service: service, name: fmt.Sprintf("%s-%s-%d", service, zone, number), zone: zone, address: address, events: events, pause: pause, versions: map[string]int64{}}
	for _, m := range models {
		e.versions[m] = 1
	}
	if len(models) == 0 {
		e.versions = nil
	}
	var err error
	if e.registered, err = w.link("replica "+e.name, address); err != nil {
		return nil, err
	}
	w.replicas = append(w.replicas, e)
	return e, nil
}

// ready reports whether the readiness check of the entry process answers 200.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func within(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// startAll starts the replicas and processes and waits until the entry processes are ready.
func (w *world) startAll() error {
	for _, e := range w.replicas {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, p := range w.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range w.entries {
		if !within(15*time.Second, p.ready) {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}

// finish ends all processes, writes the record and returns the exit status.
func (w *world) finish(record string) int {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for _, p := range w.processes {
		if p.command != nil && p.command.Process != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var out strings.Builder
	out.WriteString(strings.Join(w.lines, "\n") + "\n\nrequests at replicas\n")
	sort.Slice(w.runs, func(i, j int) bool { return w.runs[i].at.Before(w.runs[j].at) })
	for _, r := range w.runs {
		fmt.Fprintf(&out, "%8.3f  %s %s%s at %s (%s) tenant %q after %q: %s\n", r.at.Sub(w.began).Seconds(), r.id, r.host, r.path, r.replica, r.zone, r.account, r.from, r.outcome)
	}
	if err := os.WriteFile(record, []byte(out.String()), 0o644); err != nil {
		fmt.Println(err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	switch {
	case len(w.broken) > 0:
		fmt.Println("the rule was broken:")
		for _, b := range w.broken[:min(len(w.broken), 10)] {
			fmt.Println(" ", b)
		}
		return 1
	case len(w.failed) > 0:
		fmt.Println("the case could not run:", w.failed[0])
		return 2
	}
	fmt.Println("the rule held")
	return 0
}
