package rollout

import (
	"time"

	"verbenaseam.example/verbenaseam/process/platform"
)

// readState is the state of a node's own reads of the platform.
type readState struct {
	// running means that a read of the log is in progress; startedAt is the start
	// time of the latest read.
	running   bool
	startedAt time.Time
	// next is the earliest time of the next read.
	next     time.Time
	failures int

	hostsRunning bool
	nextHosts    time.Time

	// headKnown means that the log was read at least once; head is the highest head
	// that was read.
	headKnown bool
	head      uint64
	// failingSince is the time of the first of the latest consecutive failures;
	// zero while reads succeed.
	failingSince time.Time
	// immediate requests a read at once, or right after the one in progress.
	immediate bool
	// fallbackScheduled means that next is set to the fallback read for the current
	// period without confirmation.
	fallbackScheduled bool
}

// tickRead starts a read of the log if one is due.
func (n *Node) tickRead(now time.Time) {
	if n.read.running || !n.read.immediate && !n.readDue(now) {
		return
	}
	n.read.immediate = false
	n.read.running = true
	n.read.startedAt = now
	n.actions = append(n.actions, ReadLog{After: n.version})
}

func (n *Node) readDue(now time.Time) bool {
	if !n.reader && n.ready {
		n.scheduleFallbackRead(now)
		if !n.read.fallbackScheduled {
			return false
		}
	}
	return !now.Before(n.read.next)
}

// scheduleFallbackRead schedules a read of the log by a node that is not a reader,
// if its version has not been confirmed for fallbackReadAfter or a higher version
// is known.
func (n *Node) scheduleFallbackRead(now time.Time) {
	if n.confirmedAge(now) <= fallbackReadAfter && n.observed <= n.version {
		n.read.fallbackScheduled = false
		return
	}
	if n.read.fallbackScheduled {
		return
	}
	n.read.fallbackScheduled = true
	n.read.next = now.Add(n.jitter(n.fallbackReadInterval(now)) - n.fallbackReadInterval(now)/2)
}

// fallbackReadInterval divides a budget of reads per second among all hosts. The
// budget is small while peers respond but are stale too, since then the platform is
// at fault, and larger for isolated nodes.
func (n *Node) fallbackReadInterval(now time.Time) time.Duration {
	budget := staleReadsPerSecond
	if n.isolated(now) {
		budget = isolatedReadsPerSecond
	}
	interval := time.Duration(len(n.hosts.hosts)) * time.Second / time.Duration(budget)
	return max(fallbackReadAfter, interval)
}

// HandleRead handles the result of a ReadLog action.
func (n *Node) HandleRead(now time.Time, update Update, err error) []Action {
	n.read.running = false
	if err != nil {
		n.readFailed(now)
		return n.takeActions()
	}
	n.read.failures = 0
	n.read.failingSince = time.Time{}
	n.read.headKnown = true
	n.read.head = max(n.read.head, update.Head)
	n.noteObserved(now, update.Head)
	n.becomeReadyAtHead(now)
	n.apply(now, update.Entries, "", true)
	n.noteConfirmed(update.Head, n.read.startedAt)
	n.scheduleRead(now, update)
	return n.takeActions()
}

// readFailed schedules the next read with exponential backoff.
func (n *Node) readFailed(now time.Time) {
	if n.read.failingSince.IsZero() {
		n.read.failingSince = now
	}
	n.read.failures = min(n.read.failures+1, 10)
	backoff := min(maxReadBackoff, pollInterval<<n.read.failures)
	if !n.reader && n.ready {
		backoff = max(backoff, n.fallbackReadInterval(now))
	}
	n.read.next = now.Add(n.jitter(backoff))
}

// scheduleRead schedules the read after a successful one.
func (n *Node) scheduleRead(now time.Time, update Update) {
	if update.FullTableNeeded {
		// Peers are expected to hold the missing entries, unless none responds or the
		// node's version has been unconfirmed for more than maxReadBackoff.
		n.fullTable.needed = n.ready && (n.isolated(now) || n.confirmedAge(now) > maxReadBackoff)
	} else if n.version < update.Head {
		n.read.immediate = true
		n.tickRead(now)
		return
	}
	n.read.next = now.Add(n.smallJitter(pollInterval))
	if !n.reader && n.ready {
		n.read.next = now.Add(n.jitter(n.fallbackReadInterval(now)))
	}
}

// isolated reports whether no peer has responded within fallbackReadAfter.
func (n *Node) isolated(now time.Time) bool {
	return now.Sub(n.pulls.lastResponseAt) > fallbackReadAfter
}

// tickHosts starts a read of the platform.LiveList if one is due. All nodes that
// are not readers share a budget of staleReadsPerSecond.
func (n *Node) tickHosts(now time.Time) {
	if n.read.hostsRunning || now.Before(n.read.nextHosts) {
		return
	}
	interval := hostsInterval
	if !n.reader {
		shared := time.Duration(len(n.hosts.hosts)) * time.Second / staleReadsPerSecond
		interval = max(interval, shared)
	}
	n.read.hostsRunning = true
	n.read.nextHosts = now.Add(n.jitter(interval))
	n.actions = append(n.actions, ReadHosts{})
}

// HandleHosts handles the result of a ReadHosts action. The list is unchanged if
// the read failed.
func (n *Node) HandleHosts(hosts []platform.Host, err error) []Action {
	n.read.hostsRunning = false
	if err == nil {
		n.setHosts(hosts)
	}
	return n.takeActions()
}

// setHosts installs a host list and derives the node's pull plan from it.
func (n *Node) setHosts(hosts []platform.Host) {
	if !n.hosts.replace(hosts) {
		return
	}
	for _, host := range n.hosts.hosts {
		n.domainOf[host.Name] = host.FailureDomain
	}
	plan := planPulls(n.self, n.hosts.hosts)
	n.reader, n.usesRelays = plan.reader, plan.usesRelays
	n.pulls.candidates = plan.candidates
	n.shedder.fairRate = plan.fairPullRate
	n.actions = append(n.actions, PublishHosts{Hosts: n.hosts.hosts})
}

func (n *Node) onFetchHosts(peer string, message FetchHosts) {
	if n.hosts.digest != 0 && message.Digest != n.hosts.digest {
		n.send(peer, KindHostsUpdate, n.hosts.updateFrom(message.Digest))
	}
}

func (n *Node) onHostsUpdate(message HostsUpdate) {
	if hosts, ok := n.hosts.merge(message); ok {
		n.setHosts(hosts)
		return
	}
	n.pulls.needFullHostList = true
}
