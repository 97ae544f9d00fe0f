package rollout

import (
	"slices"
	"time"
)

// probeSamplesPerDomain is the number of random peers sampled per failure domain
// in order to find one peer in each.
const probeSamplesPerDomain = 6

// pullState is the state of a node's pulls from its peers.
type pullState struct {
	seq uint64
	// pending holds the requests without a response by sequence number.
	pending map[uint64]pendingPull
	// upstream is the peer pulled from periodically. upstreamSeq is the sequence
	// number of the pending request to it, 0 if there is none.
	upstream    string
	upstreamSeq uint64
	// next, nextProbe and nextMissingPull are the earliest times of the next pull
	// from the upstream, of the next reachability probe and of the next pull by
	// pullMissing.
	next            time.Time
	nextProbe       time.Time
	nextMissingPull time.Time
	// avoidUntil holds the peers to avoid and until when.
	avoidUntil map[string]time.Time
	// candidates lists the candidates for upstream in order of preference.
	candidates     []string
	lastResponseAt time.Time
	// reachedAt holds, for each other failure domain, the send time of the latest
	// request that a process there responded to.
	reachedAt map[string]time.Time
	// needFullHostList means that the next fetch must request the full host list.
	needFullHostList bool
}

// pendingPull is a request that has no response yet.
type pendingPull struct {
	peer   string
	sentAt time.Time
}

func newPullState() pullState {
	return pullState{
		pending:    map[uint64]pendingPull{},
		avoidUntil: map[string]time.Time{},
		reachedAt:  map[string]time.Time{},
	}
}

// reachedDomains returns the other failure domains that responded to a request sent
// within the last MaxUnconfirmedAge.
func (p *pullState) reachedDomains(now time.Time) []string {
	var domains []string
	for domain, at := range p.reachedAt {
		if now.Sub(at) <= MaxUnconfirmedAge {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// tickPull pulls from the upstream peer periodically, and switches to another peer
// if it does not respond. A reader that confirms its version by its own reads does
// not pull.
func (n *Node) tickPull(now time.Time) {
	n.dropExpiredPulls(now)
	if !n.ready || n.reader && n.confirmedAge(now) < staleAfter {
		return
	}
	if n.pulls.upstreamSeq != 0 {
		pending := n.pulls.pending[n.pulls.upstreamSeq]
		if now.Sub(pending.sentAt) < pullTimeout {
			return
		}
		n.avoidPeer(now, pending.peer)
		n.pulls.next = now
	}
	if now.Before(n.pulls.next) {
		return
	}
	peer := n.chooseUpstream(now)
	if peer == "" {
		return
	}
	n.pulls.upstream = peer
	n.pulls.upstreamSeq = n.pull(now, peer)
	n.pulls.next = now.Add(n.smallJitter(n.upstreamPullInterval()))
}

// upstreamPullInterval returns the interval between pulls from the upstream. It is
// shorter for nodes that use relays, since relays themselves pull from a reader.
func (n *Node) upstreamPullInterval() time.Duration {
	if n.usesRelays {
		return relayPullInterval
	}
	return pullInterval
}

// dropExpiredPulls discards requests that are pending for longer than
// MaxUnconfirmedAge, except the one to the upstream, and peers that need not be
// avoided any longer.
func (n *Node) dropExpiredPulls(now time.Time) {
	for seq, pending := range n.pulls.pending {
		if now.Sub(pending.sentAt) > MaxUnconfirmedAge && seq != n.pulls.upstreamSeq {
			delete(n.pulls.pending, seq)
		}
	}
	for peer, until := range n.pulls.avoidUntil {
		if now.After(until) {
			delete(n.pulls.avoidUntil, peer)
		}
	}
}

// avoidPeer avoids a peer for avoidDuration and drops it as upstream.
func (n *Node) avoidPeer(now time.Time, peer string) {
	n.pulls.avoidUntil[peer] = now.Add(avoidDuration)
	if n.pulls.upstream == peer {
		n.pulls.upstream, n.pulls.upstreamSeq = "", 0
	}
}

// HandleUnreachable handles a failure to send a message to a peer.
func (n *Node) HandleUnreachable(now time.Time, peer string) []Action {
	if n.pulls.upstream == peer && n.pulls.upstreamSeq != 0 {
		n.pulls.next = now
	}
	n.avoidPeer(now, peer)
	return n.takeActions()
}

// chooseUpstream keeps the current upstream unless it is avoided or disconnected.
// Otherwise it returns the first usable candidate, else any peer, or "" if no peer
// is connected.
func (n *Node) chooseUpstream(now time.Time) string {
	if n.pulls.upstream != "" && n.usable(now, n.pulls.upstream) {
		return n.pulls.upstream
	}
	for _, peer := range n.pulls.candidates {
		if peer != n.self.Name && n.usable(now, peer) {
			return peer
		}
	}
	for _, peer := range n.randomPeers(pushFanOut, "") {
		if n.usable(now, peer) {
			return peer
		}
	}
	if peers := n.randomPeers(1, ""); len(peers) > 0 {
		return peers[0]
	}
	return ""
}

// usable reports whether a peer is connected and not avoided.
func (n *Node) usable(now time.Time, peer string) bool {
	return !now.Before(n.pulls.avoidUntil[peer]) && slices.Contains(n.connected, peer)
}

// pull sends a pull request to a peer and returns its sequence number.
func (n *Node) pull(now time.Time, peer string) uint64 {
	n.pulls.seq++
	n.pulls.pending[n.pulls.seq] = pendingPull{peer: peer, sentAt: now}
	n.send(peer, KindPullRequest, PullRequest{Sequence: n.pulls.seq, Version: n.version})
	return n.pulls.seq
}

// pullMissing pulls from a peer that is known to have a higher version, at most
// once per TickInterval.
func (n *Node) pullMissing(now time.Time, peer string) {
	if now.Before(n.pulls.nextMissingPull) {
		return
	}
	n.pulls.nextMissingPull = now.Add(TickInterval)
	n.pull(now, peer)
}

// tickReachability pulls from one process in each other failure domain while the
// node's version is stale, to find out whether this process is partitioned.
func (n *Node) tickReachability(now time.Time) {
	if !n.ready || n.confirmedAge(now) < staleAfter || now.Before(n.pulls.nextProbe) {
		return
	}
	n.pulls.nextProbe = now.Add(n.jitter(pullTimeout))
	for _, peer := range n.samplePeerPerDomain() {
		n.pull(now, peer)
	}
}

// samplePeerPerDomain samples connected peers at random, a bounded number of
// times, and returns the first one found in each other failure domain.
func (n *Node) samplePeerPerDomain() []string {
	picked := map[string]bool{}
	var peers []string
	samples := probeSamplesPerDomain * (len(n.inService) + 1)
	for range min(samples, probeSamplesPerDomain*len(n.connected)) {
		peer := n.connected[n.random.IntN(len(n.connected))]
		domain := n.domainOf[peer]
		if domain != n.self.FailureDomain && !picked[domain] {
			picked[domain] = true
			peers = append(peers, peer)
		}
	}
	return peers
}

// onPullRequest responds to a pull request, and in turn pulls from a sender that has
// a higher version.
func (n *Node) onPullRequest(now time.Time, peer string, request PullRequest) {
	n.adoption.recordVersion(now, peer, request.Version)
	response := PullResponse{
		Sequence:      request.Sequence,
		Version:       n.version,
		Ready:         n.ready,
		AgeMillis:     -1,
		FailureDomain: n.self.FailureDomain,
		HostsDigest:   n.hosts.digest,
		Reader:        n.reader && !n.shedder.shed(now, n.random),
	}
	if !n.confirmedAt.IsZero() {
		// Rounded up, so that the requester never assumes a later confirmation.
		response.AgeMillis = int64(now.Sub(n.confirmedAt)/time.Millisecond) + 1
	}
	if n.ready && request.Version < n.version {
		entries, found := n.recent.after(request.Version)
		response.Entries, response.EntriesTrimmed = entries, !found
	}
	n.send(peer, KindPullResponse, response)
	if n.ready && request.Version > n.version {
		n.noteObserved(now, request.Version)
		n.pullMissing(now, peer)
	}
}

// onPullResponse handles the response to a pending request. The upstream is replaced
// if its version is stale or, unless this node uses relays, if it is not a reader
// with spare capacity.
func (n *Node) onPullResponse(now time.Time, peer string, response PullResponse) {
	pending, found := n.pulls.pending[response.Sequence]
	if !found || pending.peer != peer {
		return
	}
	delete(n.pulls.pending, response.Sequence)
	fromUpstream := response.Sequence == n.pulls.upstreamSeq
	if fromUpstream {
		n.pulls.upstreamSeq = 0
	}
	n.pulls.lastResponseAt = now
	n.domainOf[peer] = response.FailureDomain
	if response.FailureDomain != n.self.FailureDomain {
		n.pulls.reachedAt[response.FailureDomain] = laterOf(n.pulls.reachedAt[response.FailureDomain], pending.sentAt)
	}
	if !response.Ready {
		return
	}
	if !n.ready {
		n.start.offers[peer] = response.Version
		n.apply(now, response.Entries, peer, false)
		return
	}
	n.applyResponse(now, peer, pending.sentAt, response)
	if fromUpstream {
		n.syncHosts(peer, response)
	}
	stale := response.AgeMillis < 0 || response.AgeMillis > staleAfter.Milliseconds()
	if fromUpstream && (stale || !response.Reader && !n.usesRelays) {
		n.avoidPeer(now, peer)
	}
}

// applyResponse applies the response's entries and its confirmation of the version.
// The peer responded after the request was sent, so sentAt minus the response's age
// is a safe lower bound for the time of the confirmation.
func (n *Node) applyResponse(now time.Time, peer string, sentAt time.Time, response PullResponse) {
	n.noteObserved(now, response.Version)
	n.apply(now, response.Entries, peer, false)
	if response.AgeMillis >= 0 {
		n.noteConfirmed(response.Version, sentAt.Add(-time.Duration(response.AgeMillis)*time.Millisecond))
	}
	if response.EntriesTrimmed && response.Version > n.version {
		n.fetchFullTable(now, peer)
	} else if response.Version > n.version {
		n.pullMissing(now, peer)
	}
}

// syncHosts fetches the upstream's host list if it differs from the node's own.
// Only readers, which read the platform.LiveList often, and relays, which sync
// from readers, are trusted as sources.
func (n *Node) syncHosts(peer string, response PullResponse) {
	upToDate := response.HostsDigest == 0 || response.HostsDigest == n.hosts.digest
	trusted := response.Reader || n.usesRelays && slices.Contains(n.pulls.candidates, peer)
	if upToDate || n.reader || !trusted {
		return
	}
	fetch := FetchHosts{Digest: n.hosts.digest}
	if n.pulls.needFullHostList {
		fetch.Digest = 0
		n.pulls.needFullHostList = false
	}
	n.send(peer, KindFetchHosts, fetch)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
