package jaynode

import (
	"testing"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jaywire"
	"jaythread/jaywitness"
)

func TestPeersBecomeWitnesses(t *testing.T) {
	n := &Node{witnesses: jaywitness.New(jayclock.Boot, 0)}
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
