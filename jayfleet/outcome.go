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
	inDoubt
)

// outcome classifies the answer to a command. A refused command has no effect; a command
// without an answer may still be carried out. A call rejected by a rate limit was not made
// and is repeated.
func outcome(err error) outcomeKind {
	var hostError *jayport.HostError
	switch {
	case err == nil:
		return accepted
	case errors.As(err, &hostError), errors.Is(err, jayport.ErrMalformed), errors.Is(err, ErrStale):
		return refused
	default:
		return inDoubt
	}
}
