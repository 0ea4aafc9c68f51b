package jaywitness

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestRegister returns a register whose clock is the variable that it returns too.
func newTestRegister() (*Register, *time.Duration) {
	now := new(time.Duration)
	return New(func() time.Duration { return *now }, time.Minute), now
}

func TestRegister(t *testing.T) {
	t.Run("the new owner learns of the jobs of its pool", func(t *testing.T) {
		is := is.New(t)
		r, _ := newTestRegister()
		is.True(r.Keep("seats", "a", 3))
		is.True(r.Keep("fees", "b", 3))
		is.Equal(r.Collect("seats", 4), []string{"a"})
		is.Equal(r.Collect("seats", 5), []string{"a"}) // for an owner after the next too
	})
	t.Run("nothing is kept for an owner that was replaced", func(t *testing.T) {
		// Guards against a job that a former owner shows as done after its successor has asked.
		is := is.New(t)
		r, _ := newTestRegister()
		r.Collect("seats", 4)
		is.True(!r.Keep("seats", "a", 3))
		is.True(r.Keep("seats", "a", 4))
		is.True(r.Keep("fees", "a", 3))
		r.Collect("seats", 2) // a late request
		is.True(!r.Keep("seats", "b", 3))
	})
	t.Run("jobs are dropped when their state need no longer be shown", func(t *testing.T) {
		is := is.New(t)
		r, now := newTestRegister()
		is.True(r.Keep("seats", "a", 1))
		*now += r.keepFor + time.Second
		is.Equal(len(r.Collect("seats", 2)), 0)
	})
	t.Run("the number of jobs is limited", func(t *testing.T) {
		is := is.New(t)
		r, now := newTestRegister()
		for n := range maxJobs {
			is.True(r.Keep("seats", fmt.Sprint(n), 1))
		}
		is.True(!r.Keep("seats", "one more", 1))
		is.True(r.Keep("seats", "0", 1)) // is kept already
		*now += r.keepFor + time.Second
		is.True(r.Keep("seats", "one more", 1))
	})
}
