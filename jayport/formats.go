package jayport

import (
	"time"

	"jaythread/jaycatalog"
)

// Declared is the decoded content of an operator's record: CatalogDeclared, WaveDeclared or
// IgnoredRecord.
type Declared interface {
	isDeclared()
}

// CatalogDeclared is a new revision of the catalog.
type CatalogDeclared struct {
	Catalog *jaycatalog.Catalog
}

// WaveDeclared declares a maintenance wave.
type WaveDeclared struct {
	Wave Wave
}

// IgnoredRecord is a record that this program ignores.
type IgnoredRecord struct{}

func (CatalogDeclared) isDeclared() {}
func (WaveDeclared) isDeclared()    {}
func (IgnoredRecord) isDeclared()   {}

// Wave is a declared maintenance wave: each of its hosts is to be maintained.
type Wave struct {
	Name  string
	Hosts []string
	// Within is the time in which all hosts are to be maintained, counted from the
	// declaration.
	Within time.Duration
	// MaxAtOnce is the maximum number of hosts that may be down for the wave at the same
	// time.
	MaxAtOnce int
}

// Formats decodes and encodes the records that the platform and its operators keep in the
// store.
type Formats interface {
	// Declarations returns the partition of the operators' records, which DecodeDeclaration
	// decodes.
	Declarations() Partition
	DecodeDeclaration(r Record) (Declared, error)
	// Heartbeats returns the partition of the workers' heartbeats, which DecodeHeartbeat
	// decodes. A record without a value means that the worker with this key has left.
	Heartbeats() Partition
	DecodeHeartbeat(r Record) (Worker, error)
	// WaveStatus returns the status record of a wave, which states to operators whether
	// the wave is done, and the partition that it belongs to.
	WaveStatus(wave string, done bool) (Partition, Record)
	// Own returns a partition of a topic that belongs to this program.
	Own(topic string, number int) Partition
	// OwnPartitions returns the number of partitions that a topic of this program may
	// have.
	OwnPartitions() int
}
