// Package jayorg holds the organisations whose callers use the system: the API keys by
// which a caller is identified, and each organisation's weight and quota. It has no side
// effects.
package jayorg

import (
	"crypto/sha256"
	"slices"
	"strings"

	"jaythread/jaypool"
)

// Digest is the SHA-256 digest of an API key. Keys are kept and compared by their digest
// only, so that neither memory nor a log contains one in clear.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key []byte) Digest {
	return sha256.Sum256(key)
}

// Organisation is one organisation as the operators have declared it.
type Organisation struct {
	Name string
	// Weight is the organisation's share when there is not enough room for all, relative
	// to the weights of the others.
	Weight float64
	// Quota limits what the tasks of the organisation's jobs may use at the same time,
	// over all pools. A resource of zero is not limited.
	Quota jaypool.Resources
	Keys  []Digest
}

// Directory finds organisations by key and by name. It is immutable.
type Directory struct {
	byKey   map[Digest]*Organisation
	byName  map[string]*Organisation
	sorted  []*Organisation
	quotas  map[string]jaypool.Resources
	weights map[string]float64
}

// NewDirectory returns a directory of organisations. A key that several organisations
// declare identifies none of them: a caller must not be mistaken for another one.
func NewDirectory(organisations []Organisation) *Directory {
	d := &Directory{byKey: map[Digest]*Organisation{}, byName: make(map[string]*Organisation, len(organisations)), quotas: map[string]jaypool.Resources{}, weights: map[string]float64{}}
	shared := map[Digest]bool{}
	for n := range organisations {
		o := &organisations[n]
		if _, twice := d.byName[o.Name]; !twice {
			d.sorted = append(d.sorted, o)
		}
		d.byName[o.Name] = o
		for _, key := range o.Keys {
			if other, taken := d.byKey[key]; taken && other.Name != o.Name {
				shared[key] = true
			}
			d.byKey[key] = o
		}
	}
	for key := range shared {
		delete(d.byKey, key)
	}
	for _, o := range d.sorted {
		d.weights[o.Name] = o.Weight
		if o.Quota != (jaypool.Resources{}) {
			d.quotas[o.Name] = o.Quota
		}
	}
	slices.SortFunc(d.sorted, func(a, b *Organisation) int { return strings.Compare(a.Name, b.Name) })
	return d
}

// Authenticate returns the organisation that a key belongs to.
func (d *Directory) Authenticate(key []byte) (o *Organisation, known bool) {
	o, known = d.byKey[DigestOf(key)]
	return o, known
}

// Organisation returns the organisation with a name.
func (d *Directory) Organisation(name string) (o *Organisation, known bool) {
	o, known = d.byName[name]
	return o, known
}

// Quotas returns the quotas of the organisations that have one, which must not be changed. A
// nil directory has none.
func (d *Directory) Quotas() map[string]jaypool.Resources {
	if d == nil {
		return nil
	}
	return d.quotas
}

// Weights returns the weights of all organisations, which must not be changed. A nil directory
// has none.
func (d *Directory) Weights() map[string]float64 {
	if d == nil {
		return nil
	}
	return d.weights
}

// Size returns the number of organisations; that of a nil directory is zero.
func (d *Directory) Size() int {
	if d == nil {
		return 0
	}
	return len(d.sorted)
}

// All returns the organisations in the order of their names.
func (d *Directory) All() []*Organisation {
	return d.sorted
}
