package jayport

import (
	"slices"
	"time"

	"jaythread/jaypool"
)

// HostState is the state of a host in the inventory.
type HostState uint8

// The states of hosts.
const (
	// HostUnknown stands for any state that this program does not know.
	HostUnknown HostState = iota
	HostUp
	HostMoving
	HostMaintained
	HostDown
)

var hostStateNames = [...]string{"unknown", "up", "moving", "maintained", "down"}

// String returns the state in lower case.
func (s HostState) String() string {
	if int(s) < len(hostStateNames) {
		return hostStateNames[s]
	}
	return hostStateNames[HostUnknown]
}

// Host is an instance in the inventory. It outlives the workers that run on it one after
// another.
type Host struct {
	Name       string
	Pool       string
	State      HostState
	DataCenter string
	Rack       string
	Labels     []string
	Capacity   jaypool.Resources
	// Worker is the ID of the worker that runs on the host, or empty if there is none.
	Worker string
	// Unreadable is set if the inventory's row could not be decoded. At most the name is
	// known then.
	Unreadable bool
}

// Complete reports whether all rows of the inventory could be decoded. If not, a host that
// is missing from the list may be in one of the unreadable rows.
func Complete(hosts []Host) bool {
	return !slices.ContainsFunc(hosts, func(h Host) bool { return h.Unreadable })
}

// Lease is the proof of the right to send commands for hosts: its holder and the fence of
// the lease.
type Lease struct {
	Holder string
	Fence  int64
}

// HostReason is the reason for which the inventory refused a command. A refused command has
// no effect.
type HostReason uint8

// The reasons for which the inventory refuses commands.
const (
	// HostRefusedUnknown stands for any reason that this program does not know.
	HostRefusedUnknown HostReason = iota
	// HostFenced means that a command with a higher fence was carried out on the host.
	HostFenced
	// HostBusy means that the host is not up, or is leaving.
	HostBusy
	// HostNotInWave means that the wave does not name the host.
	HostNotInWave
	// HostMalformed means that the host or the pool does not exist, or that they do not
	// fit each other.
	HostMalformed
)

var hostReasonNames = [...]string{"unknown", "fenced", "busy", "notInWave", "malformed"}

// String returns the reason in camel case.
func (r HostReason) String() string {
	if int(r) < len(hostReasonNames) {
		return hostReasonNames[r]
	}
	return hostReasonNames[HostRefusedUnknown]
}

// HostError is returned for a command that the inventory refused.
type HostError struct {
	Reason HostReason
}

// Error returns a message with the reason.
func (e *HostError) Error() string {
	return "inventory refused: " + e.Reason.String()
}

// ClosedTime is how long the owner of a pool starts no runs on a host after each request of the
// fleet's owner to empty it, also when the fleet has another owner meanwhile.
const ClosedTime = 2 * time.Second

// Inventory lists the fleet's instances and moves and maintains them. Its
// errors are ErrNoAnswer, ErrRejected, ErrNotSent and *HostError.
type Inventory interface {
	Hosts(timeout time.Duration) ([]Host, error)
	// Move ends all runs on a host immediately and moves it to another pool.
	Move(host, pool string, lease Lease, timeout time.Duration) error
	// Maintain ends all runs on a host immediately and starts its maintenance for a
	// wave.
	Maintain(host, wave string, lease Lease, timeout time.Duration) error
}
