package jayreturn

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const s = time.Second

func TestPlacesFollowTheOrderOfFirstRejection(t *testing.T) {
	is := is.New(t)
	q := New()
	is.Equal(q.Give("a", 0, 10, 1200*time.Millisecond, s), 2*s) // whole seconds, as Retry-After
	is.Equal(q.Give("b", 0, 10, 2500*time.Millisecond, s), 3*s)
	is.Equal(q.Give("a", 0, 10, 9*s, s+500*time.Millisecond), 2*s) // the same place, rounded up
	is.Equal(q.Give("c", 0, 10, s, s), 3*s)                        // not before an earlier rejection
	is.Equal(q.Len(), 3)
	is.Equal(q.Promised(0, 3*s), 10.0)
	is.Equal(q.Promised(0, 4*s), 30.0)
	is.Equal(q.Promised(-1, 4*s), 0.0) // a more urgent queue gives way to none of them
	due, known := q.Due("b")
	is.True(known)
	is.Equal(due, 4*s)
}

func TestPlaceMovesOnIfItsTimeCameTooEarly(t *testing.T) {
	is := is.New(t)
	q := New()
	q.Give("a", 0, 10, s, 0)
	q.Give("b", 0, 10, 9*s, 0)
	is.Equal(q.Give("a", 0, 10, 2*s, s), 2*s) // still before the later one
	is.Equal(q.Promised(0, 20*s), 20.0)
}

// Guards against capacity that is kept for callers that have given up.
func TestUnusedPlacesExpire(t *testing.T) {
	is := is.New(t)
	q := New()
	q.Give("a", 0, 10, s, 0)
	is.Equal(q.Expire(s+unusedTTL), 0)
	is.Equal(q.Expire(s+unusedTTL+1), 1)
	is.Equal(q.Promised(0, 20*s), 0.0)
	is.Equal(q.Give("b", 0, 10, s, 10*s), s) // nothing of the former places is left
}

// Guards against memory that grows with the number of callers.
func TestPlacesAreBounded(t *testing.T) {
	is := is.New(t)
	q := New()
	for n := range MaxPlaces + 5 {
		is.True(q.Give(fmt.Sprint(n), 0, 1, time.Duration(n)*time.Millisecond, 0) >= s)
	}
	is.Equal(q.Len(), MaxPlaces)
}
