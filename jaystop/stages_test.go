package jaystop

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// TestStageThatDoesNotEnd guards against a stop that waits for one stage without a bound, and that
// does not tell which.
func TestStageThatDoesNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines []string
		logger := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		all := Run(ctx, logger,
			Stage{Name: "short", Run: func() { time.Sleep(time.Millisecond) }},
			Stage{Name: "long", Run: func() { time.Sleep(time.Minute) }, Pending: func() string { return "a read" }},
		)
		is.True(!all)
		is.Equal(time.Since(began), time.Second)
		is.Equal(len(lines), 1)
		is.True(strings.Contains(lines[0], `"for"="long" "pending"="a read" "waited"="1s"`))
		time.Sleep(time.Minute) // ends the long stage
	})
}
