package jaylog

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayplatform"
	"jaythread/jaystandin"
)

// failingLog refuses appends without effect while it is told to.
type failingLog struct {
	*jaystandin.LogService
	mu      sync.Mutex
	failing bool
}

func (f *failingLog) Append(stream string, record []byte) (uint64, error) {
	f.mu.Lock()
	failing := f.failing
	f.mu.Unlock()
	if failing {
		return 0, jayplatform.ErrUnavailable
	}
	return f.LogService.Append(stream, record)
}

func (f *failingLog) set(failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = failing
}

// lines is a stream of words; it observes each word that it reads.
type lines struct {
	mu        sync.Mutex
	from      uint64
	words     []string
	committer *Committer[string, int]
}

func (l *lines) From() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.from
}

func (l *lines) Take(page jayplatform.Page, began time.Time, caughtUp bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range page.Records {
		l.from = r.Offset + 1
		for word := range strings.SplitSeq(string(r.Data), " ") {
			l.words = append(l.words, word)
			l.committer.Observe(word, len(l.words))
		}
	}
	if caughtUp {
		l.committer.CaughtUp(began)
	}
}

func (l *lines) Expired(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from = first
}

func (l *lines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.words, " ")
}

// inStream runs a test with a committer and a follower on a fake clock.
func inStream(t *testing.T, test func(t *testing.T, log *failingLog, c *Committer[string, int], l *lines)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := &failingLog{LogService: jaystandin.NewLogService()}
		join := func(words []string) ([]byte, error) { return []byte(strings.Join(words, " ")), nil }
		c := NewCommitter[string, int](log, "words", 100, join, logr.Discard())
		l := &lines{committer: c}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		go NewFollower(log, "words", l, logr.Discard()).Run(ctx)
		test(t, log, c, l)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

func TestCommitter(t *testing.T) {
	t.Run("a lost answer is not appended twice", func(t *testing.T) {
		// Symptom: a record stands in the log twice.
		// Sequence: the append takes effect and its answer is lost.
		// Cause: the append was repeated without reading back first.
		inStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *lines) {
			is := is.New(t)
			log.SetFaults(jaystandin.LogFaults{LoseAnswers: 1})
			_, err := c.Commit("a", "a", time.Second)
			is.NoErr(err)
			time.Sleep(3 * time.Second)
			is.Equal(l.text(), "a")
		})
	})
	t.Run("an append without effect is made again", func(t *testing.T) {
		inStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *lines) {
			is := is.New(t)
			log.set(true)
			is.NoErr(c.Submit("a", "a"))
			time.Sleep(time.Minute)
			log.set(false)
			time.Sleep(3 * time.Second)
			is.Equal(l.text(), "a")
		})
	})
	t.Run("items that wait together share an append", func(t *testing.T) {
		inStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *lines) {
			is := is.New(t)
			log.SetFaults(jaystandin.LogFaults{Delay: 10 * time.Millisecond})
			for n := range 26 {
				word := string(rune('a' + n))
				is.NoErr(c.Submit(word, word))
			}
			time.Sleep(time.Second)
			is.Equal(len(l.text()), 51)
			is.True(log.Appends("words") <= 2)
		})
	})
	t.Run("an item that was given up is not appended later", func(t *testing.T) {
		// Symptom: an operator's change that was reported as failed takes
		// effect an hour later.
		// Sequence: the log is down; the operator gives up; the log is back.
		// Cause: items that nobody waits for any more stay queued.
		inStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *lines) {
			is := is.New(t)
			log.set(true)
			_, err := c.Commit("a", "a", time.Second)
			is.True(errors.Is(err, ErrTimeout))
			log.set(false)
			time.Sleep(10 * time.Second)
			is.Equal(l.text(), "")
		})
	})
	t.Run("nor one that was given up while its append was under way", func(t *testing.T) {
		// Symptom: plans of before an outage are carried out after it.
		// Sequence: an append hangs; its proposer gives up; the append fails;
		// the log is back.
		// Cause: only items that waited were dropped.
		inStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *lines) {
			is := is.New(t)
			log.SetFaults(jaystandin.LogFaults{Delay: 2 * time.Second, Down: true})
			_, err := c.Commit("a", "a", time.Second)
			is.True(errors.Is(err, ErrTimeout))
			time.Sleep(5 * time.Second)
			log.SetFaults(jaystandin.LogFaults{})
			time.Sleep(10 * time.Second)
			is.Equal(l.text(), "")
		})
	})
	t.Run("too many waiting items are refused", func(t *testing.T) {
		inStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], _ *lines) {
			is := is.New(t)
			log.set(true)
			var err error
			for n := 0; err == nil && n <= maxPending; n++ {
				err = c.Submit(string(rune(n)), "x")
			}
			is.True(errors.Is(err, ErrFull))
		})
	})
}
