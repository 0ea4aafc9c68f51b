package jayfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
)

// The tests in this file check each time and fraction that controls a decision against a
// literal value: a test that used the constant's name would follow a change of the
// constant.

const move = 1500 * time.Millisecond

// checkThreshold checks that the result of a predicate changes at a threshold: its results
// shortly before and shortly after differ.
func checkThreshold(t *testing.T, name string, until time.Duration, predicate func(after time.Duration) bool) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Helper()
		slack := until / 10
		before, after := predicate(until-slack), predicate(until+slack)
		if before == after {
			t.Errorf("%v at %v and at %v", before, until-slack, until+slack)
		}
	})
}

// listed returns a fleet with the given numbers of hosts up in pool seats and on standby.
func listed(on, off int) *Fleet {
	f := New(Settings{MoveTime: move, MaintenanceTime: 2 * time.Second})
	f.SetPools([]string{"fees", "seats"}, []string{"standby"})
	var hosts []jayport.Host
	for n := range on + off {
		h := jayport.Host{Name: fmt.Sprintf("m%03d", n), Pool: "seats", State: jayport.HostUp, Worker: fmt.Sprint("w", n), Capacity: jaypool.Resources{ProcessorsMilli: hostMilli}}
		if n >= on {
			h.Pool, h.Worker = "standby", ""
		}
		hosts = append(hosts, h)
	}
	f.ApplyInventory(hosts, time.Minute)
	return f
}

func TestIdleHostThresholds(t *testing.T) {
	minIdleTime := func(keep int, enoughStandby bool, expected time.Duration) {
		is.New(t).Equal(listed(9, 9).minIdleTime(&poolBalance{have: 5, keep: keep}, enoughStandby), expected)
	}
	minIdleTime(5, true, 1200*time.Millisecond) // 0.8 of the move time
	minIdleTime(4, true, 200*time.Millisecond)  // beyond keep
	minIdleTime(4, false, 1200*time.Millisecond)
	t.Run("a fifth of all hosts must be on standby", func(t *testing.T) {
		is := is.New(t)
		is.True(listed(79, 21).enoughStandby(21, time.Minute))
		is.True(!listed(81, 19).enoughStandby(19, time.Minute))
	})
	checkThreshold(t, "surplus hosts are kept for 3 s after a takeover", 3*time.Second, func(after time.Duration) bool {
		f := listed(50, 50)
		f.decidingSince = time.Minute
		return f.enoughStandby(50, time.Minute+after)
	})
	checkThreshold(t, "a host that becomes empty within 0.825 s can be reclaimed", 825*time.Millisecond, func(emptyIn time.Duration) bool {
		f := listed(1, 0)
		s := f.poolBalance("seats", Demand{Loads: map[string]Load{"w0": {Runs: 1, EmptyIn: emptyIn}}}, f.sorted, f.meanCapacity(), time.Minute)
		return len(s.soonEmpty) == 1
	})
	checkThreshold(t, "a host that becomes empty within 3 s can be shared", 3*time.Second, func(emptyIn time.Duration) bool {
		f := listed(1, 0)
		s := f.poolBalance("seats", Demand{Loads: map[string]Load{"w0": {Runs: 1, EmptyIn: emptyIn}}}, f.sorted, f.meanCapacity(), time.Minute)
		return len(s.laterEmpty) == 1
	})
	checkThreshold(t, "a demand is valid for 1 s", time.Second, func(age time.Duration) bool {
		f := listed(1, 0)
		f.SetDemand("seats", Demand{At: time.Minute})
		return len(f.balances(time.Minute+age)) == 1
	})
	t.Run("one host in reserve", func(t *testing.T) {
		is := is.New(t)
		is.Equal(hostsFor(0, hostMilli), 1)
		is.Equal(hostsFor(2*hostMilli, hostMilli), 3)
		is.Equal(hostsFor(2*hostMilli+1, hostMilli), 4)
	})
}

func TestShareThresholds(t *testing.T) {
	isShort := func(have int, after time.Duration) bool {
		f := listed(1, 0)
		b := &poolBalance{pool: "seats", have: have}
		f.shortForLong(b, 20, time.Minute)
		return f.shortForLong(b, 20, time.Minute+after)
	}
	checkThreshold(t, "a pool lacks hosts after 4.5 s", 4500*time.Millisecond, func(after time.Duration) bool {
		return isShort(1, after)
	})
	t.Run("a pool lacks hosts with less than half of its share", func(t *testing.T) {
		is := is.New(t)
		is.True(isShort(9, time.Minute))
		is.True(!isShort(10, time.Minute))
	})
	t.Run("pools end up within a tenth of their shares", func(t *testing.T) {
		is := is.New(t)
		w := scarce(t, 40, 0)
		w.steps(20 * time.Second)
		is.Equal(w.hostsUp("fees"), 18)
		is.Equal(w.hostsUp("seats"), 22)
	})
}

func TestWaveThresholds(t *testing.T) {
	late := func(left int, remaining time.Duration) bool {
		f := listed(1, 0)
		return f.late(&wave{Wave: jayport.Wave{Within: time.Minute, MaxAtOnce: 4}}, left, time.Minute-remaining)
	}
	checkThreshold(t, "a wave of one round is late with 1.5 rounds and 3 s left", 8250*time.Millisecond, func(remaining time.Duration) bool {
		return late(4, remaining)
	})
	checkThreshold(t, "a wave of two rounds is late with 3 rounds and 3 s left", 13500*time.Millisecond, func(remaining time.Duration) bool {
		return late(8, remaining)
	})
	checkThreshold(t, "the pace of a wave is planned for 0.6 of its time", 36*time.Second, func(after time.Duration) bool {
		w := &wave{Wave: jayport.Wave{Within: time.Minute, MaxAtOnce: 400}}
		return w.atOnce(4, 3500*time.Millisecond, after) < 400
	})
	t.Run("half of a pool's hosts stay open", func(t *testing.T) {
		is := is.New(t)
		f := listed(10, 0)
		for n := range 5 {
			is.True(closable(f))
			f.sorted[n].vacating = forWave
		}
		is.True(!closable(f))
	})
	t.Run("a long-running task costs as much as four cores", func(t *testing.T) {
		is := is.New(t)
		f := listed(1, 0)
		f.SetDemand("seats", Demand{Loads: map[string]Load{"w0": {UsedMilli: 500, LongRuns: 2}}})
		is.Equal(f.cost(f.sorted[0]), int64(8500))
	})
	t.Run("a round takes 1.5 s more than the maintenance", func(t *testing.T) {
		is.New(t).Equal(listed(1, 0).roundTime(), 3500*time.Millisecond)
	})
	checkThreshold(t, "a command without an answer is repeated after 0.3 s", 300*time.Millisecond, func(after time.Duration) bool {
		f := listed(0, 1)
		f.begin(f.sorted[0], moving{to: "seats"}, "test", time.Minute)
		f.sorted[0].sending = false
		f.actions = nil
		f.resend(time.Minute + after)
		return len(f.actions) == 1
	})
}

func TestGuardThresholds(t *testing.T) {
	checked := Guard{FencesChecked: true, OwnerChangeDelay: 3 * time.Second, CallTime: 700 * time.Millisecond}
	unchecked := Guard{OwnerChangeDelay: time.Second, CallTime: 700 * time.Millisecond}
	is := is.New(t)
	is.Equal(checked.HoldTime(), 3*time.Second)
	is.Equal(unchecked.HoldTime(), 1700*time.Millisecond) // covers a command sent at the last permitted moment
	is.Equal(checked.RecordTimeout(), 150*time.Millisecond)
	is.Equal(unchecked.RecordTimeout(), time.Second)
	checkThreshold(t, "a command older than 1 s is not sent", time.Second, func(age time.Duration) bool {
		return unchecked.MaySend(Recorded, maxCommandAge, age)
	})
	checkThreshold(t, "no command is decided once a record has been pending for 1 s", time.Second, unchecked.MayDecide)
	day := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	checkThreshold(t, "a command by an unknown clock holds its host for up to 8 s", 8*time.Second, func(age time.Duration) bool {
		command := RecordedCommand{At: day.Add(-age)}
		return checked.HeldUntil(command, Takeover{Clock: time.Hour, WallTime: day, Started: day.Add(-time.Hour)}) > 0
	})
}

// closable reports whether one more host of the seats may be closed for a wave.
func closable(f *Fleet) bool {
	f.countClosed()
	return f.closed["seats"].mayClose()
}
