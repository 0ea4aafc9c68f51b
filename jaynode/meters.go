package jaynode

import (
	"errors"
	"time"

	"jaythread/jayclock"
	"jaythread/jaymetric"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayverdict"
)

// metered wraps the ports so that each call is counted in the metrics.
func metered(ports Ports, m *jaymetric.JobMetrics, clock jayclock.Clock) Ports {
	ports.Store = &meteredStore{Store: ports.Store, metrics: m, clock: clock}
	ports.Workers = &meteredWorkers{Workers: ports.Workers, metrics: m, clock: clock}
	ports.Inventory = &meteredInventory{Inventory: ports.Inventory, metrics: m}
	return ports
}

// outcomeOf returns the metric label for the outcome of a call.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, jayport.ErrNoAnswer):
		return "noAnswer"
	case errors.Is(err, jayport.ErrRejected):
		return "rejected"
	default:
		return "refused"
	}
}

// meteredStore counts and times the calls to the store.
type meteredStore struct {
	jayport.Store
	metrics *jaymetric.JobMetrics
	clock   jayclock.Clock
}

// Append adds records to a partition.
func (s *meteredStore) Append(a jayport.Append, timeout time.Duration) (jayport.Appended, error) {
	began := s.clock()
	appended, err := s.Store.Append(a, timeout)
	s.metrics.StoreCalled("append", a.Partition.Topic, outcomeOf(err), s.clock()-began)
	return appended, err
}

// Read returns records from an offset on.
func (s *meteredStore) Read(p jayport.Partition, from int64, wait, timeout time.Duration) (jayport.Page, error) {
	began := s.clock()
	page, err := s.Store.Read(p, from, wait, timeout)
	s.metrics.StoreCalled("read", p.Topic, outcomeOf(err), s.clock()-began)
	return page, err
}

// Latest returns the newest record of each key after a key.
func (s *meteredStore) Latest(p jayport.Partition, after string, timeout time.Duration) (jayport.Latest, error) {
	began := s.clock()
	latest, err := s.Store.Latest(p, after, timeout)
	s.metrics.StoreCalled("latest", p.Topic, outcomeOf(err), s.clock()-began)
	return latest, err
}

// meteredWorkers counts and times the orders to workers.
type meteredWorkers struct {
	jayport.Workers
	metrics *jaymetric.JobMetrics
	clock   jayclock.Clock
}

// Start orders a worker to start a run.
func (w *meteredWorkers) Start(to jayport.WorkerRef, o jayport.StartOrder, timeout time.Duration) (time.Duration, error) {
	began := w.clock()
	clock, err := w.Workers.Start(to, o, timeout)
	w.metrics.Ordered("start", outcomeOf(err), w.clock()-began)
	return clock, err
}

// Stop orders a worker to stop a run.
func (w *meteredWorkers) Stop(to jayport.WorkerRef, run jayport.RunRef, fence int64, timeout time.Duration) (time.Duration, error) {
	began := w.clock()
	clock, err := w.Workers.Stop(to, run, fence, timeout)
	w.metrics.Ordered("stop", outcomeOf(err), w.clock()-began)
	return clock, err
}

// Throttle sets the speed of a run as a share of its full speed.
func (w *meteredWorkers) Throttle(to jayport.WorkerRef, o jayport.ThrottleOrder, timeout time.Duration) (time.Duration, error) {
	began := w.clock()
	clock, err := w.Workers.Throttle(to, o, timeout)
	w.metrics.Ordered("throttle", outcomeOf(err), w.clock()-began)
	return clock, err
}

// Renew renews a worker's lease and returns its report.
func (w *meteredWorkers) Renew(to jayport.WorkerRef, o jayport.LeaseOrder, timeout time.Duration) (jayport.Report, error) {
	began := w.clock()
	report, err := w.Workers.Renew(to, o, timeout)
	w.metrics.Ordered("renew", outcomeOf(err), w.clock()-began)
	return report, err
}

// meteredInventory counts the commands to hosts.
type meteredInventory struct {
	jayport.Inventory
	metrics *jaymetric.JobMetrics
}

// Move assigns a host to another pool.
func (i *meteredInventory) Move(host, pool string, lease jayport.Lease, timeout time.Duration) error {
	err := i.Inventory.Move(host, pool, lease, timeout)
	i.metrics.HostCommanded("move", outcomeOf(err))
	return err
}

// Maintain maintains a host for a wave.
func (i *meteredInventory) Maintain(host, wave string, lease jayport.Lease, timeout time.Duration) error {
	err := i.Inventory.Maintain(host, wave, lease, timeout)
	i.metrics.HostCommanded("maintain", outcomeOf(err))
	return err
}

// countAnswer counts an answer to a caller by its outcome.
func (n *Node) countAnswer(call string, began time.Duration, err error) {
	outcome := "ok"
	var verdict *jayverdict.Error
	if errors.As(err, &verdict) {
		outcome = verdict.Verdict.String()
	}
	n.metrics.Answered(call, outcome, n.clock()-began)
}

const milliPerCore = 1000

// countEvent counts an event of a pool.
func (d *poolDuty) countEvent(event jaysched.Event) {
	m := d.node.metrics
	m.PoolEvent(d.name, string(event.Kind))
	switch event.Kind {
	case jaysched.RunStarted:
		m.TaskStarted(d.name, event.Waited)
	case jaysched.JobEnded:
		m.JobEnded(d.name, event.Waited)
	case jaysched.JobRecorded:
		m.EndRecorded(d.name, event.Waited)
	case jaysched.RunRestarted:
		m.WorkLost(d.name, event.LostMilli/milliPerCore)
	case jaysched.QuotaFree:
		m.QuotaWaited(d.name, event.Organisation, event.Waited)
	case jaysched.WithinShare:
		m.WasBeyondShare(d.name, event.Organisation, event.Waited)
	}
}

// countServiceWaits passes to the metrics which long-running tasks of the pool wait, after each count.
func (d *poolDuty) countServiceWaits() {
	waits := d.pool.ServiceWaits()
	if waits.At == d.serviceWaitsAt {
		return
	}
	d.serviceWaitsAt = waits.At
	m := d.node.metrics
	for _, reason := range jaysched.WaitReasons() {
		m.SetServiceTasksWaiting(d.name, string(reason), waits.Tasks[reason])
	}
	m.SetLongestServiceWait(d.name, waits.Longest)
}

// registerGauges registers the gauges that are computed when the metrics are scraped.
func (n *Node) registerGauges() {
	n.metrics.Gauge("jaythread_duties", "Duties that this entry carries out.", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		duties := len(n.pools)
		if n.fleet != nil {
			duties++
		}
		return float64(duties)
	})
	n.metrics.Gauge("jaythread_return_places", "Rejected jobs that have a place in the order of return, in the pools that this entry owns.", n.returnPlaces)
	n.metrics.Gauge("jaythread_open_job_bytes", "Estimated memory of the open jobs of the pools that this entry owns.", n.openJobBytes)
	n.metrics.Gauge("jaythread_declarations_age_seconds", "Age of this entry's view of the operators' declarations.", func() float64 {
		return (n.clock() - n.declarations.asOf()).Seconds()
	})
	n.metrics.Gauge("jaythread_claims_age_seconds", "Age of this entry's view of who owns what.", func() float64 {
		view := n.members.Owners.View()
		if view == nil {
			return 0
		}
		return (n.clock() - view.AsOf).Seconds()
	})
	n.metrics.Gauge("jaythread_catalog_revision", "Revision of the operators' configuration in force.", func() float64 {
		if c := n.Catalog(); c != nil {
			return float64(c.Revision)
		}
		return 0
	})
	n.metrics.Gauge("jaythread_store_latency_seconds", "What an append to the store takes at present.", func() float64 {
		return n.store.Latency().Seconds()
	})
}
