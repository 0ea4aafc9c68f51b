// Package jayload passes the loads of a pool's workers on as differences. The pool's owner keeps
// what it has sent, the fleet's owner what it has received.
//
// It handles this load: the fleet's owner asks each pool for the loads of all workers several times
// a second. In full, they grow with the fleet, while most workers change rarely.
package jayload

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jaythread/jaywire"
)

const (
	// maxRemoved limits the removed workers that a Sender remembers for receivers that have not
	// heard of them. A receiver that lacks more is sent all loads.
	maxRemoved = 1000
	// toleranceMillis is by how much the times of a load may differ from what follows from an
	// earlier report before they are sent again. The receiver's may differ by twice as much.
	toleranceMillis = 20
)

// Sender makes the reports of a pool's owner. It must not be used concurrently.
type Sender struct {
	epoch   uint64
	seq     int64
	loads   map[string]*sent
	removed []removal
	// removedSince is the report up to which removals have been forgotten.
	removedSince int64
}

// sent is a load, the owner's clock in milliseconds when it was valid, and the number of the
// report that contained it first.
type sent struct {
	load   *jaywire.WorkerLoad
	at     int64
	report int64
}

// removal is a worker that has left, and the number of the first report without it.
type removal struct {
	worker string
	report int64
}

// NewSender returns a sender that has sent nothing.
func NewSender() *Sender {
	return &Sender{epoch: rand.Uint64(), loads: map[string]*sent{}}
}

// Report writes the present loads, which are sorted by worker, to a report for a receiver that has
// applied the reports up to a number of an epoch. clockMillis is the owner's clock.
func (s *Sender) Report(report *jaywire.DemandReport, loads []*jaywire.WorkerLoad, clockMillis int64, epoch uint64, since int64) {
	s.seq++
	for _, l := range loads {
		former, known := s.loads[l.Worker]
		if !known || !near(l, former.load, clockMillis-former.at) {
			s.loads[l.Worker] = &sent{load: l, at: clockMillis, report: s.seq}
		}
	}
	s.remove(loads)
	whole := epoch != s.epoch || since <= s.removedSince || since >= s.seq
	report.LoadsEpoch, report.LoadsReport = s.epoch, s.seq
	if whole {
		report.Workers = loads
		return
	}
	report.LoadsSince = since
	for _, l := range loads {
		if held := s.loads[l.Worker]; held.report > since {
			report.Workers = append(report.Workers, l)
		}
	}
	for _, r := range s.removed {
		if r.report > since {
			report.WorkersRemoved = append(report.WorkersRemoved, r.worker)
		}
	}
}

// remove forgets the loads of workers that are not among the present ones.
func (s *Sender) remove(loads []*jaywire.WorkerLoad) {
	if len(s.loads) == len(loads) {
		return
	}
	for _, worker := range slices.Sorted(maps.Keys(s.loads)) {
		_, present := slices.BinarySearchFunc(loads, worker, func(l *jaywire.WorkerLoad, id string) int { return strings.Compare(l.Worker, id) })
		if !present {
			delete(s.loads, worker)
			s.removed = append(s.removed, removal{worker: worker, report: s.seq})
		}
	}
	if surplus := len(s.removed) - maxRemoved; surplus > 0 {
		s.removedSince = s.removed[surplus-1].report
		s.removed = slices.Delete(s.removed, 0, surplus)
	}
}

// near reports whether a load is what a receiver works out from a former one after a time.
func near(l, former *jaywire.WorkerLoad, elapsedMillis int64) bool {
	return l.UsedMilli == former.UsedMilli && l.Runs == former.Runs && l.LongRuns == former.LongRuns &&
		l.Vacated == former.Vacated && l.GetCapacityMilli() == former.GetCapacityMilli() &&
		l.SpeedPercent == former.SpeedPercent && l.RestartCost == former.RestartCost && l.Restartable == former.Restartable &&
		nearMillis(l.IdleMillis, idleAfter(former, elapsedMillis)) &&
		nearMillis(l.EmptyInMillis, emptyAfter(former, elapsedMillis))
}

func nearMillis(a, b int64) bool {
	return a-b <= toleranceMillis && b-a <= toleranceMillis && (a < 0) == (b < 0) && (a == 0) == (b == 0)
}

// idleAfter returns for how long a worker has been idle if it still is.
func idleAfter(l *jaywire.WorkerLoad, elapsedMillis int64) int64 {
	if l.IdleMillis == 0 && l.Runs > 0 {
		return 0
	}
	return l.IdleMillis + elapsedMillis
}

// emptyAfter returns the expected time until a worker is empty, which may be never.
func emptyAfter(l *jaywire.WorkerLoad, elapsedMillis int64) int64 {
	if l.EmptyInMillis <= 0 {
		return l.EmptyInMillis
	}
	return max(0, l.EmptyInMillis-elapsedMillis)
}

// Receiver keeps the loads of a pool's workers as its owner reports them. It must not be used
// concurrently.
type Receiver struct {
	epoch  uint64
	report int64
	loads  map[string]sent
}

// NewReceiver returns a receiver that has received nothing.
func NewReceiver() *Receiver {
	return &Receiver{loads: map[string]sent{}}
}

// Applied returns the epoch and the number of the last report that was applied, for the next
// request.
func (r *Receiver) Applied() (epoch uint64, report int64) {
	return r.epoch, r.report
}

// Apply applies a report and returns the loads of all workers as of it. It returns false if the
// report builds on one that was not applied; the next one then contains all loads. Reports of an
// entry of an earlier version contain all loads.
func (r *Receiver) Apply(report *jaywire.DemandReport) (loads []*jaywire.WorkerLoad, ok bool) {
	clockMillis := report.ClockMicros / 1000
	switch {
	case report.LoadsSince == 0:
		clear(r.loads)
	case report.LoadsEpoch != r.epoch || report.LoadsSince != r.report:
		r.epoch, r.report = 0, 0
		return nil, false
	}
	r.epoch, r.report = report.LoadsEpoch, report.LoadsReport
	for _, worker := range report.WorkersRemoved {
		delete(r.loads, worker)
	}
	for _, l := range report.Workers {
		r.loads[l.Worker] = sent{load: l, at: clockMillis}
	}
	for _, s := range r.loads {
		loads = append(loads, s.after(clockMillis))
	}
	slices.SortFunc(loads, func(a, b *jaywire.WorkerLoad) int { return strings.Compare(a.Worker, b.Worker) })
	return loads, true
}

// after returns the load at a later time.
func (s sent) after(clockMillis int64) *jaywire.WorkerLoad {
	if clockMillis == s.at {
		return s.load
	}
	l := s.load
	return &jaywire.WorkerLoad{
		Worker: l.Worker, UsedMilli: l.UsedMilli, Runs: l.Runs, LongRuns: l.LongRuns, Vacated: l.Vacated,
		CapacityMilli: l.CapacityMilli, SpeedPercent: l.SpeedPercent, RestartCost: l.RestartCost, Restartable: l.Restartable,
		IdleMillis: idleAfter(l, clockMillis-s.at), EmptyInMillis: emptyAfter(l, clockMillis-s.at),
	}
}

// Digest returns a number that identifies a list of workers.
func Digest(workers []string) uint64 {
	digest := xxhash.New()
	for _, w := range workers {
		_, _ = digest.WriteString(w)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
