package jayport

import (
	"time"

	"jaythread/jaycatalog"
)

// Declared is what an operator's record says: CatalogDeclared, WaveDeclared or
// NothingDeclared.
type Declared interface {
	isDeclared()
}

// CatalogDeclared is a new revision of the catalog.
type CatalogDeclared struct {
	Catalog *jaycatalog.Catalog
}

// WaveDeclared asks for a maintenance wave.
type WaveDeclared struct {
	Wave Wave
}

// NothingDeclared is a record that is no matter of this program.
type NothingDeclared struct{}

func (CatalogDeclared) isDeclared() {}
func (WaveDeclared) isDeclared()    {}
func (NothingDeclared) isDeclared() {}

// Wave asks that each of some hosts is maintained.
type Wave struct {
	Name  string
	Hosts []string
	// Within is the time for all of them, from the declaration on.
	Within time.Duration
	// MaxAtOnce bounds the hosts that are down for the wave at one time.
	MaxAtOnce int
}

// Formats translates the records that the platform and its operators keep in
// the store.
type Formats interface {
	// Declarations is where operators' records are; each is read by Declared.
	Declarations() Partition
	Declared(r Record) (Declared, error)
	// Reports is where workers announce themselves; each record is read by
	// Reported. A key without value is a worker that has left.
	Reports() Partition
	Reported(r Record) (Worker, error)
	// WaveStatus is the record by which operators learn whether a wave is
	// done.
	WaveStatus(wave string, done bool) (Partition, Record)
	// Own is the partition of a topic of this program's own.
	Own(topic string, number int) Partition
	// OwnPartitions is how many partitions a topic of its own may have.
	OwnPartitions() int
}
