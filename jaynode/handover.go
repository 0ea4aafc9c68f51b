package jaynode

import (
	"errors"
	"slices"
	"time"

	"jaythread/jayowner"
	"jaythread/jayport"
)

const (
	// handOverTime bounds how long an entry that stops tries to hand its duties
	// over; callers are served meanwhile.
	handOverTime = 1800 * time.Millisecond
	// handOverAppends is how many appends of a slow store one try waits for.
	handOverAppends = 3
	// readyWait is how long the candidates have to say that they can take duties
	// over. An entry answers within some milliseconds.
	readyWait = 150 * time.Millisecond
)

// handOver claims this entry's duties for others, which begin at once.
//
// What goes wrong without it: entries are restarted in turn while the store is slow;
// each duty that is given up waits for a claim, whose candidates wait for one another
// by their rank, the first of which may be stopping too. A pool in its rush was
// without owner for 1.6 s after this entry had ended, of 4.3 s from the signal on.
// Naming the next owner takes one append.
//
// If no other entry is ready the duties are given up, and claimed by whoever comes.
func (o *owners) handOver() {
	until := o.node.clock() + handOverTime
	for o.node.clock() < until {
		view := o.table.Load()
		if view == nil {
			return
		}
		records := o.handOverRecords(view)
		if len(records) == 0 {
			return
		}
		_, err := o.node.store.Append(jayport.Append{
			Partition: o.node.ports.Formats.Own(topicOwners, 0),
			Records:   records,
			AsOf:      view.next,
		}, max(storeTimeout, handOverAppends*o.node.store.Latency()))
		var stale *jayport.StaleError
		if err == nil {
			return
		}
		if !errors.As(err, &stale) {
			o.logger.Info("duties not handed over yet", "error", err.Error())
		}
		// A claim of another entry came between, or the answer was lost; the claims
		// tell.
		time.Sleep(claimPause)
	}
}

// handOverRecords are the claims for the next owners of this entry's duties.
func (o *owners) handOverRecords(view *ownerView) []jayport.Record {
	var own []jayowner.Claim
	var duties []jayowner.Duty
	others := held(view)
	for _, c := range view.Claims() {
		if c.Incarnation == o.node.incarnation && !c.Released {
			own = append(own, c)
			duties = append(duties, c.Duty)
		}
	}
	if len(own) == 0 {
		return nil
	}
	delete(others, o.node.incarnation)
	ready := o.ready(o.candidates(o.node.clock()))
	rankings := jayowner.Rankings(duties, others, ready)
	var records []jayport.Record
	for _, c := range own {
		records = append(records, o.nextClaim(c, rankings[c.Duty]).Record())
	}
	return records
}

// nextClaim is the claim for the first of the ranked candidates, or a release.
func (o *owners) nextClaim(present jayowner.Claim, ranked []string) jayowner.Claim {
	if len(ranked) == 0 {
		present.Released = true
		return present
	}
	next := jayowner.Claim{Duty: present.Duty, Term: present.Term + 1, Incarnation: ranked[0]}
	for _, e := range o.node.entries.all() {
		if e.Incarnation == next.Incarnation {
			next.Entry, next.PeerAddr = entryOf(e.Incarnation), e.PeerAddr
		}
	}
	o.logger.Info("handing over", "duty", string(present.Duty), "to", next.Incarnation)
	return next
}

// othersReady returns the candidates but this entry that answer and do not stop.
func (o *owners) othersReady(candidates []jayowner.Candidate) []jayowner.Candidate {
	answers := make(chan string, len(candidates))
	asked := 0
	for _, c := range candidates {
		if c.Incarnation == o.node.incarnation {
			continue
		}
		asked++
		go func() {
			response, err := o.node.liveness.link.Ask(c.Incarnation, o.node.entries.addrOf(c.Incarnation), newPing())
			if err != nil || response.GetPong().GetStopping() {
				answers <- ""
				return
			}
			answers <- c.Incarnation
		}()
	}
	timer := time.NewTimer(readyWait)
	defer timer.Stop()
	var ready []string
	for range asked {
		select {
		case incarnation := <-answers:
			ready = append(ready, incarnation)
		case <-timer.C:
			return among(candidates, ready)
		}
	}
	return among(candidates, ready)
}

// among returns the candidates that are named.
func among(candidates []jayowner.Candidate, named []string) []jayowner.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c jayowner.Candidate) bool {
		return !slices.Contains(named, c.Incarnation)
	})
}
