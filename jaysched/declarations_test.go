package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// Guards against losing a new job that has the ID of one that ended long ago: an owner that was suspended
// removes the declaration of the former one.
func TestOldDeclarationsAreNotRemoved(t *testing.T) {
	is := is.New(t)
	const maxAge = time.Minute
	w := newHarness(t, 2)
	declare(w, newSpec("a", 1))
	declare(w, newSpec("b", 1))
	w.finish("a", 0, jayport.EndedDone)
	is.Equal(w.pool.DeclaredEnded(), 0) // not recorded
	w.record()
	w.finish("b", 0, jayport.EndedDone)
	w.record()
	is.Equal(w.pool.DeclaredEnded(), 2)
	is.Equal(w.pool.TakeDeclaredEnded(w.now, maxAge, 1), []string{"a"})
	is.Equal(w.pool.Expired(w.now+time.Hour, maxAge, 10), []string{"b"}) // the other is being removed
	w.pool.DeclarationsRemoved([]string{"a"}, false)
	w.pool.Removed([]string{"b"}, false)
	is.Equal(w.pool.DeclaredEnded(), 2)
	is.Equal(len(w.pool.TakeDeclaredEnded(w.now+maxAge, maxAge, 10)), 0)
	is.Equal(w.pool.DeclaredEnded(), 0)
	is.Equal(w.pool.Expired(w.now+time.Hour, maxAge, 10), []string{"a", "b"})
}

// Guards against a job that is forgotten while the removal of its declaration may still take effect.
func TestJobDoesNotExpireWhileItsDeclarationIsRemoved(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("a", 1))
	w.finish("a", 0, jayport.EndedDone)
	w.record()
	is.Equal(w.pool.TakeDeclaredEnded(w.now, time.Minute, 10), []string{"a"})
	is.Equal(len(w.pool.Expired(w.now+time.Hour, time.Minute, 10)), 0)
	w.pool.DeclarationsRemoved([]string{"a"}, true)
	is.Equal(w.pool.DeclaredEnded(), 0)
	is.Equal(w.pool.Expired(w.now+time.Hour, time.Minute, 10), []string{"a"})
}
