package jayfleet

import (
	"errors"

	"jaythread/jayport"
)

// ErrStale reports that a command was not sent because it was decided too long ago.
var ErrStale = errors.New("decided too long ago")

// outcomeKind is the known effect of a command.
type outcomeKind uint8

const (
	accepted outcomeKind = iota
	refused
	notMade
	inDoubt
)

// outcome classifies the answer to a command. A refused command has no effect, and neither has
// one that was not sent or was rejected for its rate; a command without an answer may still be
// carried out.
func outcome(err error) outcomeKind {
	var hostError *jayport.HostError
	switch {
	case err == nil:
		return accepted
	case errors.As(err, &hostError), errors.Is(err, jayport.ErrMalformed), errors.Is(err, ErrStale):
		return refused
	case errors.Is(err, jayport.ErrRejected):
		return notMade
	default:
		return inDoubt
	}
}
