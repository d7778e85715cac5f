package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a process of the project on a machine of its own, which here is a
// loopback address.
type process struct {
	name, role, zone, ip string
	fleet                *fleet

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, p.fleet.port) }
func (p *process) ready() string { return fmt.Sprintf("%s:%d", p.ip, p.fleet.port+1) }

// settings returns the settings file of the process, with the figures of the
// site tsetseg-pin.
func (p *process) settings() map[string]any {
	class, memory, listen := "edge", 284, map[string]string{"front": p.front(), "readiness": p.ready()}
	if p.role == "worker" {
		class, memory, listen = "storage", 314, map[string]string{}
	}
	return map[string]any{
		"nodeName": p.name, "role": p.role, "machineClass": class, "serves": []string{class}, "ip": p.ip, "zone": p.zone,
		"region": "ulaanbaatar", "zones": map[string]string{zones[0]: "ulaanbaatar", zones[1]: "ulaanbaatar", zones[2]: "ulaanbaatar"},
		"listen": listen, "portRange": []int{p.fleet.port + 10, p.fleet.port + 25}, "seeds": []string{}, "bootstrap": true,
		"lossCounts": p.role == "worker",
		"limits":     map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memory, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0},
		"discovery":  "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts": []string{
			"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "tenants", "leader", "places", "platform",
		},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.7, "drainMs": 2000, "graceS": graceS,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "failClosed": false,
			"revokeMs": 5000, "fencingEnforced": false, "leaseMs": leaseMs, "thawMs": 300, "usageWindowS": 5,
			"usageTolerance": 0.05, "usageLateS": 10, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
			"passMs": 120, "retryAfterS": 0, "finishS": 10, "statusTtlS": 120, "cancelMs": 3000, "settleMs": settleMs,
			"quotaOverage": 0.1,
		},
		"platform": map[string]any{
			"address": p.fleet.store.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"maxValueBytes": maxValueBytes, "minTtlMs": 1000,
		},
		"cloud": map[string]any{
			"address": p.fleet.cloudAddress, "ratePerS": 50, "duties": []string{"usage_report", "autoscaler"}, "dutyPerS": 50,
		},
	}
}

// start starts the process with its command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.fleet.folder, p.name+".json")
	text, err := json.MarshalIndent(p.settings(), "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/wigeonpin", p.role)
	command.Env = []string{"WIGEONPIN_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	p.fleet.record.log("started %s (%s), process %d", p.name, p.role, command.Process.Pid)
	go func() {
		err := command.Wait()
		p.fleet.record.log("ended %s, process %d: %v", p.name, command.Process.Pid, err)
		log.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		p.fleet.record.log("signal to %s: %s", p.name, s)
		_ = p.command.Process.Signal(s) // it may have just ended
	}
}

// waitEnd waits until the process has ended.
func (p *process) waitEnd(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}
