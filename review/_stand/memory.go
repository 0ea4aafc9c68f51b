package main

import "time"

func init() { cases["memory"] = playMemory }

// playMemory submits jobs that are due once a minute for a day, and small jobs beside them.
func playMemory(r *record, trouble bool) int {
	s, err := newStand(r, machines, 16, entries)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.line("not run: %v", err)
		return exitNotRun
	}
	go s.limitMemory()
	const jobs, timesADay = 120, 24 * 60
	times := timesADay
	if !trouble {
		times = 10
	}
	body := job{
		Spec: "2s", Steps: []step{{Count: 4, CPU: 1000, MemMB: 1000, EstMs: 2000}, {Count: 6, CPU: 1000, MemMB: 1000, EstMs: 2000, After: []int{0}}},
		Times: times, FirstMs: time.Now().Add(time.Hour).UnixMilli(), IntervalMs: time.Minute.Milliseconds(),
	}
	scheduled := 0
	for until := time.Now().Add(30 * time.Second); scheduled < jobs && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if s.submit(newID(), body) {
			scheduled++
			if scheduled%10 == 0 {
				r.line("%d jobs were accepted; each is due %d times, once a minute, from in an hour on", scheduled, times)
			}
		}
	}
	accepted := s.traffic(20 * time.Second)
	lost := s.judge(accepted, smallTasks)
	killed := 0
	for _, e := range s.entries {
		r.line("%s: most memory seen %d MB, killed %d times", e.name, e.peak, e.killed)
		killed += e.killed
	}
	if lost > 0 {
		r.line("rule LOST is broken for %d of %d jobs; %d scheduled jobs were accepted; entries were killed %d times for their memory", lost, len(accepted), scheduled, killed)
		return exitBroken
	}
	r.line("rule LOST held for %d jobs; %d scheduled jobs were accepted; entries were killed %d times for their memory", len(accepted), scheduled, killed)
	return exitHeld
}
