package jaynode

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jaycatalog"
	"jaythread/jayclock"
	"jaythread/jaymember"
	"jaythread/jayowner"
	"jaythread/jayport"
)

// errUnreachable is returned by a call that does not reach its target, or whose answer is
// lost.
var errUnreachable = fmt.Errorf("%w: cut", jayport.ErrNoAnswer)

// sharedStore is an in-memory store that all entries of a test share. It stores each
// numbered append once and rejects producers with an old epoch.
type sharedStore struct {
	mu         sync.Mutex
	partitions map[jayport.Partition]*sharedPartition
}

type sharedPartition struct {
	records   []jayport.Record
	producers map[string]jayport.Producer
}

func newSharedStore() *sharedStore {
	return &sharedStore{partitions: map[jayport.Partition]*sharedPartition{}}
}

// at returns a partition. The caller must hold the lock.
func (s *sharedStore) at(p jayport.Partition) *sharedPartition {
	if s.partitions[p] == nil {
		s.partitions[p] = &sharedPartition{producers: map[string]jayport.Producer{}}
	}
	return s.partitions[p]
}

func (s *sharedStore) append(a jayport.Append) (jayport.Appended, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.at(a.Partition)
	end := int64(len(p.records))
	if a.AsOf != jayport.AnyOffset && a.AsOf != end {
		return jayport.Appended{}, &jayport.StaleError{End: end}
	}
	if a.Producer != nil {
		last := p.producers[a.Producer.Name]
		switch {
		case a.Producer.Epoch < last.Epoch:
			return jayport.Appended{}, &jayport.FencedError{}
		case a.Producer.Epoch > last.Epoch:
			last = jayport.Producer{Epoch: a.Producer.Epoch, Sequence: a.Producer.Sequence - 1}
		case len(a.Records) > 0 && a.Producer.Sequence <= last.Sequence:
			return jayport.Appended{First: end, End: end}, nil // duplicate
		}
		if len(a.Records) > 0 {
			last.Sequence = a.Producer.Sequence
		}
		p.producers[a.Producer.Name] = last
	}
	for _, r := range a.Records {
		r.Offset = int64(len(p.records))
		p.records = append(p.records, r)
	}
	return jayport.Appended{First: end, End: int64(len(p.records))}, nil
}

func (s *sharedStore) read(p jayport.Partition, from int64) jayport.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.at(p).records
	end := int64(len(records))
	return jayport.Page{Records: slices.Clone(records[min(from, end):]), Next: end, End: end}
}

func (s *sharedStore) latest(p jayport.Partition, after string) jayport.Latest {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]jayport.Record{}
	for _, r := range s.at(p).records {
		if newest[r.Key] = r; r.Value == nil {
			delete(newest, r.Key)
		}
	}
	latest := jayport.Latest{End: int64(len(s.at(p).records))}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key > after {
			latest.Records = append(latest.Records, newest[key])
		}
	}
	return latest
}

// recordBytes is the size beyond which the store rejects a record, and callBytes that of all records of an
// append.
const (
	recordBytes = 1 << 18
	callBytes   = 1 << 21
)

// faultyStore is one entry's access to the shared store, with injected faults.
type faultyStore struct {
	store *sharedStore

	mu sync.Mutex
	// unreachable drops requests, loseAnswers drops answers.
	unreachable, loseAnswers bool
	// refuse rejects all calls, refuseTopic only the appends to one topic.
	refuse      bool
	refuseTopic string
	// refuseReads rejects the reads of one topic with refuseReadsBy.
	refuseReads   string
	refuseReadsBy error
	// requestDelay passes before a call takes effect, answerDelay before its answer
	// arrives.
	requestDelay, answerDelay time.Duration
	appends                   int
}

func (w *faultyStore) set(change func(*faultyStore)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

func (w *faultyStore) faults() (unreachable, loseAnswers, refuse bool, requestDelay, answerDelay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unreachable, w.loseAnswers, w.refuse, w.requestDelay, w.answerDelay
}

// call makes a call with the injected faults.
func call[T any](w *faultyStore, timeout time.Duration, do func() (T, error)) (T, error) {
	var none T
	unreachable, loseAnswers, refuse, requestDelay, answerDelay := w.faults()
	switch {
	case refuse:
		return none, fmt.Errorf("%w: test", jayport.ErrRejected)
	case unreachable:
		time.Sleep(timeout)
		return none, errUnreachable
	case requestDelay > 0:
		time.Sleep(requestDelay)
	}
	got, err := do()
	switch {
	case loseAnswers, requestDelay+answerDelay > timeout:
		time.Sleep(max(timeout-requestDelay, time.Millisecond))
		return none, errUnreachable
	case answerDelay > 0:
		time.Sleep(answerDelay)
	}
	return got, err
}

// Append adds records.
func (w *faultyStore) Append(a jayport.Append, timeout time.Duration) (jayport.Appended, error) {
	var refused bool
	w.set(func(w *faultyStore) {
		w.appends++
		refused = w.refuseTopic == a.Partition.Topic
	})
	if refused {
		return jayport.Appended{}, fmt.Errorf("%w: test", jayport.ErrRejected)
	}
	tooLarge := func(r jayport.Record) bool { return len(r.Key)+len(r.Value) > recordBytes }
	size := 0
	for _, r := range a.Records {
		size += len(r.Key) + len(r.Value)
	}
	if size > callBytes || slices.ContainsFunc(a.Records, tooLarge) {
		return jayport.Appended{}, fmt.Errorf("%w: test", jayport.ErrMalformed)
	}
	return call(w, timeout, func() (jayport.Appended, error) { return w.store.append(a) })
}

func (w *faultyStore) readError(p jayport.Partition) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refuseReads == p.Topic {
		return w.refuseReadsBy
	}
	return nil
}

// Read returns records from an offset on. If there are none, it waits.
func (w *faultyStore) Read(p jayport.Partition, from int64, wait, timeout time.Duration) (jayport.Page, error) {
	if err := w.readError(p); err != nil {
		return jayport.Page{}, err
	}
	return call(w, timeout, func() (jayport.Page, error) {
		page := w.store.read(p, from)
		if len(page.Records) == 0 && wait > 0 {
			time.Sleep(wait)
			page = w.store.read(p, from)
		}
		return page, nil
	})
}

// Latest returns the newest record of each key.
func (w *faultyStore) Latest(p jayport.Partition, after string, timeout time.Duration) (jayport.Latest, error) {
	if err := w.readError(p); err != nil {
		return jayport.Latest{}, err
	}
	return call(w, timeout, func() (jayport.Latest, error) { return w.store.latest(p, after), nil })
}

// sentCommand is a command that reached the inventory.
type sentCommand struct {
	host  string
	fence int64
	at    time.Duration
}

// sharedHosts is an inventory that all entries of a test share. It accepts every command
// regardless of its fence.
type sharedHosts struct {
	mu       sync.Mutex
	hosts    map[string]jayport.Host
	commands []sentCommand
	clock    jayclock.Clock
}

func newSharedHosts(clock jayclock.Clock, pools map[string]int) *sharedHosts {
	s := &sharedHosts{hosts: map[string]jayport.Host{}, clock: clock}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		for range pools[pool] {
			name := fmt.Sprint("m", len(s.hosts))
			s.hosts[name] = jayport.Host{Name: name, Pool: pool, State: jayport.HostUp}
		}
	}
	return s
}

func (s *sharedHosts) command(host, pool string, fence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commands = append(s.commands, sentCommand{host: host, fence: fence, at: s.clock()})
	h := s.hosts[host]
	if pool != "" {
		h.Pool = pool
	}
	s.hosts[host] = h
}

// sent returns the commands that have arrived so far.
func (s *sharedHosts) sent() []sentCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands)
}

// slowInventory is one entry's access to the shared inventory.
type slowInventory struct {
	hosts *sharedHosts
	// latency is the time that a command takes to arrive.
	latency time.Duration
}

// setLatency sets the latency of commands.
func (w *slowInventory) setLatency(late time.Duration) {
	w.hosts.mu.Lock()
	defer w.hosts.mu.Unlock()
	w.latency = late
}

func (w *slowInventory) delay() time.Duration {
	w.hosts.mu.Lock()
	defer w.hosts.mu.Unlock()
	return w.latency
}

// Hosts returns all hosts.
func (w *slowInventory) Hosts(time.Duration) ([]jayport.Host, error) {
	w.hosts.mu.Lock()
	defer w.hosts.mu.Unlock()
	return slices.Collect(maps.Values(w.hosts.hosts)), nil
}

// Move assigns a host to another pool.
func (w *slowInventory) Move(host, pool string, lease jayport.Lease, timeout time.Duration) error {
	return w.command(host, pool, lease, timeout)
}

// Maintain records a maintenance command.
func (w *slowInventory) Maintain(host, _ string, lease jayport.Lease, timeout time.Duration) error {
	return w.command(host, "", lease, timeout)
}

func (w *slowInventory) command(host, pool string, lease jayport.Lease, timeout time.Duration) error {
	late := w.delay()
	time.Sleep(min(late, timeout))
	w.hosts.command(host, pool, lease.Fence)
	if late >= timeout {
		return errUnreachable
	}
	return nil
}

// testFormats maps each topic to one partition.
type testFormats struct{ jayport.Formats }

// OwnPartitions returns the number of partitions of each topic.
func (testFormats) OwnPartitions() int { return 1 }

// Own returns a partition of a topic of the program.
func (testFormats) Own(topic string, number int) jayport.Partition {
	return jayport.Partition{Topic: topic, Number: number}
}

// Declarations returns the partition of the operators' declarations.
func (testFormats) Declarations() jayport.Partition {
	return jayport.Partition{Topic: "declarations"}
}

// WaveStatus returns the record of a wave's status.
func (testFormats) WaveStatus(wave string, done bool) (jayport.Partition, jayport.Record) {
	return jayport.Partition{Topic: "status"}, jayport.Record{Key: wave, Value: []byte(fmt.Sprint(done))}
}

// testEntry is an entry whose duties a test runs one by one.
type testEntry struct {
	node  *Node
	store *faultyStore
	hosts *slowInventory
}

// newTestEntry returns an entry that shares a store and an inventory with others. It is
// not started: only the parts that a test starts run.
func newTestEntry(t *testing.T, name string, store *sharedStore, hosts *sharedHosts, clock jayclock.Clock) *testEntry {
	t.Helper()
	e := &testEntry{store: &faultyStore{store: store}, hosts: &slowInventory{hosts: hosts}}
	e.node = New(Settings{
		Entry: name, PeerAddr: "127.0.0.1:1", MoveTime: time.Second, MaintenanceTime: time.Second,
		HolderTime: 3 * time.Second, MaxLease: 10 * time.Second, StopTime: 200 * time.Millisecond,
	}, Ports{Store: e.store, Inventory: e.hosts, Formats: testFormats{}}, logr.Discard(), WithClock(clock))
	e.node.declarations.adopt(jaycatalog.New(1, jaycatalog.Limits{}, []jaycatalog.Pool{
		{Name: "seats"}, {Name: "standby", Standby: true},
	}, nil))
	return e
}

// claim returns a claim of a duty by the entry.
func (e *testEntry) claim(duty jayowner.Duty, fence, term int64) jayowner.Claim {
	return jayowner.Claim{Duty: duty, Fence: fence, Term: term, Incarnation: e.node.incarnation, Entry: e.node.settings.Entry}
}

// setClaims sets the claims that the entry has read, as of now.
func (e *testEntry) setClaims(claims ...jayowner.Claim) {
	table := jayowner.NewTable()
	for n, c := range claims {
		r := c.Record()
		r.Offset = int64(n)
		_ = table.Apply(r)
	}
	e.node.members.Owners.Publish(&jaymember.View{Table: table, AsOf: e.node.clock(), AnsweredAt: e.node.clock()})
}

var _ jayport.Store = (*faultyStore)(nil)
var _ jayport.Inventory = (*slowInventory)(nil)

// fakeWorkers are workers that answer at once, except for the silent ones.
type fakeWorkers struct {
	jayport.Workers
	clock jayclock.Clock

	mu     sync.Mutex
	silent map[string]bool
	active map[string]map[jayport.RunRef]bool
	starts []jayport.StartOrder
	stops  []jayport.RunRef
	renews int
	// leases are the ends of the leases of the workers, late is how long a worker takes for a report.
	leases, late map[string]time.Duration
}

func newFakeWorkers(clock jayclock.Clock, silent ...string) *fakeWorkers {
	f := &fakeWorkers{clock: clock, silent: map[string]bool{}, active: map[string]map[jayport.RunRef]bool{}, leases: map[string]time.Duration{}, late: map[string]time.Duration{}}
	for _, id := range silent {
		f.silent[id] = true
	}
	return f
}

func (f *fakeWorkers) answers(id string, timeout time.Duration) bool {
	f.mu.Lock()
	silent := f.silent[id]
	f.mu.Unlock()
	if silent {
		time.Sleep(timeout)
	}
	return !silent
}

// Start records a start order.
func (f *fakeWorkers) Start(to jayport.WorkerRef, o jayport.StartOrder, timeout time.Duration) (time.Duration, error) {
	if !f.answers(to.ID, timeout) {
		return 0, errUnreachable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, o)
	if f.active[to.ID] == nil {
		f.active[to.ID] = map[jayport.RunRef]bool{}
	}
	f.active[to.ID][o.Run] = true
	return f.clock(), nil
}

// Stop records a stop order.
func (f *fakeWorkers) Stop(to jayport.WorkerRef, run jayport.RunRef, _ int64, timeout time.Duration) (time.Duration, error) {
	if !f.answers(to.ID, timeout) {
		return 0, errUnreachable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, run)
	delete(f.active[to.ID], run)
	return f.clock(), nil
}

// Renew returns the active runs after the order's wait time.
func (f *fakeWorkers) Renew(to jayport.WorkerRef, o jayport.LeaseOrder, timeout time.Duration) (jayport.Report, error) {
	if !f.answers(to.ID, timeout) {
		return jayport.Report{}, errUnreachable
	}
	f.mu.Lock()
	f.renews++
	f.leases[to.ID] = max(f.leases[to.ID], o.LeaseUntil)
	late := f.late[to.ID]
	f.mu.Unlock()
	time.Sleep(o.Wait + late)
	report := jayport.Report{Clock: f.clock()}
	f.mu.Lock()
	defer f.mu.Unlock()
	for run := range f.active[to.ID] {
		report.Active = append(report.Active, jayport.ActiveRun{Run: run, Speed: 100})
	}
	return report, nil
}

// Forget does nothing.
func (f *fakeWorkers) Forget(jayport.WorkerRef) {}

// setLate sets how long a worker takes for a report.
func (f *fakeWorkers) setLate(id string, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late[id] = late
}

// lease returns the end of a worker's lease.
func (f *fakeWorkers) lease(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leases[id]
}

// counts returns the number of starts and renewals so far.
func (f *fakeWorkers) counts() (starts, renews int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts), f.renews
}
