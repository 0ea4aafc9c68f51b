// Package jaymetric defines the Prometheus metrics of an entry instance, named
// after the Prometheus conventions.
package jaymetric

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"jaythread/jayverdict"
)

// Metrics holds the metrics of an entry that serves callers' requests.
type Metrics struct {
	Registry *prometheus.Registry
	answers  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	retries  *prometheus.CounterVec
}

// NewMetrics returns the metrics of one entry in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jaythread_answers_total",
			Help: "Answers to callers by pool, verdict and status class.",
		}, []string{"pool", "verdict", "class"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "jaythread_answer_duration_seconds",
			Help:    "Time from a request to its answer, by pool.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"pool"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jaythread_retries_total",
			Help: "Attempts after the first one, by pool.",
		}, []string{"pool"}),
	}
	m.Registry.MustRegister(m.answers, m.latency, m.retries)
	m.Registry.MustRegister(collectors.NewGoCollector())
	m.Registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Answered records a response to a caller and its latency.
func (m *Metrics) Answered(pool string, v jayverdict.Verdict, status int, took time.Duration) {
	class := strconv.Itoa(status/100) + "xx"
	m.answers.WithLabelValues(pool, v.String(), class).Inc()
	m.latency.WithLabelValues(pool).Observe(took.Seconds())
}

// Retried counts a retry of a request.
func (m *Metrics) Retried(pool string) {
	m.retries.WithLabelValues(pool).Inc()
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter registers a counter whose value is read at each scrape.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// PoolGauges registers gauges with one value for each pool, read at each scrape.
func (m *Metrics) PoolGauges(read func() []PoolSample) {
	m.Registry.MustRegister(&poolCollector{read: read})
}

// PoolSample holds the values of one pool's gauges.
type PoolSample struct {
	Pool         string
	Members      int
	Available    int
	MinAvailable int
	Slack        int
	Waiting      int
}

var (
	descMembers   = poolDesc("jaythread_pool_instances", "Instances of the pool.")
	descAvailable = poolDesc("jaythread_pool_available_instances", "Instances that count for the pool's budget.")
	descMinimum   = poolDesc("jaythread_pool_min_available_instances", "Instances that the budget asks for.")
	descSlack     = poolDesc("jaythread_pool_slack_instances", "Instances that may stop before the loss of the worst failure domain breaks the budget.")
	descWaiting   = poolDesc("jaythread_pool_waiting_requests", "Requests that wait for a slot here.")
)

func poolDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, []string{"pool"}, nil)
}

type poolCollector struct {
	read func() []PoolSample
}

// Describe implements prometheus.Collector.
func (c *poolCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descMembers, descAvailable, descMinimum, descSlack, descWaiting} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *poolCollector) Collect(ch chan<- prometheus.Metric) {
	for _, s := range c.read() {
		gauge := func(d *prometheus.Desc, n int) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), s.Pool)
		}
		gauge(descMembers, s.Members)
		gauge(descAvailable, s.Available)
		gauge(descMinimum, s.MinAvailable)
		gauge(descSlack, s.Slack)
		gauge(descWaiting, s.Waiting)
	}
}
