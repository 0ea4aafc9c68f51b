package jaynode

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jaycatalog"
	"jaythread/jayclock"
	"jaythread/jaymember"
	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// silentStore never answers a read until the test ends.
type silentStore struct {
	jayport.Store
	asked, release chan struct{}
}

// Read waits until the test ends.
func (s *silentStore) Read(jayport.Partition, int64, time.Duration, time.Duration) (jayport.Page, error) {
	close(s.asked)
	<-s.release
	return jayport.Page{}, errUnreachable
}

// TestStopDuringAPeersCall guards against a process that is killed with the requests that it serves,
// since its stop waits for a peer's call to a store that does not answer.
func TestStopDuringAPeersCall(t *testing.T) {
	is := is.New(t)
	n := newTestEntry(t, "e0", newSharedStore(), newSharedHosts(jayclock.Boot, nil), jayclock.Boot).node
	store := &silentStore{asked: make(chan struct{}), release: make(chan struct{})}
	t.Cleanup(func() { close(store.release) })
	n.relayServer = jayrelay.NewServer(store, n.clock)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	_, n.cancel = context.WithCancel(t.Context())
	n.duties.Go(func() { n.peerServer.Serve(listener, nil) })
	peer := jaypeer.NewClient("e1-00000000", time.Minute, nil)
	go func() {
		call := jayrelay.SharedReadCall(jayport.Partition{}, 0, 0, 0)
		_, _ = peer.Ask(n.incarnation, listener.Addr().String(), &jaywire.PeerRequest{Body: &jaywire.PeerRequest_StoreCall{StoreCall: call}})
	}()
	<-store.asked
	stopped := make(chan struct{})
	go func() {
		n.Stop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(10 * StopTimeout):
		t.Error("Stop waits for the store")
	}
}

// TestLeaveDoesNotWaitForTheStore guards against a stop that uses its time for the release of the
// duties, and cuts the requests in progress: the store does not answer.
func TestLeaveDoesNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		e := newTestEntry(t, "e0", newSharedStore(), newSharedHosts(clock, nil), clock)
		e.setClaims(e.claim(jayowner.Fleet, 1, 1))
		e.store.set(func(s *faultyStore) { s.unreachable = true })
		began := clock()
		e.node.Leave()
		is.Equal(clock()-began, time.Duration(0))
		time.Sleep(2 * jayport.CallTimeout) // ends the release
		e.store.set(func(s *faultyStore) { is.Equal(s.appends, 1) })
	})
}

// TestStopDuringATakeover guards against a process that is killed while a takeover or a start waits
// for the store.
func TestStopDuringATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		e := newTestEntry(t, "e0", newSharedStore(), newSharedHosts(clock, nil), clock)
		e.store.set(func(s *faultyStore) { s.unreachable = true })
		var ctx context.Context
		ctx, e.node.cancel = context.WithCancel(t.Context())
		e.node.members.Start(ctx)
		e.node.intake.start(ctx)
		e.setClaims(e.claim(jayowner.Fleet, 1, 1), e.claim(jayowner.PoolDuty("seats"), 2, 2))
		e.node.reconcileDuties()
		time.Sleep(time.Second)
		is.True(e.node.ownsAnyDuty())
		began := clock()
		e.node.Leave()
		e.node.Stop()
		is.True(clock()-began <= StopTimeout)
		e.store.set(func(s *faultyStore) { s.unreachable = false })
		time.Sleep(time.Minute) // ends the calls
	})
}

// TestCutAnswersAllRequests guards against a request that ends without an answer when the entry
// stops, since it waits for the store or for an owner.
func TestCutAnswersAllRequests(t *testing.T) {
	queue := jaycatalog.Queue{Pool: "seats"}
	for name, request := range map[string]func(n *Node) error{
		"admission": func(n *Node) error {
			n.ports.Arrivals.Exists(n.ports.Formats.Declarations(), 100) // may declare the queue
			_, err := n.Admit(jaycatalog.Call{Host: "h", Path: "/new/"})
			return err
		},
		"query": func(n *Node) error {
			_, _, err := n.JobState(queue, "", testID, time.Minute)
			return err
		},
		"cancellation": func(n *Node) error {
			_, err := n.CancelJob(queue, "", testID, time.Minute)
			return err
		},
		"count": func(n *Node) error {
			_, err := n.Pending(queue, time.Minute)
			return err
		},
		"submission": func(n *Node) error {
			step := jayspec.Step{Tasks: 1, Need: jaypool.Resources{ProcessorsMilli: 100}, Estimate: time.Second}
			return n.Submit(&jayspec.Job{ID: testID, Queue: "list", Pool: "seats", Steps: []jayspec.Step{step}}, 10*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := newAdmission(t)
				a.node.members.Owners.Publish(&jaymember.View{Table: jayowner.NewTable(), AsOf: a.node.clock(), AnsweredAt: a.node.clock()})
				a.store.set(func(s *faultyStore) { s.unreachable = true })
				answered := make(chan error, 1)
				go func() { answered <- request(a.node) }()
				time.Sleep(50 * time.Millisecond)
				waited := len(answered) == 0
				a.node.Cut()
				synctest.Wait()
				atOnce := len(answered) == 1
				a.store.set(func(s *faultyStore) { s.unreachable = false })
				time.Sleep(time.Minute) // ends the request in the background
				is.True(waited)
				is.True(atOnce)
				is.True(<-answered != nil)
			})
		})
	}
}
