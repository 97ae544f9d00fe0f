package rollout

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of a Service.
type metrics struct {
	version      prometheus.Gauge
	observed     prometheus.Gauge
	confirmedAge prometheus.Gauge
	mayServe     prometheus.Gauge
	reads        *prometheus.CounterVec
	messages     *prometheus.CounterVec
	undecoded    prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenaseam", Subsystem: "rollout", Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "verbenaseam", Subsystem: "rollout", Name: name, Help: help}
	}
	m := &metrics{
		version:      gauge("version", "Active version of the tables."),
		observed:     gauge("observed_version", "Highest version known to exist."),
		confirmedAge: gauge("confirmed_age_seconds", "Time since the active version was last confirmed to be the newest; -1 if never."),
		mayServe:     gauge("may_serve", "1 if this process may accept new work, otherwise 0."),
		reads:        prometheus.NewCounterVec(counter("platform_reads_total", "Reads of the platform, by result."), []string{"result"}),
		messages:     prometheus.NewCounterVec(counter("messages_sent_total", "Messages sent to peers, by message kind."), []string{"kind"}),
		undecoded:    prometheus.NewCounter(counter("undecoded_total", "Received messages dropped because they could not be decoded.")),
	}
	if registerer != nil {
		registerer.MustRegister(m.version, m.observed, m.confirmedAge, m.mayServe, m.reads, m.messages, m.undecoded)
	}
	return m
}

func (m *metrics) observe(node *Node, now time.Time, decision ServeDecision) {
	m.version.Set(float64(node.version))
	m.observed.Set(float64(node.observed))
	m.confirmedAge.Set(-1)
	if !node.confirmedAt.IsZero() {
		m.confirmedAge.Set(node.confirmedAge(now).Seconds())
	}
	m.mayServe.Set(0)
	if decision.OK() {
		m.mayServe.Set(1)
	}
}

func (m *metrics) countRead(err error) {
	if err != nil {
		m.reads.WithLabelValues("failed").Inc()
		return
	}
	m.reads.WithLabelValues("ok").Inc()
}

func (m *metrics) countSent(kind uint16) { m.messages.WithLabelValues(strconv.Itoa(int(kind))).Inc() }
