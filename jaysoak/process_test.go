package jaysoak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"jaythread/jayaddress"
	"jaythread/platform/jaystub"
)

// process is an entry that runs as a separate process. Signals are sent only to processes
// that the soak test has started.
type process struct {
	name   string
	binary string
	// config is the path of the configuration file.
	config string
	// log is the path of the log file.
	log string
	// caller is the address for callers.
	caller string
	// number is the number of the entry plus one.
	number int
	// store is the proxy between the process and the store, and peers the one in front of the process
	// for the other entries, or nil.
	store, peers *proxy

	mu sync.Mutex
	// cmd is nil while the process does not run.
	cmd *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	// paused says that the process is paused, and resumedAt is when it was last paused or resumed.
	paused    bool
	resumedAt time.Time
}

// stopBound is the time limit of a graceful stop in the settings of the processes.
const stopBound = 3 * time.Second

func newProcess(t *testing.T, dir, binary string, number int, platform *jaystub.Platform, played scenario) *process {
	t.Helper()
	from := everyEntry
	if played.asymmetric() {
		from = number
	}
	store, err := newProxy(platform.StoreAddr, from, false)
	if err != nil {
		t.Fatal(err)
	}
	name, peerAddr := fmt.Sprint("e", number-1), freeAddr(t)
	if played.largeConfiguration {
		store.bandwidth.SetLimit(narrowLink)
	}
	p := &process{
		name: name, number: number, binary: binary, caller: freeAddr(t), store: store,
		config: filepath.Join(dir, name+".jsonc"), log: filepath.Join(dir, name+".log"),
	}
	if played.asymmetric() {
		p.peers = newPeerProxy(peerAddr, number)
	}
	jobService := map[string]any{
		"storeAddr": store.addr(), "inventoryAddr": platform.InventoryAddr, "readyAddr": freeAddr(t), "trustedNetwork": true,
		"processors": 0.4, "moveTime": "200ms", "maintenanceTime": "200ms", "holderTime": "300ms",
		"fencesChecked": !platform.UncheckedFences, "revocationTime": revocationTime.String(), "declarationTime": declarationTime.String(),
	}
	if played.overloaded {
		jobService["overload"] = overloadSettings
	}
	settings := map[string]any{
		"entry": name, "dataCenter": "z", "callerAddr": p.caller, "peerAddr": peerAddr, "logFormat": "json",
		"eventLoops": 1, "stopGrace": "300ms", "stopBound": stopBound.String(), "jobService": jobService,
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// newPeerProxy returns a proxy in front of an entry's peer address that is open while the entry runs.
func newPeerProxy(addr string, number int) *proxy {
	p := newClosedProxy(addr, number, int(netip.MustParseAddrPort(addr).Port()))
	p.translate = true
	return p
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := jayaddress.Free()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// start starts the process unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if p.peers != nil {
		if err := p.peers.open(); err != nil {
			return err
		}
	}
	cmd := exec.Command(p.binary, "serve", "--config", p.config)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.paused = cmd, done, false
	go func() {
		ended := cmd.Wait()
		_ = log.Close()
		if p.peers != nil {
			p.peers.close()
		}
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(done)
		if endedBy(ended, syscall.SIGHUP) {
			// The platform restarts a process that has ended.
			_ = p.start()
		}
	}()
	return nil
}

// endedBy reports whether a process was ended by a signal that it does not handle. A process that has
// just been started does not handle SIGHUP yet.
func endedBy(ended error, s syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(ended, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// signal sends a signal to the process if it is running. It returns a channel that is closed
// when the process has exited.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGSTOP || s == syscall.SIGCONT {
		p.paused, p.resumedAt = s == syscall.SIGSTOP, time.Now()
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
	return p.done
}

// restart stops the process with a signal and starts it again after a pause. A process that
// does not exit in time is killed, and restart returns an error.
func (p *process) restart(s syscall.Signal, pause time.Duration) error {
	late := p.awaitExit(p.signal(s), s)
	time.Sleep(pause)
	if err := p.start(); err != nil {
		return err
	}
	return late
}

// awaitExit waits until the process has exited after a signal. It kills one that does not exit in time,
// and returns an error.
func (p *process) awaitExit(ended <-chan struct{}, s syscall.Signal) error {
	for told := time.Now(); time.Now().Before(p.mustExit(told)); {
		select {
		case <-ended:
			return nil
		case <-time.After(time.Until(p.mustExit(told))):
		}
	}
	<-p.signal(syscall.SIGKILL)
	return fmt.Errorf("%s did not exit in time after signal %s", p.name, s)
}

// mustExit returns until when the process must have exited that was told to at some time. Another
// fault may have paused it meanwhile.
func (p *process) mustExit(told time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused {
		told = time.Now()
	} else if p.resumedAt.After(told) {
		told = p.resumedAt
	}
	return told.Add(stopBound + 2*time.Second)
}

// kill kills the process and closes its proxy.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	if done := p.signal(syscall.SIGKILL); done != nil {
		<-done
	}
	p.store.close()
}
