package jaynode

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayownership"
	"jaythread/jaypart"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayspec"
	"jaythread/jaytail"
	"jaythread/jaywire"
)

// partitionOf returns the number of the partition that holds a pool's records.
func (n *Node) partitionOf(pool string) int {
	return int(xxhash.Sum64String(pool) % uint64(n.ports.Formats.OwnPartitions()))
}

// jobKey returns the key of a job's records.
func jobKey(pool, id string) string {
	return pool + "/" + id
}

// jobID returns the ID of the job that a key of the pool belongs to.
func jobID(pool, key string) string {
	return strings.TrimPrefix(key, pool+"/")
}

// takeOver fences the former owner's producer, then reads the recorded progress and the
// submitted jobs. It returns false if the duty ended meanwhile.
func (d *poolDuty) takeOver() bool {
	stopReports := d.watchTakeover()
	defer stopReports()
	fenceAsked := d.node.clock()
	// Fencing comes first: records that the former owner wrote after the read would be
	// missed.
	if err := d.journal.Fence(d.ctx); err != nil {
		d.logger.Info("pool takeover failed", "error", err.Error())
		return false
	}
	fencedAt := d.node.clock()
	if d.claim.Term > 1 {
		d.pool.HoldFormerRuns(fencedAt, fencedAt+formerLeaseWait)
	}
	finishLeases := d.renewDuringTakeover(fenceAsked)
	defer finishLeases()
	d.takeover.enter(readingProgress, fencedAt)
	// Both are read in parallel, since each call takes long if the store is slow.
	var jobs sync.WaitGroup
	jobs.Go(d.loadJobs)
	defer jobs.Wait()
	progress := d.loadProgress()
	d.takeover.enter(readingJobs, d.node.clock())
	jobs.Wait()
	if d.ctx.Err() != nil {
		return false
	}
	if d.takeoverDelay.Recorded() > 0 {
		d.takeover.enter(awaitingDelay, d.node.clock())
		d.awaitTakeoverDelay(fencedAt)
		d.takeover.enter(readingJobs, d.node.clock())
		// The former owner may have begun jobs that were stored since the read.
		d.loadJobs()
	}
	if d.ctx.Err() != nil {
		return false
	}
	d.takeover.enter(restoring, d.node.clock())
	d.jobs.finishLoad(progress)
	d.pool.TakenOver(d.node.clock())
	d.updateWorkers(d.node.clock())
	d.pool.JobsKnown(d.jobs.tail.AsOf())
	d.pool.TakeoverLeases(finishLeases(), d.node.clock())
	d.node.duties.Go(d.pollInventory)
	stopReports()
	d.takenOver()
	return true
}

// loadJobs reads the submitted jobs and retries until it succeeds or the duty ends.
func (d *poolDuty) loadJobs() {
	for d.jobs.tail.Step(0) != nil && d.ctx.Err() == nil {
		jayclock.Sleep(d.ctx, storeRetryDelay)
	}
}

// inventoryPollInterval is the time between two reads of the inventory while workers do
// not answer. Each read has a cost.
const inventoryPollInterval = 500 * time.Millisecond

// pollInventory passes the workers in the inventory to the pool, while the pool waits for
// answers from some of them.
func (d *poolDuty) pollInventory() {
	for d.ctx.Err() == nil {
		needed := false
		if !d.ask(func() { needed = d.pool.NeedsInventory(d.node.clock()) }, askTimeout) || !needed {
			jayclock.Sleep(d.ctx, inventoryPollInterval/5)
			continue
		}
		asked := d.node.clock()
		hosts, err := d.node.ports.Inventory.Hosts(inventoryTimeout)
		if err != nil {
			d.logger.Info("worker survey failed; retrying", "error", err.Error())
			jayclock.Sleep(d.ctx, inventoryPollInterval)
			continue
		}
		if !jayport.Complete(hosts) {
			// A worker that is missing from the list may be in a row that cannot be read.
			d.logger.Info("worker survey failed; retrying", "error", "the inventory's list has unreadable rows")
			jayclock.Sleep(d.ctx, inventoryPollInterval)
			continue
		}
		var ids []string
		for _, h := range hosts {
			if h.Pool == d.name && h.Worker != "" {
				ids = append(ids, h.Worker)
			}
		}
		d.post(func(now time.Duration) { d.pool.InventoryRead(ids, asked, now) })
		jayclock.Sleep(d.ctx, inventoryPollInterval)
	}
}

// loadProgress reads the progress records of the pool by job ID and retries until it
// succeeds or the duty ends.
func (d *poolDuty) loadProgress() map[string]*jaywire.JobProgress {
	c := &progressCollector{pool: d.name, byJob: map[string]*jaywire.JobProgress{}, parts: map[string]map[int]*jaywire.JobProgress{}, logger: d.logger, delay: &d.takeoverDelay, read: &d.takeover.records}
	tail := jaytail.New(d.node.store, d.node.ports.Formats.Own(topicProgress, d.node.partitionOf(d.name)),
		jaytail.Options{Prefix: d.name + "/"}, c, d.node.clock, d.logger)
	for d.ctx.Err() == nil {
		err := tail.Step(0)
		if err == nil {
			break
		}
		d.logger.Info("reading job progress failed; retrying", "error", err.Error())
		jayclock.Sleep(d.ctx, storeRetryDelay)
	}
	for id, parts := range c.parts {
		d.parts[id] = slices.Max(slices.Collect(maps.Keys(parts)))
	}
	return c.joined()
}

// progressCollector collects a pool's progress records by job ID. A record that cannot be
// decoded becomes nil, so that it does not prevent the takeover of the pool.
type progressCollector struct {
	pool  string
	byJob map[string]*jaywire.JobProgress
	// parts are the further records of jobs whose progress has several.
	parts  map[string]map[int]*jaywire.JobProgress
	logger logr.Logger
	// delay receives the takeover delay.
	delay *jayownership.TakeoverDelay
	// read counts the collected records, without further parts.
	read *atomic.Int64
}

// Reset discards the collected records before a reload.
func (c *progressCollector) Reset() {
	clear(c.byJob)
	clear(c.parts)
	c.delay.Restore(0)
	c.read.Store(0)
}

// Apply decodes a progress record, or the takeover delay.
func (c *progressCollector) Apply(r jayport.Record) {
	if r.Value == nil {
		return
	}
	if jobID(c.pool, r.Key) == takeoverDelayKey {
		c.delay.Restore(jayownership.DecodeTakeoverDelay(r.Value, ownershipTimeout))
		return
	}
	record := &jaywire.JobProgress{}
	if err := proto.Unmarshal(r.Value, record); err != nil {
		c.logger.Error(err, "job progress cannot be decoded", "key", r.Key)
		record = nil
	}
	job, part := jaypart.ParseID(jobID(c.pool, r.Key))
	if part == 0 {
		c.byJob[job] = record
		c.read.Store(int64(len(c.byJob)))
		return
	}
	if c.parts[job] == nil {
		c.parts[job] = map[int]*jaywire.JobProgress{}
	}
	c.parts[job][part] = record
}

// joined returns the progress of each job. That of a job with a missing part cannot be read.
func (c *progressCollector) joined() map[string]*jaywire.JobProgress {
	for id, record := range c.byJob {
		if record != nil && !jaypart.Join(record, c.parts[id]) {
			c.logger.Info("job progress lacks a part", "job", id, "parts", record.Parts, "found", len(c.parts[id]))
			c.byJob[id] = nil
		}
	}
	return c.byJob
}

// CaughtUp implements jaytail.Handler and does nothing.
func (c *progressCollector) CaughtUp(time.Duration) {}

// progressRecords returns the records of a batch, sorted by key. Its error names a job whose progress
// cannot be encoded; nothing of the batch may be recorded then, since the ends in it would be
// acknowledged.
func (d *poolDuty) progressRecords(batch *jaysched.Batch) ([]jayport.Record, error) {
	var records []jayport.Record
	for id, progress := range batch.Progress {
		if progress.Outcome != jaywire.JobOutcome_JOB_OUTCOME_UNSPECIFIED {
			progress.EndedUnixMillis = time.Now().UnixMilli()
		}
		parts := jaypart.Split(progress, jaypart.MaxBytes)
		if len(parts) > 1 {
			d.parts[id] = max(d.parts[id], len(parts)-1)
		}
		for n, part := range parts {
			value, err := proto.Marshal(part)
			if err != nil {
				return nil, fmt.Errorf("progress of job %q cannot be encoded: %w", id, err)
			}
			records = append(records, jayport.Record{Key: jobKey(d.name, jaypart.ID(id, n)), Value: value})
		}
	}
	slices.SortFunc(records, func(a, b jayport.Record) int { return strings.Compare(a.Key, b.Key) })
	return records, nil
}

// jobTail reads the jobs that are submitted for a pool.
type jobTail struct {
	duty *poolDuty
	tail *jaytail.Tail
	// loaded holds the jobs that were read during the takeover by ID, until their
	// progress is known.
	loaded  map[string]*jayspec.Job
	loading bool
	open    int
	ended   int
}

func newJobTail(d *poolDuty) *jobTail {
	t := &jobTail{duty: d, loading: true, loaded: map[string]*jayspec.Job{}}
	n := d.node
	t.tail = jaytail.New(n.store, n.ports.Formats.Own(topicJobs, n.partitionOf(d.name)),
		jaytail.Options{Prefix: d.name + "/", Wait: jobsWait, Pause: jobsReadDelay}, t, n.clock, d.logger)
	return t
}

// Reset begins a reload; known jobs are kept.
func (t *jobTail) Reset() {
	if !t.loading {
		t.duty.post(func(time.Duration) { t.duty.pool.JobsReloaded() })
	}
}

// CaughtUp implements jaytail.Handler and does nothing.
func (t *jobTail) CaughtUp(time.Duration) {}

// Apply decodes a job's declaration and passes the job to the pool.
func (t *jobTail) Apply(r jayport.Record) {
	id := jobID(t.duty.name, r.Key)
	if r.Value == nil {
		return
	}
	job, err := decodeJob(t.duty.name, id, r.Value)
	if err != nil {
		t.duty.logger.Error(err, "job declaration cannot be decoded", "job", id, "offset", r.Offset)
		return
	}
	job.Address = t.duty.node.addressOf(job)
	if t.loading {
		t.loaded[id] = job
		t.duty.takeover.jobs.Store(int64(len(t.loaded)))
		return
	}
	t.duty.declare(job, "read", t.duty.pool.DeclareFound)
}

// declare passes a stored job to the pool. A job that the pool already knows is left
// unchanged.
func (d *poolDuty) declare(job *jayspec.Job, how string, declare func(*jayspec.Job, time.Duration) bool) {
	d.post(func(now time.Duration) {
		d.storedJobs.Store(job.ID, job.Organisation)
		if d.pool.CanceledBefore(job.ID, job.Organisation) {
			d.logger.Info("record of a cancelled job arrived", "job", job.ID, "organisation", job.Organisation, "how", how, "age", time.Since(job.Accepted).String())
		}
		if declare(job, now) {
			d.dispute(job, now)
			d.logger.Info("job declared", "job", job.ID, "how", how, "queue", job.Queue, "organisation", job.Organisation, "steps", job.Summary(), "coreSeconds", job.Work(), "within", d.pool.AllowedTime(job.ID).String())
		}
	})
}

// expect notifies the duty of a pool, if this entry owns the pool, of a job that is about
// to be stored.
func (n *Node) expect(pool, id string, value []byte) {
	duty := n.ownedPool(pool)
	if duty == nil || !duty.loaded.Load() {
		return
	}
	if job, err := decodeJob(pool, id, value); err == nil {
		duty.post(func(now time.Duration) { duty.pool.Expect(job, now) })
	}
}

// canceledBefore reports whether this entry owns a pool and a job of the pool was cancelled while it
// was not known.
func (n *Node) canceledBefore(pool, id, organisation string) bool {
	duty := n.ownedPool(pool)
	if duty == nil || !duty.loaded.Load() {
		return false
	}
	if _, canceled := duty.canceled.Load(id); !canceled {
		return false
	}
	before := false
	duty.ask(func() { before = duty.pool.CanceledBefore(id, organisation) }, askTimeout)
	return before
}

// declareStored passes a job that this entry has just stored to the duty of its pool, if
// this entry owns the pool.
func (n *Node) declareStored(pool, id string, value []byte) {
	duty := n.ownedPool(pool)
	if duty == nil {
		return
	}
	job, err := decodeJob(pool, id, value)
	if err != nil {
		duty.logger.Error(err, "job declaration cannot be decoded", "job", id)
		return
	}
	duty.declare(job, "stored", duty.pool.Declare)
}

// isStored reports whether this entry owns a pool and has read a job of the pool from the
// store or has stored it, and the job's organisation.
func (n *Node) isStored(pool, id string) (stored bool, organisation string) {
	duty := n.ownedPool(pool)
	if duty == nil || !duty.loaded.Load() {
		return false, ""
	}
	holder, known := duty.storedJobs.Load(id)
	if !known {
		return false, ""
	}
	return true, holder.(string)
}

// restore passes a stored job with its recorded progress to the pool.
func (t *jobTail) restore(job *jayspec.Job, progress *jaywire.JobProgress, recorded bool) {
	pool, now := t.duty.pool, t.duty.node.clock()
	t.duty.storedJobs.Store(job.ID, job.Organisation)
	if !jaysched.AppliesTo(progress, job.Organisation) {
		progress, recorded = nil, false
	}
	if outcome := jaysched.OutcomeOf(progress); outcome != jaysched.Open {
		pool.RestoreEnded(job.ID, job.Organisation, outcome, now)
		if len(progress.CanceledBy) == 0 && progress.Organisation == job.Organisation {
			pool.RemoveDeclaration(job.ID) // the record alone restores the same
		}
		return
	}
	t.open++
	if recorded && progress == nil {
		t.duty.logger.Info("job held", "job", job.ID, "why", "its progress cannot be read")
		pool.RestoreUnreadable(job, now)
		return
	}
	pool.Restore(job, progress, now)
	t.duty.dispute(job, now)
	t.duty.logger.Info("job declared", "job", job.ID, "how", "restored", "queue", job.Queue, "organisation", job.Organisation, "steps", job.Summary(), "coreSeconds", job.Work(), "within", pool.AllowedTime(job.ID).String(), "restored", true)
}

// finishLoad restores the jobs that were read, and the ended jobs whose declarations have
// already been removed. From then on the tail runs in its own goroutine.
func (t *jobTail) finishLoad(recorded map[string]*jaywire.JobProgress) {
	now := t.duty.node.clock()
	for _, id := range slices.Sorted(maps.Keys(t.loaded)) {
		progress, known := recorded[id]
		t.restore(t.loaded[id], progress, known)
	}
	for id, progress := range recorded {
		if by := progress.GetCanceledBy(); len(by) > 0 {
			t.duty.pool.RestoreCanceled(id, by, now)
			t.duty.canceled.Store(id, true)
			t.ended++
			continue
		}
		if outcome := jaysched.OutcomeOf(progress); outcome != jaysched.Open {
			t.ended++
			if t.loaded[id] != nil {
				continue // restored above
			}
			t.duty.pool.RestoreEnded(id, progress.Organisation, outcome, now)
			t.duty.storedJobs.Store(id, progress.Organisation)
		}
	}
	t.loaded = nil
	t.loading = false
}
