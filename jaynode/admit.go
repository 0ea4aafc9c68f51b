package jaynode

import (
	"time"

	"jaythread/jaycatalog"
	"jaythread/jayspec"
	"jaythread/jayverdict"
)

const (
	// clockTolerance is the share of the revocation time that is left for the difference in
	// speed between this entry's clock and the store's.
	clockTolerance = 50
	// declarationsRetryAfter is the delay after which a caller is asked to retry while this
	// entry cannot read the declarations. The retry reaches any entry.
	declarationsRetryAfter = time.Second
	// usualDeclarationsAge is the age that the declarations do not exceed while this entry
	// reads them: a read waits for declarationsWait and then for its response.
	usualDeclarationsAge = declarationsWait + 500*time.Millisecond
)

// Admit decides whether a caller's request is served. Its error is a *jayverdict.Error.
//
// A request that the declarations known here would reject for its key is rejected only after
// they have been confirmed as the newest ones: the key may have been added a moment ago. A
// request with a key is accepted only if the declarations
// were confirmed less than the revocation time before it arrived. The rule counts from the
// moment at which the caller sent the request, which is not later, so that the answer may
// take any time. A pause of this process counts, since it delays the arrival.
func (n *Node) Admit(call jaycatalog.Call) (jaycatalog.Admission, error) {
	arrived := n.clock()
	asOf := n.declarations.asOf()
	catalog := n.Catalog()
	if catalog == nil {
		return jaycatalog.Admission{}, jayverdict.NewNotRun(statusUnavailable, "no configuration yet", declarationsRetryAfter)
	}
	admission, decision := catalog.Admit(call)
	if n.needsConfirmation(admission, decision, arrived-asOf) {
		if !n.declarations.confirmer.await(arrived) {
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
		n.intake.logger.Info("call admitted by old declarations", "revision", n.Catalog().Revision, "declarationsAge", age.String(), "queue", admission.Queue.Name)
	}
}

// needsConfirmation reports whether a decision on a request may be made only by the newest
// declarations. The age is that of the declarations when the request arrived.
func (n *Node) needsConfirmation(admission jaycatalog.Admission, decision jaycatalog.Decision, age time.Duration) bool {
	switch decision {
	case jaycatalog.UnknownKey:
		return age > 0
	case jaycatalog.Admitted:
		return admission.Organisation != "" && n.keysOutdated(age)
	default:
		return false
	}
}

// keysOutdated reports whether a key may have been removed longer ago than the revocation
// time although the declarations of the given age still contain it.
func (n *Node) keysOutdated(age time.Duration) bool {
	limit := n.settings.RevocationTime
	return limit > 0 && age > limit-limit/clockTolerance
}

// unconfirmed returns the rejection of a request that only the newest declarations could
// decide on.
func (n *Node) unconfirmed(admission jaycatalog.Admission, arrived time.Duration) error {
	n.logRejected(admission, "declarations not confirmed", arrived)
	return jayverdict.NewNotRun(statusUnavailable, "the key cannot be checked now", declarationsRetryAfter)
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
// the revision of the declarations and their age when the request arrived.
func (n *Node) logRejected(admission jaycatalog.Admission, reason string, arrived time.Duration) {
	n.metrics.CallRejected(reason)
	age := max(0, arrived-n.declarations.asOf())
	values := []any{"reason", reason, "revision", n.Catalog().Revision, "declarationsAge", age.String()}
	if admission.Queue.Name != "" {
		values = append(values, "queue", admission.Queue.Name)
	}
	if jayspec.ValidID(admission.Rest) {
		values = append(values, "job", admission.Rest)
	}
	n.intake.logger.Info("call rejected", values...)
}
