package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTimeoutsFollowLatency(t *testing.T) {
	is := is.New(t)
	l := NewLatency()
	settle := func(took time.Duration) {
		for range 100 {
			l.Answered(took, false)
		}
	}
	is.Equal(l.OrderTimeout(), minOrderTimeout) // no observation yet
	settle(3 * time.Millisecond)
	is.Equal(l.OrderTimeout(), minOrderTimeout)
	is.Equal(l.ReportTimeout(), minReportTimeout)
	settle(10 * time.Millisecond)
	is.True(l.OrderTimeout() > 250*time.Millisecond && l.OrderTimeout() < maxOrderTimeout)
	settle(80 * time.Millisecond)
	is.Equal(l.OrderTimeout(), maxOrderTimeout)
	is.Equal(l.ReportTimeout(), maxReportTimeout)
	settle(time.Second)
	is.Equal(l.OrderTimeout(), maxCongestedTimeout)
	is.Equal(l.ReportTimeout(), maxCongestedTimeout)
	settle(2 * time.Millisecond)
	is.Equal(l.OrderTimeout(), minOrderTimeout)
}

func TestSlowAnswersReduceStartsInFlight(t *testing.T) {
	answer := func(l *Latency, times int, took time.Duration, lost bool) {
		for range times {
			l.Sent()
			l.Answered(took, lost)
		}
	}
	t.Run("starts in flight count", func(t *testing.T) {
		is := is.New(t)
		l := NewLatency()
		is.Equal(l.Starts(), initialStarts)
		for range initialStarts + 1 {
			l.Sent()
		}
		is.Equal(l.Starts(), 0)
	})
	t.Run("fewer with each slow answer, down to a minimum", func(t *testing.T) {
		is := is.New(t)
		l := NewLatency()
		answer(l, 10, slowAnswer+1, false)
		is.True(l.Starts() < initialStarts*2/3)
		answer(l, 100, slowAnswer+1, false)
		is.Equal(l.Starts(), minStarts)
	})
	t.Run("more with each fast answer", func(t *testing.T) {
		is := is.New(t)
		l := NewLatency()
		answer(l, 100, slowAnswer+1, false)
		answer(l, 100, slowAnswer, false)
		is.Equal(l.Starts(), minStarts+100)
		answer(l, 2*maxStarts, slowAnswer, false)
		is.Equal(l.Starts(), maxStarts)
	})
	t.Run("lost answers change nothing", func(t *testing.T) {
		is := is.New(t)
		l := NewLatency()
		answer(l, 100, time.Second, true)
		is.Equal(l.Starts(), initialStarts)
		is.Equal(l.OrderTimeout(), minOrderTimeout)
	})
}

func TestStartsPerDecisionAreLimited(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	w.pool.SetStarts(3)
	w.pool.Declare(newSpec("j", 1, tasks(6, 1000, 100)), w.now)
	w.pool.Decide(w.now)
	is.Equal(w.pool.Pending("q", ""), 1)
	is.Equal(w.pool.jobs["j"].waiting, 3)
	is.True(!w.pool.LacksRoom()) // there is room
	w.pool.SetStarts(10)
	w.pool.Decide(w.now)
	is.Equal(w.pool.jobs["j"].waiting, 0)
}
