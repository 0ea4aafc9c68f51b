package jaypool

import (
	"errors"
	"fmt"
	"slices"
)

// Errors of the fleet's own rules. The fold turns them into rejections.
var (
	ErrUnknownInstance = errors.New("unknown instance")
	ErrStaleVersion    = errors.New("stale version")
	ErrAttached        = errors.New("instance belongs to a pool")
	ErrNotAvailable    = errors.New("instance is not available")
	ErrBudget          = errors.New("budget would not survive the worst failure domain")
	ErrPhase           = errors.New("instance is in another phase")
)

// Fleet is all instances with their pools. An instance stands in one pool at
// most, because its pool is one field of it.
type Fleet struct {
	instances map[string]*Instance
	ids       []string
	pools     map[string]*Pool
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{instances: map[string]*Instance{}, pools: map[string]*Pool{}}
}

// Instance returns the instance with this identity.
func (f *Fleet) Instance(id string) (*Instance, bool) {
	i, ok := f.instances[id]
	return i, ok
}

// IDs returns the identities of all instances in order; do not change it.
func (f *Fleet) IDs() []string {
	return f.ids
}

// Pool returns the counters of a pool; an unknown pool is empty.
func (f *Fleet) Pool(name string) *Pool {
	p, ok := f.pools[name]
	if !ok {
		p = newPool(name)
		f.pools[name] = p
	}
	return p
}

// Restore puts an instance back as a snapshot has it.
func (f *Fleet) Restore(i Instance) {
	if _, known := f.instances[i.ID]; !known {
		at, _ := slices.BinarySearch(f.ids, i.ID)
		f.ids = slices.Insert(f.ids, at, i.ID)
	}
	f.instances[i.ID] = &i
	f.join(&i)
}

// Attach puts an instance into a pool. It must belong to none.
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

// Move says where an instance goes.
type Move struct {
	ToPool string
	// Fence is the offset of the command.
	Fence uint64
	// Lent instances keep their home.
	Lent bool
}

// DrainForMove stops new work on an instance that will change its pool. The
// donor's budget must hold without it.
func (f *Fleet) DrainForMove(id string, m Move, base uint64, budget Budget) error {
	i, err := f.at(id, base)
	if err != nil {
		return err
	}
	if i.Pool == m.ToPool {
		return fmt.Errorf("%w: %s is in %s already", ErrAttached, id, m.ToPool)
	}
	if err := f.maySpare(i, budget); err != nil {
		return err
	}
	f.change(i, func() {
		i.Phase = Leaving
		i.MoveTo = m.ToPool
		i.Fence = m.Fence
		if !m.Lent {
			i.Home = m.ToPool
		}
	})
	return nil
}

// Detach takes a drained instance out of its pool.
func (f *Fleet) Detach(id string, base uint64) error {
	i, err := f.at(id, base)
	if err != nil {
		return err
	}
	if i.Phase != Leaving {
		return fmt.Errorf("%w: %s is %s", ErrPhase, id, i.Phase)
	}
	f.leave(i)
	i.Phase = Detached
	i.Pool = ""
	i.Version++
	return nil
}

// Remove forgets an instance that failed and will not come back.
func (f *Fleet) Remove(id string, base uint64) error {
	i, err := f.at(id, base)
	if err != nil {
		return err
	}
	if !i.Failed {
		return fmt.Errorf("%w: %s has not failed", ErrPhase, id)
	}
	f.leave(i)
	delete(f.instances, id)
	if at, found := slices.BinarySearch(f.ids, id); found {
		f.ids = slices.Delete(f.ids, at, at+1)
	}
	return nil
}

// BeginDrain starts the maintenance of an instance. The pool's budget must
// hold without it, also when the worst failure domain is lost.
func (f *Fleet) BeginDrain(id string, base uint64, budget Budget) error {
	i, err := f.at(id, base)
	if err != nil {
		return err
	}
	if i.Phase != Serving {
		return fmt.Errorf("%w: %s is %s", ErrPhase, id, i.Phase)
	}
	if i.Available() {
		if err := f.maySpare(i, budget); err != nil {
			return err
		}
	}
	f.change(i, func() { i.Phase = Draining })
	return nil
}

// Advance moves an instance from one phase of its maintenance to the next.
func (f *Fleet) Advance(id string, base uint64, from, to Phase) error {
	i, err := f.at(id, base)
	if err != nil {
		return err
	}
	if i.Phase != from {
		return fmt.Errorf("%w: %s is %s, not %s", ErrPhase, id, i.Phase, from)
	}
	f.change(i, func() { i.Phase = to })
	return nil
}

// Return ends the maintenance of an instance and notes the wave.
func (f *Fleet) Return(id string, base uint64, wave string) error {
	if err := f.Advance(id, base, Settling, Serving); err != nil {
		return err
	}
	f.instances[id].MaintainedIn = wave
	return nil
}

// SetFailed notes that an instance failed or recovered.
func (f *Fleet) SetFailed(id string, failed bool) error {
	i, ok := f.instances[id]
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknownInstance, id)
	}
	f.change(i, func() { i.Failed = failed })
	return nil
}

// SetQuarantined takes an instance out of placement or gives it back. Taking
// it out counts against the budget.
func (f *Fleet) SetQuarantined(id string, on bool, base uint64, budget Budget) error {
	i, err := f.at(id, base)
	if err != nil {
		return err
	}
	if on {
		if err := f.maySpare(i, budget); err != nil {
			return err
		}
	}
	f.change(i, func() { i.Quarantined = on })
	return nil
}

func (f *Fleet) maySpare(i *Instance, budget Budget) error {
	if !i.Available() {
		return fmt.Errorf("%w: %s", ErrNotAvailable, i.ID)
	}
	after := f.Pool(i.Pool).StandingWithout(i, budget)
	if after.Slack() < 0 {
		return fmt.Errorf("%w: pool %s would have %d available, lose up to %d, and needs %d",
			ErrBudget, i.Pool, after.Available, after.WorstLoss, after.MinAvailable)
	}
	return nil
}

func (f *Fleet) at(id string, base uint64) (*Instance, error) {
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

func (f *Fleet) change(i *Instance, apply func()) {
	f.leave(i)
	apply()
	i.Version++
	f.join(i)
}

func (f *Fleet) join(i *Instance) {
	if i.Phase == Detached {
		return
	}
	p := f.Pool(i.Pool)
	p.members++
	if i.Available() {
		p.count(i, 1)
	}
}

func (f *Fleet) leave(i *Instance) {
	if i.Phase == Detached {
		return
	}
	p := f.Pool(i.Pool)
	p.members--
	if i.Available() {
		p.count(i, -1)
	}
}
