// Command stand plays the cases of the second review. It starts the system's entries as processes, with
// stand-ins of the platform, its workers and clients on loopback addresses.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

// maxTime limits how long a case takes.
const maxTime = 115 * time.Second

// stand is a small deployment.
type stand struct {
	record  *record
	store   *storeServer
	fleet   *fleet
	entries []*entry
	trouble bool
	dir     string
}

type playedCase struct {
	options options
	play    func(*stand) int
}

// options describe a deployment.
type options struct {
	entries int
	extra   map[string]any
}

var cases = map[string]playedCase{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(invalid)
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(invalid)
	}
	os.Exit(playCase(c, os.Args[2]))
}

func playCase(c playedCase, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	s := &stand{record: r, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	r.add("disruption: %v", s.trouble)
	s.store = newStoreServer(r)
	if s.fleet, err = newFleet(s.store, r); err != nil {
		r.add("cannot run: %v", err)
		return invalid
	}
	defer s.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxTime):
		}
		r.add("cannot run: interrupted, or longer than %v", maxTime)
		s.end()
		os.Exit(invalid)
	}()
	zones := []string{"bole", "arat-kilo", "piassa"}
	for n := range c.options.entries {
		name := fmt.Sprintf("edge-%s-%d", zones[n%3], 1+n/3)
		addr, err := s.store.serve(name)
		if err != nil {
			r.add("cannot run: %v", err)
			return invalid
		}
		e, err := newEntry(r, dir, name, zones[n%3], addr, s.fleet.addr, c.options.extra)
		if err != nil {
			r.add("cannot run: %v", err)
			return invalid
		}
		s.entries = append(s.entries, e)
	}
	code := c.play(s)
	r.add("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	fmt.Println([...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	return code
}

// end ends all processes.
func (s *stand) end() {
	var all sync.WaitGroup
	for _, e := range s.entries {
		all.Go(e.end)
	}
	all.Wait()
}

// startEntries starts all entries and waits until they are ready.
func (s *stand) startEntries() bool {
	for _, e := range s.entries {
		if err := e.start(); err != nil {
			s.record.add("cannot run: %v", err)
			return false
		}
	}
	for _, e := range s.entries {
		if !ready(e, 20*time.Second) {
			s.record.add("%s is not ready", e.name)
			return false
		}
	}
	return true
}

// ready waits until an entry reports itself ready.
func ready(e *entry, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		c := http.Client{Timeout: time.Second}
		response, err := c.Get("http://" + e.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// route is a queue of the configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"pathPrefix"`
	Service  string  `json:"service"`
	Timeout  int     `json:"timeoutMs"`
	SLO      int     `json:"sloMs"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
	Public   bool    `json:"public,omitempty"`
}

func newRoute(name, host, prefix, service string) route {
	return route{Name: name, Host: host, Prefix: prefix, Service: service, Timeout: 3000, SLO: 600, Attempts: 3, Stretch: 1.6}
}

// configure writes a configuration.
func (s *stand) configure(version int, routes []route, services ...string) {
	list := []any{map[string]any{"name": "standby", "standby": true, "enforcesCapacity": true}}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "enforcesCapacity": true})
	}
	s.store.Put("keyed.op", "config", map[string]any{"version": version, "routes": routes, "services": list})
	s.record.add("operator: configuration %d", version)
}
