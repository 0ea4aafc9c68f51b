package jayaccount

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Cause is the reason why a task that was ready to run had no worker.
type Cause uint8

// Causes of waiting.
const (
	// MovingIn means that instances were being moved to the pool.
	MovingIn Cause = iota
	// OutsidePool means that instances were off, or idle in other pools.
	OutsidePool
	// Full means that all instances were in use.
	Full
	// Unknown means that no recent state of the pool was logged, for example
	// because the pool had no owner.
	Unknown
	causeCount
)

var causeNames = [causeCount]string{"on the way", "elsewhere", "full", "unknown"}

// String returns the cause in lower case.
func (c Cause) String() string {
	return causeNames[c]
}

// QueueRow holds the totals of a queue. Durations are summed over the queue's jobs.
type QueueRow struct {
	Queue string
	// Jobs is the number of accepted jobs. Late of them were done after their
	// target time, Open of them have not ended. Refused jobs were never accepted
	// and are not part of Jobs.
	Jobs    int
	Late    int
	Refused int
	Open    int
	// AcceptDelay is the time from submission to acceptance, DeclareDelay the time
	// from acceptance until the pool's owner declared the job, Waited the time during
	// which a task that was ready to run had no worker, by cause, and RecordDelay the
	// time from the job's end until the end was recorded.
	AcceptDelay  time.Duration
	DeclareDelay time.Duration
	Waited       [causeCount]time.Duration
	RecordDelay  time.Duration
	// Starts is the number of runs, Repeats the number of those whose task had run
	// before.
	Starts  int
	Repeats int
}

// PoolRow holds the totals of a pool in instance-seconds.
type PoolRow struct {
	Pool string
	// On is the time for which instances were on, and therefore paid for. Idle is
	// the part of it in which an instance ran nothing, LongRunning the part in
	// which it ran only long-running tasks, and Leaving the part in which it was
	// being emptied. Used is the share of the pool's capacity that tasks occupied,
	// converted to instance-seconds.
	On          float64
	Idle        float64
	LongRunning float64
	Leaving     float64
	Used        float64
}

// SecondRow holds the totals of one second.
type SecondRow struct {
	// Second is the number of the second, counted from the submission of the first
	// job.
	Second int
	// Jobs is the number of jobs submitted in this second, Late the number of those
	// that were done after their target time.
	Jobs int
	Late int
	// Need, On and Off are the mean numbers of instances in this second that were
	// needed, on and off, over all pools.
	Need float64
	On   float64
	Off  float64
}

// Account holds the tables that show where the time of jobs and instances was
// spent.
type Account struct {
	Queues  []QueueRow
	Pools   []PoolRow
	Seconds []SecondRow
	// InTimeBound is an upper bound of the jobs that could have been done in time.
	InTimeBound InTimeBound
}

// timeStep is the resolution at which waits are attributed to causes, and the step
// of the simulation that computes InTimeBound.
const timeStep = 20 * time.Millisecond

// maxStateAge is the age up to which a logged pool state explains a wait.
const maxStateAge = 1200 * time.Millisecond

// Account computes the tables from the log lines read so far.
func (l *LogReader) Account() Account {
	slices.SortStableFunc(l.states, func(a, b poolState) int { return a.at.Compare(b.at) })
	byPool := map[string][]poolState{}
	for _, s := range l.states {
		byPool[s.Pool] = append(byPool[s.Pool], s)
	}
	return Account{Queues: l.queueRows(byPool), Pools: poolRows(byPool), Seconds: l.secondRows(), InTimeBound: l.inTimeBound()}
}

func (l *LogReader) queueRows(byPool map[string][]poolState) []QueueRow {
	rows := map[string]*QueueRow{}
	for _, j := range l.jobs {
		row, known := rows[j.queue]
		if !known {
			row = &QueueRow{Queue: j.queue}
			rows[j.queue] = row
		}
		row.add(j, byPool)
	}
	var list []QueueRow
	for _, queue := range slices.Sorted(maps.Keys(rows)) {
		list = append(list, *rows[queue])
	}
	return list
}

func (r *QueueRow) add(j *job, byPool map[string][]poolState) {
	if j.accepted.IsZero() && j.declared.IsZero() {
		r.Refused++
		return
	}
	r.Jobs++
	r.Starts += j.starts
	r.Repeats += j.repeats
	if !j.accepted.IsZero() && !j.submitted.IsZero() {
		r.AcceptDelay += j.accepted.Sub(j.submitted)
	}
	if !j.accepted.IsZero() && j.declared.After(j.accepted) {
		r.DeclareDelay += j.declared.Sub(j.accepted)
	}
	for cause, d := range waitsOf(j, byPool[j.pool]) {
		r.Waited[cause] += d
	}
	switch {
	case j.ended.IsZero():
		r.Open++
		return
	case j.late():
		r.Late++
	}
	if j.recorded.After(j.ended) {
		r.RecordDelay += j.recorded.Sub(j.ended)
	}
}

// late reports whether a job was done after its target time.
func (j *job) late() bool {
	return j.outcome == "done" && j.within > 0 && !j.submitted.IsZero() && j.ended.Sub(j.submitted) > j.within
}

// waitsOf returns, by cause, the time during which at least one task of a job
// waited for a worker. Overlapping waits are counted once.
func waitsOf(j *job, states []poolState) (waited [causeCount]time.Duration) {
	slices.SortFunc(j.waits, func(a, b interval) int { return a.from.Compare(b.from) })
	var seen time.Time
	for _, w := range j.waits {
		for at := w.from; at.Before(w.to); at = at.Add(timeStep) {
			if at.Before(seen) {
				continue
			}
			waited[causeAt(states, at)] += min(timeStep, w.to.Sub(at))
			seen = at.Add(timeStep)
		}
	}
	return waited
}

// causeAt returns why a pool had no worker at a given time.
func causeAt(states []poolState, at time.Time) Cause {
	n, _ := slices.BinarySearchFunc(states, at, func(s poolState, at time.Time) int { return s.at.Compare(at) })
	if n == 0 || at.Sub(states[n-1].at) > maxStateAge {
		return Unknown
	}
	s := states[n-1]
	switch {
	case s.Coming > 0:
		return MovingIn
	case s.Off > 0:
		return OutsidePool
	default:
		return Full
	}
}

func poolRows(byPool map[string][]poolState) []PoolRow {
	var rows []PoolRow
	for _, pool := range slices.Sorted(maps.Keys(byPool)) {
		row := PoolRow{Pool: pool}
		states := byPool[pool]
		for n := range states[:len(states)-1] {
			s, length := states[n], min(states[n+1].at.Sub(states[n].at), maxStateAge).Seconds()
			row.On += float64(s.On) * length
			row.Idle += float64(s.Idle) * length
			row.LongRunning += float64(s.LongRunning) * length
			row.Leaving += float64(s.Leaving) * length
			if s.RoomMilli > 0 {
				row.Used += float64(s.On) * float64(s.UsedMilli) / float64(s.RoomMilli) * length
			}
		}
		rows = append(rows, row)
	}
	return rows
}

func (l *LogReader) secondRows() []SecondRow {
	var first time.Time
	for _, j := range l.jobs {
		if !j.submitted.IsZero() && (first.IsZero() || j.submitted.Before(first)) {
			first = j.submitted
		}
	}
	rows := map[int]*SecondRow{}
	at := func(t time.Time) *SecondRow {
		second := int(t.Sub(first) / time.Second)
		if rows[second] == nil {
			rows[second] = &SecondRow{Second: second}
		}
		return rows[second]
	}
	for _, j := range l.jobs {
		if j.submitted.IsZero() {
			continue
		}
		row := at(j.submitted)
		row.Jobs++
		if j.late() {
			row.Late++
		}
	}
	addStates(l.states, first, at)
	list := make([]SecondRow, 0, len(rows))
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b SecondRow) int { return cmp.Compare(a.Second, b.Second) })
	return list
}

// addStates adds the mean of the pool states logged in each second to the rows.
func addStates(states []poolState, first time.Time, at func(time.Time) *SecondRow) {
	samples := map[*SecondRow]map[string]float64{}
	for _, s := range states {
		if s.at.Before(first) {
			continue
		}
		row := at(s.at)
		if samples[row] == nil {
			samples[row] = map[string]float64{}
		}
		samples[row][s.Pool]++
	}
	for _, s := range states {
		if s.at.Before(first) {
			continue
		}
		row := at(s.at)
		share := 1 / samples[row][s.Pool]
		row.Need += float64(s.Need) * share
		row.On += float64(s.On) * share
		row.Off += float64(s.Off) * share / float64(len(samples[row]))
	}
}

// Write prints the tables as text.
func (a Account) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "queue\tjobs\tlate\trefused\topen\tstored s\ttaken s\ton the way s\telsewhere s\tfull s\tunknown s\tshown s\tstarts\trepeats\t")
	for _, r := range a.Queues {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t", r.Queue, r.Jobs, r.Late, r.Refused, r.Open, r.AcceptDelay.Seconds(), r.DeclareDelay.Seconds())
		for _, d := range r.Waited {
			fmt.Fprintf(w, "%.1f\t", d.Seconds())
		}
		fmt.Fprintf(w, "%.1f\t%d\t%d\t\n", r.RecordDelay.Seconds(), r.Starts, r.Repeats)
	}
	fmt.Fprintln(w, "\npool\ton s\tused s\tidle s\tlasting s\tleaving s\t")
	for _, r := range a.Pools {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", r.Pool, r.On, r.Used, r.Idle, r.LongRunning, r.Leaving)
	}
	fmt.Fprintln(w, "\nsecond\tjobs\tlate\tneed\ton\toff\t")
	for _, r := range a.Seconds {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", r.Second, r.Jobs, r.Late, r.Need, r.On, r.Off)
	}
	fmt.Fprintf(w, "\njobs with a time: %d; in time: %d; in time at best, if every instance served every pool: %d\n", a.InTimeBound.Jobs, a.InTimeBound.InTime, a.InTimeBound.Possible)
	return w.Flush()
}
