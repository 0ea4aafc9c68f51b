package jayentry

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jayconfig"
	"jaythread/jayplatform"
	"jaythread/jayring"
	"jaythread/jayroute"
	"jaythread/jayserve"
	"jaythread/jaystate"
	"jaythread/jayupstream"
)

// maxPendingChanges limits the queued changes of the instance list and the queued
// leaving notices. The list watcher waits while the queue is full.
const maxPendingChanges = 64

// Router builds the routing view from the state and the instance list.
type Router struct {
	self     string
	store    *Store
	members  *Membership
	upstream *jayupstream.Client
	queueMax int
	logger   logr.Logger

	view    atomic.Pointer[jayserve.View]
	changes *jayring.Ring[[]jayplatform.Instance]
	leaving *jayring.Ring[string]
	// changed has an item when the view must be rebuilt; its value has no meaning here.
	changed *jayring.Ring[uint64]

	mu      sync.Mutex
	workers map[string]jayplatform.Instance
	pools   map[string]*jayroute.Pool
	poolOf  map[string]string
	// leavingSince is when an upstream was reported as leaving, by its ID.
	leavingSince map[string]time.Time
}

// NewRouter returns a Router that has no view yet.
func NewRouter(self string, store *Store, members *Membership, upstream *jayupstream.Client, queueMax int, logger logr.Logger) *Router {
	return &Router{
		self:         self,
		store:        store,
		members:      members,
		upstream:     upstream,
		queueMax:     queueMax,
		logger:       logger,
		changes:      jayring.New[[]jayplatform.Instance](maxPendingChanges),
		leaving:      jayring.New[string](maxPendingChanges),
		changed:      store.Notify(),
		workers:      map[string]jayplatform.Instance{},
		pools:        map[string]*jayroute.Pool{},
		poolOf:       map[string]string{},
		leavingSince: map[string]time.Time{},
	}
}

// View returns the current view, or nil before the first one is built.
func (r *Router) View() *jayserve.View {
	return r.view.Load()
}

// Offset returns the state offset that the view is built from. Without a view it
// returns the highest possible offset, since this entry routes nothing.
func (r *Router) Offset() uint64 {
	v := r.view.Load()
	if v == nil {
		return math.MaxUint64
	}
	return v.Offset
}

// FreshAt returns when the view was last known to be current. A view that is
// behind the state is as old as its build time, however recently the log was read:
// an entry that resumes after a pause reads the log before it rebuilds its view.
func (r *Router) FreshAt() time.Time {
	v := r.view.Load()
	if v == nil {
		return time.Time{}
	}
	offset, at := r.store.Freshness()
	if v.Offset < offset {
		return v.FreshAt
	}
	return at
}

// Workers returns a copy of the workers on the instance list, by ID.
func (r *Router) Workers() map[string]jayplatform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	workers := make(map[string]jayplatform.Instance, len(r.workers))
	for id, w := range r.workers {
		workers[id] = w
	}
	return workers
}

// Run rebuilds the view after each change until the context ends.
func (r *Router) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed.Ready():
		case <-r.changes.Ready():
		case <-r.leaving.Ready():
		}
		r.applyPending()
		began := time.Now()
		r.rebuild()
		jayclock.Sleep(ctx, pace(time.Since(began), 0))
	}
}

func (r *Router) applyPending() {
	for {
		if _, ok := r.changed.Take(); !ok {
			break
		}
	}
	for {
		instances, ok := r.changes.Take()
		if !ok {
			break
		}
		r.applyInstances(instances)
	}
	for {
		upstream, ok := r.leaving.Take()
		if !ok {
			break
		}
		r.applyLeaving(upstream)
	}
}

func (r *Router) applyInstances(instances []jayplatform.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range instances {
		if i.Kind != jayplatform.Worker {
			continue
		}
		before, known := r.workers[i.ID]
		if known && before.Addr != i.Addr {
			r.upstream.Forget(before.Addr)
		}
		if i.State == jayplatform.Live && before.State != jayplatform.Live {
			delete(r.leavingSince, i.ID)
		}
		r.workers[i.ID] = i
	}
}

// applyLeaving stops new work on an upstream as soon as it is known to be leaving,
// whether from its own refusal, from a peer or from the instance list.
func (r *Router) applyLeaving(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingSince[upstream] = time.Now()
	// While the log cannot be read, nothing else causes a rebuild at the end.
	time.AfterFunc(leavingHoldTime, func() { r.changed.Push(0) })
	if pool, ok := r.pools[r.poolOf[upstream]]; ok {
		pool.SetLeaving(upstream)
	}
}

// leavingHoldTime is how long a leaving notice takes precedence over an instance
// list that still shows the upstream as live. The list lags by less than this.
const leavingHoldTime = 10 * time.Second

func (r *Router) rebuild() {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &jayserve.View{
		Pools:       map[string]*jayroute.Pool{},
		States:      map[string]string{},
		Connections: map[string]int{},
	}
	_, next.FreshAt = r.store.Freshness()
	r.store.Read(func(s *jaystate.State) { r.fillView(next, s) })
	if next.Config == nil {
		return
	}
	before := r.view.Swap(next)
	if before == nil || before.Revision != next.Revision {
		r.logger.Info("configuration in force", "revision", next.Revision)
	}
}

func (r *Router) fillView(v *jayserve.View, s *jaystate.State) {
	v.Config = s.Configuration()
	v.Revision = s.Revision.Number
	v.Offset = s.Offset
	if v.Config == nil {
		return
	}
	members := r.memberIDs(s)
	targets := map[string][]jayroute.Target{}
	r.poolOf = map[string]string{}
	for _, id := range s.Fleet.IDs() {
		i, _ := s.Fleet.Instance(id)
		worker, listed := r.workers[id]
		if !listed || !i.Available() || !r.acceptsWork(worker) {
			continue
		}
		pool, declared := v.Config.Pool(i.Pool)
		if !declared {
			continue
		}
		r.poolOf[id] = i.Pool
		targets[i.Pool] = append(targets[i.Pool], jayroute.Target{
			ID:    id,
			Addr:  worker.Addr,
			Share: jayroute.Share(pool.Slots, id, r.self, members),
		})
	}
	for n := range v.Config.Pools {
		r.fillPool(v, s, &v.Config.Pools[n], targets, len(members))
	}
}

func (r *Router) fillPool(v *jayserve.View, s *jaystate.State, declared *jayconfig.Pool, targets map[string][]jayroute.Target, members int) {
	name := declared.Name
	pool, known := r.pools[name]
	if !known {
		pool = jayroute.NewPool(name, r.queueMax)
		r.pools[name] = pool
	}
	pool.Update(targets[name])
	v.Pools[name] = pool
	v.States[name] = poolState(s, name)
	v.Connections[name] = max(1, declared.Connections/max(1, members))
}

func (r *Router) acceptsWork(w jayplatform.Instance) bool {
	if w.State != jayplatform.Live {
		return false
	}
	since, leaving := r.leavingSince[w.ID]
	return !leaving || time.Since(since) >= leavingHoldTime
}

// memberIDs returns the members that share the slots. This entry is included even
// before its join is applied; otherwise it would claim all slots.
func (r *Router) memberIDs(s *jaystate.State) []string {
	ids := make([]string, 0, len(s.Members)+1)
	for _, m := range s.Members {
		ids = append(ids, m.Entry)
	}
	if !slices.Contains(ids, r.self) {
		ids = append(ids, r.self)
	}
	return ids
}
