package jaynode

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"jaythread/jaymetric"
)

func TestHeldBackStartsAreShown(t *testing.T) {
	// Guards against idle hosts beside waiting tasks without a sign of why: the answers of the
	// workers to earlier starts are outstanding.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 1)
		limit, lines := w.duty.latency.Limit(), 0
		for range limit {
			w.duty.latency.Sent()
		}
		w.duty.logger = funcr.New(func(_, args string) { lines += strings.Count(args, `"msg"="starts held back"`) }, funcr.Options{})
		w.start(t)
		shown := func(metric string) (value float64) {
			page := httptest.NewRecorder()
			w.entry.node.metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, jaymetric.Path, nil))
			_, after, _ := strings.Cut(page.Body.String(), "\n"+metric+`{pool="seats"} `)
			_, _ = fmt.Sscan(after, &value)
			return value
		}
		w.refreshClaimsFor(3400 * time.Millisecond)
		held := shown("jaythread_starts_held_back_seconds_total")
		is.True(held > 3.2 && held <= 3.5)
		is.Equal(shown("jaythread_start_limit"), float64(limit))
		is.Equal(lines, 3) // one a second
		for range limit {
			w.duty.latency.Answered(0, true)
		}
		w.refreshClaimsFor(3 * time.Second)
		starts, _ := w.workers.counts()
		is.Equal(starts, 2)
		is.True(shown("jaythread_starts_held_back_seconds_total") < 3.7) // no longer
		is.Equal(lines, 4)                                               // the rest of the time
		w.duty.cancel()
		time.Sleep(time.Second)
		is.Equal(shown("jaythread_start_limit"), 0.0) // another entry may own the pool
	})
}
