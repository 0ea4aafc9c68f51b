package jaynode

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jaymetric"
	"jaythread/jayspec"
)

// Guards against service tasks without a run that no metric shows, and against metrics of a former
// owner beside those of the next one.
func TestServiceWaitsAreShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		const absent = -1
		shown := func(series string) float64 {
			value := float64(absent)
			page := httptest.NewRecorder()
			w.entry.node.metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, jaymetric.Path, nil))
			_, after, _ := strings.Cut(page.Body.String(), "\njaythread_service_task"+series+"} ")
			_, _ = fmt.Sscan(after, &value)
			return value
		}
		const (
			noWorker  = `s_waiting{pool="seats",reason="noWorker"`
			formerRun = `s_waiting{pool="seats",reason="formerRun"`
			longest   = `_longest_wait_seconds{pool="seats"`
		)
		w.refreshClaimsFor(2 * time.Second)
		is.Equal(shown(noWorker), 0.0)
		is.Equal(shown(longest), 0.0)
		w.duty.post(func(now time.Duration) {
			w.duty.pool.Declare(&jayspec.Job{ID: "s", Steps: []jayspec.Step{{Tasks: 3, LongRunning: true, RequiredLabel: "missing"}}}, now)
		})
		w.refreshClaimsFor(3 * time.Second)
		is.Equal(shown(noWorker), 3.0)
		is.Equal(shown(formerRun), 0.0)
		is.True(shown(longest) >= 1.9 && shown(longest) <= 3) // counted once a second
		w.duty.cancel()
		time.Sleep(time.Second)
		is.Equal(shown(noWorker), float64(absent))
		is.Equal(shown(longest), float64(absent))
	})
}
