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
	// pending holds the unanswered requests by sequence number.
	pending map[uint64]pendingPull
	// upstream is the peer pulled from periodically. upstreamSeq is the unanswered
	// request to it, 0 if there is none.
	upstream    string
	upstreamSeq uint64
	// next, nextProbe and nextGapPull are the earliest times of the next pull from
	// the upstream, of a reachability probe and of pullMissing.
	next        time.Time
	nextProbe   time.Time
	nextGapPull time.Time
	// avoidUntil holds the peers to avoid and until when.
	avoidUntil map[string]time.Time
	// upstreams lists the candidates for upstream in order of preference.
	upstreams    []string
	lastAnswerAt time.Time
	// reachedAt holds, for each other failure domain, the send time of the latest
	// request that a process there answered.
	reachedAt map[string]time.Time
	// needFullHostList means that the next fetch must request the full host list.
	needFullHostList bool
}

// pendingPull is a request that has no answer yet.
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

// reachedDomains returns the other failure domains that answered a request sent
// within MaxUnconfirmedAge.
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
// if it does not answer. A reader that confirms its version by its own reads does
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
	n.pulls.next = now.Add(n.smallJitter(n.pullPeriod()))
}

// pullPeriod returns the pull interval. It is shorter if the upstream is a relay,
// which itself pulls from a reader.
func (n *Node) pullPeriod() time.Duration {
	if n.usesRelays {
		return relayPullInterval
	}
	return pullInterval
}

// dropExpiredPulls discards old unanswered requests, except the one to the
// upstream, and peers that need not be avoided any longer.
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
	for _, peer := range n.pulls.upstreams {
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
	if now.Before(n.pulls.nextGapPull) {
		return
	}
	n.pulls.nextGapPull = now.Add(TickInterval)
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

// onPullRequest answers a pull request, and pulls in turn from a sender that has a
// higher version.
func (n *Node) onPullRequest(now time.Time, peer string, request PullRequest) {
	n.adoption.recordVersion(now, peer, request.Version)
	answer := PullResponse{
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
		answer.AgeMillis = int64(now.Sub(n.confirmedAt)/time.Millisecond) + 1
	}
	if n.ready && request.Version < n.version {
		entries, found := n.recent.after(request.Version)
		answer.Entries, answer.EntriesTrimmed = entries, !found
	}
	n.send(peer, KindPullResponse, answer)
	if n.ready && request.Version > n.version {
		n.noteObserved(now, request.Version)
		n.pullMissing(now, peer)
	}
}

// onPullResponse handles the answer to a pending request. The upstream is replaced
// if its answer is stale or, unless this node uses relays, if it is not a reader
// with spare capacity.
func (n *Node) onPullResponse(now time.Time, peer string, answer PullResponse) {
	pending, found := n.pulls.pending[answer.Sequence]
	if !found || pending.peer != peer {
		return
	}
	delete(n.pulls.pending, answer.Sequence)
	upstream := answer.Sequence == n.pulls.upstreamSeq
	if upstream {
		n.pulls.upstreamSeq = 0
	}
	n.pulls.lastAnswerAt = now
	n.domainOf[peer] = answer.FailureDomain
	if answer.FailureDomain != n.self.FailureDomain {
		n.pulls.reachedAt[answer.FailureDomain] = laterOf(n.pulls.reachedAt[answer.FailureDomain], pending.sentAt)
	}
	if !answer.Ready {
		return
	}
	if !n.ready {
		n.start.offers[peer] = answer.Version
		n.apply(now, answer.Entries, peer, false)
		return
	}
	n.applyResponse(now, peer, pending.sentAt, answer)
	if upstream {
		n.syncHosts(peer, answer)
	}
	stale := answer.AgeMillis < 0 || answer.AgeMillis > staleAfter.Milliseconds()
	if upstream && (stale || !answer.Reader && !n.usesRelays) {
		n.avoidPeer(now, peer)
	}
}

// applyResponse applies the answer's entries and its confirmation of the version.
// The peer answered after the request was sent, so sentAt minus the answer's age
// is a safe lower bound for the time of the confirmation.
func (n *Node) applyResponse(now time.Time, peer string, sentAt time.Time, answer PullResponse) {
	n.noteObserved(now, answer.Version)
	n.apply(now, answer.Entries, peer, false)
	if answer.AgeMillis >= 0 {
		n.noteConfirmed(answer.Version, sentAt.Add(-time.Duration(answer.AgeMillis)*time.Millisecond))
	}
	if answer.EntriesTrimmed && answer.Version > n.version {
		n.fetchFullTable(now, peer)
	} else if answer.Version > n.version {
		n.pullMissing(now, peer)
	}
}

// syncHosts fetches the upstream's host list if it differs from the node's own.
// Only readers, which read the platform.LiveList often, and relays, which sync
// from readers, are trusted as sources.
func (n *Node) syncHosts(peer string, answer PullResponse) {
	upToDate := answer.HostsDigest == 0 || answer.HostsDigest == n.hosts.digest
	trusted := answer.Reader || n.usesRelays && slices.Contains(n.pulls.upstreams, peer)
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
