package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenaseam.example/verbenaseam/process/membership"
	"verbenaseam.example/verbenaseam/process/platform"
)

// observerStep is the distance between the hosts whose view of live hosts is sampled.
const observerStep = 14

// probedHost is one simulated host. crashedAt is negative while it is alive.
type probedHost struct {
	name      string
	prober    *membership.Prober
	stalls    []time.Duration
	crashedAt time.Duration
	bytes     int
	// inbox holds what arrives while the host is stalled.
	inbox []delivery
}

// delivery is a message in transit.
type delivery struct {
	from, to int
	body     any
}

// probingSimulation runs the product's probers under message loss and stalls.
type probingSimulation struct {
	random  *rand.Rand
	start   time.Time
	now     time.Duration
	hosts   []*probedHost
	indexOf map[string]int
	// usable is the last sampled state of each target at each observer.
	usable                 [][]bool
	falseAlarms            int
	falselyUnusableSamples int
	samples                int
	// detectedAt holds, for each crashed host, when the others detected the crash.
	detectedAt map[int][]time.Duration
}

func runProbing() (outcome, error) {
	p := newProbingSimulation()
	crashAt := probingWarmUp + observationTime
	for p.now < crashAt {
		if err := p.tick(p.now >= probingWarmUp); err != nil {
			return outcome{}, err
		}
	}
	for i := range crashedCount {
		// Not a multiple of observerStep, so that no sampled observer crashes.
		crashed := i*hostCount/crashedCount + 1
		p.hosts[crashed].crashedAt = p.now
		p.detectedAt[crashed] = nil
	}
	for p.now < crashAt+observationTime {
		if err := p.tick(false); err != nil {
			return outcome{}, err
		}
	}
	return p.outcome(crashAt), nil
}

func newProbingSimulation() *probingSimulation {
	p := &probingSimulation{
		random:     rand.New(rand.NewPCG(8, 8)),
		start:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		indexOf:    map[string]int{},
		detectedAt: map[int][]time.Duration{},
	}
	var list []platform.Host
	for i := range hostCount {
		name := fmt.Sprintf("host-%d", i)
		list = append(list, platform.Host{Name: name})
		p.indexOf[name] = i
	}
	for i, host := range list {
		h := &probedHost{name: host.Name, crashedAt: -1, stalls: drawStalls(p.random, probingWarmUp+2*observationTime)}
		h.prober = membership.NewProber(host.Name, 1, rand.New(rand.NewPCG(uint64(i), 9)))
		h.prober.SetHosts(p.start, list)
		p.hosts = append(p.hosts, h)
		p.usable = append(p.usable, slices.Repeat([]bool{true}, hostCount))
	}
	return p
}

// tick runs one tick of all hosts and delivers and answers the messages sent in it. With
// countAlarms, it also samples live targets to count false alarms.
func (p *probingSimulation) tick(countAlarms bool) error {
	p.now += membership.TickInterval
	now := p.start.Add(p.now)
	var deliveries []delivery
	for i, h := range p.hosts {
		if h.crashedAt >= 0 || stallEnd(h.stalls, p.now) != 0 {
			continue
		}
		deliveries = append(deliveries, h.inbox...)
		h.inbox = nil
		next, err := p.send(i, h.prober.Tick(now))
		if err != nil {
			return err
		}
		deliveries = append(deliveries, next...)
	}
	for len(deliveries) > 0 {
		message := deliveries[0]
		deliveries = deliveries[1:]
		h := p.hosts[message.to]
		if h.crashedAt >= 0 {
			continue
		}
		if stallEnd(h.stalls, p.now) != 0 {
			h.inbox = append(h.inbox, message)
			continue
		}
		next, err := p.send(message.to, h.prober.Receive(now, p.hosts[message.from].name, message.body))
		if err != nil {
			return err
		}
		deliveries = append(deliveries, next...)
	}
	p.sampleStates(countAlarms)
	return nil
}

// send counts the bytes that a host sends and returns the messages that are not lost.
func (p *probingSimulation) send(from int, messages []membership.OutgoingMessage) ([]delivery, error) {
	var deliveries []delivery
	for _, message := range messages {
		body, err := cbor.Marshal(message.Body)
		if err != nil {
			return nil, err
		}
		p.hosts[from].bytes += len(body) + frameOverhead
		if p.random.Float64() >= lossRate {
			deliveries = append(deliveries, delivery{from, p.indexOf[message.Peer], message.Body})
		}
	}
	return deliveries, nil
}

// sampleStates samples the probers' states once a second: of crashed targets at every
// host and, with countAlarms, of live targets at each observerStep-th host.
func (p *probingSimulation) sampleStates(countAlarms bool) {
	if p.now%time.Second != 0 {
		return
	}
	for observer, h := range p.hosts {
		if h.crashedAt >= 0 {
			continue
		}
		for target := range p.detectedAt {
			p.recordState(observer, target, h.prober.State(p.hosts[target].name).Usable(), false)
		}
		if !countAlarms || observer%observerStep != 0 {
			continue
		}
		for target, other := range p.hosts {
			if target != observer {
				p.recordState(observer, target, h.prober.State(other.name).Usable(), true)
			}
		}
	}
}

// recordState records the detection of a crashed target and, with countAlarms, false
// alarms about a live one.
func (p *probingSimulation) recordState(observer, target int, usable, countAlarms bool) {
	wasUsable := p.usable[observer][target]
	p.usable[observer][target] = usable
	if p.hosts[target].crashedAt >= 0 {
		if wasUsable && !usable {
			p.detectedAt[target] = append(p.detectedAt[target], p.now)
		}
		return
	}
	if !countAlarms {
		return
	}
	p.samples++
	if !usable {
		p.falselyUnusableSamples++
	}
	if wasUsable && !usable {
		p.falseAlarms++
	}
}

func (p *probingSimulation) outcome(crashAt time.Duration) outcome {
	result := outcome{name: "probing, direct and indirect (product)"}
	survivors := hostCount - crashedCount
	bytes := 0
	for _, h := range p.hosts {
		if h.crashedAt < 0 {
			bytes += h.bytes
		}
	}
	result.bytesPerSec = float64(bytes) / float64(survivors) / p.now.Seconds()
	for _, times := range p.detectedAt {
		slices.Sort(times)
		result.undetected += survivors - len(times)
		if len(times) > survivors*99/100 {
			result.detectionP50 += (times[survivors/2] - crashAt) / crashedCount
			result.detectionP99 += (times[survivors*99/100] - crashAt) / crashedCount
		}
	}
	result.falseAlarmsPerHour = float64(p.falseAlarms) / float64(hostCount/observerStep) / observationTime.Hours()
	result.falselyUnusableShare = float64(p.falselyUnusableSamples) / float64(p.samples)
	return result
}
