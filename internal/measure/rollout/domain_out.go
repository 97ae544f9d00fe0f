package rollout

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rollout"
)

const (
	// domainOutBoundSeconds is the time after acceptance of the change from which a
	// failure domain taken out of service must receive no new work.
	domainOutBoundSeconds = 3.0
	domainOutObservation  = 20 * time.Second
)

// domainOutCase is a fault that is present while a failure domain is taken out of
// service.
type domainOutCase struct {
	name   string
	inject func(sim *simulation)
}

var domainOutCases = []domainOutCase{
	{"no fault", func(*simulation) {}},
	{"one third of links broken", func(sim *simulation) { sim.linkFault = breakThirdOfLinks }},
	{"an entry reaches only agents", func(sim *simulation) { limitEntryToAgents(sim, sim.hosts[0]) }},
	{"an entry paused for 8 s", func(sim *simulation) { sim.pause(sim.hosts[0], 8*time.Second) }},
	{"every agent of the failure domain paused for 8 s", func(sim *simulation) {
		for _, h := range sim.hosts {
			if h.role == roleTarget && h.domain == domainName(0) {
				sim.pause(h, 8*time.Second)
			}
		}
	}},
	{"an entry partitioned", isolateHosts(1)},
	{"the failure domain partitioned", isolateDomains(1, true)},
	{"platform down 50 ms after the change", func(sim *simulation) {
		sim.schedule(50*time.Millisecond, func() { sim.rows.SetDown(true) })
	}},
}

// limitEntryToAgents partitions an entry from the platform and from other entries.
func limitEntryToAgents(sim *simulation, limited *host) {
	sim.platformUnreachable = func(h *host) bool { return h == limited }
	sim.linkFault = func(a, b *host) (bool, bool) {
		return (a == limited || b == limited) && a.role == b.role, false
	}
}

// pause pauses a process for a time, then runs the steps that became due meanwhile.
func (sim *simulation) pause(h *host, d time.Duration) {
	h.paused = true
	incarnation := h.incarnation
	sim.schedule(d, func() {
		if h.incarnation != incarnation {
			return
		}
		h.paused = false
		inbox := h.inbox
		h.inbox = nil
		for _, deliver := range inbox {
			deliver()
		}
	})
}

// measureDomainOut measures how long after acceptance of the change some agent of a
// failure domain taken out of service would still accept new work from some entry.
func measureDomainOut(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	sizes := []propagationSize{{entries: 4, targets: 15, domains: 3}, {entries: 24, targets: 64, domains: 8}}
	for _, size := range sizes {
		for _, domainCase := range domainOutCases {
			if ctx.Err() != nil {
				return result, ctx.Err()
			}
			last, err := runDomainOut(size, domainCase)
			if err != nil {
				return result, err
			}
			name := fmt.Sprintf("last new work in a failure domain taken out of service, %d entries and %d agents, %s", size.entries, size.targets, domainCase.name)
			result.Figures = append(result.Figures, measure.Figure{
				Name: name, Value: last.Seconds(), Unit: "s", Limit: measure.AtMost, Bound: domainOutBoundSeconds})
		}
	}
	return result, nil
}

func runDomainOut(size propagationSize, domainCase domainOutCase) (time.Duration, error) {
	sim := newSimulation(11, size.entries, size.targets, size.domains)
	operator := sim.hosts[1]
	if _, err := sim.commitChange(operator); err != nil {
		return 0, err
	}
	sim.startAll()
	sim.advance(warmUp)
	domainCase.inject(sim)
	version, err := sim.commitChange(operator)
	if err != nil {
		return 0, err
	}
	accepted, last := sim.now, time.Duration(0)
	for sim.now.Sub(accepted) < domainOutObservation {
		sim.advance(sampleInterval)
		if sim.acceptsNewWork(domainName(0), version) {
			last = sim.now.Sub(accepted)
		}
	}
	return last, nil
}

// acceptsNewWork reports whether some entry that does not have the version yet would
// send work to some agent of the failure domain that does not have it either.
func (sim *simulation) acceptsNewWork(domain string, version uint64) bool {
	for _, entry := range sim.hosts {
		if entry.role != rollout.RoleEntry || !sim.servesBefore(entry, version) {
			continue
		}
		for _, agent := range sim.hosts {
			if agent.role != roleTarget || agent.domain != domain || !sim.servesBefore(agent, version) {
				continue
			}
			if lost, _ := sim.linkFault(entry, agent); !lost {
				return true
			}
		}
	}
	return false
}

// servesBefore reports whether a running host accepts new work under a version older
// than the given one.
func (sim *simulation) servesBefore(h *host, version uint64) bool {
	outdated := h.alive && !h.paused && h.node.Version() < version
	return outdated && rollout.MayServe(h.node.ServeInput(sim.now)).OK()
}
