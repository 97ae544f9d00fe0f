// Package metrics defines the Prometheus metrics of a process. Histograms are
// labelled by organisation and class. The number of label values for organisations is
// bounded; organisations beyond the bound are recorded as "other".
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// DefaultMaxOrganisations is the default number of organisations with label values of
// their own.
const DefaultMaxOrganisations = 100

// OtherOrganisation is the label value of organisations beyond the bound.
const OtherOrganisation = "other"

// Metrics are the metrics of one process.
type Metrics struct {
	registry *prometheus.Registry
	labels   *boundedLabels

	requestSeconds   *prometheus.HistogramVec
	firstByteSeconds *prometheus.HistogramVec
	failures         *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	retryBudget      prometheus.Gauge
	targetCrashes    *prometheus.CounterVec
	refusedParts     prometheus.Gauge
	targetNotices    *prometheus.CounterVec
	queued           *prometheus.CounterVec
	heldBack         *prometheus.GaugeVec
	sentRequests     *prometheus.CounterVec
	memoryDecisions  *prometheus.CounterVec
	stalledPeers     *prometheus.CounterVec
}

// New returns the metrics of a process with the given role. maxOrganisations is the
// maximum number of organisations with label values of their own.
func New(role string, maxOrganisations int) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	constLabels := prometheus.Labels{"role": role}
	m := &Metrics{registry: registry, labels: newBoundedLabels(maxOrganisations)}
	m.requestSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "verbenaseam_request_seconds", Help: "Time from receipt of the request to the complete response.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 16), ConstLabels: constLabels,
	}, []string{"organisation", "class", "outcome"})
	m.firstByteSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "verbenaseam_first_byte_seconds", Help: "Time from receipt of the request to the first byte of the response.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14), ConstLabels: constLabels,
	}, []string{"organisation", "class"})
	m.failures = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_failures_total", Help: "Failed requests, by failure kind.", ConstLabels: constLabels,
	}, []string{"type"})
	m.attempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_attempts_total", Help: "Attempts sent to targets, by attempt kind.", ConstLabels: constLabels,
	}, []string{"kind"})
	m.retryBudget = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "verbenaseam_retry_budget", Help: "Retries that the retry budget currently allows.", ConstLabels: constLabels,
	})
	m.targetCrashes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_target_crashes_total", Help: "Crashes of targets with requests of this process in flight, by what showed them.",
		ConstLabels: constLabels,
	}, []string{"sign"})
	m.refusedParts = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "verbenaseam_refused_prompt_parts", Help: "Prompt parts whose requests are refused because they crash targets.",
		ConstLabels: constLabels,
	})
	m.targetNotices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_target_notices_total", Help: "Targets that said that they leave, responses that asked for a pause, limits of requests that targets named or lifted.",
		ConstLabels: constLabels,
	}, []string{"service", "notice"})
	m.queued = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_queued_total", Help: "Requests that left the queue of a service, by how their wait ended.", ConstLabels: constLabels,
	}, []string{"service", "end"})
	m.heldBack = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "verbenaseam_requests_held_back", Help: "1 while requests of a service wait although slots are free, which are kept for others.",
		ConstLabels: constLabels,
	}, []string{"service"})
	registry.MustRegister(m.queued, m.heldBack)
	m.sentRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_sent_requests_total", Help: "Requests sent to targets in this process's failure domain (own) and in others.",
		ConstLabels: constLabels,
	}, []string{"service", "domain"})
	m.memoryDecisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_memory_decisions_total", Help: "Requests rejected or ended because the memory was nearly full, by decision.",
		ConstLabels: constLabels,
	}, []string{"decision"})
	m.stalledPeers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_stalled_peers_total", Help: "Requests ended because a caller or a target moved bytes too slowly.",
		ConstLabels: constLabels,
	}, []string{"peer"})
	registry.MustRegister(m.memoryDecisions, m.stalledPeers)
	registry.MustRegister(m.requestSeconds, m.firstByteSeconds, m.failures, m.attempts, m.retryBudget, m.targetCrashes, m.refusedParts, m.targetNotices, m.sentRequests)
	return m
}

// Registry returns the registry for further collectors.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveRequest records a finished request.
func (m *Metrics) ObserveRequest(organisation, class, outcome string, elapsed time.Duration) {
	label := m.labels.valueFor(organisation)
	m.requestSeconds.WithLabelValues(label, class, outcome).Observe(elapsed.Seconds())
}

// ObserveFirstByte records the time to the first byte of a response.
func (m *Metrics) ObserveFirstByte(organisation, class string, elapsed time.Duration) {
	label := m.labels.valueFor(organisation)
	m.firstByteSeconds.WithLabelValues(label, class).Observe(elapsed.Seconds())
}

// CountFailure counts a failed request by the kind of its failure.
func (m *Metrics) CountFailure(kind string) { m.failures.WithLabelValues(kind).Inc() }

// CountAttempt counts an attempt; kind is "first", "retry" or "hedge".
func (m *Metrics) CountAttempt(kind string) { m.attempts.WithLabelValues(kind).Inc() }

// CountTargetCrash counts a crash of a target; sign is what showed it.
func (m *Metrics) CountTargetCrash(sign string) { m.targetCrashes.WithLabelValues(sign).Inc() }

// SetRefusedPromptParts sets the number of prompt parts whose requests are refused.
func (m *Metrics) SetRefusedPromptParts(count int) { m.refusedParts.Set(float64(count)) }

// CountTargetNotice counts a notice of a target of a service: "leaving", "pause", "limit" or
// "limit_lifted".
func (m *Metrics) CountTargetNotice(service, notice string) {
	m.targetNotices.WithLabelValues(service, notice).Inc()
}

// CountQueued counts a request that left the queue of a service; end is "started",
// "started_late", "busy", "no_target" or "caller_gone".
func (m *Metrics) CountQueued(service, end string) { m.queued.WithLabelValues(service, end).Inc() }

// SetHeldBack sets whether requests of a service wait although slots are free.
func (m *Metrics) SetHeldBack(service string, held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.heldBack.WithLabelValues(service).Set(value)
}

// AddCrossings counts requests that were sent to targets of a service, and how many of them
// to other failure domains.
func (m *Metrics) AddCrossings(service string, crossed, total uint64) {
	m.sentRequests.WithLabelValues(service, "own").Add(float64(total - crossed))
	m.sentRequests.WithLabelValues(service, "other").Add(float64(crossed))
}

// CountMemoryDecision counts a request that was rejected or ended because the memory was nearly
// full: "reject_body", also while the body arrives, "end_body" (of a response whose request holds
// most in its body), "end_response", "end_stream" or "end_reading" (of a target's response).
func (m *Metrics) CountMemoryDecision(decision string) {
	m.memoryDecisions.WithLabelValues(decision).Inc()
}

// CountStalledPeer counts a request that ended because a peer, "caller" or "target", moved bytes
// too slowly.
func (m *Metrics) CountStalledPeer(peer string) { m.stalledPeers.WithLabelValues(peer).Inc() }

// ObserveHeldBytes exports the bytes held for requests by part, from functions that return them.
func (m *Metrics) ObserveHeldBytes(part string, held func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "verbenaseam_held_bytes", Help: "Bytes held for requests, by part.",
		ConstLabels: prometheus.Labels{"part": part},
	}, func() float64 { return float64(held()) }))
}

// SetRetryBudget sets the number of retries that the retry budget allows.
func (m *Metrics) SetRetryBudget(retries float64) { m.retryBudget.Set(retries) }

// boundedLabels admits the first limit distinct label values and maps all others to
// OtherOrganisation.
type boundedLabels struct {
	limit int

	// mu guards admitted.
	mu       sync.RWMutex
	admitted map[string]bool
}

func newBoundedLabels(limit int) *boundedLabels {
	return &boundedLabels{limit: limit, admitted: map[string]bool{}}
}

// valueFor returns the label value under which value is recorded.
func (b *boundedLabels) valueFor(value string) string {
	b.mu.RLock()
	admitted := b.admitted[value]
	full := len(b.admitted) >= b.limit
	b.mu.RUnlock()
	if admitted {
		return value
	}
	if full {
		return OtherOrganisation
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.admitted) >= b.limit && !b.admitted[value] {
		return OtherOrganisation
	}
	b.admitted[value] = true
	return value
}
