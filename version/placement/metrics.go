package placement

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics exports the Prometheus metrics of rebalancing.
type Metrics struct {
	skew       *prometheus.HistogramVec
	barrier    *prometheus.HistogramVec
	moves      *prometheus.CounterVec
	bytes      *prometheus.CounterVec
	switches   *prometheus.CounterVec
	switchTime *prometheus.HistogramVec
	refusals   *prometheus.CounterVec
}

// NewMetrics registers the metrics with the registry. It panics if they are already
// registered.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	group := []string{"group"}
	skewBuckets := []float64{1.01, 1.02, 1.03, 1.05, 1.08, 1.1, 1.15, 1.2, 1.3, 1.5, 2, 3, 5}
	m := &Metrics{
		skew: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "verbenaseam_step_skew_ratio",
			Help:    "Step time of the slowest rank divided by the mean over ranks.",
			Buckets: skewBuckets,
		}, group),
		barrier: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "verbenaseam_layer_barrier_skew_ratio",
			Help:    "Step time with a barrier after every layer divided by that of perfectly balanced layers.",
			Buckets: skewBuckets,
		}, group),
		moves: newCounter("verbenaseam_expert_moves_total", "Expert weights loaded for rebalancing.", group),
		bytes: newCounter("verbenaseam_expert_moved_bytes_total", "Bytes of expert weights loaded for rebalancing.", group),
		switches: newCounter("verbenaseam_expert_map_switches_total",
			"Expert map switches, by outcome.", []string{"group", "decision"}),
		switchTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "verbenaseam_expert_map_switch_seconds",
			Help:    "Time from the proposal of an expert map switch to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, group),
		refusals: newCounter("verbenaseam_expert_move_refusals_total",
			"Rebalancing plans not carried out, by reason.", []string{"group", "reason"}),
	}
	registry.MustRegister(m.skew, m.barrier, m.moves, m.bytes, m.switches, m.switchTime, m.refusals)
	return m
}

func newCounter(name, help string, labels []string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// ObserveSkew records the skew of a step.
func (m *Metrics) ObserveSkew(group string, skew Skew) {
	m.skew.WithLabelValues(group).Observe(skew.Step)
	m.barrier.WithLabelValues(group).Observe(skew.Barrier)
}

// AddMoves records weights that were loaded.
func (m *Metrics) AddMoves(group string, moves, bytes int) {
	m.moves.WithLabelValues(group).Add(float64(moves))
	m.bytes.WithLabelValues(group).Add(float64(bytes))
}

// ObserveSwitch records the outcome of a proposed switch and the time since its proposal.
func (m *Metrics) ObserveSwitch(group, decision string, took time.Duration) {
	m.switches.WithLabelValues(group, decision).Inc()
	m.switchTime.WithLabelValues(group).Observe(took.Seconds())
}

// AddRefusal records a plan that was not carried out.
func (m *Metrics) AddRefusal(group string, reason Refusal) {
	m.refusals.WithLabelValues(group, string(reason)).Inc()
}
