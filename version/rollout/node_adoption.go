package rollout

import (
	"maps"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/process/platform"
)

const (
	// adoptionTrackingTime is how long a node tracks the adoption of a version
	// after the last call of Node.Adoption.
	adoptionTrackingTime = 5 * time.Second
	// adoptionPollInterval is the interval between polls of the upstream candidates.
	adoptionPollInterval = 500 * time.Millisecond
	// maxDirectPolls bounds the processes that are polled directly in one round
	// because no upstream candidate knows them to have adopted the version.
	maxDirectPolls = 64
	// peerVersionTTL is how long a node remembers the version that a peer reported
	// in a pull request.
	peerVersionTTL = 10 * time.Second
)

// adoptionState tracks which processes have adopted which version.
type adoptionState struct {
	// peerVersions holds the versions that peers reported in their pull requests.
	peerVersions map[string]reportedVersion

	// version is the version whose adoption is tracked. Tracking started at since
	// and ends at until.
	version uint64
	since   time.Time
	until   time.Time
	// next is the time of the next poll.
	next time.Time
	// adopted holds the processes known to have adopted version.
	adopted map[string]bool
}

// reportedVersion is a version and the time at which a peer reported it.
type reportedVersion struct {
	version uint64
	at      time.Time
}

func newAdoptionState() adoptionState {
	return adoptionState{peerVersions: map[string]reportedVersion{}, adopted: map[string]bool{}}
}

// recordVersion records the version that a peer reported in a pull request.
func (a *adoptionState) recordVersion(now time.Time, peer string, version uint64) {
	a.peerVersions[peer] = reportedVersion{version, now}
	if a.version != 0 && version >= a.version {
		a.adopted[peer] = true
	}
}

// Adoption returns the processes known to have adopted a version and the other hosts
// of the host list, each sorted by name; HostListIncomplete, if present, comes first.
// After each call, the version is tracked for adoptionTrackingTime.
func (n *Node) Adoption(now time.Time, version uint64) (adopted, missing []string) {
	if n.adoption.version != version {
		n.adoption.version = version
		n.adoption.adopted = map[string]bool{}
		n.adoption.since = now
		n.adoption.next = now
	}
	n.adoption.until = now.Add(adoptionTrackingTime)
	for peer, reported := range n.adoption.peerVersions {
		if reported.version >= version {
			n.adoption.adopted[peer] = true
		}
	}
	if n.version >= version {
		n.adoption.adopted[n.self.Name] = true
	}
	return slices.Sorted(maps.Keys(n.adoption.adopted)), n.missingHosts()
}

// HostListIncomplete is reported among the missing hosts while the host list does
// not contain this process itself and therefore may lack others too.
const HostListIncomplete = "(live list)"

// missingHosts returns the hosts not known to have adopted the tracked version.
func (n *Node) missingHosts() []string {
	var missing []string
	if !slices.ContainsFunc(n.hosts.hosts, func(host platform.Host) bool { return host.Name == n.self.Name }) {
		missing = append(missing, HostListIncomplete)
	}
	for _, host := range n.hosts.hosts {
		if !n.adoption.adopted[host.Name] {
			missing = append(missing, host.Name)
		}
	}
	return missing
}

// tickAdoption polls the upstream candidates while the adoption of a version is
// tracked, and after two poll intervals also the missing processes themselves.
func (n *Node) tickAdoption(now time.Time) {
	if now.Before(n.adoption.next) {
		return
	}
	n.adoption.next = now.Add(adoptionPollInterval)
	for peer, reported := range n.adoption.peerVersions {
		if now.Sub(reported.at) > peerVersionTTL {
			delete(n.adoption.peerVersions, peer)
		}
	}
	if now.After(n.adoption.until) {
		return
	}
	polled := map[string]bool{n.self.Name: true}
	for _, peer := range n.pulls.candidates {
		n.pollOnce(peer, polled)
	}
	if now.Sub(n.adoption.since) < 2*adoptionPollInterval {
		return
	}
	missing := n.missingHosts()
	for _, peer := range missing[:min(maxDirectPolls, len(missing))] {
		n.pollOnce(peer, polled)
	}
}

// pollOnce polls a peer unless it is in polled or not connected.
func (n *Node) pollOnce(peer string, polled map[string]bool) {
	if polled[peer] || !slices.Contains(n.connected, peer) {
		return
	}
	polled[peer] = true
	n.send(peer, KindAdoptionRequest, AdoptionRequest{Version: n.adoption.version})
}

func (n *Node) onAdoptionRequest(now time.Time, peer string, request AdoptionRequest) {
	response := AdoptionResponse{Version: request.Version}
	if n.version >= request.Version {
		response.Names = append(response.Names, n.self.Name)
	} else {
		n.noteObserved(now, request.Version)
		n.pullMissing(now, peer)
	}
	for name, reported := range n.adoption.peerVersions {
		if reported.version >= request.Version {
			response.Names = append(response.Names, name)
		}
	}
	slices.Sort(response.Names)
	n.send(peer, KindAdoptionResponse, response)
}

func (n *Node) onAdoptionResponse(response AdoptionResponse) {
	if response.Version != n.adoption.version {
		return
	}
	for _, name := range response.Names {
		n.adoption.adopted[name] = true
	}
}
