package jaymember

import (
	"context"
	"errors"
	"slices"
	"time"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jayport"
	"jaythread/jaywire"
)

const (
	// claimInterval is the time between two checks for vacant duties.
	claimInterval = 50 * time.Millisecond
	// rankDelay is the least time that a candidate waits for each candidate that ranks
	// before it. An append and its way to all readers take part of that time.
	rankDelay = 150 * time.Millisecond
	// rankLatencies is the same delay as a multiple of the store's append latency; the
	// larger of the two applies. A slow store processes the appends to a partition one by
	// one, including those that it rejects.
	rankLatencies = 3
	// claimTimeout limits the duration of the append of a claim. A slow store takes
	// several hundred milliseconds.
	claimTimeout = 1500 * time.Millisecond
	// rankedCandidates is the number of candidates that a candidate waits for in the order of
	// their rank. If so many have not claimed a duty, most may have been lost.
	rankedCandidates = 3
	// orderedCandidates is the number of candidates that claim in the order of their rank. Those that do not
	// rank among the first rankedCandidates claim like an entry without a rank if that is sooner.
	orderedCandidates = 10
	// strongerFactor is the ratio of the capacities of two entries above which one counts as weak.
	strongerFactor = 2
	// stoppingOwnerDelay is the additional delay before a weak entry claims a duty that a stopping owner still
	// performs. It is shorter than the time that an entry takes to stop while it has callers.
	stoppingOwnerDelay = 3500 * time.Millisecond
	// firstClaimDelay is the time after this entry's start before it claims any vacant
	// duty, so that it has read the claims and announcements of others.
	firstClaimDelay = 900 * time.Millisecond
	// acquaintanceTime is the time after this entry's start in which it does not rely on
	// knowing the others: those that were started together with it announce themselves in
	// that time.
	acquaintanceTime = 4 * time.Second
	// ownShareDelay is the time after this entry's start before it claims its own share
	// of the duties. The claims and the entries must have been read by then.
	ownShareDelay = 100 * time.Millisecond
)

// claim claims vacant duties until the context ends. Once this entry is leaving, it releases those
// that it owns: a release may have failed, and a claim may have been under way.
func (o *Owners) claim(ctx context.Context) {
	jayclock.Sleep(ctx, ownShareDelay)
	for ctx.Err() == nil {
		if o.members.Stopping() {
			o.releaseOwned(ctx)
		} else {
			o.claimVacant(ctx)
		}
		jayclock.Sleep(ctx, claimInterval)
	}
}

// claimVacant claims the vacant duties that this entry should claim now.
func (o *Owners) claimVacant(ctx context.Context) {
	view := o.table.Load()
	if view == nil {
		return
	}
	now := o.members.Clock()
	vacant := o.vacant(view, now)
	if len(vacant) == 0 {
		return
	}
	records, ranked := o.dueClaims(view, vacant, now)
	if len(records) == 0 {
		return
	}
	if ranked || o.upToDate(view) {
		o.append(view, records...)
	}
	o.awaitRead(ctx, view.next)
}

// upToDate reports whether the store has no claims that the view lacks. Without this check, the
// many candidates that claim without regard to each other would occupy the store with appends
// that it rejects.
func (o *Owners) upToDate(view *View) bool {
	page, err := o.members.Store.Read(o.members.Formats.Own(topicOwners, 0), view.next, 0, claimTimeout)
	return err == nil && page.End == view.next
}

// append appends claims unless another claim was appended since the view was read. A
// claim whose answer is lost is read from the store like any other.
func (o *Owners) append(view *View, claims ...jayport.Record) {
	_, err := o.members.Store.Append(jayport.Append{
		Partition: o.members.Formats.Own(topicOwners, 0),
		Records:   claims,
		AsOf:      view.next,
	}, claimTimeout)
	var stale *jayport.StaleError
	if err != nil && !errors.As(err, &stale) {
		o.logger.Info("claim failed", "error", err.Error())
	}
}

// dueClaims returns the claims that this entry should make now. ranked reports whether it is
// among the first candidates for all of them, so that few others claim them now.
func (o *Owners) dueClaims(view *View, vacant []jayowner.Duty, now time.Duration) (records []jayport.Record, ranked bool) {
	if !o.firstClaimDelayPassed(now) {
		return o.ownShare(view, vacant, now), true
	}
	ranked = true
	counts := dutyCounts(view)
	rankings := jayowner.Rankings(vacant, counts, o.candidates(now), orderedCandidates)
	owned := counts[o.members.Incarnation]
	for _, d := range vacant {
		rank := slices.Index(rankings[d], o.members.Incarnation)
		at := o.claimAt(view, d, rank, owned)
		if o.servedByStronger(view, d, now) {
			at += stoppingOwnerDelay
		}
		if now < at {
			continue
		}
		records = append(records, o.claimRecord(view, d, rank, now))
		ranked = ranked && rank >= 0 && rank < rankedCandidates && o.knowsOthers(view, d)
		owned++
	}
	return records, ranked
}

// servedByStronger reports whether a stopping owner with more than strongerFactor times the capacity of this
// entry still performs a duty that it has released. Tasks go on, so the duty can wait for a strong entry.
func (o *Owners) servedByStronger(view *View, d jayowner.Duty, now time.Duration) bool {
	former, claimed := view.Claim(d)
	if !claimed || !former.Released || o.members.Liveness.PresumedEnded(former.Incarnation, now) {
		return false
	}
	e, known := o.members.Entries.Named(EntryOf(former.Incarnation))
	return known && e.Incarnation == former.Incarnation && capacityOf(e) > strongerFactor*o.members.capacity()
}

// knowsOthers reports whether this entry can rank itself for a vacant duty. A duty that never had
// an owner belongs to a first start, when an entry knows too few others.
func (o *Owners) knowsOthers(view *View, d jayowner.Duty) bool {
	_, claimed := view.Claim(d)
	return claimed || o.vacantSince[d] >= o.members.StartedAt+acquaintanceTime
}

// claimAt returns when this entry should claim a vacant duty: in the order of the ranks if it is
// one of the candidates that rank first, and without regard to the others if it is not, which
// has the rank -1, or if it does not know them. A rank does not delay a claim.
func (o *Owners) claimAt(view *View, d jayowner.Duty, rank, owned int) time.Duration {
	delay := max(rankDelay, rankLatencies*o.members.Store.Latency())
	// On a slow store a claim takes longer to reach the others.
	alone := jayowner.ClaimDelay(d, o.members.Incarnation, o.members.capacity(), owned) * (delay / rankDelay)
	since := o.vacantSince[d]
	if !o.knowsOthers(view, d) {
		return max(since, o.members.StartedAt+firstClaimDelay) + alone
	}
	unranked := since + rankedCandidates*delay + alone
	if rank >= 0 {
		return min(since+time.Duration(rank)*delay, unranked)
	}
	return unranked
}

// claimRecord returns the record that claims a duty.
func (o *Owners) claimRecord(view *View, d jayowner.Duty, rank int, now time.Duration) jayport.Record {
	former, _ := view.Claim(d)
	o.logger.Info("claiming", "duty", string(d), "rank", rank, "former", former.Incarnation, "vacantFor", (now - o.vacantSince[d]).String())
	return jayowner.Claim{
		Duty:        d,
		Term:        former.Term + 1,
		Incarnation: o.members.Incarnation,
		Entry:       o.members.Entry,
		PeerAddr:    o.members.PeerAddr,

		PlacementsSince: placementsSince(former),
	}.Record()
}

// placementsSince returns the first term from which on all owners of a duty record placements, this entry
// included, after the newest claim, if there is one.
func placementsSince(former jayowner.Claim) int64 {
	if former.PlacementsSince > 0 {
		return former.PlacementsSince
	}
	return former.Term + 1
}

// firstClaimDelayPassed reports whether firstClaimDelay has passed.
func (o *Owners) firstClaimDelayPassed(now time.Duration) bool {
	return now-o.members.StartedAt >= firstClaimDelay
}

// ownShare returns the claims of the vacant duties that are assigned to this entry among
// all entry names that were ever announced. After the loss of all entries it is not known
// which ones are running again, but all entries know the names. So each entry claims
// different duties, and no pool waits until firstClaimDelay has passed.
func (o *Owners) ownShare(view *View, vacant []jayowner.Duty, now time.Duration) []jayport.Record {
	var candidates []jayowner.Candidate
	for name, e := range o.members.Entries.Names() {
		candidates = append(candidates, jayowner.Candidate{Incarnation: name, Capacity: capacityOf(e)})
	}
	share := jayowner.Share(o.members.Duties(), candidates, o.members.Entry)
	var records []jayport.Record
	for _, d := range vacant {
		// A duty that never had an owner belongs to a first start, when no names are
		// known either.
		if _, owned := view.Claim(d); owned && slices.Contains(share, d) {
			records = append(records, o.claimRecord(view, d, 0, now))
		}
	}
	return records
}

// awaitRead waits until the claims have been read past an offset, for a short time at
// most.
func (o *Owners) awaitRead(ctx context.Context, offset int64) {
	const polls, pause = 20, 10 * time.Millisecond
	for range polls {
		if o.table.Load().next > offset {
			return
		}
		jayclock.Sleep(ctx, pause)
	}
}

// vacant returns the duties without an active owner and records since when they have been
// vacant.
func (o *Owners) vacant(view *View, now time.Duration) []jayowner.Duty {
	var vacant []jayowner.Duty
	for _, d := range o.members.Duties() {
		c, claimed := view.Claim(d)
		ended := o.members.Liveness.presumedEndedWithin(c.Incarnation, o.timeoutFactorOf(d, now), now) || o.endedHere(c)
		if claimed && !c.Released && !ended {
			delete(o.vacantSince, d)
			continue
		}
		if _, seen := o.vacantSince[d]; !seen {
			o.vacantSince[d] = now
		}
		vacant = append(vacant, d)
	}
	return vacant
}

// endedHere reports whether a claim is one of this entry, which has ended the duty by itself.
func (o *Owners) endedHere(c jayowner.Claim) bool {
	return c.Incarnation == o.members.Incarnation && o.members.Ended != nil && o.members.Ended(c)
}

// dutyCounts returns the number of duties of each owner.
func dutyCounts(view *View) map[string]int {
	counts := map[string]int{}
	for _, c := range view.Claims() {
		if !c.Released {
			counts[c.Incarnation]++
		}
	}
	return counts
}

// candidates returns the entries that are not known to be stopping or presumed to have ended.
func (o *Owners) candidates(now time.Duration) []jayowner.Candidate {
	candidates := []jayowner.Candidate{{Incarnation: o.members.Incarnation, Capacity: o.members.capacity(), Started: o.members.Started.UnixMilli()}}
	for _, e := range o.members.Entries.All() {
		if e.Incarnation != o.members.Incarnation && o.members.Liveness.isCandidate(e.Incarnation, now) {
			candidates = append(candidates, jayowner.Candidate{Incarnation: e.Incarnation, Capacity: capacityOf(e), Started: e.StartedUnixMillis})
		}
	}
	return candidates
}

// capacityOf returns the capacity for duties that an entry has announced.
func capacityOf(e *jaywire.EntryRecord) int64 {
	return jayowner.Capacity(e.ProcessorsMilli, e.LinkMegabits)
}

// releaseOwned releases the duties that this entry still owns, and waits for a newer view before
// the next attempt.
func (o *Owners) releaseOwned(ctx context.Context) {
	if view := o.table.Load(); view != nil && o.release(view) {
		o.awaitRead(ctx, view.next)
	}
}

// Release releases this entry's duties, so that other entries claim them at once. Once the entry is
// leaving, a release that fails is repeated until the membership ends.
func (o *Owners) Release() {
	if view := o.table.Load(); view != nil {
		o.release(view)
	}
}

// release releases the duties that this entry owns in a view. It reports whether there are any.
func (o *Owners) release(view *View) bool {
	var records []jayport.Record
	for _, c := range view.Claims() {
		if c.Incarnation == o.members.Incarnation && !c.Released {
			c.Released = true
			records = append(records, c.Record())
		}
	}
	if len(records) == 0 {
		return false
	}
	_, err := o.members.Store.Append(jayport.Append{
		Partition: o.members.Formats.Own(topicOwners, 0),
		Records:   records,
		AsOf:      view.next,
	}, jayport.CallTimeout)
	if err != nil {
		o.logger.Info("duties not released", "error", err.Error())
	}
	return true
}
