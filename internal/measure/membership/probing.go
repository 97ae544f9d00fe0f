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

// observerStep is the distance between the observers whose beliefs about live
// hosts are looked at.
const observerStep = 14

// probedHost is one host of the probing run.
type probedHost struct {
	name   string
	prober *membership.Prober
	stalls []time.Duration
	died   time.Duration
	bytes  int
	inbox  []delivery
}

// delivery is a message on its way.
type delivery struct {
	from, to int
	body     any
}

// probing runs the product's probers under loss and stalls.
type probing struct {
	random  *rand.Rand
	start   time.Time
	now     time.Duration
	hosts   []*probedHost
	indexOf map[string]int
	// usable is each observer's last belief of each target.
	usable [][]bool
	alarms int
	wrong  int
	looks  int
	knewAt map[int][]time.Duration
}

func runProbing() (outcome, error) {
	p := newProbing()
	deathAt := settle + observed
	for p.now < deathAt {
		if err := p.tick(p.now >= settle); err != nil {
			return outcome{}, err
		}
	}
	for at := range dying {
		// Not a multiple of observerStep, so that no sampled observer dies.
		p.hosts[at*hosts/dying+1].died = p.now
		p.knewAt[at*hosts/dying+1] = nil
	}
	for p.now < deathAt+observed {
		if err := p.tick(false); err != nil {
			return outcome{}, err
		}
	}
	return p.outcome(deathAt), nil
}

func newProbing() *probing {
	p := &probing{
		random:  rand.New(rand.NewPCG(8, 8)),
		start:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		indexOf: map[string]int{},
		knewAt:  map[int][]time.Duration{},
	}
	var list []platform.Host
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		list = append(list, platform.Host{Name: name})
		p.indexOf[name] = i
	}
	for i, host := range list {
		h := &probedHost{name: host.Name, died: -1, stalls: stalls(p.random, settle+2*observed)}
		h.prober = membership.NewProber(host.Name, 1, rand.New(rand.NewPCG(uint64(i), 9)))
		h.prober.SetHosts(p.start, list)
		p.hosts = append(p.hosts, h)
		p.usable = append(p.usable, slices.Repeat([]bool{true}, hosts))
	}
	return p
}

// tick lets one tick pass; messages are answered within it.
func (p *probing) tick(counts bool) error {
	p.now += membership.TickInterval
	now := p.start.Add(p.now)
	var deliveries []delivery
	for i, h := range p.hosts {
		if h.died >= 0 || stalledUntil(h.stalls, p.now) != 0 {
			continue
		}
		deliveries = append(deliveries, h.inbox...)
		h.inbox = nil
		next, err := p.post(i, h.prober.Tick(now))
		if err != nil {
			return err
		}
		deliveries = append(deliveries, next...)
	}
	for len(deliveries) > 0 {
		one := deliveries[0]
		deliveries = deliveries[1:]
		h := p.hosts[one.to]
		if h.died >= 0 {
			continue
		}
		if stalledUntil(h.stalls, p.now) != 0 {
			h.inbox = append(h.inbox, one)
			continue
		}
		next, err := p.post(one.to, h.prober.Receive(now, p.hosts[one.from].name, one.body))
		if err != nil {
			return err
		}
		deliveries = append(deliveries, next...)
	}
	p.look(counts)
	return nil
}

// post counts what a host sends and drops what is lost.
func (p *probing) post(from int, messages []membership.OutgoingMessage) ([]delivery, error) {
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

// look compares what hosts believe with the truth, once a second: a sample of
// observers for live targets, every observer for dead ones.
func (p *probing) look(counts bool) {
	if p.now%time.Second != 0 {
		return
	}
	for observer, h := range p.hosts {
		if h.died >= 0 {
			continue
		}
		for target := range p.knewAt {
			p.compare(observer, target, h.prober.State(p.hosts[target].name).Usable(), false)
		}
		if !counts || observer%observerStep != 0 {
			continue
		}
		for target, other := range p.hosts {
			if target != observer {
				p.compare(observer, target, h.prober.State(other.name).Usable(), true)
			}
		}
	}
}

func (p *probing) compare(observer, target int, usable, counts bool) {
	before := p.usable[observer][target]
	p.usable[observer][target] = usable
	if p.hosts[target].died >= 0 {
		if before && !usable {
			p.knewAt[target] = append(p.knewAt[target], p.now)
		}
		return
	}
	if !counts {
		return
	}
	p.looks++
	if !usable {
		p.wrong++
	}
	if before && !usable {
		p.alarms++
	}
}

func (p *probing) outcome(deathAt time.Duration) outcome {
	result := outcome{name: "probing, direct and indirect (product)"}
	witnesses := hosts - dying
	bytes := 0
	for _, h := range p.hosts {
		if h.died < 0 {
			bytes += h.bytes
		}
	}
	result.bytesPerSec = float64(bytes) / float64(witnesses) / p.now.Seconds()
	for _, times := range p.knewAt {
		slices.Sort(times)
		result.undetected += witnesses - len(times)
		if len(times) > witnesses*99/100 {
			result.half += (times[witnesses/2] - deathAt) / dying
			result.all += (times[witnesses*99/100] - deathAt) / dying
		}
	}
	result.alarmsPerHour = float64(p.alarms) / float64(hosts/observerStep) / observed.Hours()
	result.wrong = float64(p.wrong) / float64(p.looks)
	return result
}
