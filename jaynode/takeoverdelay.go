package jaynode

import (
	"time"

	"jaythread/jayclock"
	"jaythread/jayownership"
	"jaythread/jayport"
)

// takeoverDelayKey is the name under which a pool's takeover delay is recorded beside the progress of
// its jobs. No job has such an ID.
const takeoverDelayKey = "takeoverDelay"

// reviewTakeoverDelay records the delay if the store's latency has changed. The pool relies on a new
// delay once it is recorded.
func (d *poolDuty) reviewTakeoverDelay() {
	delay, change := d.takeoverDelay.Review(d.node.store.Latency())
	if !change {
		return
	}
	record := jayport.Record{Key: jobKey(d.name, takeoverDelayKey)}
	if delay > 0 {
		value, err := jayownership.EncodeTakeoverDelay(delay)
		if err != nil {
			d.logger.Error(err, "takeover delay cannot be encoded", "delay", delay.String())
			d.takeoverDelay.RecordEnded(delay, err)
			return
		}
		record.Value = value
	} else {
		d.pool.SetTakeoverDelay(0)
	}
	addToJournal(d.journal, []jayport.Record{record}, func(err error) {
		d.post(func(time.Duration) {
			d.takeoverDelay.RecordEnded(delay, err)
			if err != nil {
				return
			}
			d.logger.Info("takeover delay recorded", "delay", delay.String(), "latency", d.node.store.Latency().String())
			d.pool.SetTakeoverDelay(delay)
		})
	})
}

// awaitTakeoverDelay waits for as long as the former owner may rely on, since the time at which it was
// fenced.
func (d *poolDuty) awaitTakeoverDelay(fencedAt time.Duration) {
	delay := d.takeoverDelay.Recorded()
	if left := d.takeoverDelay.Left(fencedAt, d.node.clock()); left > 0 {
		d.logger.Info("takeover delayed", "delay", delay.String(), "left", left.String())
		jayclock.Sleep(d.ctx, left)
	}
	d.pool.SetTakeoverDelay(delay)
}
