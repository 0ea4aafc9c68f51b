package jaynode

import (
	"time"

	"jaythread/jaycatalog"
	"jaythread/jayspec"
	"jaythread/jaystop"
	"jaythread/jayverdict"
)

const (
	// clockTolerance is the divisor that gives the part of a time limit that is left for the
	// difference in speed between this entry's clock and the store's.
	clockTolerance = 50
	// declarationsRetryAfter is the delay after which a caller is asked to retry while this
	// entry cannot read the declarations. The retry reaches any entry.
	declarationsRetryAfter = time.Second
	// usualDeclarationsAge is the age that the declarations do not exceed while this entry
	// reads them. They are known as of the time at which a read was sent, until the next read
	// has its response; each of the two waits for declarationsWait.
	usualDeclarationsAge = 2*declarationsWait + 500*time.Millisecond
)

// Admit decides whether a caller's request is served. Its error is a *jayverdict.Error.
//
// A request is decided by the declarations known here if they were confirmed less than
// DeclarationTime before it arrived, and less than RevocationTime if it has a key. Otherwise
// they are confirmed first, or the request is rejected as not run. Both times count from the
// moment at which the caller sent the request, which is not later, so that the answer may take
// any time. A pause of this process counts, since it delays the arrival.
//
// While the declarations cannot be read since the store is down or out of reach, the entry
// goes on by those that it has, except for keys. A newer declaration that is known to exist
// shows that the store is up.
func (n *Node) Admit(call jaycatalog.Call) (jaycatalog.Admission, error) {
	arrived := n.clock()
	asOf := n.declarations.asOf()
	catalog := n.Catalog()
	if catalog == nil {
		return jaycatalog.Admission{}, jayverdict.NewNotRun(statusUnavailable, "no configuration yet", declarationsRetryAfter)
	}
	admission, decision := catalog.Admit(call)
	if n.needsConfirmation(admission, decision, arrived, asOf) {
		if !jaystop.Until(n.cut, false, func() bool { return n.declarations.confirmer.await(arrived) }) {
			return admission, n.unconfirmed(admission, arrived)
		}
		admission, decision = n.Catalog().Admit(call)
	}
	n.recordDecisionAge(admission, decision, arrived)
	if decision == jaycatalog.Admitted {
		return admission, nil
	}
	n.logRejected(admission, decision.String(), arrived)
	return admission, rejection(decision)
}

// recordDecisionAge records how old the declarations were, when a call arrived, that it was
// decided by.
func (n *Node) recordDecisionAge(admission jaycatalog.Admission, decision jaycatalog.Decision, arrived time.Duration) {
	age := max(0, arrived-n.declarations.asOf())
	n.metrics.CallDecided(age)
	if age > usualDeclarationsAge && decision == jaycatalog.Admitted {
		n.intake.logger.Info("call admitted by old declarations", "revision", n.Catalog().Revision, "declarationsAge", age.String(), "behind", n.declarations.behind(), "queue", admission.Queue.Name)
	}
}

// needsConfirmation reports whether a decision on a request may be made only by the newest
// declarations. asOf is the time up to which they were known when the request arrived.
//
// An unknown key may have been added a moment ago, so that its rejection is confirmed at any
// age. So is that of an unknown queue if a newer declaration is arriving.
func (n *Node) needsConfirmation(admission jaycatalog.Admission, decision jaycatalog.Decision, arrived, asOf time.Duration) bool {
	age := arrived - asOf
	switch {
	case decision == jaycatalog.UnknownKey:
		return age > 0
	case decision == jaycatalog.UnknownQueue && n.behind():
		return true
	case decision == jaycatalog.Admitted && admission.Organisation != "" && outdated(age, n.settings.RevocationTime):
		return true
	default:
		return outdated(age, n.settings.DeclarationTime) && (n.storeLimitsRate(arrived) || n.behind())
	}
}

// behind reports whether a newer declaration is known to exist than those that were read, and the
// store has not been out of reach for DeclarationTime since.
func (n *Node) behind() bool {
	return n.declarations.behind() && n.store.LostFor() < n.settings.DeclarationTime
}

// outdated reports whether declarations of an age may lack a change that was made longer ago
// than a limit. Zero is no limit.
func outdated(age, limit time.Duration) bool {
	return limit > 0 && age > limit-limit/clockTolerance
}

// storeLimitsRate reports whether the store has rejected calls of this entry for their rate
// within DeclarationTime. It accepts changes meanwhile, which this entry may not know.
func (n *Node) storeLimitsRate(now time.Duration) bool {
	exceeded := n.store.RateExceededAt()
	return exceeded > 0 && now-exceeded <= n.settings.DeclarationTime
}

// unconfirmed returns the rejection of a request that only the newest declarations could
// decide on.
func (n *Node) unconfirmed(admission jaycatalog.Admission, arrived time.Duration) error {
	n.logRejected(admission, "declarations not confirmed", arrived)
	return jayverdict.NewNotRun(statusUnavailable, "the request cannot be checked against the newest configuration now", declarationsRetryAfter)
}

func rejection(decision jaycatalog.Decision) *jayverdict.Error {
	switch decision {
	case jaycatalog.UnknownQueue:
		return jayverdict.NewNotRun(statusNotFound, "no such queue", 0)
	case jaycatalog.KeyMissing:
		return jayverdict.NewNotRun(statusUnauthorized, "the queue needs an API key", 0)
	default:
		return jayverdict.NewNotRun(statusUnauthorized, "the API key is unknown", 0)
	}
}

// logRejected logs a rejected request with the job that it names, but never its key, and with
// the revision of the declarations, their age when the request arrived, and whether a newer one is
// known to exist.
func (n *Node) logRejected(admission jaycatalog.Admission, reason string, arrived time.Duration) {
	n.metrics.CallRejected(reason)
	age := max(0, arrived-n.declarations.asOf())
	values := []any{"reason", reason, "revision", n.Catalog().Revision, "declarationsAge", age.String()}
	if n.declarations.behind() {
		values = append(values, "behind", true)
	}
	if admission.Queue.Name != "" {
		values = append(values, "queue", admission.Queue.Name)
	}
	if jayspec.ValidID(admission.Rest) {
		values = append(values, "job", admission.Rest)
	}
	n.intake.logger.Info("call rejected", values...)
}
