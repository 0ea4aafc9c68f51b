// Package jayowner determines which entry owns which duty. A duty is claimed by a record,
// and the record's offset determines the claim's fence, which rises with each claim.
// Ownership only saves duplicate work: the effects of a duty are protected by its fences,
// so that two entries that both assume that they own a duty do no harm.
package jayowner

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// Duty is the name of a responsibility that one entry at a time has for all entries.
type Duty string

const poolPrefix = "pool/"

// Fleet is the duty to move and maintain instances.
const Fleet Duty = "fleet"

// PoolDuty returns the duty to run the tasks of a pool.
func PoolDuty(pool string) Duty {
	return Duty(poolPrefix + pool)
}

// Pool returns the pool whose tasks the duty runs, or false if it is not the duty of a
// pool.
func (d Duty) Pool() (string, bool) {
	return strings.CutPrefix(string(d), poolPrefix)
}

// Claim is the newest claim of a duty.
type Claim struct {
	Duty        Duty
	Fence       int64
	Term        int64
	Incarnation string
	Entry       string
	PeerAddr    string
	// Released is set if the owner has released the duty. The owner still performs the
	// duty until the next claim.
	Released bool
	// PlacementsSince is the first term from which on all owners of the duty record the placements of
	// service tasks, or zero.
	PlacementsSince int64
	// offset is the offset of the duty's newest record.
	offset int64
}

// Table holds the newest claim of each duty.
type Table struct {
	claims map[Duty]Claim
	// end is the offset after the last applied record.
	end int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{claims: map[Duty]Claim{}}
}

// Apply applies a claim, a release or the removal of a claim. It returns an error for a
// record that cannot be decoded and leaves the claims unchanged.
func (t *Table) Apply(r jayport.Record) error {
	t.end = max(t.end, r.Offset+1)
	duty := Duty(r.Key)
	if r.Value == nil {
		delete(t.claims, duty)
		return nil
	}
	var claim jaywire.OwnerClaim
	if err := proto.Unmarshal(r.Value, &claim); err != nil {
		return err
	}
	present, claimed := t.claims[duty]
	if claimed && present.offset >= r.Offset {
		return nil
	}
	if claim.Released {
		if present.Incarnation == claim.Incarnation {
			present.Released, present.offset = true, r.Offset
			t.claims[duty] = present
			return nil
		}
		if claimed {
			return nil
		}
	}
	t.claims[duty] = Claim{
		Duty:        duty,
		offset:      r.Offset,
		Fence:       FenceOf(r.Offset),
		Term:        int64(claim.Term),
		Incarnation: claim.Incarnation,
		Entry:       claim.Entry,
		PeerAddr:    claim.PeerAddr,
		Released:    claim.Released,

		PlacementsSince: int64(claim.PlacementsSince),
	}
	return nil
}

// FenceOf returns the fence of the claim at an offset. It is never zero, because workers
// treat a zero fence as no fence.
func FenceOf(offset int64) int64 {
	return offset + 1
}

// End returns the offset after the last applied record.
func (t *Table) End() int64 {
	return t.end
}

// Claim returns the newest claim of a duty, if there is one.
func (t *Table) Claim(d Duty) (Claim, bool) {
	c, ok := t.claims[d]
	return c, ok
}

// Claims returns all claims, sorted by duty.
func (t *Table) Claims() []Claim {
	claims := make([]Claim, 0, len(t.claims))
	for _, c := range t.claims {
		claims = append(claims, c)
	}
	slices.SortFunc(claims, func(a, b Claim) int { return strings.Compare(string(a.Duty), string(b.Duty)) })
	return claims
}

// Clone returns a copy of the table.
func (t *Table) Clone() *Table {
	clone := NewTable()
	clone.end = t.end
	for d, c := range t.claims {
		clone.claims[d] = c
	}
	return clone
}

// Reset removes all claims.
func (t *Table) Reset() {
	clear(t.claims)
}

// Record returns the record of a claim, or of its release if Released is set.
func (c Claim) Record() jayport.Record {
	value, err := proto.Marshal(&jaywire.OwnerClaim{
		Incarnation: c.Incarnation,
		Entry:       c.Entry,
		PeerAddr:    c.PeerAddr,
		Term:        uint32(c.Term),
		Released:    c.Released,

		PlacementsSince: uint32(c.PlacementsSince),
	})
	if err != nil {
		// Encoding a message of plain fields cannot fail.
		panic("encode claim: " + err.Error())
	}
	return jayport.Record{Key: string(c.Duty), Value: value}
}
