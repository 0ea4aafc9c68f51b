package jaynode

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"jaythread/jayowner"
	"jaythread/jaywire"
)

const (
	// witnessPeers is the number of peers that are asked at once to become a witness.
	witnessPeers = 3
	// collectTimeout limits how long a new owner waits for the witnesses. A running entry
	// answers within some tens of milliseconds.
	collectTimeout = 350 * time.Millisecond
)

// witness makes an entry the witness of a job that the owner of a pool shows as done before that is
// recorded, and reports whether there is one: this entry itself, or else another one.
func (n *Node) witness(c jayowner.Claim, pool, id string, fence int64) bool {
	owns := c.Incarnation == n.incarnation
	if !owns && slices.Contains(n.witnessNames(pool), n.settings.Entry) {
		kept := n.witnesses.Keep(pool, id, fence)
		n.logger.Info("witness of an unrecorded end", "pool", pool, "job", id, "fence", fence, "owner", c.Incarnation, "witness", n.incarnation, "kept", kept)
		return kept
	}
	if !n.placeWitness(c, pool, id, fence) {
		n.logger.Info("no witness of an unrecorded end", "pool", pool, "job", id, "fence", fence, "owner", c.Incarnation)
		return false
	}
	if duty := n.ownedPool(pool); owns && duty != nil {
		duty.post(func(time.Duration) { duty.pool.Witnessed(id) })
	}
	return true
}

// witnessNames returns the names of the entries that may be witnesses of a pool's jobs.
func (n *Node) witnessNames(pool string) []string {
	return n.witnessChoices.Of(pool, n.members.Entries.Version(), func() []string {
		entries := n.members.Entries.Names()
		entries[n.settings.Entry] = nil // also before its announcement
		return slices.Collect(maps.Keys(entries))
	})
}

// witnessesOf returns the entries other than this one that may be witnesses of a pool's jobs and are
// not presumed to have ended.
func (n *Node) witnessesOf(pool string) []*jaywire.EntryRecord {
	var peers []*jaywire.EntryRecord
	for _, name := range n.witnessNames(pool) {
		e, known := n.members.Entries.Named(name)
		if known && name != n.settings.Entry && !n.members.Liveness.PresumedEnded(e.Incarnation, n.clock()) {
			peers = append(peers, e)
		}
	}
	return peers
}

// placeWitness asks peers other than the owner to become the witness of a job, and reports whether
// one has.
func (n *Node) placeWitness(owner jayowner.Claim, pool, job string, fence int64) bool {
	peers := slices.DeleteFunc(n.witnessesOf(pool), func(e *jaywire.EntryRecord) bool { return e.Incarnation == owner.Incarnation })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), witnessPeers)]
	type outcome struct {
		witness string
		kept    bool
	}
	kept := make(chan outcome, len(peers))
	for _, e := range peers {
		go func() {
			body := &jaywire.WitnessJob{Pool: pool, Job: job, Fence: fence}
			response, err := n.peers.Ask(e.Incarnation, e.PeerAddr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_WitnessJob{WitnessJob: body}})
			kept <- outcome{e.Incarnation, err == nil && response.GetJobWitnessed().GetKept()}
		}()
	}
	for range peers {
		if o := <-kept; o.kept {
			n.logger.Info("witness of an unrecorded end", "pool", pool, "job", job, "fence", fence, "owner", owner.Incarnation, "witness", o.witness, "kept", true)
			return true
		}
	}
	return false
}

// collectWitnessed asks the witnesses of a pool for the jobs that its former owners have shown as
// done. Entries that do not answer in time are passed over.
func (n *Node) collectWitnessed(pool string, fence int64) map[string]bool {
	peers := n.witnessesOf(pool)
	type answer struct {
		witness string
		jobs    []string
		err     error
	}
	answers := make(chan answer, len(peers)+1)
	answers <- answer{witness: n.incarnation, jobs: n.witnesses.Collect(pool, fence)}
	began, asked, failed, unanswered := n.clock(), []string{}, []string{}, map[string]bool{}
	for _, e := range peers {
		asked = append(asked, e.Incarnation)
		unanswered[e.Incarnation] = true
		go func() {
			body := &jaywire.AskWitnessed{Pool: pool, Fence: fence}
			response, err := n.peers.Ask(e.Incarnation, e.PeerAddr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskWitnessed{AskWitnessed: body}})
			answers <- answer{e.Incarnation, response.GetWitnessedJobs().GetJobs(), err}
		}()
	}
	shown := map[string]bool{}
	defer func() {
		n.logger.Info("witnesses asked", "pool", pool, "fence", fence, "entries", n.members.Entries.Count(),
			"chosen", n.witnessNames(pool), "asked", asked, "failed", failed, "unanswered", slices.Sorted(maps.Keys(unanswered)),
			"jobs", len(shown), "took", (n.clock() - began).String())
	}()
	timer := time.NewTimer(collectTimeout)
	defer timer.Stop()
	for range len(peers) + 1 {
		select {
		case a := <-answers:
			delete(unanswered, a.witness)
			if a.err != nil {
				failed = append(failed, a.witness)
			}
			for _, job := range a.jobs {
				shown[job] = true
			}
		case <-timer.C:
			return shown
		}
	}
	return shown
}
