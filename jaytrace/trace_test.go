package jaytrace

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	logOfA = `{"level":"info","entry":"a","part":"intake","job":"5c0e","took":"12ms","time":"2026-05-13T16:10:47.100Z","message":"job accepted"}
{"level":"info","entry":"a","part":"intake","job":"5c0e7","time":"2026-05-13T16:10:47.200Z","message":"job accepted"}
no JSON that names 5c0e
`
	logOfB = `collector c {"level":"info","entry":"c","part":"pool","task":"5c0e.0.0.1","run":1,"time":"2026-05-13T16:10:47.105Z","message":"run started"}
{"level":"info","entry":"b","part":"pool","job":"5c0e","time":"2026-05-13T16:10:47.110Z","message":"job declared"}
`
)

func collect(t *testing.T, logs ...string) []Line {
	t.Helper()
	var all []Line
	for _, log := range logs {
		lines, err := Collect(strings.NewReader(log), "5c0e")
		is.New(t).NoErr(err)
		all = append(all, lines...)
	}
	Merge(all)
	return all
}

func TestTimeline(t *testing.T) {
	t.Run("lines of the job and its tasks, in order", func(t *testing.T) {
		is := is.New(t)
		lines := collect(t, logOfA, logOfB)
		is.Equal(len(lines), 3)
		is.Equal(lines[1].Message, "run started")
		is.Equal(lines[1].Values["run"], 1.0)
	})
	t.Run("a job that was given up is shown with the workers that it crashed", func(t *testing.T) {
		is := is.New(t)
		lines := collect(t, `{"entry":"a","part":"pool","worker":"i-1","task":"5c0e.0.0.1","run":1,"detail":"i-1 at its start, 1 in all","time":"2026-05-13T16:10:47.200Z","message":"crash attributed to task"}
{"entry":"a","part":"pool","worker":"i-2","task":"5c0e.0.0.1","run":2,"detail":"i-2 at its start with probability 7.1e-04, 2 in all","time":"2026-05-13T16:10:47.700Z","message":"crash attributed to task"}
{"entry":"a","part":"pool","job":"5c0e","detail":"5c0e.0.0.1 crashed its workers: [i-1 at its start i-2 at its start]","time":"2026-05-13T16:10:48.100Z","message":"job given up"}
`)
		var out strings.Builder
		is.NoErr(Write(&out, lines))
		for _, word := range []string{"worker=i-1", "worker=i-2", "job given up", "crashed its workers: [i-1"} {
			is.True(strings.Contains(out.String(), word))
		}
	})
	t.Run("clock differences are reported", func(t *testing.T) {
		is := is.New(t)
		found := ClockDifferences(collect(t, logOfA, logOfB))
		is.Equal(len(found), 1)
		is.True(strings.Contains(found[0], "5ms"))
	})
}

// Example merges the logs of two entries into a timeline.
func Example() {
	a, _ := Collect(strings.NewReader(logOfA), "5c0e")
	b, _ := Collect(strings.NewReader(logOfB), "5c0e")
	lines := append(a, b...)
	Merge(lines)
	var out strings.Builder
	_ = Write(&out, lines)
	fmt.Println(strings.Split(out.String(), "\n")[1])
	// Output:     0.005s   +0.005s  c              pool     run started  run=1  task=5c0e.0.0.1
}
