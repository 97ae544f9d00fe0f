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

// perform does a node's actions.
func (w *world) perform(h *host, actions []rollout.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case rollout.Send:
			w.send(h, action)
		case rollout.ReadLog:
			w.readLog(h, action.After)
		case rollout.ReadHosts:
			w.readHosts(h)
		case rollout.LoadFullTable:
			w.loadWhole(h)
		case rollout.InstallFullTable:
			w.toHost(h, 0, func() []rollout.Action { return w.whole(h, action.Version, nil) })
		case rollout.SendPart:
			part := rollout.Part{Version: h.node.Version(), Part: 0, Parts: 1, Body: []byte{0}}
			w.send(h, rollout.Send{Peer: action.Peer, Kind: rollout.KindPart, Body: part})
		case rollout.Install, rollout.BecomeReady:
			w.versionMoved(h)
		}
	}
}

func (w *world) whole(h *host, version uint64, err error) []rollout.Action {
	actions := h.node.HandleFullTable(w.now, version, err)
	w.versionMoved(h)
	return actions
}

// send encodes a message, as the link does, and delivers it after the delay of
// the network unless the link is broken.
func (w *world) send(from *host, message rollout.Send) {
	to := w.byName[message.Peer]
	lost, failFast := w.blocked(from, to)
	if failFast {
		w.toHost(from, 0, func() []rollout.Action { return from.node.HandleUnreachable(w.now, message.Peer) })
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
	w.toHost(to, oneWay, func() []rollout.Action {
		decoded, err := rollout.DecodeMessage(message.Kind, body)
		if err != nil {
			panic(err)
		}
		return to.node.Receive(w.now, from.name, decoded)
	})
}

// platformCall counts a call and returns how long it takes.
func (w *world) platformCall(h *host) (time.Duration, error) {
	second := int(w.now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)) / time.Second)
	for len(w.readsAt) <= second {
		w.readsAt = append(w.readsAt, 0)
	}
	w.readsAt[second]++
	if w.tableCut(h) {
		return w.latency, &platform.UnavailableError{}
	}
	return w.latency, nil
}

func (w *world) readLog(h *host, have uint64) {
	latency, cut := w.platformCall(h)
	life := h.life
	w.after(latency/2, func() {
		update, err := w.log.Since(context.Background(), have)
		if cut != nil {
			update, err = rollout.Update{}, cut
		}
		if h.life == life {
			w.toHost(h, latency/2, func() []rollout.Action { return h.node.HandleRead(w.now, update, err) })
		}
	})
}

func (w *world) readHosts(h *host) {
	latency, err := w.platformCall(h)
	if _, downErr := w.rows.Get(context.Background()); downErr != nil {
		err = downErr
	}
	hosts := w.liveList()
	w.toHost(h, latency, func() []rollout.Action { return h.node.HandleHosts(hosts, err) })
}

func (w *world) loadWhole(h *host) {
	latency, cut := w.platformCall(h)
	version, err := w.log.Head(context.Background())
	if cut != nil {
		err = cut
	}
	w.toHost(h, 2*latency, func() []rollout.Action { return w.whole(h, version, err) })
}

// change lets a host accept a change, as an operator's call would.
func (w *world) change(h *host) (uint64, error) {
	w.writesID++
	next := w.editedTable(w.writesID)
	change := rollout.Change{
		ID:       fmt.Sprintf("%08x-0000-4000-8000-%012x", w.writesID, w.writesID),
		Operator: "operator@example",
		Base:     w.table.Version,
		Next:     next,
	}
	version, err := w.log.Propose(context.Background(), change)
	if err != nil {
		return 0, err
	}
	next.Version = version
	w.table = next
	w.acceptedAt[version] = w.now
	w.toHost(h, 0, func() []rollout.Action { return h.node.HandleAccepted(w.now, version) })
	return version, nil
}

// editedTable changes one route, target or organisation in turn.
func (w *world) editedTable(id int) *table.Table {
	next := *w.table
	if len(next.Routes) == 0 {
		next = *todaySize.build()
		next.Version = w.table.Version
		return &next
	}
	edited := table.Diff(&next, &next)
	edited.From, edited.To = next.Version, next.Version
	switch id % 3 {
	case 0:
		route := next.Routes["route-1"]
		route.QuotaPerSecond = float64(id)
		edited.Routes.Put = []table.Route{route}
	case 1:
		target := next.Targets["target-1"]
		target.Leaving = !target.Leaving
		edited.Targets.Put = []table.Target{target}
	default:
		organisation := table.Organisation{Name: organisationName(1), KeyHashes: []string{hashOf(keyOf(targetSize.organisations + id))}}
		edited.Organisations.Put = []table.Organisation{organisation}
	}
	applied, err := edited.Apply(&next)
	if err != nil {
		panic(err)
	}
	return applied
}

// versionMoved notes when a version reached every live host.
func (w *world) versionMoved(h *host) {
	w.onVersion(h)
	lowest := ^uint64(0)
	for _, other := range w.hosts {
		if !other.alive {
			continue
		}
		if other.node == nil || !other.node.Ready() {
			return
		}
		lowest = min(lowest, other.node.Version())
	}
	for version := lowest; version > 0; version-- {
		if _, done := w.coveredAt[version]; done {
			return
		}
		w.coveredAt[version] = w.now
	}
}

// covered tells whether a version reached every live host.
func (w *world) covered(version uint64) bool {
	_, found := w.coveredAt[version]
	return found
}
