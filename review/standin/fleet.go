package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	graceS   = 8
	leaseMs  = 3000
	settleMs = 1000

	entriesPerZone = 2
	startTimeout   = 20 * time.Second
	// The host and path prefixes of the routes, the keys and the model of the
	// manifest.
	host         = "ficu95.example"
	plainPrefix  = "/lohu930/"
	batchPrefix  = "/pule252/"
	rewardPrefix = "/pufi791/"
	keyA         = "2b9wu3fexd9dnn2ctnfz"
	keyB         = "s989anu6wsjnbanfqasn"
	tenantA      = "huka270"
	tenantB      = "puhu251"
	model        = "daka510000"
	engines      = "huvo11a"
	services     = "wuno96b"
)

var zones = []string{"ub-north", "ub-central", "ub-south"}

// fleet is a small deployment: two entry processes and one worker in each of
// three zones, the platform, model replicas and plain services.
type fleet struct {
	record       *record
	folder       string
	prefix       string // of the loopback addresses, without the last byte
	port         int    // first of the ports that all machines use
	store        *store
	cloud        *cloud
	cloudAddress string
	entries      []*process
	workers      []*process
	engines      []*replica
	services     []*replica
	version      int64 // of the manifest
	cancel       context.CancelFunc
}

// newFleet starts the stand-ins. generate is what the model replicas generate.
func newFleet(r *record, generate output) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)), port: freePort()}
	f.cloudAddress = f.address(200, 60)
	if f.store, err = newStore(f.address(201, 60)); err != nil {
		return nil, err
	}
	f.cloud = &cloud{record: r}
	if err := serve(f.cloudAddress, f.cloud); err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	for i := range 6 {
		zone := zones[i%len(zones)]
		e := &replica{
			record: r, store: f.store, id: fmt.Sprintf("i-e%d", i), service: engines, zone: zone, address: f.address(100+i, 61),
			models: map[string]int64{model: 1}, generate: generate,
		}
		s := &replica{record: r, store: f.store, id: fmt.Sprintf("i-s%d", i), service: services, zone: zone, address: f.address(120+i, 61)}
		f.engines, f.services = append(f.engines, e), append(f.services, s)
		if err := errors.Join(e.start(ctx), s.start(ctx)); err != nil {
			return nil, err
		}
	}
	for i, zone := range zones {
		for n := range entriesPerZone {
			f.entries = append(f.entries, f.newProcess(fmt.Sprintf("edge-%s-%d", zone, n+1), "entry", zone, 10+10*i+n))
		}
		f.workers = append(f.workers, f.newProcess(fmt.Sprintf("storage-%s-1", zone), "worker", zone, 15+10*i))
	}
	return f, nil
}

func (f *fleet) address(machine, port int) string {
	return fmt.Sprintf("%s%d:%d", f.prefix, machine, f.port+port)
}

func (f *fleet) newProcess(name, role, zone string, machine int) *process {
	return &process{name: name, role: role, zone: zone, ip: fmt.Sprintf("%s%d", f.prefix, machine), fleet: f}
}

// freePort returns the first of a range of ports below those that the kernel
// gives to outgoing connections.
func freePort() int {
	for {
		port := 10000 + 100*rand.IntN(200)
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			listener.Close()
			return port
		}
	}
}

// apply writes the next manifest and returns the time of its ack.
func (f *fleet) apply(routes []map[string]any) time.Time {
	f.version += 3
	f.store.put("config", "main", map[string]any{
		"version": f.version, "routes": routes,
		"services": []map[string]any{
			{
				"name": engines, "healthPath": "/healthz", "maxConnections": 160, "protocol": "h1", "tls": false, "coldStartS": 3, "coldPerS": 15,
				"engine": map[string]any{"slots": replicaSlots, "kvCapacity": 55021, "models": []map[string]string{{"name": model}}},
			},
			{"name": services, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0},
		},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": tenantA, "apiKeys": []string{keyA}, "priority": 1},
			{"name": tenantB, "apiKeys": []string{keyB}, "priority": 1},
		},
	})
	f.record.log("manifest %d acknowledged", f.version)
	return time.Now()
}

func plainRoute() map[string]any {
	return map[string]any{
		"name": "r-plain", "host": host, "pathPrefix": plainPrefix, "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150,
		"priority": 2, "service": services, "maxAttempts": 2, "public": false,
	}
}

func rewardRoute() map[string]any {
	return map[string]any{
		"name": "r-reward", "host": host, "pathPrefix": rewardPrefix, "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150,
		"priority": 2, "service": services, "maxAttempts": 4, "public": true,
	}
}

func batchRoute() map[string]any {
	return map[string]any{
		"name": "r-batch", "host": host, "pathPrefix": batchPrefix, "kind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 400,
		"priority": 0, "service": engines, "maxAttempts": 3, "public": false, "resumable": true, "deadlineMs": 7500, "maxQueueS": 40,
	}
}

// start starts all processes and waits until all entry processes are ready.
func (f *fleet) start() error {
	for _, p := range append(append([]*process(nil), f.entries...), f.workers...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, p := range f.entries {
		for !isReady(p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	f.record.log("all entry processes are ready")
	return nil
}

func isReady(p *process) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + p.ready() + "/v1/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// stop ends all processes that the case has started.
func (f *fleet) stop() {
	f.cancel()
	var ended sync.WaitGroup
	for _, p := range append(append([]*process(nil), f.entries...), f.workers...) {
		if p.command == nil {
			continue
		}
		ended.Go(func() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			p.waitEnd(5 * time.Second)
		})
	}
	ended.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder) // a temporary folder
	} else {
		f.record.log("logs are kept in %s", f.folder)
	}
}
