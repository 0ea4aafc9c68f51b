package jayjournal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jayport"
)

// scriptedStore responds to the first appends as its script specifies; later ones
// succeed. Like the platform's store it applies each sequence number once.
type scriptedStore struct {
	jayport.Store
	mu     sync.Mutex
	script []scriptedResponse
	taken  map[int64][]jayport.Record
	order  []string
	calls  int
	epoch  int64
	// numbered is true if appends without records need a sequence number too.
	numbered bool
}

// scriptedResponse is one response of the script. If done is true, the append takes effect
// even if the response is an error.
type scriptedResponse struct {
	err  error
	done bool
}

var (
	lostAfterAppend  = scriptedResponse{err: fmt.Errorf("%w: test", jayport.ErrNoAnswer), done: true}
	lostBeforeAppend = scriptedResponse{err: fmt.Errorf("%w: test", jayport.ErrNoAnswer)}
	rejected         = scriptedResponse{err: fmt.Errorf("%w: test", jayport.ErrRejected)}
)

func newStore(script ...scriptedResponse) *scriptedStore {
	return &scriptedStore{script: script, taken: map[int64][]jayport.Record{}}
}

// Append applies an append unless the script specifies otherwise. When the response is
// lost, only the caller of this append waits for its timeout.
func (s *scriptedStore) Append(a jayport.Append, timeout time.Duration) (jayport.Appended, error) {
	err := s.apply(a)
	if errors.Is(err, jayport.ErrNoAnswer) {
		time.Sleep(timeout)
	}
	return jayport.Appended{}, err
}

func (s *scriptedStore) apply(a jayport.Append) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	next := scriptedResponse{done: true}
	if len(s.script) > 0 {
		next, s.script = s.script[0], s.script[1:]
	}
	if len(a.Records) == 0 && s.numbered && a.Producer.Sequence == 0 {
		return &jayport.SequenceError{Expected: 7}
	}
	if a.Producer.Epoch < s.epoch {
		return &jayport.FencedError{}
	}
	if next.done {
		s.epoch = a.Producer.Epoch
	}
	if next.done && len(a.Records) > 0 {
		if _, repeated := s.taken[a.Producer.Sequence]; !repeated {
			s.taken[a.Producer.Sequence] = a.Records
			for _, r := range a.Records {
				s.order = append(s.order, r.Key)
			}
		}
	}
	return next.err
}

// start runs a journal on a store with the fake clock of synctest.
func start(t *testing.T, s *scriptedStore, options ...Option) *Journal {
	t.Helper()
	j := New(s, jayport.Partition{Topic: "jobs"}, "entry", 1, jayclock.Since(time.Now().Add(-time.Hour)), logr.Discard(), options...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		// Attempts in flight end by their own timeouts.
		time.Sleep(maxTimeout)
	})
	go func() { _ = j.Run(ctx) }()
	return j
}

// add adds an entry with one key and returns it with the channel that receives its
// outcome.
func add(t *testing.T, j *Journal, key string) (*Entry, chan error) {
	t.Helper()
	done := make(chan error, 1)
	e := NewEntry([]jayport.Record{{Key: key}}, func(err error) { done <- err })
	is.New(t).NoErr(j.Add(e))
	return e, done
}

func TestAppendOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		script  []scriptedResponse
		options []Option
		want    error
		keys    []string
	}{
		{"append succeeds", nil, nil, nil, []string{"a"}},
		// A missing response must not be treated as a failed append: the job
		// would be accepted twice, or never.
		{"response lost, append applied", []scriptedResponse{lostAfterAppend}, nil, nil, []string{"a"}},
		{"response lost, append not applied", []scriptedResponse{lostBeforeAppend, lostAfterAppend, lostBeforeAppend}, nil, nil, []string{"a"}},
		{"rejected, retried", []scriptedResponse{rejected, rejected}, nil, nil, []string{"a"}},
		{"rejected, reported as failed", []scriptedResponse{rejected}, []Option{WithFailOnReject()}, jayport.ErrRejected, nil},
		// The response to an append is lost and the retry is rejected. The
		// rejection proves nothing about the first attempt: a job that was
		// reported as refused could run.
		{"response lost, retry rejected", []scriptedResponse{lostAfterAppend, rejected}, []Option{WithFailOnReject()}, nil, []string{"a"}},
		{"response lost, retries rejected beyond the timeout of the first attempt", append([]scriptedResponse{lostAfterAppend}, slices.Repeat([]scriptedResponse{rejected}, 12)...), []Option{WithFailOnReject()}, nil, []string{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStore(c.script...)
				j := start(t, s, c.options...)
				_, done := add(t, j, "a")
				is.True(errors.Is(<-done, c.want))
				is.Equal(s.order, c.keys)
			})
		})
	}
}

func TestQueuedEntriesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore(lostBeforeAppend)
		j := start(t, s)
		_, first := add(t, j, "a")
		synctest.Wait()
		var others []chan error
		for n := range 50 {
			_, done := add(t, j, fmt.Sprint(n))
			others = append(others, done)
		}
		is.NoErr(<-first)
		for _, done := range others {
			is.NoErr(<-done)
		}
		is.Equal(s.calls, 3) // the attempt without a response, its retry, and one append for the others
		is.Equal(len(s.order), 51)
	})
}

func TestWithdraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore(lostBeforeAppend)
		j := start(t, s)
		sent, done := add(t, j, "sent")
		synctest.Wait()
		waiting, never := add(t, j, "waiting")
		is.True(!sent.Withdraw()) // it may have taken effect
		is.True(waiting.Withdraw())
		is.True(j.AppendAge() == 0)
		time.Sleep(100 * time.Millisecond)
		is.Equal(j.AppendAge(), 100*time.Millisecond)
		is.NoErr(<-done)
		synctest.Wait()
		is.Equal(s.order, []string{"sent"})
		is.Equal(len(never), 0)
	})
}

func TestHigherEpochStopsJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		j := New(s, jayport.Partition{}, "pool", 3, jayclock.Since(time.Now()), logr.Discard())
		s.epoch = 4
		var fenced *jayport.FencedError
		is.True(errors.As(j.Fence(t.Context()), &fenced))
		_, done := add(t, j, "a")
		is.True(errors.As(j.Run(t.Context()), &fenced))
		is.True(errors.As(<-done, &fenced))
		is.Equal(len(s.order), 0)
	})
}

func TestEmptyEntryChecksFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		s.numbered = true
		j := start(t, s)
		ask := func() error {
			done := make(chan error, 1)
			is.NoErr(j.Add(NewEntry(nil, func(err error) { done <- err })))
			return <-done
		}
		_, added := add(t, j, "a")
		is.NoErr(<-added)
		is.NoErr(ask()) // a store that checks the sequence number of an empty append gives the same result
		_, added = add(t, j, "b")
		is.NoErr(<-added)
		is.Equal(s.order, []string{"a", "b"})
		s.mu.Lock()
		s.numbered, s.epoch = false, 4
		s.mu.Unlock()
		var fenced *jayport.FencedError
		is.True(errors.As(ask(), &fenced))
	})
}

// A missing response must not count as a sign of a slow store. When a store that
// responds within 15 ms lost a third of its responses, each loss made the next append
// wait longer, until jobs waited for more than a second and were refused under load.
func TestLostResponsesDelayAppendsBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore(lostAfterAppend, scriptedResponse{done: true}, lostAfterAppend, lostAfterAppend, scriptedResponse{done: true}, lostBeforeAppend)
		j := start(t, s)
		began := time.Now()
		for n := range 4 {
			_, done := add(t, j, fmt.Sprint(n))
			is.NoErr(<-done)
		}
		// Four responses are lost. Three cost one hedge delay each; the fourth,
		// lost directly after another one, costs the doubled second delay.
		is.Equal(time.Since(began), 5*minHedgeDelay)
		is.Equal(s.order, []string{"0", "1", "2", "3"})
	})
}

// The response to every attempt must count, not only to the newest one. Otherwise a
// store that takes 300 ms for an append receives it again before it can respond, the
// first response is discarded, and the repeated appends make the store even slower.
func TestResponseToFirstAttemptCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slowStore{delay: 300 * time.Millisecond}
		latency := time.Duration(0)
		j := New(s, jayport.Partition{Topic: "jobs"}, "entry", 1, jayclock.Since(time.Now().Add(-time.Hour)), logr.Discard(),
			WithLatency(func() time.Duration { return latency }))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = j.Run(ctx) }()
		began := time.Now()
		_, done := add(t, j, "a")
		is.NoErr(<-done)
		is.Equal(time.Since(began), s.delay)
		is.Equal(s.calls.Load(), int32(2))
		// Once the latency of the store is known, each append is sent once.
		latency = s.delay
		_, done = add(t, j, "b")
		is.NoErr(<-done)
		is.Equal(s.calls.Load(), int32(3))
		cancel()
		time.Sleep(maxTimeout)
	})
}

// TestAppendsFitTheLink guards against an append that never succeeds since its records take longer
// over the entry's link than its timeout: it was repeated from its start.
func TestAppendsFitTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const megabits, entries, bytes = 2, 600, 2000
		s := &linkStore{bytesPerSecond: megabits * bytesPerMegabit}
		j := New(s, jayport.Partition{Topic: "jobs"}, "entry", 1, jayclock.Since(time.Now().Add(-time.Hour)), logr.Discard(), WithLink(megabits))
		ctx, cancel := context.WithCancel(context.Background())
		var stored atomic.Int32
		for range entries {
			is.NoErr(j.Add(NewEntry([]jayport.Record{{Value: make([]byte, bytes)}}, func(err error) {
				if err == nil {
					stored.Add(1)
				}
			})))
		}
		go func() { _ = j.Run(ctx) }()
		time.Sleep(2 * entries * bytes / s.bytesPerSecond * time.Second)
		is.Equal(stored.Load(), int32(entries))
		cancel()
		time.Sleep(maxTimeout)
	})
}

// linkStore is a store behind a link that carries some bytes per second of each append.
type linkStore struct {
	jayport.Store
	bytesPerSecond time.Duration
}

// Append succeeds if the records arrive within the timeout.
func (s *linkStore) Append(a jayport.Append, timeout time.Duration) (jayport.Appended, error) {
	size := 0
	for _, r := range a.Records {
		size += len(r.Value)
	}
	transfer := time.Duration(size) * time.Second / s.bytesPerSecond
	time.Sleep(min(transfer, timeout))
	if transfer > timeout {
		return jayport.Appended{}, fmt.Errorf("%w: test", jayport.ErrNoAnswer)
	}
	return jayport.Appended{}, nil
}

// slowStore accepts each append after a delay.
type slowStore struct {
	jayport.Store
	delay time.Duration
	calls atomic.Int32
}

// Append counts the append and waits for the delay.
func (s *slowStore) Append(jayport.Append, time.Duration) (jayport.Appended, error) {
	s.calls.Add(1)
	time.Sleep(s.delay)
	return jayport.Appended{}, nil
}

// A SequenceError must be compared with the number that its attempt carried. The first
// append of an epoch is sent twice because the store is slow, and the store rejects both
// since it expects another number. The second rejection arrives after the number was
// corrected; without the comparison it ended the new owner with "sequence is broken" and
// left its pool without an owner.
func TestSequenceErrorOfEarlierAttemptIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &renumberingStore{expects: 7, delay: 200 * time.Millisecond}
		j := New(s, jayport.Partition{Topic: "jobs"}, "entry", 1, jayclock.Since(time.Now().Add(-time.Hour)), logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = j.Run(ctx) }()
		_, done := add(t, j, "a")
		is.NoErr(<-done)
		is.Equal(s.refused.Load(), int32(2))
		_, done = add(t, j, "b")
		is.NoErr(<-done) // the numbers continue from there
		cancel()
		time.Sleep(maxTimeout)
	})
}

// renumberingStore expects a first sequence number that the producer does not know.
type renumberingStore struct {
	jayport.Store
	expects int64
	delay   time.Duration
	refused atomic.Int32
	taken   atomic.Int64
}

// Append accepts an append with the expected sequence number, and its repeats.
func (s *renumberingStore) Append(a jayport.Append, _ time.Duration) (jayport.Appended, error) {
	time.Sleep(s.delay)
	if a.Producer.Sequence < s.expects || a.Producer.Sequence > s.expects+s.taken.Load() {
		s.refused.Add(1)
		return jayport.Appended{}, &jayport.SequenceError{Expected: s.expects}
	}
	s.taken.Store(max(s.taken.Load(), a.Producer.Sequence-s.expects+1))
	return jayport.Appended{}, nil
}

// TestOldAppendsAreRevoked guards against a job that is stored minutes after its caller has left and
// cancelled it: the append was repeated until the store answered.
func TestOldAppendsAreRevoked(t *testing.T) {
	const age = time.Minute
	outage := slices.Repeat([]scriptedResponse{lostBeforeAppend}, 1000)
	play := func(name string, test func(is *is.I, t *testing.T, s *scriptedStore, j *Journal)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore(outage...)
				test(is.New(t), t, s, start(t, s, WithFailOnReject(), WithMaxAge(age)))
			})
		})
	}
	end := func(s *scriptedStore) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.script = nil
	}
	play("the store is away for long", func(is *is.I, t *testing.T, s *scriptedStore, j *Journal) {
		_, done := add(t, j, "late")
		time.Sleep(age + maxTimeout)
		end(s)
		is.True(errors.Is(<-done, ErrRevoked))
		is.Equal(s.order, nil)
		_, done = add(t, j, "next")
		is.NoErr(<-done)
		is.Equal(s.order, []string{"next"})
		is.True(errors.As(s.apply(jayport.Append{Producer: &jayport.Producer{Epoch: 1}, Records: []jayport.Record{{Key: "late"}}}), new(*jayport.FencedError)))
	})
	play("the store is back in time", func(is *is.I, t *testing.T, s *scriptedStore, j *Journal) {
		_, done := add(t, j, "a")
		time.Sleep(age / 2)
		end(s)
		is.NoErr(<-done)
		is.Equal(s.order, []string{"a"})
	})
	play("the entry waits behind it", func(is *is.I, t *testing.T, s *scriptedStore, j *Journal) {
		_, first := add(t, j, "first")
		synctest.Wait()
		_, second := add(t, j, "second")
		time.Sleep(age + maxTimeout)
		end(s)
		is.True(errors.Is(<-first, ErrRevoked))
		is.True(errors.Is(<-second, jayport.ErrRejected))
		is.Equal(s.order, nil)
	})
}
