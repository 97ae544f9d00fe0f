package rollout

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rollout"
)

const (
	// domainOutBound is when a failure domain taken out must get no new work, in
	// seconds after acceptance.
	domainOutBound = 3.0
	domainOutWatch = 20 * time.Second
)

// domainOutCase is what is wrong while a failure domain is taken out.
type domainOutCase struct {
	name  string
	begin func(w *world)
}

var domainOutCases = []domainOutCase{
	{"all well", func(*world) {}},
	{"one third of links broken", func(w *world) { w.blocked = thirdOfLinksBroken }},
	{"an entry reaches only agents", func(w *world) { entryReachesOnlyAgents(w, w.hosts[0]) }},
	{"an entry paused for 8 s", func(w *world) { w.suspend(w.hosts[0], 8*time.Second) }},
	{"every agent of the failure domain paused for 8 s", func(w *world) {
		for _, h := range w.hosts {
			if h.role == roleTarget && h.domain == domainName(0) {
				w.suspend(h, 8*time.Second)
			}
		}
	}},
	{"an entry cut off", cutHosts(1)},
	{"the failure domain cut off", cutDomains(1, true)},
	{"the platform fails right after", func(w *world) {
		w.after(50*time.Millisecond, func() { w.rows.SetDown(true) })
	}},
}

// entryReachesOnlyAgents lets an entry reach neither the platform nor entries.
func entryReachesOnlyAgents(w *world, cut *host) {
	w.tableCut = func(h *host) bool { return h == cut }
	w.blocked = func(a, b *host) (bool, bool) {
		return (a == cut || b == cut) && a.role == b.role, false
	}
}

// suspend pauses a process; what arrives meanwhile is handled after.
func (w *world) suspend(h *host, d time.Duration) {
	h.paused = true
	life := h.life
	w.after(d, func() {
		if h.life != life {
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

// measureDomainOut gives the last time after acceptance at which some agent of a
// failure domain taken out would still take new work from some entry.
func measureDomainOut(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	sizes := []spreadSize{{entries: 4, targets: 15, domains: 3}, {entries: 24, targets: 64, domains: 8}}
	for _, size := range sizes {
		for _, one := range domainOutCases {
			if ctx.Err() != nil {
				return result, ctx.Err()
			}
			last, err := runDomainOut(size, one)
			if err != nil {
				return result, err
			}
			name := fmt.Sprintf("last new work in a failure domain taken out, %d entries and %d agents, %s", size.entries, size.targets, one.name)
			result.Figures = append(result.Figures, measure.Figure{
				Name: name, Value: last.Seconds(), Unit: "s", Limit: measure.AtMost, Bound: domainOutBound})
		}
	}
	return result, nil
}

func runDomainOut(size spreadSize, one domainOutCase) (time.Duration, error) {
	w := newWorld(11, size.entries, size.targets, size.domains)
	operator := w.hosts[1]
	if _, err := w.change(operator); err != nil {
		return 0, err
	}
	w.startAll()
	w.run(warmUp)
	one.begin(w)
	out, err := w.change(operator)
	if err != nil {
		return 0, err
	}
	accepted, last := w.now, time.Duration(0)
	for w.now.Sub(accepted) < domainOutWatch {
		w.run(sampleTime)
		if w.takesNewWork(domainName(0), out) {
			last = w.now.Sub(accepted)
		}
	}
	return last, nil
}

// takesNewWork tells whether some entry that does not know the version would
// send work to some agent of the failure domain that does not know it either.
func (w *world) takesNewWork(domain string, out uint64) bool {
	for _, entry := range w.hosts {
		if entry.role != rollout.RoleEntry || !w.wouldServe(entry, out) {
			continue
		}
		for _, agent := range w.hosts {
			if agent.role != roleTarget || agent.domain != domain || !w.wouldServe(agent, out) {
				continue
			}
			if lost, _ := w.blocked(entry, agent); !lost {
				return true
			}
		}
	}
	return false
}

func (w *world) wouldServe(h *host, out uint64) bool {
	unaware := h.alive && !h.paused && h.node.Version() < out
	return unaware && rollout.MayServe(h.node.ServeInput(w.now)).OK()
}
