package rollout

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/process/platform"
)

// maxHostHistory is the number of earlier host lists that a node keeps to compute
// differences from.
const maxHostHistory = 16

// hostList holds a node's current host list and earlier ones.
type hostList struct {
	hosts  []platform.Host
	digest uint64
	// history holds earlier lists, oldest first.
	history []pastHostList
}

// pastHostList is an earlier host list, identified by its digest.
type pastHostList struct {
	digest uint64
	hosts  []platform.Host
}

// hostsDigest returns a digest of a host list that does not depend on the order of
// the hosts. It is never 0, which stands for no list.
func hostsDigest(hosts []platform.Host) uint64 {
	sum := uint64(0)
	var text []byte
	for _, host := range hosts {
		text = text[:0]
		for _, field := range []string{host.Name, host.Role, host.Address, host.FailureDomain} {
			text = append(text, field...)
			text = append(text, 0)
		}
		if host.Leaving {
			text = append(text, 1)
		}
		sum += xxhash.Sum64(text)
	}
	return sum | 1
}

func sortHosts(hosts []platform.Host) []platform.Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

// replace installs a new list and reports whether it differs from the current one.
func (l *hostList) replace(hosts []platform.Host) bool {
	digest := hostsDigest(hosts)
	if digest == l.digest {
		return false
	}
	if l.digest != 0 {
		l.history = append(l.history, pastHostList{l.digest, l.hosts})
	}
	if len(l.history) > maxHostHistory {
		l.history = l.history[1:]
	}
	l.hosts, l.digest = sortHosts(hosts), digest
	return true
}

// updateFrom returns the message that updates a peer whose list has the given
// digest. It holds the full list if that digest is not in the history.
func (l *hostList) updateFrom(digest uint64) HostsUpdate {
	i := slices.IndexFunc(l.history, func(past pastHostList) bool { return past.digest == digest })
	if i < 0 {
		return HostsUpdate{Digest: l.digest, Changed: l.hosts}
	}
	message := HostsUpdate{From: digest, Digest: l.digest}
	previous := hostsByName(l.history[i].hosts)
	for _, host := range l.hosts {
		if old, found := previous[host.Name]; !found || old != host {
			message.Changed = append(message.Changed, host)
		}
		delete(previous, host.Name)
	}
	for name := range previous {
		message.Removed = append(message.Removed, name)
	}
	slices.Sort(message.Removed)
	return message
}

// merge returns the list after applying a message. It returns false if the
// message is a difference from a list other than the current one.
func (l *hostList) merge(message HostsUpdate) ([]platform.Host, bool) {
	if message.From == 0 {
		return message.Changed, true
	}
	if message.From != l.digest {
		return nil, false
	}
	hosts := hostsByName(l.hosts)
	for _, name := range message.Removed {
		delete(hosts, name)
	}
	for _, host := range message.Changed {
		hosts[host.Name] = host
	}
	merged := make([]platform.Host, 0, len(hosts))
	for _, host := range hosts {
		merged = append(merged, host)
	}
	return merged, true
}

func hostsByName(hosts []platform.Host) map[string]platform.Host {
	byName := make(map[string]platform.Host, len(hosts))
	for _, host := range hosts {
		byName[host.Name] = host
	}
	return byName
}
