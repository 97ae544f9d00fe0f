package direct

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/steer"
)

const (
	// steerInterval is the time between two measurements of this entry's processor, and between
	// two decisions where to direct callers.
	steerInterval = 500 * time.Millisecond
	// busySmoothing is the weight of a new measurement in the reported use of the processor.
	busySmoothing = 0.5
	// overloadDelay is the delay of a timer from which the entry counts as overloaded whatever it
	// uses: it waits for the processor. A quota of 100 ms periods delays timers by less.
	overloadDelay = 250 * time.Millisecond
)

// resourcesOf returns the resources that the settings state.
func resourcesOf(s settings.Direct) steer.Resources {
	processor := s.Processor
	if s.Cores > 0 && (processor <= 0 || s.Cores < processor) {
		processor = s.Cores
	}
	return steer.Resources{Processor: processor, Memory: s.Memory, Link: s.Link}
}

// steering decides where this entry's directory directs callers, and measures what it reports
// of itself to the other entries' directories.
type steering struct {
	processor, weight float64
	log               *logrus.Entry
	busyGauge         prometheus.Gauge
	elsewhere         *prometheus.GaugeVec

	// mu guards the fields below. No other lock is acquired while it is held.
	mu    sync.Mutex
	spill *steer.Spill
	// busy is the smoothed use of the processor; 1 is all of it.
	busy       float64
	usedBefore time.Duration
	measuredAt time.Time
	// spilling holds the failure domains some of whose callers are directed elsewhere.
	spilling map[string]bool
}

func newSteering(s settings.Direct, log *logrus.Entry) *steering {
	resources := resourcesOf(s)
	return &steering{
		processor: resources.Processor, weight: resources.Weight(), log: log, spill: steer.NewSpill(), spilling: map[string]bool{},
		busyGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "verbenaseam_processor_busy_ratio", Help: "Part of the processor that this entry uses, as reported to other entries; 0 if its capacity is not stated.",
		}),
		elsewhere: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "verbenaseam_callers_elsewhere_ratio", Help: "Part of a failure domain's callers that this directory directs to other failure domains.",
		}, []string{"failure_domain"}),
	}
}

// processorTime returns the processor time that this process has used; 0 if unknown.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure takes over how much processor time this process has used until now.
func (s *steering) measure(used time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.measuredAt)
	first := s.measuredAt.IsZero()
	before := s.usedBefore
	s.usedBefore, s.measuredAt = used, now
	if first || elapsed <= 0 || s.processor <= 0 {
		return
	}
	busy := (used - before).Seconds() / elapsed.Seconds() / s.processor
	if elapsed > steerInterval+overloadDelay {
		busy = max(busy, 1)
	}
	s.busy += busySmoothing * (busy - s.busy)
	s.busyGauge.Set(s.busy)
}

// maxBusyPercent bounds the reported use; a process may use more than its quota for a moment.
const maxBusyPercent = 200

// capacity returns what this entry reports of itself.
func (s *steering) capacity() presence.Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return presence.Capacity{Millicores: uint32(1000 * s.weight), BusyPercent: uint8(min(100*s.busy, maxBusyPercent))}
}

// update decides where to direct callers, and logs and exports it.
func (s *steering) update(hosts []steer.Host, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spill.Update(hosts, now)
	domains := map[string]bool{}
	for _, host := range hosts {
		domains[host.FailureDomain] = true
	}
	for domain := range s.spilling {
		domains[domain] = true
	}
	for domain := range domains {
		part := s.spill.Part(domain)
		s.elsewhere.WithLabelValues(domain).Set(part)
		if spilling := part > 0; spilling != s.spilling[domain] {
			s.spilling[domain] = spilling
			s.log.WithFields(logrus.Fields{"failure_domain": domain, "part": part}).Info("callers directed to other failure domains")
		}
	}
}

// answer returns the addresses for a caller in a failure domain.
func (s *steering) answer(hosts []steer.Host, domain string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spill.Answer(hosts, domain, rand.Float64)
}

// unknownBusy marks a host that does not state its capacity.
const unknownBusy = -1

// newHost returns what the directory needs to know of an entry.
func newHost(peer presence.Peer, capacity presence.Capacity) steer.Host {
	host := steer.Host{Address: peer.CallerAddress, FailureDomain: peer.FailureDomain, Busy: unknownBusy}
	if capacity.Millicores > 0 {
		host.Weight, host.Busy = float64(capacity.Millicores)/1000, float64(capacity.BusyPercent)/100
	}
	return host
}

// hosts returns the ready entries, with this one.
func (e *Entry) hosts() []steer.Host {
	var hosts []steer.Host
	for _, beat := range e.peers.ReadyHeartbeats(e.clock.Now()) {
		hosts = append(hosts, newHost(beat.Peer, beat.Capacity))
	}
	if e.ready() {
		hosts = append(hosts, newHost(e.self, e.steering.capacity()))
	}
	return hosts
}

// steer measures this entry's use of its processor and decides where to direct callers.
func (e *Entry) steer() {
	now := e.clock.Now()
	e.steering.measure(processorTime(), now)
	e.steering.update(e.hosts(), now)
}
