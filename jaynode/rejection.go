package jaynode

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"jaythread/jayfleet"
	"jaythread/jayfootprint"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// admitTimeout limits how long a job waits for the decision whether it is rejected. A pool that
// is too busy to decide within it must not delay callers.
const admitTimeout = 50 * time.Millisecond

// hopelessError is the rejection of a job that cannot be done while its result is of use.
type hopelessError struct {
	retryAfter time.Duration
}

// Error states the delay after which the job's turn is likely to come.
func (e *hopelessError) Error() string {
	return fmt.Sprintf("the job cannot be done while its result is of use; its turn is in %v", e.retryAfter)
}

// hopelessVerdict returns the answer to the caller of a hopeless job, or nil for another error.
func hopelessVerdict(err error) error {
	var hopeless *hopelessError
	if !errors.As(err, &hopeless) {
		return nil
	}
	return jayverdict.NewNotRun(statusTooMany, "the job cannot be done in time", hopeless.retryAfter)
}

// maxJobBytes returns the limit of the memory for the open jobs of one pool.
func (n *Node) maxJobBytes() int64 {
	pools := 1
	if c := n.Catalog(); c != nil {
		pools = len(c.WorkingPools())
	}
	return jayfootprint.Limit(n.settings.MemoryBytes, pools)
}

// admit asks the pool's duty, if this entry owns the pool, whether a job that is about to be
// stored is rejected. It returns a *hopelessError or a *jayfootprint.FullError if so. A pool that does not
// answer in time rejects nothing.
func (i *intake) admit(pool, id string, value []byte) error {
	duty := i.node.ownedPool(pool)
	if duty == nil || !duty.loaded.Load() {
		return nil
	}
	limit := i.node.maxJobBytes()
	job, err := decodeJob(pool, id, value)
	if err != nil {
		return nil // the append has its own check
	}
	var admission jaysched.Admission
	var settled atomic.Bool
	decided, fits, held := false, true, int64(0)
	asked := duty.ask(func() {
		// A decision after the timeout would give a place to a job that is being stored.
		if settled.Load() {
			return
		}
		decided = true
		if fits, held = duty.pool.Fits(job, limit); fits {
			admission = duty.pool.Admit(job, i.node.clock())
		}
	}, admitTimeout)
	if !asked {
		settled.Store(true)
		// The job is stored all the same, so that no later request for it may be rejected.
		duty.post(func(now time.Duration) {
			if !decided || !fits || admission.Rejected {
				duty.pool.AdmitUndecided(job, now)
			}
		})
		return nil
	}
	if !fits {
		return &jayfootprint.FullError{Held: held, Limit: limit}
	}
	if !admission.Rejected {
		return nil
	}
	return &hopelessError{retryAfter: admission.RetryAfter}
}

// appendEnded tells the pool's duty that a job was not stored after its admission.
func (i *intake) appendEnded(pool, id string, err error) {
	duty := i.node.ownedPool(pool)
	if !i.node.settings.Overload.RejectHopeless || duty == nil || !errors.Is(err, jayport.ErrRejected) {
		return
	}
	duty.post(func(time.Duration) { duty.pool.AppendEnded(id) })
}

// writeRejection writes a rejection into the answer to a peer.
func writeRejection(stored *jaywire.JobStored, err error) {
	var full *jayfootprint.FullError
	if errors.As(err, &full) {
		stored.Outcome, stored.StoreAway = jaywire.StoreOutcome_STORE_OUTCOME_NOT_DONE, false
		stored.HeldBytes, stored.MaxHeldBytes = full.Held, full.Limit
	}
	var hopeless *hopelessError
	if errors.As(err, &hopeless) {
		// An entry of an earlier version reads the outcome only.
		stored.Outcome, stored.StoreAway = jaywire.StoreOutcome_STORE_OUTCOME_NOT_DONE, false
		stored.Hopeless, stored.RetryAfterMillis = true, hopeless.retryAfter.Milliseconds()
	}
}

// encodeArriving returns the hosts that are on their way to a pool, after an entry without
// capacity: an empty list is that of a fleet's owner of an earlier version or with the part off,
// which does not say that no hosts are on their way.
func encodeArriving(arriving []jayfleet.Arriving) []*jaywire.ArrivingHost {
	encoded := append(make([]*jaywire.ArrivingHost, 0, len(arriving)+1), &jaywire.ArrivingHost{})
	for _, a := range arriving {
		encoded = append(encoded, &jaywire.ArrivingHost{CapacityMilli: a.CapacityMilli, InMillis: a.In.Milliseconds()})
	}
	return encoded
}

func decodeArriving(encoded []*jaywire.ArrivingHost) []jaysched.Arriving {
	arriving := make([]jaysched.Arriving, 0, len(encoded))
	for _, a := range encoded {
		arriving = append(arriving, jaysched.Arriving{CapacityMilli: a.CapacityMilli, In: millis(a.InMillis)})
	}
	return arriving
}

// returnPlaces counts the rejected jobs that are to return to the pools that this entry owns.
func (n *Node) returnPlaces() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	places := int64(0)
	for _, duty := range n.pools {
		places += duty.places.Load()
	}
	return float64(places)
}

// openJobBytes estimates the memory of the open jobs of the pools that this entry owns, in bytes.
func (n *Node) openJobBytes() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes := int64(0)
	for _, duty := range n.pools {
		bytes += duty.jobBytes.Load()
	}
	return float64(bytes)
}
