package jaynode

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaywire"
)

// newTestWitnesses returns witnesses whose clock is the variable that it returns too.
func newTestWitnesses() (*witnesses, *time.Duration) {
	now := new(time.Duration)
	return &witnesses{clock: func() time.Duration { return *now }, keepFor: time.Minute, pools: map[string]*witnessedPool{}}, now
}

func TestWitnesses(t *testing.T) {
	t.Run("the new owner learns of the jobs of its pool", func(t *testing.T) {
		is := is.New(t)
		w, _ := newTestWitnesses()
		is.True(w.keep("seats", "a", 3))
		is.True(w.keep("fees", "b", 3))
		is.Equal(w.collect("seats", 4), []string{"a"})
		is.Equal(w.collect("seats", 5), []string{"a"}) // for an owner after the next too
	})
	t.Run("nothing is kept for an owner that was replaced", func(t *testing.T) {
		// Guards against a job that a former owner shows as done after its successor has asked.
		is := is.New(t)
		w, _ := newTestWitnesses()
		w.collect("seats", 4)
		is.True(!w.keep("seats", "a", 3))
		is.True(w.keep("seats", "a", 4))
		is.True(w.keep("fees", "a", 3))
		w.collect("seats", 2) // a late request
		is.True(!w.keep("seats", "b", 3))
	})
	t.Run("jobs are dropped when their state need no longer be shown", func(t *testing.T) {
		is := is.New(t)
		w, now := newTestWitnesses()
		is.True(w.keep("seats", "a", 1))
		*now += w.keepFor + time.Second
		is.Equal(len(w.collect("seats", 2)), 0)
	})
	t.Run("the number of jobs is limited", func(t *testing.T) {
		is := is.New(t)
		w, now := newTestWitnesses()
		for n := range maxWitnessed {
			is.True(w.keep("seats", fmt.Sprint(n), 1))
		}
		is.True(!w.keep("seats", "one more", 1))
		is.True(w.keep("seats", "0", 1)) // is kept already
		*now += w.keepFor + time.Second
		is.True(w.keep("seats", "one more", 1))
	})
}

func TestPeersBecomeWitnesses(t *testing.T) {
	n := &Node{witnesses: &witnesses{clock: func() time.Duration { return 0 }, pools: map[string]*witnessedPool{}}}
	is := is.New(t)
	keep := func(fence int64) bool {
		body := &jaywire.WitnessJob{Pool: "seats", Job: "a", Fence: fence}
		return n.handlePeer(&jaywire.PeerRequest{Body: &jaywire.PeerRequest_WitnessJob{WitnessJob: body}}).GetJobWitnessed().GetKept()
	}
	is.True(keep(2))
	answer := n.handlePeer(&jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskWitnessed{AskWitnessed: &jaywire.AskWitnessed{Pool: "seats", Fence: 3}}})
	is.Equal(answer.GetWitnessedJobs().GetJobs(), []string{"a"})
	is.True(!keep(2))
}
