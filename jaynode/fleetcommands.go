package jaynode

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"jaythread/jayfleet"
	"jaythread/jayjournal"
	"jaythread/jayport"
	"jaythread/jaywire"
)

func (d *fleetDuty) perform(action jayfleet.Action) {
	lease := jayport.Lease{Holder: d.node.settings.Entry, Fence: d.claim.Fence}
	switch a := action.(type) {
	case jayfleet.MoveHost:
		d.commandLog.Add(a.Host, "moving hosts", "from", a.From, "to", a.Pool, "why", a.Why)
		if a.Why != "repeated" {
			d.node.metrics.HostGiven(a.From, a.Why)
		}
		d.recordAndSend(a.Host, a.SendBy, func() error { return d.node.ports.Inventory.Move(a.Host, a.Pool, lease, inventoryTimeout) })
	case jayfleet.MaintainHost:
		d.commandLog.Add(a.Host, "maintaining hosts", "wave", a.Wave)
		d.recordAndSend(a.Host, a.SendBy, func() error { return d.node.ports.Inventory.Maintain(a.Host, a.Wave, lease, inventoryTimeout) })
	case jayfleet.RecordWave:
		d.recordWave(a)
	}
}

// recordAndSend records a command to a host for the next owner of the fleet, and then
// sends it if the guard allows that, at the latest at sendBy.
func (d *fleetDuty) recordAndSend(host string, sendBy time.Duration, do func() error) {
	decided := d.node.clock()
	value, err := proto.Marshal(&jaywire.HostCommand{
		UnixMillis:    time.Now().UnixMilli(),
		Incarnation:   d.node.incarnation,
		DecidedMicros: decided.Microseconds(),
	})
	if err != nil {
		d.logger.Error(err, "host command cannot be encoded", "host", host)
		go d.commandAnswered(host, jayfleet.ErrStale)
		return
	}
	outcome := make(chan error, 1)
	entry := jayjournal.NewEntry([]jayport.Record{{Key: hostKeys + host, Value: value}}, func(err error) { outcome <- err })
	if err := d.journal.Add(entry); err != nil {
		outcome <- err
	}
	go func() {
		record, err := d.awaitRecord(outcome)
		if err != nil {
			d.post(func(time.Duration) { d.commandLog.Add(host, "commands not recorded", "error", err.Error()) })
		}
		if d.ctx.Err() != nil {
			// The duty has ended, for example because another entry owns the fleet now.
			return
		}
		// The next owner of the fleet does not know of a command whose record is refused by its fence.
		var fenced *jayport.FencedError
		if errors.As(err, &fenced) || !d.guard.MaySend(record, sendBy, d.node.clock()) {
			entry.Withdraw()
			d.commandAnswered(host, jayfleet.ErrStale)
			return
		}
		d.commandAnswered(host, do())
	}()
}

// awaitRecord waits until a command's record is written, at most for the guard's record
// timeout. The error says why it was not recorded.
func (d *fleetDuty) awaitRecord(outcome <-chan error) (jayfleet.RecordState, error) {
	timer := time.NewTimer(d.guard.RecordTimeout())
	defer timer.Stop()
	select {
	case err := <-outcome:
		if err != nil {
			return jayfleet.NotRecorded, err
		}
		return jayfleet.Recorded, nil
	case <-d.ctx.Done():
		return jayfleet.NotRecorded, d.ctx.Err()
	case <-timer.C:
		return jayfleet.RecordPending, nil
	}
}

func (d *fleetDuty) commandAnswered(host string, err error) {
	d.post(func(now time.Duration) {
		if err != nil {
			d.commandLog.Add(host, "commands not accepted", "error", err.Error())
		}
		var refused *jayport.HostError
		if errors.As(err, &refused) && refused.Reason == jayport.HostFenced {
			d.end("a host has seen a higher fence")
			return
		}
		d.fleet.HandleAnswer(host, err, now)
		d.nextHostsReadAt = min(d.nextHostsReadAt, now+hostsInterval/2)
	})
}

// recordWave records the progress of a wave for the next owner, and writes its status for
// operators when it starts and when it is done.
func (d *fleetDuty) recordWave(a jayfleet.RecordWave) {
	declared := time.Now().Add(a.DeclaredAt - d.node.clock())
	value, err := proto.Marshal(&jaywire.WaveProgress{Maintained: a.Maintained, Done: a.Done, DeclaredUnixMillis: declared.UnixMilli()})
	if err != nil {
		d.logger.Error(err, "wave progress cannot be encoded", "wave", a.Wave)
		return
	}
	d.logger.Info("wave progress", "wave", a.Wave, "maintained", len(a.Maintained), "done", a.Done)
	entry := jayjournal.NewEntry([]jayport.Record{{Key: waveKeys + a.Wave, Value: value}}, func(err error) {
		if err != nil {
			d.logger.Info("wave progress not recorded", "wave", a.Wave, "error", err.Error())
			return
		}
		if a.Done || len(a.Maintained) == 0 {
			d.writeWaveStatus(a.Wave, a.Done)
		}
	})
	if err := d.journal.Add(entry); err != nil {
		d.logger.Error(err, "wave progress not recorded", "wave", a.Wave)
	}
}

// startJournals writes the duty's records and the statuses of waves until the duty ends.
func (d *fleetDuty) startJournals() {
	d.startJournal()
	d.node.duties.Go(func() {
		for d.ctx.Err() == nil {
			var fenced *jayport.FencedError
			if err := d.statuses.Run(d.ctx); errors.As(err, &fenced) {
				d.end(err.Error())
			}
		}
	})
}

// writeWaveStatus writes the status of a wave for operators. A status that was written before, by this
// owner or a former one, cannot replace it later.
func (d *fleetDuty) writeWaveStatus(wave string, done bool) {
	_, record := d.node.ports.Formats.WaveStatus(wave, done)
	addToJournal(d.statuses, []jayport.Record{record}, func(err error) {
		if err != nil {
			d.logger.Info("wave status not written", "wave", wave, "done", done, "error", err.Error())
			return
		}
		d.logger.Info("wave status written", "wave", wave, "done", done)
	})
}
