package entry

import (
	"net/http"

	"verbenaseam.example/verbenaseam/api/gen/operatorapi"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/node"
	"verbenaseam.example/verbenaseam/process/release"
)

// operatorMux serves the health and metrics paths, which need no key, next to the
// operator API.
func (e *Entry) operatorMux(operatorHandler http.Handler) http.Handler {
	mux := http.NewServeMux()
	node.HandleHealth(mux, e.metrics, e.Ready)
	mux.Handle("/", operatorHandler)
	return mux
}

// status returns the state of this entry, and the targets and peers as seen by it.
func (e *Entry) status() *operatorapi.Status {
	status := &operatorapi.Status{
		Name: e.settings.Name, Role: link.RoleEntry, FailureDomain: e.settings.FailureDomain,
		Version: int64(e.node.Version()), Build: operatorapi.NewOptString(release.Build()),
		Targets: []operatorapi.StatusTargetsItem{},
		Peers:   []operatorapi.StatusPeersItem{},
	}
	for _, target := range e.targets.Status() {
		status.Targets = append(status.Targets, operatorapi.StatusTargetsItem{
			Name: target.Name, FailureDomain: target.FailureDomain, State: e.targetState(target.Name, target.Reported, target.Report.Open, target.Report.Warm),
			InFlight: target.InFlight, Limit: target.Report.Limit,
		})
	}
	for _, l := range e.node.Peers.Links() {
		peer := l.Peer()
		item := operatorapi.StatusPeersItem{
			Name: peer.Name, Version: int64(l.PeerVersion()), State: e.node.Membership.State(peer.Name).String(),
			Protocol: operatorapi.NewOptInt(int(l.Protocol())),
		}
		if l.PeerBuild() != "" {
			item.Build.SetTo(l.PeerBuild())
		}
		status.Peers = append(status.Peers, item)
	}
	return status
}

// targetState summarises the state of a target in one word.
func (e *Entry) targetState(name string, reported, open, warm bool) string {
	_, linked := e.node.Peers.Get(name)
	switch {
	case !linked:
		return "unreachable"
	case !reported:
		return "unknown"
	case !open:
		return "closed"
	case warm:
		return "warm"
	default:
		return "cold"
	}
}
