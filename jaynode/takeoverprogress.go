package jaynode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// takeoverStep is a step of the takeover of a pool, as named in the log.
type takeoverStep string

const (
	fencing         takeoverStep = "fence"
	readingProgress takeoverStep = "reading progress"
	readingJobs     takeoverStep = "reading jobs"
	awaitingDelay   takeoverStep = "takeover delay"
	restoring       takeoverStep = "restoring"
)

// takeoverReportInterval is the time between two reports of a takeover that goes on. It is a fraction of
// leaseTime, so that a takeover is reported before the leases of the workers end.
const takeoverReportInterval = leaseTime / 4

// takeoverProgress records how far the takeover of a pool is and how long its steps take.
type takeoverProgress struct {
	// jobs and records count the jobs, and the jobs with recorded progress, that were read.
	jobs, records atomic.Int64

	mu     sync.Mutex
	began  time.Duration
	step   takeoverStep
	stepAt time.Duration
	took   map[takeoverStep]time.Duration
}

// enter ends the present step and begins the next one.
func (p *takeoverProgress) enter(step takeoverStep, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.step == "" {
		p.began, p.took = now, map[takeoverStep]time.Duration{}
	} else {
		p.took[p.step] += now - p.stepAt
	}
	p.step, p.stepAt = step, now
}

// present returns the present step, and since when it and the takeover have lasted.
func (p *takeoverProgress) present() (step takeoverStep, stepAt, began time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.step, p.stepAt, p.began
}

// watchTakeover begins the takeover's first step and reports the takeover at intervals until the duty
// ends or stop is called. No report follows once stop has returned.
func (d *poolDuty) watchTakeover() (stop func()) {
	d.takeover.enter(fencing, d.node.clock())
	ctx, cancel := context.WithCancel(d.ctx)
	var reports sync.WaitGroup
	reports.Go(func() { d.reportTakeover(ctx) })
	return func() {
		cancel()
		reports.Wait()
	}
}

// reportTakeover logs and measures a takeover that goes on until the context ends.
func (d *poolDuty) reportTakeover(ctx context.Context) {
	defer d.node.metrics.RemoveTakeover(d.name)
	ticker := time.NewTicker(takeoverReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.node.clock()
		step, stepAt, began := d.takeover.present()
		d.node.metrics.SetTakeover(d.name, now-began)
		d.logger.Info("takeover goes on", "term", d.claim.Term, "step", string(step), "lasted", (now - began).String(), "inStep", (now - stepAt).String(),
			"jobsRead", d.takeover.jobs.Load(), "progressRead", d.takeover.records.Load())
	}
}

// takenOver logs and measures the takeover, which is complete.
func (d *poolDuty) takenOver() {
	p := &d.takeover
	now := d.node.clock()
	p.enter("", now)
	d.node.metrics.DutyChanged(string(d.claim.Duty), "takenOver")
	d.node.metrics.TakenOver(now - p.began)
	d.logger.Info("taken over", "term", d.claim.Term, "jobs", d.jobs.open, "ended", d.jobs.ended, "took", (now - p.began).String(),
		"tookFence", p.took[fencing].String(), "tookRead", (p.took[readingProgress] + p.took[readingJobs]).String(),
		"tookDelay", p.took[awaitingDelay].String(), "tookRestore", p.took[restoring].String())
}
