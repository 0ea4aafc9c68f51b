package jaynode

import (
	"time"

	"jaythread/jayjournal"
	"jaythread/jaypart"
	"jaythread/jayport"
)

// MinRetainEnded is the least time for which the end of a job should be kept: an append of the job's
// declaration that was under way has taken effect by then or never does.
const MinRetainEnded = 2 * maxAppendAge

const (
	// expireInterval is the time between two searches for ended jobs whose records can be
	// removed.
	expireInterval = 5 * time.Second
	// expireBatchSize limits the number of jobs whose records are removed at once.
	expireBatchSize = 500
	// declarationsInterval is the longest time for which the declaration of an ended job waits to be removed
	// together with others. Each removal is an append.
	declarationsInterval = 5 * time.Second
	// declarationsBatch is the number of ended jobs from which on their declarations are removed at once.
	// As many are read in vain by a takeover.
	declarationsBatch = 100
	// declarationsMax limits the number of declarations that are removed at once.
	declarationsMax = 500
	// maxDeclarationAge is how long after the end of a job its declaration may be removed while the end is
	// kept. With the maximum age of an append, the removal takes effect before any owner forgets the job.
	maxDeclarationAge = MinRetainEnded - maxAppendAge
	// expireMargin is how much longer than RetainEnded the state of an ended job is kept,
	// because the ends of jobs are timed by this entry's own clock.
	expireMargin = 5 * time.Second
)

// expire removes the records of jobs that ended longer ago than RetainEnded. It removes a
// job's declaration before its progress record: if this entry is lost in between, the
// next owner still knows that the job has ended.
func (d *poolDuty) expire(now time.Duration) {
	if now < d.nextExpireAt {
		return
	}
	d.nextExpireAt = now + expireInterval
	retain := d.node.settings.RetainEnded + expireMargin
	if ids := d.pool.ExpiredCancellations(now, retain, expireBatchSize); len(ids) > 0 {
		// There is no declaration. The removal precedes the record of a job that is declared now.
		addToJournal(d.journal, d.removals(ids), d.removed("cancellations of unknown jobs", ids, d.forgetCancellations))
	}
	if d.node.settings.RetainEnded == 0 {
		return
	}
	// A job whose declaration has not been read would be taken for a new one.
	ids := d.pool.Expired(d.jobs.tail.AsOf(), retain, expireBatchSize)
	if len(ids) == 0 {
		return
	}
	removed := d.removed("ended jobs", ids, d.forget)
	declarations := d.node.intake.journals[d.node.partitionOf(d.name)]
	addToJournal(declarations, d.removals(ids), func(err error) {
		if err != nil {
			removed(err)
			return
		}
		d.post(func(time.Duration) { addToJournal(d.journal, d.progressRemovals(ids), removed) })
	})
}

// removeDeclarations removes the declarations of jobs whose ends are recorded. The next owner need not read
// them; callers are shown the jobs until they expire. A declaration that is stored again by a repeated request
// is removed once the job expires.
func (d *poolDuty) removeDeclarations(now time.Duration) {
	waiting := d.pool.DeclaredEnded()
	if waiting == 0 {
		d.nextDeclarationsAt = now + declarationsInterval
		return
	}
	many := waiting >= declarationsBatch && !d.removingDeclarations
	if !many && now < d.nextDeclarationsAt {
		return
	}
	d.nextDeclarationsAt = now + declarationsInterval
	ids := d.pool.TakeDeclaredEnded(d.node.clock(), maxDeclarationAge, declarationsMax)
	if len(ids) == 0 {
		return
	}
	d.removingDeclarations = true
	declarations := d.node.intake.journals[d.node.partitionOf(d.name)]
	addToJournal(declarations, d.removals(ids), d.removed("declarations of ended jobs", ids, func(ids []string, removed bool) {
		d.removingDeclarations = !removed
		d.pool.DeclarationsRemoved(ids, removed)
	}))
}

// progressRemovals returns the records that remove the progress of jobs.
func (d *poolDuty) progressRemovals(ids []string) []jayport.Record {
	removals := d.removals(ids)
	for _, id := range ids {
		for n := range d.parts[id] {
			removals = append(removals, jayport.Record{Key: jobKey(d.name, jaypart.ID(id, n+1))})
		}
	}
	return removals
}

// removals returns the records that remove those of jobs.
func (d *poolDuty) removals(ids []string) []jayport.Record {
	removals := make([]jayport.Record, 0, len(ids))
	for _, id := range ids {
		removals = append(removals, jayport.Record{Key: jobKey(d.name, id)})
	}
	return removals
}

// removed returns a function that logs the result of removing the records of jobs and passes it to
// forget.
func (d *poolDuty) removed(what string, ids []string, forget func(ids []string, removed bool)) func(error) {
	return func(err error) {
		if err != nil {
			d.logger.Info(what+" not removed", "jobs", len(ids), "error", err.Error())
		} else {
			d.logger.Info(what+" removed", "jobs", len(ids), "first", ids[0])
		}
		d.post(func(time.Duration) { forget(ids, err == nil) })
	}
}

// forget removes jobs from memory after their records were removed.
func (d *poolDuty) forget(ids []string, removed bool) {
	d.pool.Removed(ids, removed)
	if !removed {
		return
	}
	for _, id := range ids {
		d.storedJobs.Delete(id)
		d.canceled.Delete(id)
		delete(d.parts, id)
	}
}

// forgetCancellations forgets the cancellations of unknown jobs whose records were removed.
func (d *poolDuty) forgetCancellations(ids []string, removed bool) {
	for _, id := range d.pool.CancellationsRemoved(ids, removed) {
		d.canceled.Delete(id)
	}
}

// addToJournal adds records to a journal and calls done with the outcome, also if the
// journal accepts no entry. An entry without records checks whether the producer has been
// fenced.
func addToJournal(j *jayjournal.Journal, records []jayport.Record, done func(error)) {
	if err := j.Add(jayjournal.NewEntry(records, done)); err != nil {
		// done is not called directly: it posts to the goroutine that adds the records,
		// which would block on itself if its inbox is full.
		go done(err)
	}
}
