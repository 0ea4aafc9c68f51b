package jaymember

import (
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// Entries holds the announcements of all entries. It is the handler of the tail that
// reads them.
type Entries struct {
	members *Members
	logger  logr.Logger

	mu     sync.Mutex
	byName map[string]*jaywire.EntryRecord
	// version counts the changes of byName.
	version int64
	asOf    time.Duration
}

func newEntries(m *Members) *Entries {
	return &Entries{members: m, logger: m.Logger.WithName("entries"), byName: map[string]*jaywire.EntryRecord{}}
}

// Reset discards all announcements before a reload.
func (e *Entries) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	clear(e.byName)
}

// Apply decodes the announcement of an entry; its key is the entry's name.
func (e *Entries) Apply(r jayport.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	if r.Value == nil {
		delete(e.byName, r.Key)
		return
	}
	record := &jaywire.EntryRecord{}
	if err := proto.Unmarshal(r.Value, record); err != nil {
		e.logger.Error(err, "entry announcement cannot be decoded", "entry", r.Key)
		return
	}
	e.byName[r.Key] = record
}

// CaughtUp sets the time up to which the announcements have been read.
func (e *Entries) CaughtUp(asOf time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asOf = asOf
}

// All returns the newest announcement of each entry.
func (e *Entries) All() []*jaywire.EntryRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]*jaywire.EntryRecord, 0, len(e.byName))
	for _, record := range e.byName {
		list = append(list, record)
	}
	return list
}

// Count returns the number of entries that have announced themselves, including those that
// have ended.
func (e *Entries) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.byName)
}

// announced reports whether the announcement of an incarnation has been read.
func (e *Entries) announced(incarnation string) bool {
	return e.AddrOf(incarnation) != ""
}

// Version returns a number that changes with the announcements.
func (e *Entries) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Named returns the newest announcement of an entry.
func (e *Entries) Named(name string) (*jaywire.EntryRecord, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record, known := e.byName[name]
	return record, known
}

// Names returns the newest announcement by entry name, including entries that have ended
// since.
func (e *Entries) Names() map[string]*jaywire.EntryRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.byName)
}

// restarted reports whether another process of the same entry was started after a given
// time of day. An announcement may arrive seconds late, after that of the next process,
// so that a different incarnation that was started before proves nothing.
func (e *Entries) restarted(incarnation string, after time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	present, known := e.byName[EntryOf(incarnation)]
	return known && present.Incarnation != incarnation && present.StartedUnixMillis > after.UnixMilli()
}

// AddrOf returns the peer address of an incarnation, or an empty string if it is unknown.
func (e *Entries) AddrOf(incarnation string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range e.byName {
		if record.Incarnation == incarnation {
			return record.PeerAddr
		}
	}
	return ""
}
