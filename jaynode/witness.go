package jaynode

import (
	"time"

	"jaythread/jayowner"
	"jaythread/jaywire"
)

const (
	// witnessPeers is the number of peers that an owner asks in turn to become a witness.
	witnessPeers = 3
	// collectTimeout limits how long a new owner waits for the witnesses. A running entry
	// answers within some tens of milliseconds.
	collectTimeout = 350 * time.Millisecond
)

// witness makes this entry the witness of a job that the owner of a pool shows as done before
// that is recorded. If this entry is the owner, a peer becomes the witness.
func (n *Node) witness(c jayowner.Claim, pool, id string, fence int64) bool {
	if c.Incarnation != n.incarnation {
		return n.witnesses.Keep(pool, id, fence)
	}
	if !n.placeWitness(pool, id, fence) {
		return false
	}
	if duty := n.ownedPool(pool); duty != nil {
		duty.post(func(time.Duration) { duty.pool.Witnessed(id) })
	}
	return true
}

// placeWitness asks peers to become the witness of a job that this entry owns, and reports
// whether one has.
func (n *Node) placeWitness(pool, job string, fence int64) bool {
	asked := 0
	for _, e := range n.members.Entries.All() {
		if asked == witnessPeers {
			break
		}
		if e.Incarnation == n.incarnation || n.members.Liveness.PresumedEnded(e.Incarnation, n.clock()) {
			continue
		}
		asked++
		body := &jaywire.WitnessJob{Pool: pool, Job: job, Fence: fence}
		response, err := n.peers.Ask(e.Incarnation, e.PeerAddr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_WitnessJob{WitnessJob: body}})
		if err == nil && response.GetJobWitnessed().GetKept() {
			return true
		}
	}
	return false
}

// collectWitnessed asks all entries for the jobs of a pool that its former owners have shown
// as done. Entries that do not answer in time are passed over.
func (n *Node) collectWitnessed(pool string, fence int64) map[string]bool {
	entries := n.members.Entries.All()
	answers := make(chan []string, len(entries)+1)
	answers <- n.witnesses.Collect(pool, fence)
	pending := 1
	for _, e := range entries {
		if e.Incarnation == n.incarnation || n.members.Liveness.PresumedEnded(e.Incarnation, n.clock()) {
			continue
		}
		pending++
		go func() {
			body := &jaywire.AskWitnessed{Pool: pool, Fence: fence}
			response, err := n.peers.Ask(e.Incarnation, e.PeerAddr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskWitnessed{AskWitnessed: body}})
			if err != nil {
				answers <- nil
				return
			}
			answers <- response.GetWitnessedJobs().GetJobs()
		}()
	}
	shown := map[string]bool{}
	timer := time.NewTimer(collectTimeout)
	defer timer.Stop()
	for range pending {
		select {
		case jobs := <-answers:
			for _, job := range jobs {
				shown[job] = true
			}
		case <-timer.C:
			return shown
		}
	}
	return shown
}
