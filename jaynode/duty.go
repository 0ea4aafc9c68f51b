package jaynode

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jayjournal"
	"jaythread/jayowner"
	"jaythread/jayport"
	"jaythread/jayring"
)

// event is a function that a duty's goroutine runs with the current time.
type event func(now time.Duration)

// duty is the common part of all duties: a claim, a journal that writes under the claim's
// fence, and an inbox of events that one goroutine processes.
type duty struct {
	node    *Node
	claim   jayowner.Claim
	logger  logr.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	inbox   *jayring.Ring[event]
	journal *jayjournal.Journal
	// confirmations asks the store whether the duty has another owner. Its appends have no records, so
	// that they need not wait for those of the journal, which have the same producer.
	confirmations *jayjournal.Journal
}

// newDuty returns the duty of a claim; its records are kept in the given partition.
func newDuty(n *Node, claim jayowner.Claim, p jayport.Partition, inboxSize int, logger logr.Logger) duty {
	ctx, cancel := context.WithCancel(context.Background())
	newJournal := func() *jayjournal.Journal {
		return jayjournal.New(n.store, p, string(claim.Duty), claim.Fence, n.clock, logger, jayjournal.WithLatency(n.store.Latency), jayjournal.WithLink(n.settings.LinkMegabits))
	}
	return duty{
		node:    n,
		claim:   claim,
		logger:  logger,
		ctx:     ctx,
		cancel:  cancel,
		inbox:   jayring.New[event](inboxSize),
		journal: newJournal(),

		confirmations: newJournal(),
	}
}

// end cancels the duty and logs the reason.
func (d *duty) end(why string) {
	d.logger.Info("duty ended", "why", why)
	d.node.metrics.DutyChanged(string(d.claim.Duty), "ended")
	d.cancel()
}

// startJournal writes the duty's records in the background until the duty ends. An error
// of the journal, such as that the owner was replaced and its producer is fenced, ends
// the duty.
func (d *duty) startJournal() {
	for _, journal := range []*jayjournal.Journal{d.journal, d.confirmations} {
		d.node.duties.Go(func() {
			if err := journal.Run(d.ctx); err != nil && d.ctx.Err() == nil {
				d.end(err.Error())
			}
		})
	}
}

const (
	// longStep is the duration from which a step is followed by a pause, in which events collect.
	longStep = 250 * time.Microsecond
	// stepShare is the divisor that gives the share of the time that long steps may take, unless maxStepPause
	// limits the pause after them.
	stepShare    = 4
	maxStepPause = 10 * time.Millisecond
)

// stepPause returns the pause after a step.
//
// It handles this load: a new owner decides anew on thousands of waiting tasks after each of hundreds of first
// reports. The process then answers no pings for a second, and is replaced by an entry with the same load.
func stepPause(took time.Duration) time.Duration {
	if took < longStep {
		return 0
	}
	return min((stepShare-1)*took, maxStepPause)
}

// loop calls step at each tick and whenever events are waiting, until the duty ends.
func (d *duty) loop(tick time.Duration, step func()) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for d.ctx.Err() == nil {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		case <-d.inbox.Ready():
		}
		began := d.node.clock()
		step()
		jayclock.Sleep(d.ctx, stepPause(d.node.clock()-began))
	}
}

// post queues an event for the duty's goroutine. It blocks while the inbox is full:
// dropping a worker's answer would leave the state of a run unknown.
func (d *duty) post(e event) {
	for !d.inbox.Offer(e) {
		if d.ctx.Err() != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
