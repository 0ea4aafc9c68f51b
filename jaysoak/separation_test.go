package jaysoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// separation is a series of faults that separates an entry from the store, its peers and some workers,
// each for itself. Its values are drawn before it begins.
type separation struct {
	// pool is the pool whose present owner is the entry.
	pool string
	// machines has a bit for each machine that the entry does not reach. If crossed is true, the other
	// entries do not reach the other machines.
	machines uint
	crossed  bool
	// delay is the delay of each chunk between the entry and the store.
	delay time.Duration
	// link is the fault of its links to workers and peers, and storeLink that of the one to the store. If
	// deaf is true, the peers reach the entry, and it does not reach them.
	link, storeLink linkFault
	deaf            bool
	// workersAt, peersAt and storeAt are when the links to the workers, the peers and the store fail, and
	// length is when all are healthy again.
	workersAt, peersAt, storeAt, length time.Duration
	// pause is how long a process is paused, and again a random number from 0 to 1 for a further fault.
	pause time.Duration
	again float64
}

func randomSeparation(r *rand.Rand) separation {
	millis := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	anyCut := func() linkFault {
		return []linkFault{linkSilent, linkSilent, linkSilent, linkOneWay, linkStalled}[r.IntN(5)]
	}
	a := separation{
		pool: []string{"seats", "fees"}[r.IntN(2)], machines: uint(r.Uint64()), crossed: r.IntN(4) > 0, delay: millis(150, 400),
		link: anyCut(), storeLink: anyCut(), deaf: r.IntN(6) == 0,
		workersAt: millis(0, 1500), pause: millis(700, 3000), again: r.Float64(),
	}
	a.peersAt = a.workersAt + millis(2500, 4100)
	a.storeAt = a.peersAt + millis(400, 1200)
	a.length = a.workersAt + millis(5000, 7500)
	return a
}

// at waits until some time after a beginning, and applies a change.
func (s *soak) at(began time.Time, after time.Duration, change func()) {
	s.faults.Go(func() {
		time.Sleep(time.Until(began.Add(after)))
		change()
	})
}

// split separates the owner of a pool from the store, its peers and some workers, one after the other.
func (s *soak) split(a separation) {
	owner, began := s.owner(a.pool), time.Now()
	s.logf("split %s, owner of %s", owner.name, a.pool)
	owner.store.delay.Store(int64(a.delay))
	s.faults.Go(func() {
		owner.store.faultFor(everyEntry, linkSlow, min(a.storeAt, a.length))
		owner.store.faultFor(everyEntry, a.storeLink, max(a.length-a.storeAt, 0))
	})
	s.at(began, a.workersAt, func() { s.cutFromWorkers(owner, a, a.length-a.workersAt) })
	if a.peersAt < a.length {
		s.at(began, a.peersAt, func() { s.cutFromPeers(owner, a, a.length-a.peersAt) })
	}
	time.Sleep(a.length)
	owner.store.delay.Store(int64(slowDelay))
}

// cutFromWorkers cuts an entry from some workers, and perhaps the others from the rest.
func (s *soak) cutFromWorkers(p *process, a separation, length time.Duration) {
	for n := range soakMachines {
		link := s.workerProxies.get(fmt.Sprint("m", n))
		if a.machines>>n&1 == 1 {
			s.faults.Go(func() { link.faultFor(p.number, a.link, length) })
			continue
		}
		for _, other := range s.entries {
			if a.crossed && other != p {
				s.faults.Go(func() { link.faultFor(other.number, a.link, length) })
			}
		}
	}
}

// cutFromPeers cuts an entry from its peers, in one direction of calls or both.
func (s *soak) cutFromPeers(p *process, a separation, length time.Duration) {
	for _, other := range s.entries {
		if other == p {
			continue
		}
		s.faults.Go(func() { other.peers.faultFor(p.number, a.link, length) })
		if !a.deaf {
			s.faults.Go(func() { p.peers.faultFor(other.number, a.link, length) })
		}
	}
}

// joinBehind starts workers anew, or under the IDs that they had, while the owner of their pool is paused
// and then cut off from everything but them. The other entries do not reach them meanwhile.
func (s *soak) joinBehind(a separation) {
	owner := s.owner(a.pool)
	s.logf("join behind %s, owner of %s", owner.name, a.pool)
	length := a.pause + a.length/2
	s.faults.Go(func() { owner.store.faultFor(everyEntry, a.storeLink, length) })
	a.machines, a.deaf = a.machines&^3, false
	s.cutFromPeers(owner, a, length)
	owner.signal(syscall.SIGSTOP)
	for _, n := range []uint{0, 1} {
		name := fmt.Sprint("m", n+2*(a.machines>>2&3))
		for _, other := range s.entries {
			if other != owner {
				s.faults.Go(func() { s.workerProxies.get(name).faultFor(other.number, a.link, length) })
			}
		}
		if a.crossed {
			s.platform.Crash(name, a.pause/2)
		} else {
			s.platform.Restart(s.platform.Machine(name))
		}
	}
	time.Sleep(a.pause)
	owner.signal(syscall.SIGCONT)
	time.Sleep(a.length / 2)
}

// rotateOwners takes the pool from its present owner several times, about once a second.
func (s *soak) rotateOwners(a separation) {
	for round := range 2 + a.machines%4 {
		owner := s.owner(a.pool)
		s.logf("rotate %s, owner of %s", owner.name, a.pool)
		switch (a.machines >> (2 * round)) % 4 {
		case 0:
			s.faults.Go(func() { s.checkError(owner.restart(syscall.SIGKILL, a.pause)) })
		case 1:
			s.faults.Go(func() { s.checkError(owner.restart(syscall.SIGTERM, a.pause)) })
		case 2:
			owner.signal(syscall.SIGSTOP)
			s.at(time.Now(), a.pause, func() { owner.signal(syscall.SIGCONT) })
		case 3:
			s.cutFromPeers(owner, a, a.pause)
			s.faults.Go(func() { owner.store.faultFor(everyEntry, a.storeLink, a.pause) })
		}
		time.Sleep(time.Duration((0.7 + a.again) * float64(time.Second)))
	}
}

// stopWhileStarting stops an entry gracefully soon after it has started.
func (s *soak) stopWhileStarting(p *process, a separation) {
	s.checkError(p.restart(syscall.SIGTERM, a.pause/4))
	time.Sleep(time.Duration(a.again * float64(a.pause)))
	s.checkError(p.restart(syscall.SIGTERM, a.pause/4))
}

// owner returns the present owner of a pool, as the entries' logs name it, or the first entry.
func (s *soak) owner(pool string) *process {
	owner, highest := s.entries[0], 0
	for _, p := range s.entries {
		text, err := os.ReadFile(p.log)
		s.checkError(err)
		lines := strings.Split(string(text), "\n")
		slices.Reverse(lines)
		latest := slices.IndexFunc(lines, func(line string) bool {
			return strings.Contains(line, `"duty claimed"`) && strings.Contains(line, `"duty":"pool/`+pool+`"`)
		})
		if latest < 0 {
			continue
		}
		var claim struct {
			Owner string
			Fence int
		}
		if err := json.Unmarshal([]byte(lines[latest]), &claim); err != nil || claim.Fence <= highest {
			continue
		}
		name, _, _ := strings.Cut(claim.Owner, "-")
		if n := slices.IndexFunc(s.entries, func(e *process) bool { return e.name == name }); n >= 0 {
			owner, highest = s.entries[n], claim.Fence
		}
	}
	return owner
}
