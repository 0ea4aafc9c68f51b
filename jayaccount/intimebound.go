package jayaccount

import (
	"cmp"
	"slices"
	"time"
)

// InTimeBound compares the jobs that were done in time with an upper bound.
type InTimeBound struct {
	// Jobs is the number of accepted jobs that were done and have a target time.
	// InTime of them were done within it.
	Jobs   int
	InTime int
	// Possible is an upper bound of the jobs that could have been done in time, by
	// their declared work: it assumes that every instance served every pool all the
	// time and that work could be divided at will. No placement does better, since
	// moves, steps and instance sizes only reduce the capacity.
	Possible int
}

// inTimeBound computes the bound by serving the jobs in the order of their target times,
// with the capacity of all instances.
func (l *LogReader) inTimeBound() InTimeBound {
	var jobs []*job
	var b InTimeBound
	for _, j := range l.jobs {
		if j.submitted.IsZero() || j.accepted.IsZero() || j.within <= 0 || j.work <= 0 || j.outcome != "done" {
			continue
		}
		jobs = append(jobs, j)
		b.Jobs++
		if !j.late() {
			b.InTime++
		}
	}
	b.Possible = maxInTime(jobs, l.totalCores())
	return b
}

// totalCores returns the largest number of cores that all instances had together,
// on or off. Instances that are off are assumed to have the average size of those
// that are on.
func (l *LogReader) totalCores() float64 {
	on, milli := map[string]int{}, map[string]int64{}
	most := 0.0
	for _, s := range l.states {
		on[s.Pool], milli[s.Pool] = s.On, s.RoomMilli
		instances, cores := 0, 0.0
		for pool := range on {
			instances += on[pool]
			cores += float64(milli[pool]) / 1000
		}
		if instances > 0 {
			most = max(most, cores/float64(instances)*float64(instances+s.Off))
		}
	}
	return most
}

// maxInTime returns the number of jobs that could be done in time with the given
// number of cores.
func maxInTime(jobs []*job, cores float64) int {
	slices.SortFunc(jobs, func(a, b *job) int { return a.submitted.Compare(b.submitted) })
	if len(jobs) == 0 || cores <= 0 {
		return 0
	}
	type waiting struct {
		target time.Time
		left   float64
	}
	var queue []*waiting
	done, next := 0, 0
	for at := jobs[0].submitted; next < len(jobs) || len(queue) > 0; at = at.Add(timeStep) {
		for ; next < len(jobs) && !jobs[next].submitted.After(at); next++ {
			j := jobs[next]
			queue = append(queue, &waiting{target: j.submitted.Add(j.within), left: j.work})
		}
		slices.SortFunc(queue, func(a, b *waiting) int { return cmp.Or(a.target.Compare(b.target), cmp.Compare(a.left, b.left)) })
		room := cores * timeStep.Seconds()
		queue = slices.DeleteFunc(queue, func(w *waiting) bool {
			if w.target.Before(at) {
				return true
			}
			served := min(room, w.left)
			room -= served
			w.left -= served
			if w.left <= 0 {
				done++
			}
			return w.left <= 0
		})
	}
	return done
}
