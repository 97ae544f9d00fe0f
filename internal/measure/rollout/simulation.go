package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// Properties of the simulated network and platform.
const (
	networkDelay          = 1500 * time.Microsecond
	normalPlatformLatency = 4 * time.Millisecond
	slowPlatformLatency   = 2 * time.Second
	frameOverhead         = 70 // bytes of TCP/IP and WebSocket headers per message
)

// roleTarget is the role of a target's host in the platform's live list.
const roleTarget = "target"

// simulation is a discrete-event simulation of many rollout nodes that are connected
// by an in-memory network and share a simulated clock. A run is determined by its
// seed.
type simulation struct {
	now    time.Time
	random *rand.Rand
	events eventQueue
	seq    uint64

	rows            *MemoryTable
	clock           *clockwork.FakeClock
	log             *rollout.Log
	table           *table.Table
	platformLatency time.Duration
	readsPerSecond  []int
	lastChangeID    int

	hosts   []*host
	byName  map[string]*host
	domains int
	// linkFault reports whether messages from a to b are lost. failFast means that
	// the sender is notified of the loss.
	linkFault           func(a, b *host) (lost, failFast bool)
	platformUnreachable func(h *host) bool

	// acceptedAt and coveredAt hold, by version, when it was accepted and when every
	// live host had it.
	acceptedAt map[uint64]time.Time
	coveredAt  map[uint64]time.Time
	// onVersionChange is called when a host's active version changes or the host
	// becomes ready.
	onVersionChange func(h *host)
}

// host is one simulated process.
type host struct {
	name, domain, role string
	node               *rollout.Node
	incarnation        int
	alive, paused      bool
	bytesOut, bytesIn  int
	messages           int
	// inbox holds the steps that become due while the process is paused.
	inbox []func()
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newSimulation returns a simulation of entry and target hosts, distributed over the
// failure domains in turn.
func newSimulation(seed uint64, entries, targets, domains int) *simulation {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{
		now:             now,
		random:          rand.New(rand.NewPCG(seed, 1)),
		rows:            NewMemoryTable(),
		clock:           clockwork.NewFakeClockAt(now),
		table:           table.New(),
		platformLatency: normalPlatformLatency,
		byName:          map[string]*host{},
		domains:         domains,
		acceptedAt:      map[uint64]time.Time{},
		coveredAt:       map[uint64]time.Time{},
	}
	sim.linkFault = func(_, _ *host) (bool, bool) { return false, false }
	sim.platformUnreachable = func(*host) bool { return false }
	sim.onVersionChange = func(*host) {}
	sim.log = rollout.NewLog(sim.rows, sim.clock)
	for i := range entries + targets {
		h := &host{name: fmt.Sprintf("host-%d", i), domain: domainName(i % domains), role: rollout.RoleEntry}
		if i >= entries {
			h.role = roleTarget
		}
		sim.hosts = append(sim.hosts, h)
		sim.byName[h.name] = h
	}
	return sim
}

// startAll starts every host at a random time within one tick. All hosts are in the
// live list from the beginning.
func (sim *simulation) startAll() {
	for _, h := range sim.hosts {
		h.alive = true
		sim.schedule(sim.randomDelay(rollout.TickInterval), func() { sim.start(h) })
	}
}

func (sim *simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(limit)))
}

// start starts a new incarnation of a host's process.
func (sim *simulation) start(h *host) {
	h.incarnation++
	h.alive, h.paused = true, false
	self := rollout.Identity{Name: h.name, Role: h.role, FailureDomain: h.domain, Incarnation: fmt.Sprint(h.incarnation)}
	random := rand.New(rand.NewPCG(sim.random.Uint64(), sim.random.Uint64()))
	h.node = rollout.NewNode(self, random, sim.now)
	var names, domains []string
	for _, other := range sim.hosts {
		names = append(names, other.name)
	}
	for i := range sim.domains {
		domains = append(domains, domainName(i))
	}
	h.node.SetConnected(names)
	h.node.SetInService(domains)
	sim.scheduleTick(h, h.incarnation)
}

// scheduleTick runs a tick of the process and schedules the next one, for as long as
// the incarnation lives.
func (sim *simulation) scheduleTick(h *host, incarnation int) {
	if h.incarnation != incarnation {
		return
	}
	if !h.paused {
		sim.performActions(h, h.node.Tick(sim.now))
	}
	sim.schedule(rollout.TickInterval, func() { sim.scheduleTick(h, incarnation) })
}

// scheduleStep schedules a step of the host's current incarnation. The step waits
// while the process is paused and is dropped if the incarnation has ended.
func (sim *simulation) scheduleStep(h *host, delay time.Duration, step func() []rollout.Action) {
	incarnation := h.incarnation
	var deliver func()
	deliver = func() {
		if h.incarnation != incarnation || !h.alive || h.node == nil {
			return
		}
		if h.paused {
			h.inbox = append(h.inbox, deliver)
			return
		}
		sim.performActions(h, step())
	}
	sim.schedule(delay, deliver)
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now.Add(delay), seq: sim.seq, run: run})
}

// advance runs all events of the next d of simulated time.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		next := heap.Pop(&sim.events).(event)
		sim.clock.Advance(next.at.Sub(sim.now))
		sim.now = next.at
		next.run()
	}
	sim.clock.Advance(end.Sub(sim.now))
	sim.now = end
}

// liveHosts returns the platform's current live list.
func (sim *simulation) liveHosts() []platform.Host {
	var hosts []platform.Host
	for _, h := range sim.hosts {
		if h.alive {
			hosts = append(hosts, platform.Host{Name: h.name, Role: h.role, Address: "127.0.0.1:1", FailureDomain: h.domain})
		}
	}
	return hosts
}
