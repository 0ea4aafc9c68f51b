package jaynode

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jayport"
)

// onePartition is what an intake asks of the formats.
type onePartition struct{ jayport.Formats }

func (onePartition) OwnPartitions() int { return 1 }

func (onePartition) Own(topic string, number int) jayport.Partition {
	return jayport.Partition{Topic: topic, Number: number}
}

func TestJobIsNotHandedToAnOwnerThatDoesNotAnswer(t *testing.T) {
	// Symptom: jobs are accepted only after a second and a half.
	// Sequence: the machine of a pool's owner stops answering; until another entry
	// owns the pool, each job that comes is handed on to it.
	// Cause: that the owner had not answered a ping was not looked at.
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	addr := silent.Addr().String()
	n := New(Settings{Entry: "e1", PeerAddr: "127.0.0.1:1"}, Ports{Formats: onePartition{}}, logr.Discard())
	claims := jayowner.NewTable()
	is.NoErr(claims.Apply(jayowner.Claim{Duty: jayowner.PoolDuty("seats"), Incarnation: "e2-x", PeerAddr: addr, Term: 1}.Record()))
	n.owners.table.Store(&ownerView{Table: claims})
	n.liveness.pinged("e2-x", jaypeer.ErrGone)
	began := time.Now()
	final, outcome := n.intake.storeAtOwner("seats", "j", nil, 3*time.Second, time.Second)
	is.True(errors.Is(outcome, jayport.ErrNotDone))
	is.True(!final) // the entry stores the job itself
	is.True(time.Since(began) < 100*time.Millisecond)
}
