package jaylogger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// output is a standard output whose writes wait until the channel blocked is closed, if it is not nil.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	writes  int
	blocked chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes++
	return o.text.Write(p)
}

func TestWriter(t *testing.T) {
	t.Run("lines are written in order and in batches", func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		w := NewWriter(out)
		for range 1000 {
			_, _ = w.Write([]byte("line\n"))
		}
		w.Close(time.Second)
		is.Equal(out.text.String(), strings.Repeat("line\n", 1000))
		is.True(out.writes < 100)
		is.Equal(w.Lost(), 0)
	})
	t.Run("a blocked output does not block logging, and dropped lines are counted", func(t *testing.T) {
		// An entry stopped responding to callers once nobody read its standard
		// output and the pipe was full, because each line was written by the
		// goroutine that logged it.
		is := is.New(t)
		out := &output{blocked: make(chan struct{})}
		w := NewWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 2*maxPendingBytes/len(line) + 10 {
			_, _ = w.Write(line)
		}
		is.True(w.Lost() > 0)
		close(out.blocked)
		w.Close(time.Minute) // returns once all lines are written
		is.True(strings.Contains(out.text.String(), `"message":"log lines lost"`))
	})
}
