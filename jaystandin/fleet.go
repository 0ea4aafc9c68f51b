package jaystandin

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"jaythread/jayplatform"
)

// Fleet simulates the platform's instance list and its workers. It implements
// jayplatform.InstanceList and jayplatform.Workers.
type Fleet struct {
	Ledger *Ledger

	mu      sync.Mutex
	workers map[string]*Worker
	entries map[string]jayplatform.Instance
	// changes is the history of the instance list, the oldest change first.
	changes []change
	version uint64
	// lag is how long a change of an instance takes to become visible in the list.
	lag        time.Duration
	rebootTime time.Duration
	// countsBreaches is true if budget breaches are counted.
	countsBreaches bool
	// firstDrain is when the first order to drain a worker was carried out.
	firstDrain time.Time
	// lastReturn is when the last worker returned from a reboot.
	lastReturn time.Time
}

// change is one version of an instance in the list.
type change struct {
	version  uint64
	at       time.Time
	instance jayplatform.Instance
}

// NewFleet returns an empty fleet. Changes become visible in its list after lag, and a
// reboot of a worker takes rebootTime.
func NewFleet(lag, rebootTime time.Duration) *Fleet {
	return &Fleet{
		Ledger:     NewLedger(),
		workers:    map[string]*Worker{},
		entries:    map[string]jayplatform.Instance{},
		lag:        lag,
		rebootTime: rebootTime,
	}
}

// AddWorker starts a worker on the loopback interface and adds it to the list.
func (f *Fleet) AddWorker(spec jayplatform.Instance, service string, slots int, serviceTime time.Duration) (*Worker, error) {
	spec.Kind = jayplatform.Worker
	w := &Worker{
		spec:        spec,
		service:     service,
		slots:       slots,
		serviceTime: serviceTime,
		ledger:      f.Ledger,
		fences:      map[string]uint64{},
		tasks:       map[string]jayplatform.TaskReport{},
	}
	w.onChange = func() { f.publishWorker(w) }
	if err := w.start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.workers[spec.ID] = w
	f.mu.Unlock()
	f.publishWorker(w)
	return w, nil
}

// CountBreaches starts the counting of budget breaches. It is called once all workers have been
// added.
func (f *Fleet) CountBreaches() {
	f.mu.Lock()
	f.countsBreaches = true
	f.mu.Unlock()
}

// SetEntry adds or replaces an entry instance in the list. Entry instances are those of the
// system itself.
func (f *Fleet) SetEntry(i jayplatform.Instance) {
	i.Kind = jayplatform.Entry
	f.mu.Lock()
	f.entries[i.ID] = i
	f.addChange(i)
	f.mu.Unlock()
}

// Available returns the number of workers that are up and not draining.
func (f *Fleet) Available() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if w.up.Load() && !w.draining.Load() {
			n++
		}
	}
	return n
}

// RollOut returns the time from the first drain of a worker to the last return of a worker
// from a reboot. It is zero if none has returned yet.
func (f *Fleet) RollOut() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastReturn.IsZero() {
		return 0
	}
	return f.lastReturn.Sub(f.firstDrain)
}

func (f *Fleet) recordDrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstDrain.IsZero() {
		f.firstDrain = time.Now()
	}
}

func (f *Fleet) restartAfterReboot(id string) {
	if f.Restart(id) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReturn = time.Now()
}

// Worker returns the worker with the given ID.
func (f *Fleet) Worker(id string) (*Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[id]
	return w, ok
}

// WorkerIDs returns the IDs of all workers in ascending order.
func (f *Fleet) WorkerIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sortedNames(f.workers)
}

// Kill stops a worker without notice, like a crash.
func (f *Fleet) Kill(id string) {
	if w, ok := f.Worker(id); ok {
		w.stop(false)
		f.publishWorker(w)
	}
}

// Restart restarts a worker that was killed. It does nothing if the worker is up.
func (f *Fleet) Restart(id string) error {
	w, ok := f.Worker(id)
	if !ok {
		return fmt.Errorf("no worker %s", id)
	}
	if w.up.Load() {
		return nil
	}
	w.mu.Lock()
	w.spec.Boots++
	w.mu.Unlock()
	if err := w.start(); err != nil {
		return err
	}
	f.publishWorker(w)
	return nil
}

// Close stops all workers.
func (f *Fleet) Close() {
	for _, id := range f.WorkerIDs() {
		w, _ := f.Worker(id)
		w.stop(false)
	}
}

// Since returns the visible changes after a version. If there are none, it waits for one
// for at most the given time.
func (f *Fleet) Since(version uint64, wait time.Duration) (jayplatform.Changes, error) {
	const poll = 10 * time.Millisecond
	for waited := time.Duration(0); ; waited += poll {
		changes := f.visibleChanges(version)
		if len(changes.Instances) > 0 || waited >= wait {
			return changes, nil
		}
		time.Sleep(poll)
	}
}

func (f *Fleet) visibleChanges(version uint64) jayplatform.Changes {
	f.mu.Lock()
	defer f.mu.Unlock()
	latest := map[string]jayplatform.Instance{}
	result := jayplatform.Changes{Version: version}
	for _, c := range f.changes {
		if time.Since(c.at) < f.lag {
			break
		}
		if c.version > version {
			latest[c.instance.ID] = c.instance
			result.Version = c.version
		}
	}
	for _, id := range sortedNames(latest) {
		result.Instances = append(result.Instances, latest[id])
	}
	return result
}

// maxChanges is the length of the history above which superseded changes are dropped.
const maxChanges = 20_000

// publishWorker adds a worker's current state to the list. It reads the state while it
// holds the list's lock: otherwise, of two concurrent changes, the older state could be
// added last and remain the listed one.
func (f *Fleet) publishWorker(w *Worker) {
	f.mu.Lock()
	i := w.report()
	f.addChange(i)
	f.mu.Unlock()
	f.checkBudget(i)
}

func (f *Fleet) addChange(i jayplatform.Instance) {
	f.version++
	f.changes = append(f.changes, change{version: f.version, at: time.Now(), instance: i})
	if len(f.changes) > maxChanges {
		f.dropSuperseded()
	}
}

// dropSuperseded drops the changes that are visible and followed by a newer change of the
// same instance.
func (f *Fleet) dropSuperseded() {
	newest := map[string]uint64{}
	for _, c := range f.changes {
		newest[c.instance.ID] = c.version
	}
	f.changes = slices.DeleteFunc(f.changes, func(c change) bool {
		return newest[c.instance.ID] != c.version && time.Since(c.at) > f.lag
	})
}

// checkBudget compares the number of available workers of the instance's service with its
// minimum.
func (f *Fleet) checkBudget(i jayplatform.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[i.ID]
	if !ok || !f.countsBreaches {
		return
	}
	available := 0
	for _, other := range f.workers {
		if other.service == w.service && other.up.Load() && !other.draining.Load() {
			available++
		}
	}
	f.Ledger.checkBudget(w.service, available)
}

// Do carries out an order on a worker. An order that was carried out before has no effect,
// and one with an outdated fence is refused.
func (f *Fleet) Do(instance string, fence uint64, order jayplatform.Order) error {
	w, ok := f.Worker(instance)
	if !ok {
		return fmt.Errorf("%w: no worker %s", jayplatform.ErrRefused, instance)
	}
	again, err := w.checkFence(order, fence)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", jayplatform.ErrRefused, instance, err)
	}
	if again {
		return nil
	}
	switch a := order.(type) {
	case jayplatform.Drain:
		f.recordDrain()
		w.setDraining(true)
	case jayplatform.Undrain:
		w.setDraining(false)
	case jayplatform.Reboot:
		w.stop(true)
		f.Ledger.update(func(c *Counters) { c.Reboots++ })
		time.AfterFunc(f.rebootTime, func() { f.restartAfterReboot(instance) })
	case jayplatform.StartTask:
		w.startTask(a, fence)
	case jayplatform.StopTask:
		w.stopTask(a, fence)
	}
	f.publishWorker(w)
	return nil
}

func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
