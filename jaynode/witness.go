package jaynode

import (
	"sync"
	"time"

	"jaythread/jaywire"
)

const (
	// maxWitnessed limits the number of jobs of a pool of which an entry is a witness.
	maxWitnessed = 10000
	// witnessPeers is the number of peers that an owner asks in turn to become a witness.
	witnessPeers = 3
	// collectTimeout limits how long a new owner waits for the witnesses. A running entry
	// answers within some tens of milliseconds.
	collectTimeout = 350 * time.Millisecond
)

// witnesses holds the jobs of which this entry is a witness: their owner has shown them as
// done, to this entry or with its knowledge, before that was recorded. If the owner and the
// worker that keeps the ends are both lost, the next owner learns of the end from here.
type witnesses struct {
	clock func() time.Duration
	// keepFor is how long a job is kept.
	keepFor time.Duration

	mu    sync.Mutex
	pools map[string]*witnessedPool
}

// witnessedPool holds the jobs of one pool.
type witnessedPool struct {
	// fence is the highest one of the owners that have asked for the jobs. What an owner
	// with a lower one shows afterwards would be unknown to its successor.
	fence int64
	// keptAt is when each job was kept last.
	keptAt map[string]time.Duration
}

func newWitnesses(n *Node) *witnesses {
	return &witnesses{clock: n.clock, keepFor: n.settings.RetainEnded, pools: map[string]*witnessedPool{}}
}

// pool returns the jobs of a pool. The caller holds the lock.
func (w *witnesses) pool(name string) *witnessedPool {
	p, known := w.pools[name]
	if !known {
		p = &witnessedPool{keptAt: map[string]time.Duration{}}
		w.pools[name] = p
	}
	return p
}

// keep keeps that the owner with a fence shows a job as done, and reports whether it does.
func (w *witnesses) keep(pool, job string, fence int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pool(pool)
	_, kept := p.keptAt[job]
	if !kept && len(p.keptAt) >= maxWitnessed {
		w.expire(p)
	}
	if fence < p.fence || !kept && len(p.keptAt) >= maxWitnessed {
		return false
	}
	p.keptAt[job] = w.clock()
	return true
}

// collect returns the jobs of a pool for its new owner. From then on, nothing is kept for
// owners with a lower fence.
func (w *witnesses) collect(pool string, fence int64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pool(pool)
	p.fence = max(p.fence, fence)
	w.expire(p)
	jobs := make([]string, 0, len(p.keptAt))
	for job := range p.keptAt {
		jobs = append(jobs, job)
	}
	return jobs
}

// expire drops the jobs whose state need no longer be shown.
func (w *witnesses) expire(p *witnessedPool) {
	if w.keepFor == 0 {
		return
	}
	for job, at := range p.keptAt {
		if w.clock()-at > w.keepFor {
			delete(p.keptAt, job)
		}
	}
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
	answers <- n.witnesses.collect(pool, fence)
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
