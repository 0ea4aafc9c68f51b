package jayentry

import (
	"context"
	"time"

	"jaythread/jayclock"
	"jaythread/jayedge"
	"jaythread/jaystop"
	"jaythread/jaywire"
)

const (
	// maxCloseTime limits how long a stop waits for pending calls at its end. A read of the log waits
	// for records for a second.
	maxCloseTime = 1500 * time.Millisecond
	// closeShare is the divisor that gives the same limit as a part of the stopBound setting. The
	// smaller of the two applies.
	closeShare = 4
	// logTime is the part of that time that is left for the process to write its log.
	logTime = 200 * time.Millisecond
)

// Stop shuts the entry down gracefully: it reports itself as not ready, answers
// the requests in flight, flushes its claims and gives up its membership. It takes
// at most the stopBound setting.
func (e *Entry) Stop() error {
	bound := time.Duration(e.options.StopBound)
	closeTime := min(maxCloseTime, bound/closeShare)
	ctx, cancel := context.WithTimeout(context.Background(), bound-closeTime-jayedge.CloseTimeout)
	defer cancel()
	e.stopping.Store(true)
	e.members.SetStopping()
	e.logger.Info("stopping", "inFlight", e.edge.InFlight())
	e.edge.Drain(ctx, time.Duration(e.options.StopGrace))
	cut := e.edge.Stop(ctx)
	e.flushAndLeave(ctx)
	e.close(closeTime - logTime)
	if cut != nil {
		return cut
	}
	e.logger.Info("stopped")
	return nil
}

// flushAndLeave waits until the claims of this entry are appended, and then
// proposes to end its membership.
func (e *Entry) flushAndLeave(ctx context.Context) {
	for e.claimLog.committer.Pending() > 0 && e.claimsFresh() && ctx.Err() == nil {
		jayclock.Sleep(ctx, 10*time.Millisecond)
	}
	deadline, _ := ctx.Deadline()
	timeout := min(proposeTimeout, time.Until(deadline))
	if e.stateFollower.Age() > viewLease || timeout <= 0 {
		// The log is down, or there is no time left. The other entries detect the end of this one
		// by its closed peer port.
		return
	}
	_, err := e.store.Propose(&jaywire.Command{
		Reason: "stopped",
		Body:   &jaywire.Command_LeaveEntry{LeaveEntry: &jaywire.LeaveEntry{Entry: e.options.Entry}},
	}, timeout)
	if err != nil {
		e.logger.Info("leave not confirmed", "error", err.Error())
	}
}

// close ends the duties and closes all connections within a time limit.
func (e *Entry) close(limit time.Duration) {
	e.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	jaystop.Run(ctx, e.logger,
		jaystop.Stage{Name: "requests of operators", Run: func() { _ = e.api.HTTP().ShutdownWithContext(ctx) }},
		jaystop.Stage{Name: "requests of peers", Run: e.peers.Close, Pending: e.peers.Pending},
		jaystop.Stage{Name: "connections to peers", Run: e.peerLink.Close},
		jaystop.Stage{Name: "calls of duties", Run: e.duties.Wait},
	)
}

// Kill ends the entry abruptly, like a crash. It is for tests.
func (e *Entry) Kill() {
	e.stopping.Store(true)
	e.cancel()
	_ = e.operatorListener.Close()
	_ = e.peerListener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.edge.Stop(ctx)
	e.close(maxCloseTime)
}
