package jayentry

import (
	"context"
	"time"

	"jaythread/jayclock"
	"jaythread/jaywire"
)

// Stop shuts the entry down gracefully: it reports itself as not ready, answers
// the requests in flight, flushes its claims and gives up its membership. It takes
// at most the stopBound setting.
func (e *Entry) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.options.StopBound))
	defer cancel()
	e.stopping.Store(true)
	e.members.SetStopping()
	e.logger.Info("stopping", "inFlight", e.edge.InFlight())
	e.edge.Drain(ctx, time.Duration(e.options.StopGrace))
	cut := e.edge.Stop(ctx)
	e.flushAndLeave(ctx)
	e.close()
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
	if e.stateFollower.Age() > viewLease {
		// The log is down. The other entries detect the end of this one by its
		// closed peer port.
		return
	}
	_, err := e.store.Propose(&jaywire.Command{
		Reason: "stopped",
		Body:   &jaywire.Command_LeaveEntry{LeaveEntry: &jaywire.LeaveEntry{Entry: e.options.Entry}},
	}, proposeTimeout)
	if err != nil {
		e.logger.Info("leave not confirmed", "error", err.Error())
	}
}

func (e *Entry) close() {
	e.cancel()
	_ = e.api.HTTP().Shutdown()
	e.peers.Close()
	e.peerLink.Close()
	e.duties.Wait()
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
	e.close()
}
