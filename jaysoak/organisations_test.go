package jaysoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"jaythread/platform/jaystub"
)

const (
	// soakQuota is the quota of each organisation as a number of tasks, which its jobs reach.
	soakQuota = 5
	// revocationTime and declarationTime are in the settings of the processes.
	revocationTime  = 3 * time.Second
	declarationTime = 3 * time.Second
)

// organisationNames are the organisations with a quota.
var organisationNames = []string{"acme", "zeta"}

// unlimitedOrganisation has no quota, so that its jobs can use all workers.
const unlimitedOrganisation = "mira"

// organisations are the organisations of a scenario with the history of their keys.
type organisations struct {
	// configuring is held while a configuration is changed and written.
	configuring sync.Mutex
	declared    []jaystub.Organisation
	changes     int

	mu sync.Mutex
	// keys are the keys that callers use: those that the store has acknowledged.
	keys []string
	// revoked holds the removed keys with the time at which the store had acknowledged the
	// removal.
	revoked map[string]time.Time
}

var lastVersion struct {
	sync.Mutex
	version int
}

// nextVersion returns a version that is higher than all before.
func nextVersion() int {
	lastVersion.Lock()
	defer lastVersion.Unlock()
	lastVersion.version = max(lastVersion.version+1, int(time.Now().UnixMilli()))
	return lastVersion.version
}

// declare declares the organisations for the first time.
func (o *organisations) declare(s *soak) {
	o.revoked = map[string]time.Time{}
	for n, name := range s.scenario.organisations() {
		key := fmt.Sprint("key-", n, "-0")
		quota := quotaOf(soakQuota)
		if name == unlimitedOrganisation {
			quota = map[string]int64{}
		}
		o.keys = append(o.keys, key)
		o.declared = append(o.declared, jaystub.Organisation{Name: name, APIKeys: []string{key}, Weight: 1, MaxCount: quota})
	}
	s.platform.Organisations = o.declared
}

func quotaOf(tasks int) map[string]int64 {
	return map[string]int64{"cpu": int64(tasks) * 1000}
}

func (o *organisations) setQuota(s *soak, organisation, quota int) {
	o.configuring.Lock()
	defer o.configuring.Unlock()
	o.declared[organisation].MaxCount = quotaOf(quota)
	s.write(nextVersion())
}

// quotaFault lowers a quota for some time. Meanwhile an entry is lost and a worker does not
// answer, so that the next owner does not know what runs there.
func (s *soak) quotaFault(p *process, machine string, organisation, quota int, pause time.Duration) {
	var faults sync.WaitGroup
	faults.Go(func() { s.workerFault(machine, linkSilent, 2*time.Second+pause) })
	faults.Go(func() { s.checkError(p.restart(syscall.SIGKILL, pause)) })
	time.Sleep(pause)
	s.organisations.setQuota(s, organisation, quota)
	faults.Wait()
	s.organisations.setQuota(s, organisation, soakQuota)
}

// replaceKey declares another key of an organisation in place of the present one.
func (o *organisations) replaceKey(s *soak, organisation int) {
	o.configuring.Lock()
	defer o.configuring.Unlock()
	o.changes++
	key := fmt.Sprint("key-", organisation, "-", o.changes)
	o.declared[organisation].APIKeys = []string{key}
	s.write(nextVersion())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revoked[o.keys[organisation]] = time.Now()
	o.keys[organisation] = key
}

// replaceKeyBehind replaces a key while an entry is suspended, longer than the key may still be
// accepted, and asks the entry with the removed key when it resumes: it knows the key only.
func (s *soak) replaceKeyBehind(p *process, organisation int, pause time.Duration) {
	former := s.organisations.key(organisation)
	p.signal(syscall.SIGSTOP)
	s.organisations.replaceKey(s, organisation)
	time.Sleep(revocationTime + pause/10)
	var calls sync.WaitGroup
	calls.Go(func() {
		status := newCallers(s).callWith(former, p, http.MethodGet, "/seats/", nil).status
		if status == http.StatusOK {
			s.fail("key", fmt.Sprintf("%s accepts the key %q, removed %v ago", p.name, former, s.organisations.revokedFor(former)))
		}
	})
	time.Sleep(pause / 10)
	p.signal(syscall.SIGCONT)
	calls.Wait()
}

// key returns the key of an organisation, or nothing in a scenario without organisations.
func (o *organisations) key(organisation int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.keys) == 0 {
		return ""
	}
	return o.keys[organisation]
}

// revokedFor returns how long ago a key was removed, or zero. It waits for a change that is
// being written, which an entry may know already.
func (o *organisations) revokedFor(key string) time.Duration {
	o.configuring.Lock()
	defer o.configuring.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	at, revoked := o.revoked[key]
	if !revoked {
		return 0
	}
	return time.Since(at)
}

// revokedKey returns a key that was removed longer ago than the revocation time, or nothing.
func (o *organisations) revokedKey() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, at := range o.revoked {
		if time.Since(at) > revocationTime {
			return key
		}
	}
	return ""
}

// probe asks for a job in ways that must not succeed: with the key of another organisation,
// with an unknown key and with one that was removed. No answer and status 503 are allowed.
func (c *callers) probe(j *job, r *rand.Rand) {
	o := &c.soak.organisations
	probes := map[string]int{
		o.key((j.organisation + 1) % len(c.soak.scenario.organisations())): http.StatusGone,
		"unknown-key": http.StatusUnauthorized,
	}
	if revoked := o.revokedKey(); revoked != "" {
		probes[revoked] = http.StatusUnauthorized
	}
	for key, want := range probes {
		p := c.soak.anyEntry(r)
		status := c.callWith(key, p, http.MethodGet, j.path, nil).status
		replaced := status == http.StatusUnauthorized && o.revokedFor(key) > 0
		if status != 0 && status != http.StatusServiceUnavailable && status != want && !replaced {
			c.soak.fail("key", fmt.Sprintf("%s answers %d for %s to the key %q, removed %v ago", p.name, status, j.id, key, o.revokedFor(key)))
		}
	}
}
