// Package jayclaim makes non-idempotent requests run at most once across all entry
// instances: an entry claims the key of a request before it runs the request.
package jayclaim

import (
	"crypto/sha256"
	"slices"
	"time"

	"jaythread/jaywire"
)

// Key identifies a request across entries. It is a hash of the caller and its
// Idempotency-Key.
type Key [16]byte

// NewKey returns the key for a caller's Idempotency-Key. The caller is part of the
// key, so that no caller receives the stored answer of another.
func NewKey(caller, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(caller + "\x00" + idempotencyKey))
	return Key(sum[:16])
}

// Fingerprint returns a hash of the method, URI and body of a request.
func Fingerprint(method, uri string, body []byte) []byte {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + uri + "\x00"))
	h.Write(body)
	return h.Sum(nil)[:8]
}

// Answer is the stored answer of a request that has run.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// keyState is everything known about one key.
type keyState struct {
	claims []*jaywire.Claim
	// first is the ID of the claim that is first in the log, or empty.
	first    string
	answer   *Answer
	running  bool
	released []string
	// own is the ID of this entry's own claim. Until it is decided, no request
	// runs under it and it can be withdrawn.
	own     string
	decided bool
}

// Table holds the claims known to one entry. It has no clock and no lock: the
// caller passes the time and synchronizes the calls.
type Table struct {
	window   time.Duration
	keys     map[Key]*keyState
	expiries []expiry
}

type expiry struct {
	at  time.Time
	key Key
}

// NewTable returns an empty table that remembers each key for the given window.
func NewTable(window time.Duration) *Table {
	return &Table{window: window, keys: map[Key]*keyState{}}
}

// Len returns the number of remembered keys.
func (t *Table) Len() int {
	return len(t.keys)
}

// Begin records a claim of this entry unless another one holds the key.
func (t *Table) Begin(claim *jaywire.Claim, now time.Time) (holder *jaywire.Claim, granted bool) {
	holder, granted = t.Grant(claim, now)
	if granted {
		s := t.keyState(Key(claim.Key), now)
		s.own, s.decided = claim.Id, false
	}
	return holder, granted
}

// Decide makes this entry's own claim final, so that its request may run. It
// returns false if the claim has been withdrawn in the meantime.
func (t *Table) Decide(claim *jaywire.Claim) bool {
	s, ok := t.keys[Key(claim.Key)]
	if !ok || s.own != claim.Id {
		return false
	}
	s.decided = true
	return true
}

// Grant records a claim unless another one holds the key, and then returns that
// one.
//
// An undecided claim of this entry is withdrawn in favor of a claim that is marked
// as ahead. Otherwise entries that receive the same payment at the same time would
// each hold a claim, refuse the others, and none would run the payment.
func (t *Table) Grant(claim *jaywire.Claim, now time.Time) (holder *jaywire.Claim, granted bool) {
	s := t.keyState(Key(claim.Key), now)
	if slices.Contains(s.released, claim.Id) {
		// The claimant released the claim while this request was under way.
		// Recording it now would block the key until the window ends.
		return claim, false
	}
	if claim.Ahead && s.own != claim.Id && !s.decided {
		s.withdrawOwn()
	}
	for _, c := range s.claims {
		if c.Id != claim.Id {
			return c, false
		}
	}
	s.add(claim)
	return nil, true
}

// Apply records a claim read from the log. It reports whether the claim is the
// first one for its key there.
func (t *Table) Apply(claim *jaywire.Claim, now time.Time) (first bool) {
	if len(claim.Key) != len(Key{}) {
		return false
	}
	if claim.Kind == jaywire.ClaimKind_CLAIM_KIND_RELEASE {
		t.Release(claim, now)
		return false
	}
	s := t.keyState(Key(claim.Key), now)
	if slices.Contains(s.released, claim.Id) {
		return false
	}
	s.add(claim)
	if s.first == "" {
		s.first = claim.Id
	}
	return s.first == claim.Id
}

// Release removes the claim of a request that has not run and will not run.
func (t *Table) Release(claim *jaywire.Claim, now time.Time) {
	s := t.keyState(Key(claim.Key), now)
	s.claims = slices.DeleteFunc(s.claims, func(c *jaywire.Claim) bool { return c.Id == claim.Id })
	if s.first == claim.Id {
		s.first = ""
	}
	if !slices.Contains(s.released, claim.Id) {
		s.released = append(s.released, claim.Id)
	}
}

// Holder returns the claim that holds a key: the first in the log, or else the
// first that was granted here.
func (t *Table) Holder(key Key) (*jaywire.Claim, bool) {
	s, ok := t.keys[key]
	if !ok || len(s.claims) == 0 {
		return nil, false
	}
	for _, c := range s.claims {
		if c.Id == s.first {
			return c, true
		}
	}
	return s.claims[0], true
}

// SetRunning records whether this entry is running the request of a key.
func (t *Table) SetRunning(key Key, running bool) {
	if s, ok := t.keys[key]; ok {
		s.running = running
	}
}

// Running reports whether this entry is running the request of a key.
func (t *Table) Running(key Key) bool {
	s, ok := t.keys[key]
	return ok && s.running
}

// Store stores the answer of a request that has run.
func (t *Table) Store(key Key, a *Answer, now time.Time) {
	t.keyState(key, now).answer = a
}

// Answer returns the stored answer of a key.
func (t *Table) Answer(key Key) (*Answer, bool) {
	s, ok := t.keys[key]
	if !ok || s.answer == nil {
		return nil, false
	}
	return s.answer, true
}

// Claims returns all known claims, for a peer that has just started.
func (t *Table) Claims() []*jaywire.Claim {
	var claims []*jaywire.Claim
	for _, e := range t.expiries {
		if s, ok := t.keys[e.key]; ok {
			claims = append(claims, s.claims...)
		}
	}
	return claims
}

// Expire removes the keys whose window has passed.
func (t *Table) Expire(now time.Time) {
	n := 0
	for n < len(t.expiries) && now.Sub(t.expiries[n].at) > t.window {
		delete(t.keys, t.expiries[n].key)
		n++
	}
	t.expiries = t.expiries[n:]
}

func (t *Table) keyState(key Key, now time.Time) *keyState {
	s, ok := t.keys[key]
	if !ok {
		s = &keyState{}
		t.keys[key] = s
		t.expiries = append(t.expiries, expiry{at: now, key: key})
	}
	return s
}

func (s *keyState) withdrawOwn() {
	s.claims = slices.DeleteFunc(s.claims, func(c *jaywire.Claim) bool { return c.Id == s.own })
	s.own = ""
}

func (s *keyState) add(claim *jaywire.Claim) {
	for _, c := range s.claims {
		if c.Id == claim.Id {
			return
		}
	}
	s.claims = append(s.claims, claim)
}
