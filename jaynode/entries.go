package jaynode

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// entries follows which entries run.
type entries struct {
	node   *Node
	logger logr.Logger

	mu     sync.Mutex
	byName map[string]*jaywire.EntryRecord
	asOf   time.Duration
}

func newEntries(n *Node) *entries {
	return &entries{node: n, logger: n.logger.WithName("entries"), byName: map[string]*jaywire.EntryRecord{}}
}

// Reset begins a load.
func (e *entries) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.byName)
}

// Apply takes in the announcement of an entry; its key is the entry's name.
func (e *entries) Apply(r jayport.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Value == nil {
		delete(e.byName, r.Key)
		return
	}
	record := &jaywire.EntryRecord{}
	if err := proto.Unmarshal(r.Value, record); err != nil {
		e.logger.Error(err, "entry unreadable", "entry", r.Key)
		return
	}
	e.byName[r.Key] = record
}

// CaughtUp notes how fresh the list is.
func (e *entries) CaughtUp(asOf time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asOf = asOf
}

// all returns the entries that were announced.
func (e *entries) all() []*jaywire.EntryRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]*jaywire.EntryRecord, 0, len(e.byName))
	for _, record := range e.byName {
		list = append(list, record)
	}
	return list
}

// names returns the newest announcement under each name, also of entries that
// have ended since.
func (e *entries) names() map[string]*jaywire.EntryRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.byName)
}

// restarted reports whether a process was started under the name of an incarnation
// after a time of day. An announcement may arrive seconds late, after that of the
// next process; the one of a process that was started before says nothing.
func (e *entries) restarted(incarnation string, after time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	present, known := e.byName[entryOf(incarnation)]
	return known && present.Incarnation != incarnation && present.StartedUnixMillis > after.UnixMilli()
}

// addrOf returns the peer address of an incarnation, or an empty one.
func (e *entries) addrOf(incarnation string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range e.byName {
		if record.Incarnation == incarnation {
			return record.PeerAddr
		}
	}
	return ""
}

const (
	// storeTimeout bounds a single call to the store that is not repeated.
	storeTimeout = 500 * time.Millisecond
	// announcePause is before an announcement that failed is made again.
	announcePause = 300 * time.Millisecond
)

// announce tells the other entries that this one runs.
func (e *entries) announce(ctx context.Context) {
	s := e.node.settings
	value, err := proto.Marshal(&jaywire.EntryRecord{
		Incarnation:       e.node.incarnation,
		PeerAddr:          s.PeerAddr,
		DataCenter:        s.DataCenter,
		ProcessorsMilli:   s.ProcessorsMilli,
		LinkMegabits:      s.LinkMegabits,
		StartedUnixMillis: e.node.started.UnixMilli(),
	})
	if err != nil {
		e.logger.Error(err, "announcement cannot be written")
		return
	}
	for ctx.Err() == nil {
		_, err := e.node.store.Append(jayport.Append{
			Partition: e.node.ports.Formats.Own(topicEntries, 0),
			Records:   []jayport.Record{{Key: s.Entry, Value: value}},
			AsOf:      jayport.AnyOffset,
		}, storeTimeout)
		if err == nil {
			return
		}
		e.logger.Info("not announced yet", "error", err.Error())
		sleep(ctx, announcePause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
