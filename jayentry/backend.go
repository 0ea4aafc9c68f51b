package jayentry

import (
	"errors"
	"time"

	"jaythread/jayserve"
	"jaythread/jaystate"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// This file implements the interfaces through which the servers for callers and
// operators use the entry.

// Self returns the entry's identity.
func (e *Entry) Self() string {
	return e.options.Entry
}

// Read calls visit with the current state; visit must not keep or change it.
func (e *Entry) Read(visit func(*jaystate.State)) {
	e.store.Read(visit)
}

// Propose appends a command to the log and returns the state machine's decision on
// it.
func (e *Entry) Propose(c *jaywire.Command, timeout time.Duration) (jaystate.Outcome, error) {
	return e.store.Propose(c, timeout)
}

// Revisions returns the configuration revision in force at each live entry.
func (e *Entry) Revisions() map[string]uint64 {
	revisions := e.members.Revisions()
	revisions[e.options.Entry] = 0
	if v := e.router.View(); v != nil {
		revisions[e.options.Entry] = v.Revision
	}
	return revisions
}

// These errors are reported by the readiness check.
var (
	errNoConfiguration = errors.New("no configuration is in force yet")
	errClaimsUnknown   = errors.New("earlier claims are not known yet")
	errStopping        = errors.New("stopping")
	errCutOff          = errors.New("cut off from the log and from most peers: the view may be out of date")
)

// Ready returns nil if the entry serves requests, or else the reason why not.
func (e *Entry) Ready() error {
	if e.stopping.Load() {
		return errStopping
	}
	if e.router.View() == nil {
		return errNoConfiguration
	}
	if !e.viewUsable() {
		return errCutOff
	}
	if !e.claimer.Ready() && time.Since(e.started) < claimReadyTimeout {
		return errClaimsUnknown
	}
	return nil
}

// claimReadyTimeout limits how long an entry that has just started reports itself
// as not ready because earlier claims are unknown. After it, the entry serves
// requests that need no claim and refuses the others.
const claimReadyTimeout = 5 * time.Second

// viewUsable reports whether the routing view may still be used. An entry that
// reaches neither the log nor a majority of the entries may be the only one that
// has not seen an instance drain or move, so it must stop routing before the other
// entries rely on that change. If the log is down for all entries, the majority is
// still reachable and the entry keeps serving.
func (e *Entry) viewUsable() bool {
	return time.Since(e.router.FreshAt()) <= viewLease || e.members.MajorityAgrees()
}

// View returns the view that requests are routed by, or a refusal if it is missing
// or may be out of date.
func (e *Entry) View() (*jayserve.View, *jayverdict.Error) {
	v := e.router.View()
	if v == nil {
		return nil, jayverdict.NewNotRun(503, errNoConfiguration.Error(), time.Second)
	}
	if !e.viewUsable() {
		return nil, jayverdict.NewNotRun(503, errCutOff.Error(), time.Second)
	}
	return v, nil
}

// NoteLeaving records that an upstream told this entry that it is leaving.
func (e *Entry) NoteLeaving(upstream string) {
	if e.members.NoteLeaving(upstream) {
		e.router.leaving.Push(upstream)
	}
}

// notePeerLeaving records a peer's notice that an upstream is leaving.
func (e *Entry) notePeerLeaving(upstream string) {
	if e.members.NotePeerLeaving(upstream) {
		e.router.leaving.Push(upstream)
	}
}
