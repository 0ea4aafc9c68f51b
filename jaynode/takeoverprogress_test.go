package jaynode

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"jaythread/jaymetric"
	"jaythread/jayownership"
	"jaythread/jayport"
)

// takeoverLog collects the lines of a duty about its takeover.
type takeoverLog struct {
	mu                sync.Mutex
	goesOn, takenOver []string
}

func logTakeover(d *poolDuty) *takeoverLog {
	l := &takeoverLog{}
	d.logger = funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case strings.Contains(args, `"msg"="takeover goes on"`):
			l.goesOn = append(l.goesOn, args)
		case strings.Contains(args, `"msg"="taken over"`):
			l.takenOver = append(l.takenOver, args)
		}
	}, funcr.Options{})
	return l
}

// lines returns the lines so far.
func (l *takeoverLog) lines() (goesOn, takenOver []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.goesOn), slices.Clone(l.takenOver)
}

// shownMetric returns the value of a series on the metrics page, or -1 if it is absent.
func (w *poolFixture) shownMetric(series string) float64 {
	value := -1.0
	page := httptest.NewRecorder()
	w.entry.node.metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, jaymetric.Path, nil))
	_, after, _ := strings.Cut(page.Body.String(), "\n"+series+" ")
	_, _ = fmt.Sscan(after, &value)
	return value
}

const (
	takeoverSeries  = `jaythread_pool_takeover_seconds{pool="seats"}`
	takeoversSeries = "jaythread_takeover_duration_seconds_count"
)

// Guards against a pool that runs nothing for seconds without a sign that its new owner has not taken it
// over yet, and of what the owner waits for.
func TestLongTakeoverIsShownWithItsStep(t *testing.T) {
	for step, c := range map[string]struct {
		set  func(*faultyStore)
		read string
		took string
	}{
		"fence": {
			func(s *faultyStore) { s.refuseTopic = topicProgress },
			`"jobsRead"=0 "progressRead"=0`, `"tookFence"="3.`,
		},
		"reading progress": {
			func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, jayport.ErrRejected },
			`"jobsRead"=1 "progressRead"=0`, `"tookRead"="3.`,
		},
		"reading jobs": {
			func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicJobs, jayport.ErrRejected },
			`"jobsRead"=0 "progressRead"=0`, `"tookRead"="3.`,
		},
		"takeover delay": {
			func(s *faultyStore) {
				value, err := jayownership.EncodeTakeoverDelay(3700 * time.Millisecond)
				record := jayport.Record{Key: jobKey("seats", takeoverDelayKey), Value: value}
				_, appendErr := s.store.append(jayport.Append{Partition: jayport.Partition{Topic: topicProgress}, AsOf: jayport.AnyOffset, Records: []jayport.Record{record}})
				is.New(t).NoErr(errors.Join(err, appendErr))
			},
			`"jobsRead"=1 "progressRead"=0`, `"tookDelay"="3.`,
		},
	} {
		t.Run(step, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newIdlePoolFixture(t, 2)
				log := logTakeover(w.duty)
				w.entry.store.set(c.set)
				w.start(t)
				w.refreshClaimsFor(3500 * time.Millisecond)
				goesOn, _ := log.lines()
				is.Equal(len(goesOn), 3) // one a second
				for n, line := range goesOn {
					is.True(strings.Contains(line, fmt.Sprintf(`"term"=2 "step"=%q "lasted"="%ds"`, step, n+1)))
					is.True(strings.Contains(line, c.read))
				}
				is.Equal(w.shownMetric(takeoverSeries), 3.0)
				w.entry.store.set(func(s *faultyStore) { s.refuseTopic, s.refuseReads = "", "" })
				w.refreshClaimsFor(2 * time.Second)
				goesOn, takenOver := log.lines()
				is.Equal(len(goesOn), 3)
				is.Equal(len(takenOver), 1)
				is.True(strings.Contains(takenOver[0], c.took))
				is.Equal(w.shownMetric(takeoverSeries), -1.0)
				is.Equal(w.shownMetric(takeoversSeries), 1.0)
			})
		})
	}
}

// Guards against an entry that reports a takeover for which it is no longer responsible.
func TestTakeoverIsNotShownOnceTheDutyHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		log := logTakeover(w.duty)
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, jayport.ErrRejected })
		w.start(t)
		w.refreshClaimsFor(1500 * time.Millisecond)
		is.Equal(w.shownMetric(takeoverSeries), 1.0)
		w.duty.end("another owner")
		w.refreshClaimsFor(2 * time.Second)
		goesOn, takenOver := log.lines()
		is.Equal(len(goesOn), 1)
		is.Equal(len(takenOver), 0)
		is.Equal(w.shownMetric(takeoverSeries), -1.0)
		is.Equal(w.shownMetric(takeoversSeries), 0.0)
	})
}
