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

// failingLog rejects appends, without effect, while failing is true.
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

// wordReader is a Reader of records with words separated by spaces. It reports each word to
// the committer.
type wordReader struct {
	mu        sync.Mutex
	from      uint64
	words     []string
	committer *Committer[string, int]
}

func (l *wordReader) From() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.from
}

func (l *wordReader) Apply(page jayplatform.Page, began time.Time, caughtUp bool) {
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

func (l *wordReader) Expired(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from = first
}

func (l *wordReader) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.words, " ")
}

// withStream runs a test with a committer and a follower of one stream, on the fake clock
// of synctest.
func withStream(t *testing.T, test func(t *testing.T, log *failingLog, c *Committer[string, int], l *wordReader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := &failingLog{LogService: jaystandin.NewLogService()}
		join := func(words []string) ([]byte, error) { return []byte(strings.Join(words, " ")), nil }
		c := NewCommitter[string, int](log, "words", 100, join, logr.Discard())
		l := &wordReader{committer: c}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		go NewFollower(log, "words", l, logr.Discard()).Run(ctx)
		test(t, log, c, l)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

func TestCommitter(t *testing.T) {
	t.Run("item is not appended twice after a lost response", func(t *testing.T) {
		// An append takes effect and its response is lost. If it were repeated
		// without reading the stream first, the item would be in the log twice.
		withStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *wordReader) {
			is := is.New(t)
			log.SetFaults(jaystandin.LogFaults{LoseAnswers: 1})
			_, err := c.Commit("a", "a", time.Second)
			is.NoErr(err)
			time.Sleep(3 * time.Second)
			is.Equal(l.text(), "a")
		})
	})
	t.Run("item is appended again after a rejected append", func(t *testing.T) {
		withStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *wordReader) {
			is := is.New(t)
			log.set(true)
			is.NoErr(c.Submit("a", "a"))
			time.Sleep(time.Minute)
			log.set(false)
			time.Sleep(3 * time.Second)
			is.Equal(l.text(), "a")
		})
	})
	t.Run("queued items are appended in one batch", func(t *testing.T) {
		withStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *wordReader) {
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
	t.Run("queued item is not appended after a timeout", func(t *testing.T) {
		// During an outage of the log service an operator's change fails with a
		// timeout. If the item stayed queued, the change would take effect after
		// the outage, maybe an hour later.
		withStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *wordReader) {
			is := is.New(t)
			log.set(true)
			_, err := c.Commit("a", "a", time.Second)
			is.True(errors.Is(err, ErrTimeout))
			log.set(false)
			time.Sleep(10 * time.Second)
			is.Equal(l.text(), "")
		})
	})
	t.Run("item in flight is not appended again after a timeout", func(t *testing.T) {
		// An append hangs, its submitter times out, and then the append fails.
		// If cancelling removed only queued items, this one would be appended
		// after the outage, and an outdated plan would be carried out.
		withStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], l *wordReader) {
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
	t.Run("items beyond the limit are rejected", func(t *testing.T) {
		withStream(t, func(t *testing.T, log *failingLog, c *Committer[string, int], _ *wordReader) {
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
