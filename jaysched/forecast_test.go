package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

func TestChanceIsNotTakenForGrowth(t *testing.T) {
	// Symptom: in the middle of a rush a third of the hosts that are on run
	// nothing.
	// Sequence: jobs come and end one by one, so that the pool's use goes up and
	// down; hosts are asked for each time it goes up.
	// Cause: any growth was extrapolated.
	is := is.New(t)
	w := newWorld(t, 40)
	declared := 0
	for _, jobs := range []int{20, 21, 21, 21, 22, 22, 22, 23} {
		for ; declared < jobs; declared++ {
			declare(w, newSpec(fmt.Sprint("j", declared), 1))
		}
		w.reports()
		if jobs > 20 {
			is.Equal(w.pool.Demand(w.now).NeedMilli, int64(2000*declared))
		}
		w.pass(200 * time.Millisecond)
		if jobs == 20 {
			w.pass(3 * time.Second)
		}
	}
}

func TestRushIsForeseenBeforeItFindsNoRoom(t *testing.T) {
	// Symptom: in a rush the hosts come a second later than they could.
	// Sequence: a pool has free room when a rush begins; its first jobs run at
	// once; hosts are asked for when the room is full.
	// Cause: only what waits was taken for a sign of a rush.
	is := is.New(t)
	w := newWorld(t, 40)
	for n := range 20 {
		declare(w, newSpec(fmt.Sprint("j", n), 4))
		w.pass(25 * time.Millisecond)
	}
	w.reports()
	// Forty jobs a second of four steps, each two cores for a second.
	need := w.pool.Demand(w.now).NeedMilli
	is.True(need > 100_000)
	is.True(need < 320_000)
}

func TestPoolIsCrowdedWhileTasksWaitForRoom(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.reports()
	declare(w, newSpec("j", 1, func(s *jayspec.Step) { s.Tasks = 5 })) // there is room for four
	is.True(w.pool.Crowded())
	w.addWorker("w9")
	w.list()
	w.run()
	w.reports()
	w.run()
	is.True(!w.pool.Crowded())
}

func TestJobsThatWaitToBeStoredAreExpected(t *testing.T) {
	// Symptom: after an outage of the store in a rush, jobs wait for a move more.
	// Sequence: the jobs of the rush wait to be stored; they are stored together when
	// the store is back; only then does the pool ask for hosts.
	// Cause: what waited to be stored was no demand.
	is := is.New(t)
	w := newWorld(t, 1)
	before := w.pool.Demand(w.now).NeedMilli
	var specs []*jayspec.Job
	for n := range 40 {
		spec := newSpec(fmt.Sprint("j", n), 4)
		specs = append(specs, spec)
		w.now += 20 * time.Millisecond
		w.pool.Expect(spec, w.now)
		w.pool.Expect(spec, w.now) // its caller comes again
	}
	expected := w.pool.Demand(w.now).NeedMilli
	is.True(expected > 4*before)
	work := 0.0
	for _, a := range w.pool.offeredWork.arrivals {
		work += a.work
	}
	for _, spec := range specs {
		w.pool.Declare(spec, w.now)
	}
	after := 0.0
	for _, a := range w.pool.offeredWork.arrivals {
		after += a.work
	}
	is.Equal(work, after) // each counts once
	is.Equal(len(w.pool.expected), 0)
	w.pool.Expect(newSpec("never", 1), w.now)
	w.now += 2 * expectedTTL
	w.pool.Expect(newSpec("later", 1), w.now)
	is.Equal(len(w.pool.expected), 1)
}
