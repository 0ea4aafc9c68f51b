package jaymetric

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// getPage returns the status and the body of the response for a path.
func getPage(t *testing.T, m *JobMetrics, path string) (status int, text string) {
	t.Helper()
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
	return answer.Code, answer.Body.String()
}

func TestJobs(t *testing.T) {
	m := NewJobMetrics()
	m.PoolEvent("seats", "run lost")
	m.TaskStarted("seats", time.Second)
	t.Run("the program's metrics exclude the runtime's", func(t *testing.T) {
		is := is.New(t)
		status, text := getPage(t, m, Path)
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(text, `jaythread_pool_events_total{event="run lost",pool="seats"} 1`))
		is.True(!strings.Contains(text, "go_goroutines"))
	})
	t.Run("the runtime's metrics have a separate path", func(t *testing.T) {
		is := is.New(t)
		status, text := getPage(t, m, RuntimePath)
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(text, "go_goroutines"))
	})
	t.Run("other paths are not found", func(t *testing.T) {
		status, _ := getPage(t, m, "/")
		is.New(t).Equal(status, http.StatusNotFound)
	})
}
