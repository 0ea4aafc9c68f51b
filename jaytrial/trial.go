// Package jaytrial tracks which runs of a task are recorded together with their workers, so that the next
// owner can look for a worker that was lost with the owner.
package jaytrial

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"jaythread/jayport"
)

// RecordTimeout is how long a run waits for its record.
const RecordTimeout = time.Second

// Trial is a run that is recorded with its worker: that of a suspect before it begins, that of an
// inherited job while it begins. If the owner is lost together with the worker, the next owner could
// not learn of the run otherwise.
//
// A recorded trial alone does not show that the run began. The next owner therefore looks for the
// worker: the run is over without a loss if the worker answers without it, and counts as the loss of
// a worker if the worker is gone. A worker that was lost by itself before the run began cannot be
// told apart, and counts too: otherwise a task that crashes its workers could be started without
// limit if its owners are lost with them. A worker that answers as another incarnation is gone. One that
// does not report its incarnation and has returned under its ID answers without the run, and its loss
// does not count.
type Trial struct {
	Run         int64
	Worker      string
	Incarnation jayport.Incarnation
	Rack        string
}

// incarnationSeparator separates the ID and the incarnation of a worker in the record of a trial.
const incarnationSeparator = "@"

// WorkerText returns the worker in its stored form, in which the incarnation follows the ID.
func WorkerText(worker string, incarnation jayport.Incarnation) string {
	return fmt.Sprintf("%s%s%d", worker, incarnationSeparator, int64(incarnation))
}

// ParseWorker returns the worker in a record. Without a readable incarnation the text is an ID.
func ParseWorker(text string) (worker string, incarnation jayport.Incarnation) {
	at := strings.LastIndex(text, incarnationSeparator)
	if at < 0 {
		return text, 0
	}
	number, err := strconv.ParseInt(text[at+len(incarnationSeparator):], 10, 64)
	if err != nil {
		return text, 0
	}
	return text[:at], jayport.Incarnation(number)
}

// Trials are the recorded runs of one task. The zero value is that of a task without any.
type Trials struct {
	// latest is the latest one whose outcome is not known, which waits to be recorded since
	// waitsSince; stored is the latest one that is recorded.
	latest     Trial
	waitsSince time.Duration
	stored     Trial
}

// Latest returns the latest trial whose outcome is not known. Its run is zero if there is none.
func (t *Trials) Latest() Trial {
	return t.latest
}

// Stored returns the latest trial that is recorded.
func (t *Trials) Stored() Trial {
	return t.stored
}

// Admit reports whether a run may begin that has to be recorded first, and whether that changes what is
// to be recorded. If the recorded worker has become unsuitable, the run begins on another one while that
// is recorded: in a series of losses a suspect would wait for record after record.
func (t *Trials) Admit(next Trial, now time.Duration) (admitted, changed bool) {
	if t.latest.Run < next.Run {
		t.waitsSince = now
	}
	changed = t.latest != next
	t.latest = next
	return t.stored.Run >= next.Run || now >= t.waitsSince+RecordTimeout, changed
}

// Begin records a run that begins without waiting for its record. It reports whether that changes what
// is to be recorded.
func (t *Trials) Begin(began Trial) (changed bool) {
	changed = t.latest != began
	t.latest = began
	return changed
}

// End removes a run whose outcome is known. It reports whether that changes what is to be recorded.
func (t *Trials) End(run int64) (changed bool) {
	if t.latest.Run != run {
		return false
	}
	t.latest = Trial{}
	return true
}

// Unrecorded returns the latest trial, and whether it is not recorded yet.
func (t *Trials) Unrecorded() (latest Trial, unrecorded bool) {
	return t.latest, t.latest.Run > 0 && t.latest != t.stored
}

// Recorded handles a trial that is recorded.
func (t *Trials) Recorded(stored Trial) {
	t.stored = stored
}
