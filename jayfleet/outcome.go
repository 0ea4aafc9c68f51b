package jayfleet

import (
	"errors"

	"jaythread/jayport"
)

// outcomeKind is what is known of an act after its answer.
type outcomeKind uint8

const (
	accepted outcomeKind = iota
	refused
	inDoubt
)

// outcome tells an act's answer apart: a refusal has no effect, and without an
// answer the act may be carried out later. A call that was turned away for its
// rate was not made, and is made again.
func outcome(err error) outcomeKind {
	var hostError *jayport.HostError
	switch {
	case err == nil:
		return accepted
	case errors.As(err, &hostError), errors.Is(err, jayport.ErrMalformed):
		return refused
	default:
		return inDoubt
	}
}
