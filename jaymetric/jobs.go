package jaymetric

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// JobMetrics holds the metrics of the job service. The number of label values is bounded,
// since pools and duties come from the operators' configuration.
type JobMetrics struct {
	Registry *prometheus.Registry
	// Runtime holds the metrics of the Go runtime and the process.
	Runtime           *prometheus.Registry
	answers           *prometheus.CounterVec
	answerDuration    *prometheus.HistogramVec
	storeCallDuration *prometheus.HistogramVec
	orderDuration     *prometheus.HistogramVec
	poolEvents        *prometheus.CounterVec
	taskWait          *prometheus.HistogramVec
	jobDuration       *prometheus.HistogramVec
	endRecording      *prometheus.HistogramVec
	poolCallDuration  *prometheus.HistogramVec
	commands          *prometheus.CounterVec
	dutyChanges       *prometheus.CounterVec
	hostsGiven        *prometheus.CounterVec
	workLost          *prometheus.CounterVec
	rejected          *prometheus.CounterVec
	decisionAge       prometheus.Histogram
	quotaWait         *prometheus.CounterVec
	beyondShare       *prometheus.CounterVec
	share             *prometheus.GaugeVec
	burstPredictions  *prometheus.CounterVec
	startsHeldBack    *prometheus.CounterVec
	startLimit        *prometheus.GaugeVec
	serviceWaits      *prometheus.GaugeVec
	serviceWaitMax    *prometheus.GaugeVec
	takeover          *prometheus.GaugeVec
	takeoverDuration  prometheus.Histogram
	organisations     boundedLabels
}

// maxOrganisations limits the number of organisations with metrics of their own.
const maxOrganisations = 100

// otherLabel is the label value of everything beyond such a limit.
const otherLabel = "other"

// boundedLabels limits the number of values of a label: the first ones keep their own.
type boundedLabels struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (b *boundedLabels) value(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[name] {
		return name
	}
	if len(b.seen) >= maxOrganisations {
		return otherLabel
	}
	if b.seen == nil {
		b.seen = map[string]bool{}
	}
	b.seen[name] = true
	return name
}

// NewJobMetrics returns the metrics of one entry in new registries.
func NewJobMetrics() *JobMetrics {
	m := &JobMetrics{
		Registry:          prometheus.NewRegistry(),
		Runtime:           prometheus.NewRegistry(),
		answers:           newCounterVec("jaythread_job_answers_total", "Answers to callers by call and outcome.", "call", "outcome"),
		answerDuration:    newHistogramVec("jaythread_job_answer_duration_seconds", "Time from a caller's request to its answer.", "call"),
		storeCallDuration: newHistogramVec("jaythread_store_call_duration_seconds", "Calls to the store by call, topic and outcome.", "call", "topic", "outcome"),
		orderDuration:     newHistogramVec("jaythread_worker_order_duration_seconds", "Orders to workers by kind and outcome.", "order", "outcome"),
		poolEvents:        newCounterVec("jaythread_pool_events_total", "What the owner of a pool decided or learned, as in its log lines.", "pool", "event"),
		taskWait:          newHistogramVec("jaythread_task_wait_seconds", "Time from when a task could start to its start.", "pool"),
		jobDuration:       newHistogramVec("jaythread_job_duration_seconds", "Time from a job's submission to its end.", "pool"),
		poolCallDuration:  newHistogramVec("jaythread_pool_call_duration_seconds", "Calls of the goroutines that own pools: leases are renewed only between them.", "call"),
		endRecording:      newHistogramVec("jaythread_job_end_recording_seconds", "Time from a job's end until it is recorded, so that callers are shown it.", "pool"),
		commands:          newCounterVec("jaythread_host_commands_total", "Moves and maintenances of instances by outcome.", "command", "outcome"),
		hostsGiven:        newCounterVec("jaythread_hosts_given_total", "Instances that a pool was asked to give to another one and has emptied, by reason.", "pool", "reason"),
		workLost:          newCounterVec("jaythread_lost_work_core_seconds_total", "Work of runs that were restarted to release their worker.", "pool"),
		dutyChanges:       newCounterVec("jaythread_duty_changes_total", "Duties taken over and ended by this entry.", "duty", "change"),
		rejected:          newCounterVec("jaythread_calls_rejected_total", "Calls that were rejected for their path or key, by reason.", "reason"),
		decisionAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "jaythread_call_declarations_age_seconds",
			Help:    "Age of the operators' declarations that a call was decided by, when it arrived.",
			Buckets: []float64{0.1, 0.5, 1, 1.5, 2, 3, 5, 10, 30},
		}),
		quotaWait:   newCounterVec("jaythread_quota_wait_seconds_total", "Time for which tasks waited for their organisation's quota, by pool and organisation.", "pool", "organisation"),
		beyondShare: newCounterVec("jaythread_beyond_share_seconds_total", "Time for which organisations had jobs beyond their share, by pool and organisation.", "pool", "organisation"),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jaythread_organisation_share_cores", Help: "Share of an organisation of the capacity of all pools, by the pool that lacks room.",
		}, []string{"pool", "organisation"}),
		burstPredictions: newCounterVec("jaythread_burst_predictions_total", "Predictions of bursts by outcome, and bursts that were not predicted.", "pool", "outcome"),
		startsHeldBack:   newCounterVec("jaythread_starts_held_back_seconds_total", "Time for which tasks with room on a worker waited because of the limit of starts in flight.", "pool"),
		startLimit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jaythread_start_limit", Help: "Present limit of starts in flight, in the pools that this entry owns.",
		}, []string{"pool"}),
		serviceWaits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jaythread_service_tasks_waiting", Help: "Long-running tasks that could be started and have no run, by reason, in the pools that this entry owns.",
		}, []string{"pool", "reason"}),
		serviceWaitMax: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jaythread_service_task_longest_wait_seconds", Help: "Longest present wait of a long-running task under this owner, in the pools that this entry owns.",
		}, []string{"pool"}),
		takeover: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jaythread_pool_takeover_seconds", Help: "How long this entry has been taking a pool over, while its takeover goes on.",
		}, []string{"pool"}),
		takeoverDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "jaythread_takeover_duration_seconds",
			Help:    "Duration of the completed takeovers of pools.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 2, 4, 8, 15, 30},
		}),
	}
	m.Registry.MustRegister(m.startsHeldBack, m.startLimit, m.serviceWaits, m.serviceWaitMax, m.takeover, m.takeoverDuration, m.burstPredictions, m.hostsGiven, m.workLost, m.rejected, m.decisionAge, m.quotaWait, m.answers, m.answerDuration, m.storeCallDuration, m.orderDuration, m.poolEvents, m.taskWait, m.jobDuration, m.endRecording, m.poolCallDuration, m.commands, m.dutyChanges, m.beyondShare, m.share)
	m.Runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// newHistogramVec returns a histogram with buckets from a millisecond, the typical
// duration of a call within a data centre, to half a minute.
func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	}, labels)
}

// Answered records a response to a caller and its latency.
func (m *JobMetrics) Answered(call, outcome string, took time.Duration) {
	m.answers.WithLabelValues(call, outcome).Inc()
	m.answerDuration.WithLabelValues(call).Observe(took.Seconds())
}

// StoreCalled records the duration of a call to the store.
func (m *JobMetrics) StoreCalled(call, topic, outcome string, took time.Duration) {
	m.storeCallDuration.WithLabelValues(call, topic, outcome).Observe(took.Seconds())
}

// Ordered records the duration of an order to a worker.
func (m *JobMetrics) Ordered(order, outcome string, took time.Duration) {
	m.orderDuration.WithLabelValues(order, outcome).Observe(took.Seconds())
}

// PoolEvent counts an event in a pool, as logged by the pool's owner.
func (m *JobMetrics) PoolEvent(pool, event string) {
	m.poolEvents.WithLabelValues(pool, event).Inc()
}

// TaskStarted records how long a task waited for its start.
func (m *JobMetrics) TaskStarted(pool string, waited time.Duration) {
	m.taskWait.WithLabelValues(pool).Observe(waited.Seconds())
}

// JobEnded records how long a job took.
func (m *JobMetrics) JobEnded(pool string, took time.Duration) {
	m.jobDuration.WithLabelValues(pool).Observe(took.Seconds())
}

// EndRecorded records how long a job's end waited until it was recorded.
func (m *JobMetrics) EndRecorded(pool string, took time.Duration) {
	m.endRecording.WithLabelValues(pool).Observe(took.Seconds())
}

// HostCommanded counts a command of the fleet's owner to an instance.
func (m *JobMetrics) HostCommanded(command, outcome string) {
	m.commands.WithLabelValues(command, outcome).Inc()
}

// HostGiven counts an instance that a pool gives to another one.
func (m *JobMetrics) HostGiven(pool, reason string) {
	m.hostsGiven.WithLabelValues(pool, reason).Inc()
}

// WorkLost records the work of runs that were restarted to release their worker.
func (m *JobMetrics) WorkLost(pool string, coreSeconds float64) {
	m.workLost.WithLabelValues(pool).Add(coreSeconds)
}

// PoolCallEnded records a call of the goroutine that owns a pool.
func (m *JobMetrics) PoolCallEnded(call string, took time.Duration) {
	m.poolCallDuration.WithLabelValues(call).Observe(took.Seconds())
}

// DutyChanged counts a duty that this entry took over or ended.
func (m *JobMetrics) DutyChanged(duty, change string) {
	m.dutyChanges.WithLabelValues(duty, change).Inc()
}

// CallRejected counts a call that was rejected for its path or key.
func (m *JobMetrics) CallRejected(reason string) {
	m.rejected.WithLabelValues(reason).Inc()
}

// CallDecided records the age of the declarations that a call was decided by.
func (m *JobMetrics) CallDecided(age time.Duration) {
	m.decisionAge.Observe(age.Seconds())
}

// QuotaWaited records for how long tasks of an organisation have waited for its quota.
func (m *JobMetrics) QuotaWaited(pool, organisation string, waited time.Duration) {
	m.quotaWait.WithLabelValues(pool, m.organisations.value(organisation)).Add(waited.Seconds())
}

// WasBeyondShare records for how long an organisation had jobs beyond its share.
func (m *JobMetrics) WasBeyondShare(pool, organisation string, lasted time.Duration) {
	m.beyondShare.WithLabelValues(pool, m.organisations.value(organisation)).Add(lasted.Seconds())
}

// SetShares replaces the shares that are in force in a pool, in cores by organisation.
func (m *JobMetrics) SetShares(pool string, cores map[string]float64) {
	m.share.DeletePartialMatch(prometheus.Labels{"pool": pool})
	for organisation, share := range cores {
		m.share.WithLabelValues(pool, m.organisations.value(organisation)).Add(share)
	}
}

// BurstPredicted counts a prediction of a burst, or what became of it.
func (m *JobMetrics) BurstPredicted(pool, outcome string) {
	m.burstPredictions.WithLabelValues(pool, outcome).Inc()
}

// StartsHeldBack records for how long the limit of starts in flight has held tasks back.
func (m *JobMetrics) StartsHeldBack(pool string, lasted time.Duration) {
	m.startsHeldBack.WithLabelValues(pool).Add(lasted.Seconds())
}

// SetStartLimit sets the present limit of starts in flight of a pool.
func (m *JobMetrics) SetStartLimit(pool string, limit int) {
	m.startLimit.WithLabelValues(pool).Set(float64(limit))
}

// RemoveStartLimit removes the limit of a pool that this entry no longer owns.
func (m *JobMetrics) RemoveStartLimit(pool string) {
	m.startLimit.DeleteLabelValues(pool)
}

// SetServiceTasksWaiting sets how many long-running tasks of a pool wait for a reason.
func (m *JobMetrics) SetServiceTasksWaiting(pool, reason string, tasks int) {
	m.serviceWaits.WithLabelValues(pool, reason).Set(float64(tasks))
}

// SetLongestServiceWait sets the longest present wait of a long-running task of a pool.
func (m *JobMetrics) SetLongestServiceWait(pool string, wait time.Duration) {
	m.serviceWaitMax.WithLabelValues(pool).Set(wait.Seconds())
}

// RemoveServiceWaits removes the waits of a pool that this entry no longer owns.
func (m *JobMetrics) RemoveServiceWaits(pool string) {
	m.serviceWaits.DeletePartialMatch(prometheus.Labels{"pool": pool})
	m.serviceWaitMax.DeleteLabelValues(pool)
}

// SetTakeover sets how long the present takeover of a pool has lasted.
func (m *JobMetrics) SetTakeover(pool string, lasted time.Duration) {
	m.takeover.WithLabelValues(pool).Set(lasted.Seconds())
}

// RemoveTakeover removes a pool whose takeover is complete or was given up.
func (m *JobMetrics) RemoveTakeover(pool string) {
	m.takeover.DeleteLabelValues(pool)
}

// TakenOver records the duration of a completed takeover of a pool.
func (m *JobMetrics) TakenOver(took time.Duration) {
	m.takeoverDuration.Observe(took.Seconds())
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *JobMetrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter registers a counter whose value is read at each scrape.
func (m *JobMetrics) Counter(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Paths of the metrics. The runtime's metrics have a separate path: on a common
// page they would be sorted before the program's metrics, which would then be lost
// with a scraper that keeps only the beginning of a page.
const (
	Path        = "/metrics"
	RuntimePath = "/metrics/runtime"
)

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *JobMetrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(Path, promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	mux.Handle(RuntimePath, promhttp.HandlerFor(m.Runtime, promhttp.HandlerOpts{}))
	return mux
}
