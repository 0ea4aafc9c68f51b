package jaycli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// output collects the output of a command and can be read while the command runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the output.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// waitForLine waits for a line with a prefix and returns the rest of the line.
func (o *output) waitForLine(t *testing.T, prefix string) string {
	t.Helper()
	for range 500 {
		o.mu.Lock()
		text := o.text.String()
		o.mu.Unlock()
		for _, line := range strings.Split(text, "\n") {
			if rest, found := strings.CutPrefix(line, prefix); found {
				return rest
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no line begins with %q", prefix)
	return ""
}

func TestStandinJobs(t *testing.T) {
	t.Run("lists and resizes its machines", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var out output
		ended := make(chan int)
		go func() {
			ended <- run(ctx, []string{"jaythread", "standin", "jobs", "--machines", "4", "--resize-every", "50ms"}, &out, io.Discard)
		}()
		answer, err := http.Get("http://" + out.waitForLine(t, "inventory: ") + "/v1/machines")
		is.NoErr(err)
		defer func() { _ = answer.Body.Close() }()
		var list struct {
			Machines []struct {
				Machine string `json:"machine"`
				ID      string `json:"id"`
			} `json:"machines"`
		}
		is.NoErr(json.NewDecoder(answer.Body).Decode(&list))
		is.Equal(len(list.Machines), 4)
		is.True(list.Machines[0].ID != "")
		is.True(out.waitForLine(t, "store: ") != "")
		time.Sleep(200 * time.Millisecond) // time for some changes of all capacities
		cancel()
		is.Equal(<-ended, ExitGood)
	})
	wrong := func(name, says string, args ...string) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := runCommand(t, append([]string{"standin", "jobs"}, args...)...)
			is.Equal(code, ExitUsage)
			is.True(strings.Contains(errOut, says))
		})
	}
	wrong("zero machines", "--machines: 0 is not between 1 and 1000", "--machines", "0")
	wrong("zero capacity", "--room: 0 is not above 0", "--room", "0")
	wrong("negative share", "--resize-to: -1 is below 0", "--resize-to=-1")
	wrong("unknown pool", `no pool "x"`, "--unguarded", "x")
	wrong("invalid duration", "resize-every", "--resize-every", "soon")
}
