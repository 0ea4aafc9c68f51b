package jaymember

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypace"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jaytail"
	"jaythread/jaywire"
)

// The store of a platform of medium size, by its description.
const (
	readsPerSecond   = 2000
	appendsPerSecond = 800
	callLatency      = 4 * time.Millisecond
	appendTime       = 4 * time.Millisecond
)

// limitedStore is a store that rejects calls beyond a number per second and processes the
// appends to a partition one at a time.
type limitedStore struct {
	*memoryStore
	mu        sync.Mutex
	reads     *rate.Limiter
	appends   *rate.Limiter
	rejected  int
	down      bool
	busyUntil map[jayport.Partition]time.Time
	changed   chan struct{}
}

func newLimitedStore() *limitedStore {
	return &limitedStore{
		memoryStore: newMemoryStore(),
		reads:       rate.NewLimiter(readsPerSecond, readsPerSecond),
		appends:     rate.NewLimiter(appendsPerSecond, appendsPerSecond),
		busyUntil:   map[jayport.Partition]time.Time{}, changed: make(chan struct{}),
	}
}

// admit rejects a call beyond the rate.
func (s *limitedStore) admit(limiter *rate.Limiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fmt.Errorf("%w: down", jayport.ErrRejected)
	}
	if !limiter.Allow() {
		s.rejected++
		return jayport.ErrRateExceeded
	}
	return nil
}

func (s *limitedStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// takeRejected returns the number of calls that were rejected for their rate since the last
// call of takeRejected.
func (s *limitedStore) takeRejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected := s.rejected
	s.rejected = 0
	return rejected
}

// Append adds records after the earlier appends to the partition.
func (s *limitedStore) Append(a jayport.Append, timeout time.Duration) (jayport.Appended, error) {
	if err := s.admit(s.appends); err != nil {
		return jayport.Appended{}, err
	}
	s.mu.Lock()
	done := time.Now().Add(appendTime)
	if busy := s.busyUntil[a.Partition].Add(appendTime); busy.After(done) {
		done = busy
	}
	s.busyUntil[a.Partition] = done
	s.mu.Unlock()
	if took := time.Until(done); took > timeout {
		go func() {
			time.Sleep(took)
			_, _ = s.add(a)
		}()
		time.Sleep(timeout)
		return jayport.Appended{}, jayport.ErrNoAnswer
	}
	time.Sleep(time.Until(done))
	return s.add(a)
}

func (s *limitedStore) add(a jayport.Append) (jayport.Appended, error) {
	got, err := s.memoryStore.Append(a, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
	return got, err
}

// Read returns records from an offset on and waits for the first one.
func (s *limitedStore) Read(p jayport.Partition, from int64, wait, _ time.Duration) (jayport.Page, error) {
	if err := s.admit(s.reads); err != nil {
		return jayport.Page{}, err
	}
	time.Sleep(callLatency)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		page, err := s.memoryStore.Read(p, from, 0, 0)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		}
	}
}

// Latest returns the newest record of each key after a key.
func (s *limitedStore) Latest(p jayport.Partition, after string, timeout time.Duration) (jayport.Latest, error) {
	if err := s.admit(s.reads); err != nil {
		return jayport.Latest{}, err
	}
	time.Sleep(callLatency)
	return s.memoryStore.Latest(p, after, timeout)
}

// relayPeers relays calls of an entry through two others, which call the same store.
type relayPeers struct{ store jayport.Store }

// Incarnations returns the peers.
func (relayPeers) Incarnations() []string { return []string{"p1", "p2"} }

// Relay calls the store.
func (r relayPeers) Relay(_ string, call *jaywire.StoreCall) (*jaywire.StoreResult, error) {
	result := jayrelay.Serve(r.store, call)
	return result, jayrelay.DecodeError(result)
}

// ignore is a handler that ignores all records.
type ignore struct{}

// Reset does nothing.
func (ignore) Reset() {}

// Apply does nothing.
func (ignore) Apply(jayport.Record) {}

// CaughtUp does nothing.
func (ignore) CaughtUp(time.Duration) {}

// manyEntries is a number of entries that follow announcements and claims in one store.
type manyEntries struct {
	store   *limitedStore
	members []*Members
}

// startMany starts entries within 300 ms. Each follows a third partition, as it does for the
// operators' declarations.
func startMany(ctx context.Context, store *limitedStore, count int) *manyEntries {
	m := &manyEntries{store: store}
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	for n := range count {
		name := "e" + strconv.Itoa(n)
		var members *Members
		pace := jaypace.New(readsPerSecond, func() int { return members.Entries.Count() })
		members = New(Options{
			Pace:  pace,
			Entry: name, Incarnation: NewIncarnation(name), PeerAddr: "127.0.0.1:1", Clock: clock, Formats: testFormats{}, Logger: logr.Discard(),
			Store:        jayrelay.New(store, relayPeers{store}, clock, logr.Discard(), jayrelay.WithPace(pace)),
			Partition:    func(string) int { return 0 },
			Duties:       func() []jayowner.Duty { return nil },
			OnClaimsRead: func() {},
			Go:           func(run func()) { go run() },
		})
		m.members = append(m.members, members)
		go func() {
			time.Sleep(300 * time.Millisecond * time.Duration(n) / time.Duration(count))
			members.follow(ctx)
			members.newTail("declarations", jaytail.Options{Wait: ClaimsWait}, claimsShare, ignore{}).Run(ctx)
		}()
	}
	return m
}

// claim appends a claim on behalf of an entry outside and returns how long it takes until all
// entries have read it.
func (m *manyEntries) claim(t *testing.T, term int64, limit time.Duration) time.Duration {
	t.Helper()
	record := jayowner.Claim{Duty: jayowner.Fleet, Incarnation: "outside-00000000", Term: term}.Record()
	got, err := m.store.add(jayport.Append{Partition: testFormats{}.Own(topicOwners, 0), Records: []jayport.Record{record}, AsOf: jayport.AnyOffset})
	is.New(t).NoErr(err)
	began := time.Now()
	for time.Since(began) < limit {
		behind := 0
		for _, one := range m.members {
			if view := one.Owners.View(); view == nil || view.next < got.End {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// lost returns the number of entries that do not call the store directly.
func (m *manyEntries) lost() int {
	lost := 0
	for _, one := range m.members {
		if !one.Store.Direct() {
			lost++
		}
	}
	return lost
}

func TestManyEntriesStayWithinTheStoresRate(t *testing.T) {
	// Guards against entries that are seconds behind although nothing disturbs them: their
	// calls together exceeded the store's rate, and each answered a rejected call with more.
	const entries, inForce = 304, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(20 * time.Second) // lets pending calls return
		}()
		store := newLimitedStore()
		m := startMany(ctx, store, entries)
		time.Sleep(time.Second)
		for term := range int64(5) {
			took := m.claim(t, term+1, 10*time.Second)
			rejected := store.takeRejected()
			t.Log("known to all after", took, "rejected", rejected, "entries without the store", m.lost())
			is.True(took < inForce)
			is.Equal(rejected, 0)
			time.Sleep(time.Second)
		}
		store.setDown(true)
		time.Sleep(4 * time.Second)
		store.setDown(false)
		took := m.claim(t, 6, 10*time.Second)
		t.Log("after an outage: known to all after", took, "rejected", store.takeRejected())
		is.True(took < inForce)
	})
}
