package jaymember

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypace"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jaywire"
)

// memoryStore is an in-memory store with one partition for each topic.
type memoryStore struct {
	mu      sync.Mutex
	records map[jayport.Partition][]jayport.Record
	// refuse rejects all calls.
	refuse bool
	// appends counts the appends.
	appends int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{records: map[jayport.Partition][]jayport.Record{}}
}

func (s *memoryStore) setRefuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = on
}

// Append adds records unless other records follow the offset of the condition.
func (s *memoryStore) Append(a jayport.Append, _ time.Duration) (jayport.Appended, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.records[a.Partition]))
	s.appends++
	switch {
	case s.refuse:
		return jayport.Appended{}, fmt.Errorf("%w: test", jayport.ErrRejected)
	case a.AsOf != jayport.AnyOffset && a.AsOf != end:
		return jayport.Appended{}, &jayport.StaleError{End: end}
	}
	for n, r := range a.Records {
		r.Offset = end + int64(n)
		s.records[a.Partition] = append(s.records[a.Partition], r)
	}
	return jayport.Appended{First: end, End: end + int64(len(a.Records))}, nil
}

// Read returns records from an offset on.
func (s *memoryStore) Read(p jayport.Partition, from int64, _, _ time.Duration) (jayport.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.records[p]
	end := int64(len(records))
	return jayport.Page{Records: slices.Clone(records[min(from, end):]), Next: end, End: end}, nil
}

// Latest returns the newest record of each key after a key.
func (s *memoryStore) Latest(p jayport.Partition, after string, _ time.Duration) (jayport.Latest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return jayport.Latest{}, fmt.Errorf("%w: test", jayport.ErrRejected)
	}
	latest := jayport.Latest{End: int64(len(s.records[p]))}
	seen := map[string]bool{}
	for _, r := range slices.Backward(s.records[p]) {
		if r.Key > after && !seen[r.Key] {
			seen[r.Key] = true
			latest.Records = append(latest.Records, r)
		}
	}
	return latest, nil
}

// noPeers has no peers to relay store calls.
type noPeers struct{}

// Incarnations returns no incarnations.
func (noPeers) Incarnations() []string { return nil }

// Relay always fails.
func (noPeers) Relay(string, *jaywire.StoreCall) (*jaywire.StoreResult, error) {
	return nil, jayport.ErrNoAnswer
}

// testFormats maps each topic to one partition.
type testFormats struct{ jayport.Formats }

// Own returns a partition of a topic of the program.
func (testFormats) Own(topic string, number int) jayport.Partition {
	return jayport.Partition{Topic: topic, Number: number}
}

// newTestMembers returns a membership that is not started, so that a test can run its
// parts one by one.
func newTestMembers(t *testing.T, entry string, store *memoryStore, clock jayclock.Clock) *Members {
	t.Helper()
	return New(Options{
		Entry:       entry,
		Incarnation: NewIncarnation(entry),
		PeerAddr:    "127.0.0.1:1",
		Clock:       clock,
		Store:       jayrelay.New(store, noPeers{}, clock, logr.Discard()),
		Formats:     testFormats{},
		Logger:      logr.Discard(),
		Pace:        jaypace.New(0, nil),
		Partition:   func(string) int { return 0 },
		Duties:      func() []jayowner.Duty { return []jayowner.Duty{jayowner.Fleet} },
	})
}

// publish sets the claims that the membership has read, as of now.
func (m *Members) publish(claims ...jayowner.Claim) {
	table := jayowner.NewTable()
	for n, c := range claims {
		r := c.Record()
		r.Offset = int64(n)
		_ = table.Apply(r)
	}
	m.Owners.Publish(&View{Table: table, AsOf: m.Clock()})
}
