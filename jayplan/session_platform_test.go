package jayplan_test

import (
	"fmt"
	"slices"

	"jaythread/jayplan"
	"jaythread/jayplatform"
)

// This file implements the fake platform of a session. It carries out the planner's orders
// in steps of one second.

// step advances the time by one second: the platform changes, the planner computes a
// round, and the invariants are checked.
func (s *session) step() {
	s.now += tick
	s.boot()
	out := s.planner.Round(jayplan.Input{
		State:            s.state,
		Workers:          s.listed(),
		Now:              sessionStart.Add(s.now),
		MinAppliedOffset: s.state.Offset,
	})
	if !s.storeUnavailable {
		for _, c := range out.Commands {
			s.command("planner", c.Base, c)
		}
	}
	for _, order := range out.Orders {
		s.order(order)
	}
	s.printDecisions()
	s.check()
}

// listed returns the instance list that the planner gets.
func (s *session) listed() map[string]jayplatform.Instance {
	if !s.tasksUnlisted {
		return s.workers
	}
	list := map[string]jayplatform.Instance{}
	for id, w := range s.workers {
		w.Tasks = nil
		list[id] = w
	}
	return list
}

func (s *session) boot() {
	for id, at := range s.backAt {
		if s.now >= at {
			w := s.workers[id]
			w.State = jayplatform.Live
			w.Boots++
			s.workers[id] = w
			delete(s.backAt, id)
		}
	}
}

func (s *session) order(o jayplan.Order) {
	w, known := s.workers[o.Instance]
	if !known {
		return
	}
	switch order := o.Order.(type) {
	case jayplatform.Drain:
		if w.State == jayplatform.Live {
			w.State = jayplatform.Leaving
		}
	case jayplatform.Undrain:
		if w.State == jayplatform.Leaving {
			w.State = jayplatform.Live
		}
	case jayplatform.Reboot:
		if w.State == jayplatform.Leaving {
			w.State = jayplatform.Down
			w.Tasks = nil
			if !s.neverBack[o.Instance] {
				s.backAt[o.Instance] = s.now + bootTime
			}
		}
	case jayplatform.StartTask:
		w.Tasks = setTask(w.Tasks, s.started(o, order))
	case jayplatform.StopTask:
		if w.State == jayplatform.Live || w.State == jayplatform.Leaving {
			w.Tasks = setTask(w.Tasks, jayplatform.TaskReport{
				Job: order.Job, Replica: order.Replica, Fence: o.Fence, State: jayplatform.TaskStopped,
			})
		}
	}
	s.workers[o.Instance] = w
}

func (s *session) started(o jayplan.Order, order jayplatform.StartTask) jayplatform.TaskReport {
	report := jayplatform.TaskReport{
		Job: order.Job, Replica: order.Replica, Fence: o.Fence, State: jayplatform.TaskRunning,
		MemoryMegabytes: s.memoryUse[order.Job], ProcessorsMilli: 1000,
	}
	if s.failingWorkers[o.Instance] {
		report.State = jayplatform.TaskFailed
	}
	name := fmt.Sprintf("%s/%d", order.Job, order.Replica)
	if report.State == jayplatform.TaskRunning {
		s.taskStarts[name]++
	}
	return report
}

func setTask(tasks []jayplatform.TaskReport, report jayplatform.TaskReport) []jayplatform.TaskReport {
	kept := slices.DeleteFunc(slices.Clone(tasks), func(t jayplatform.TaskReport) bool {
		return t.Job == report.Job && t.Replica == report.Replica
	})
	return append(kept, report)
}
