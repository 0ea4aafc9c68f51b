package main

import (
	"sync"
	"time"
)

func init() { cases["trial"] = playTrial }

// playTrial submits long jobs, of which some can never be done, and then small ones.
func playTrial(r *record, trouble bool) int {
	const (
		machines, room, entries = 8, 128, 4
		length                  = 3 * time.Second
		jobs, tasks             = 160, 2
		// poisonEvery makes a twentieth of the jobs one that can never be done.
		poisonEvery = 20
	)
	s, err := newStand(r, machines, room, entries)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.line("not run: %v", err)
		return exitNotRun
	}
	var all sync.WaitGroup
	poison := 0
	for n := range jobs {
		body := job{Spec: "60s", Steps: []step{{Count: tasks, CPU: 1000, MemMB: 1000, EstMs: 60_000}}}
		if n%poisonEvery == poisonEvery/2 && trouble {
			body.Spec = "fail"
			poison++
		}
		all.Go(func() { s.submit(newID(), body) })
		time.Sleep(length / jobs)
	}
	all.Wait()
	r.line("%d jobs of %d tasks of 60 s were accepted within %v; %d of them can never be done", jobs, tasks, length, poison)
	time.Sleep(5 * time.Second)
	r.line("%d tasks run on workers with room for %d", s.look().running, s.look().capacity)
	accepted := s.traffic(10 * time.Second)
	if lost := s.judge(accepted, smallTasks); lost > 0 {
		r.line("rule LOST is broken for %d of %d jobs", lost, len(accepted))
		return exitBroken
	}
	r.line("rule LOST held for %d jobs", len(accepted))
	return exitHeld
}
