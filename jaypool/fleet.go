package jaypool

import (
	"errors"
	"fmt"
	"slices"
)

// Errors for commands that violate the fleet's rules. The state rejects such commands.
var (
	ErrUnknownInstance = errors.New("unknown instance")
	ErrStaleVersion    = errors.New("stale version")
	ErrAttached        = errors.New("instance belongs to a pool")
	ErrNotAvailable    = errors.New("instance is not available")
	ErrBudget          = errors.New("budget would not survive the worst failure domain")
	ErrPhase           = errors.New("instance is in another phase")
)

// Fleet holds all instances and their pools. An instance belongs to at most one pool,
// because the pool is a single field of the instance.
type Fleet struct {
	instances map[string]*Instance
	ids       []string
	pools     map[string]*Pool
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{instances: map[string]*Instance{}, pools: map[string]*Pool{}}
}

// Instance returns the instance with the given ID.
func (f *Fleet) Instance(id string) (*Instance, bool) {
	i, ok := f.instances[id]
	return i, ok
}

// IDs returns the sorted IDs of all instances. The caller must not modify the slice.
func (f *Fleet) IDs() []string {
	return f.ids
}

// Pool returns the counters of a pool. An unknown pool is created empty.
func (f *Fleet) Pool(name string) *Pool {
	p, ok := f.pools[name]
	if !ok {
		p = newPool(name)
		f.pools[name] = p
	}
	return p
}

// Restore adds an instance from a snapshot without any checks.
func (f *Fleet) Restore(i Instance) {
	if _, known := f.instances[i.ID]; !known {
		at, _ := slices.BinarySearch(f.ids, i.ID)
		f.ids = slices.Insert(f.ids, at, i.ID)
	}
	f.instances[i.ID] = &i
	f.addToCounts(&i)
}

// Attach adds an instance to a pool. The instance must not belong to a pool already.
func (f *Fleet) Attach(fresh Instance, base uint64) error {
	old, known := f.instances[fresh.ID]
	if known {
		if old.Version != base {
			return staleVersion(old, base)
		}
		if old.Phase != Detached {
			return fmt.Errorf("%w: %s is in %s", ErrAttached, old.ID, old.Pool)
		}
		fresh.MaintainedIn = old.MaintainedIn
		fresh.Failed = old.Failed
		fresh.Quarantined = old.Quarantined
		fresh.Fence = old.Fence
		fresh.Home = old.Home
	}
	if fresh.Home == "" {
		fresh.Home = fresh.Pool
	}
	fresh.Version = base + 1
	fresh.Phase = Serving
	fresh.MoveTo = ""
	f.Restore(fresh)
	return nil
}

// Move describes the move of an instance to another pool.
type Move struct {
	ToPool string
	// Fence is the offset of the command.
	Fence uint64
	// Lent keeps the instance's home pool unchanged.
	Lent bool
}

// DrainForMove stops new work on an instance that moves to another pool. The budget of its
// current pool must hold without it.
func (f *Fleet) DrainForMove(id string, m Move, base uint64, budget Budget) error {
	i, err := f.lookup(id, base)
	if err != nil {
		return err
	}
	if i.Pool == m.ToPool {
		return fmt.Errorf("%w: %s is in %s already", ErrAttached, id, m.ToPool)
	}
	if err := f.checkRemoval(i, budget); err != nil {
		return err
	}
	f.update(i, func() {
		i.Phase = Leaving
		i.MoveTo = m.ToPool
		i.Fence = m.Fence
		if !m.Lent {
			i.Home = m.ToPool
		}
	})
	return nil
}

// Detach removes a drained instance from its pool.
func (f *Fleet) Detach(id string, base uint64) error {
	i, err := f.lookup(id, base)
	if err != nil {
		return err
	}
	if i.Phase != Leaving {
		return fmt.Errorf("%w: %s is %s", ErrPhase, id, i.Phase)
	}
	f.removeFromCounts(i)
	i.Phase = Detached
	i.Pool = ""
	i.Version++
	return nil
}

// Remove deletes a failed instance that will not return.
func (f *Fleet) Remove(id string, base uint64) error {
	i, err := f.lookup(id, base)
	if err != nil {
		return err
	}
	if !i.Failed {
		return fmt.Errorf("%w: %s has not failed", ErrPhase, id)
	}
	f.removeFromCounts(i)
	delete(f.instances, id)
	if at, found := slices.BinarySearch(f.ids, id); found {
		f.ids = slices.Delete(f.ids, at, at+1)
	}
	return nil
}

// BeginDrain starts the maintenance of an instance. The pool's budget must hold without
// the instance, including the loss of the worst failure domain.
func (f *Fleet) BeginDrain(id string, base uint64, budget Budget) error {
	i, err := f.lookup(id, base)
	if err != nil {
		return err
	}
	if i.Phase != Serving {
		return fmt.Errorf("%w: %s is %s", ErrPhase, id, i.Phase)
	}
	if i.Available() {
		if err := f.checkRemoval(i, budget); err != nil {
			return err
		}
	}
	f.update(i, func() { i.Phase = Draining })
	return nil
}

// Advance moves an instance from one maintenance phase to the next.
func (f *Fleet) Advance(id string, base uint64, from, to Phase) error {
	i, err := f.lookup(id, base)
	if err != nil {
		return err
	}
	if i.Phase != from {
		return fmt.Errorf("%w: %s is %s, not %s", ErrPhase, id, i.Phase, from)
	}
	f.update(i, func() { i.Phase = to })
	return nil
}

// Return ends the maintenance of an instance and records the wave.
func (f *Fleet) Return(id string, base uint64, wave string) error {
	if err := f.Advance(id, base, Settling, Serving); err != nil {
		return err
	}
	f.instances[id].MaintainedIn = wave
	return nil
}

// SetFailed records that an instance has failed or recovered.
func (f *Fleet) SetFailed(id string, failed bool) error {
	i, ok := f.instances[id]
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	f.update(i, func() { i.Failed = failed })
	return nil
}

// SetQuarantined starts or ends the quarantine of an instance. A quarantined instance is
// not available, so that the pool's budget must hold without it.
func (f *Fleet) SetQuarantined(id string, on bool, base uint64, budget Budget) error {
	i, err := f.lookup(id, base)
	if err != nil {
		return err
	}
	if on {
		if err := f.checkRemoval(i, budget); err != nil {
			return err
		}
	}
	f.update(i, func() { i.Quarantined = on })
	return nil
}

func (f *Fleet) checkRemoval(i *Instance, budget Budget) error {
	if !i.Available() {
		return fmt.Errorf("%w: %s", ErrNotAvailable, i.ID)
	}
	after := f.Pool(i.Pool).BudgetStatusWithout(i, budget)
	if after.Slack() < 0 {
		return fmt.Errorf("%w: pool %s would have %d available, lose up to %d, and needs %d",
			ErrBudget, i.Pool, after.Available, after.WorstLoss, after.MinAvailable)
	}
	return nil
}

func (f *Fleet) lookup(id string, base uint64) (*Instance, error) {
	i, ok := f.instances[id]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	if i.Version != base {
		return nil, staleVersion(i, base)
	}
	return i, nil
}

func staleVersion(i *Instance, base uint64) error {
	return fmt.Errorf("%w: %s is at %d, the command was based on %d", ErrStaleVersion, i.ID, i.Version, base)
}

func (f *Fleet) update(i *Instance, apply func()) {
	f.removeFromCounts(i)
	apply()
	i.Version++
	f.addToCounts(i)
}

func (f *Fleet) addToCounts(i *Instance) {
	if i.Phase == Detached {
		return
	}
	p := f.Pool(i.Pool)
	p.members++
	if i.Available() {
		p.count(i, 1)
	}
}

func (f *Fleet) removeFromCounts(i *Instance) {
	if i.Phase == Detached {
		return
	}
	p := f.Pool(i.Pool)
	p.members--
	if i.Available() {
		p.count(i, -1)
	}
}
