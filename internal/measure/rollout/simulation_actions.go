package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// performActions carries out the actions that a node requested.
func (sim *simulation) performActions(h *host, actions []rollout.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case rollout.Send:
			sim.send(h, action)
		case rollout.ReadLog:
			sim.readLog(h, action.After)
		case rollout.ReadHosts:
			sim.readHosts(h)
		case rollout.LoadFullTable:
			sim.loadFullTable(h)
		case rollout.InstallFullTable:
			sim.scheduleStep(h, 0, func() []rollout.Action { return sim.finishFullTable(h, action.Version, nil) })
		case rollout.SendPart:
			part := rollout.Part{Version: h.node.Version(), Part: 0, Parts: 1, Body: []byte{0}}
			sim.send(h, rollout.Send{Peer: action.Peer, Kind: rollout.KindPart, Body: part})
		case rollout.Install, rollout.BecomeReady:
			sim.recordCoverage(h)
		}
	}
}

func (sim *simulation) finishFullTable(h *host, version uint64, err error) []rollout.Action {
	actions := h.node.HandleFullTable(sim.now, version, err)
	sim.recordCoverage(h)
	return actions
}

// send encodes a message as a link does, and delivers it after the network delay
// unless the link is broken.
func (sim *simulation) send(from *host, message rollout.Send) {
	to := sim.byName[message.Peer]
	lost, failFast := sim.linkFault(from, to)
	if failFast {
		sim.scheduleStep(from, 0, func() []rollout.Action { return from.node.HandleUnreachable(sim.now, message.Peer) })
		return
	}
	body, err := cbor.Marshal(message.Body)
	if err != nil {
		panic(err)
	}
	from.bytesOut += len(body) + frameOverhead
	from.messages++
	if lost || !to.alive {
		return
	}
	to.bytesIn += len(body) + frameOverhead
	sim.scheduleStep(to, networkDelay, func() []rollout.Action {
		decoded, err := rollout.DecodeMessage(message.Kind, body)
		if err != nil {
			panic(err)
		}
		return to.node.Receive(sim.now, from.name, decoded)
	})
}

// recordPlatformRead counts a platform call and returns its latency, and an error if
// the host cannot reach the platform.
func (sim *simulation) recordPlatformRead(h *host) (time.Duration, error) {
	second := int(sim.now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)) / time.Second)
	for len(sim.readsPerSecond) <= second {
		sim.readsPerSecond = append(sim.readsPerSecond, 0)
	}
	sim.readsPerSecond[second]++
	if sim.platformUnreachable(h) {
		return sim.platformLatency, &platform.UnavailableError{}
	}
	return sim.platformLatency, nil
}

func (sim *simulation) readLog(h *host, after uint64) {
	latency, unreachable := sim.recordPlatformRead(h)
	incarnation := h.incarnation
	sim.schedule(latency/2, func() {
		update, err := sim.log.Since(context.Background(), after)
		if unreachable != nil {
			update, err = rollout.Update{}, unreachable
		}
		if h.incarnation == incarnation {
			sim.scheduleStep(h, latency/2, func() []rollout.Action { return h.node.HandleRead(sim.now, update, err) })
		}
	})
}

func (sim *simulation) readHosts(h *host) {
	latency, err := sim.recordPlatformRead(h)
	if _, downErr := sim.rows.Get(context.Background()); downErr != nil {
		err = downErr
	}
	hosts := sim.liveHosts()
	sim.scheduleStep(h, latency, func() []rollout.Action { return h.node.HandleHosts(hosts, err) })
}

func (sim *simulation) loadFullTable(h *host) {
	latency, unreachable := sim.recordPlatformRead(h)
	version, err := sim.log.Head(context.Background())
	if unreachable != nil {
		err = unreachable
	}
	sim.scheduleStep(h, 2*latency, func() []rollout.Action { return sim.finishFullTable(h, version, err) })
}

// commitChange proposes a change through a host, as an operator's request does, and
// returns the accepted version.
func (sim *simulation) commitChange(h *host) (uint64, error) {
	sim.lastChangeID++
	next := sim.editedTable(sim.lastChangeID)
	change := rollout.Change{
		ID:       fmt.Sprintf("%08x-0000-4000-8000-%012x", sim.lastChangeID, sim.lastChangeID),
		Operator: "operator@example",
		Base:     sim.table.Version,
		Next:     next,
	}
	version, err := sim.log.Propose(context.Background(), change)
	if err != nil {
		return 0, err
	}
	next.Version = version
	sim.table = next
	sim.acceptedAt[version] = sim.now
	sim.scheduleStep(h, 0, func() []rollout.Action { return h.node.HandleAccepted(sim.now, version) })
	return version, nil
}

// editedTable returns the current table with one route, target or organisation
// changed, in rotation by change ID. The first change creates a table of currentSize.
func (sim *simulation) editedTable(id int) *table.Table {
	next := *sim.table
	if len(next.Routes) == 0 {
		next = *currentSize.build()
		next.Version = sim.table.Version
		return &next
	}
	delta := table.Diff(&next, &next)
	delta.From, delta.To = next.Version, next.Version
	switch id % 3 {
	case 0:
		route := next.Routes["route-1"]
		route.QuotaPerSecond = float64(id)
		delta.Routes.Put = []table.Route{route}
	case 1:
		target := next.Targets["target-1"]
		target.Leaving = !target.Leaving
		delta.Targets.Put = []table.Target{target}
	default:
		organisation := table.Organisation{Name: organisationName(1), KeyHashes: []string{hashKey(organisationKey(plannedSize.organisations + id))}}
		delta.Organisations.Put = []table.Organisation{organisation}
	}
	applied, err := delta.Apply(&next)
	if err != nil {
		panic(err)
	}
	return applied
}

// recordCoverage records the time at which versions became active on every live host.
func (sim *simulation) recordCoverage(h *host) {
	sim.onVersionChange(h)
	lowest := ^uint64(0)
	for _, other := range sim.hosts {
		if !other.alive {
			continue
		}
		if other.node == nil || !other.node.Ready() {
			return
		}
		lowest = min(lowest, other.node.Version())
	}
	for version := lowest; version > 0; version-- {
		if sim.covered(version) {
			return
		}
		sim.coveredAt[version] = sim.now
	}
}

// covered reports whether a version has become active on every live host.
func (sim *simulation) covered(version uint64) bool {
	_, found := sim.coveredAt[version]
	return found
}
