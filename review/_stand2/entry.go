package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long the platform waits before it restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// entry is a process of the system. It is restarted when it ends.
type entry struct {
	name, caller, ready, config, log string
	record                           *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
}

// entryIP is the loopback address of the entries. It differs between stands that run at the same time, so
// that a free port stays free until its entry listens there.
var entryIP = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/200%200, 1+os.Getpid()%200)

func freeAddr() string {
	listener, err := net.Listen("tcp4", entryIP+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newEntry writes the settings of a process, as the template of the deploy file makes them for the site
// mesob-enrol.
func newEntry(r *record, dir, name, zone, store, inventory string, extra map[string]any) (*entry, error) {
	e := &entry{name: name, caller: freeAddr(), ready: freeAddr(), config: filepath.Join(dir, name+".jsonc"), log: filepath.Join(dir, name+".log"), record: r}
	service := map[string]any{
		"storeAddr": store, "inventoryAddr": inventory, "advisorAddr": "", "readyAddr": e.ready, "metricsAddr": freeAddr(), "trustedNetwork": true,
		"processors": 0.4, "linkMegabits": 1000, "memoryMegabytes": 284, "storeReadRate": 2000, "inventoryCommandRate": 64,
		"maxLease": "10000ms", "stopTime": "200ms", "gangTime": "3000ms", "farFactor": 1.5, "moveTime": "1.5s", "maintenanceTime": "2s",
		"holderTime": "3000ms", "fencesChecked": true, "noticeTime": "4500ms", "declarationTime": "2000ms",
		"overload": map[string]any{"workerSpeeds": true, "copyShare": 0.05, "rejectHopeless": true}, "retainEnded": "120s",
	}
	for key, value := range extra {
		service[key] = value
	}
	settings := map[string]any{
		"entry": name, "dataCenter": zone, "callerAddr": e.caller, "peerAddr": freeAddr(), "logFormat": "json", "eventLoops": 1,
		"maxRequestBytes": 262144, "maxCallerConns": 1500, "callerIdle": "15s", "stopGrace": "2200ms", "stopBound": "5400ms", "jobService": service,
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.config, text, 0o600)
}

func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/jaythread", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "JAYTHREAD_SETTINGS=" + e.config}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	e.cmd, e.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		e.mu.Lock()
		e.cmd = nil
		stopped := e.stopped
		e.mu.Unlock()
		close(done)
		e.record.add("process %s has ended: %v", e.name, cmd.ProcessState)
		if !stopped {
			time.Sleep(restartDelay)
			_ = e.start()
		}
	}(e.done)
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		e.record.add("signal %v to %s", s, e.name)
		_ = e.cmd.Process.Signal(s)
	}
}

// end kills the process and does not restart it.
func (e *entry) end() {
	e.mu.Lock()
	e.stopped = true
	done := e.done
	if e.cmd != nil {
		_ = e.cmd.Process.Kill()
	}
	e.mu.Unlock()
	if done != nil {
		<-done
	}
}
