package platform

import (
	"context"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/process/platform"
)

// timedHostList is a host list and the time from which Hosts returns it.
type timedHostList struct {
	visibleAt time.Time
	hosts     []platform.Host
}

// SetHosts replaces the list of live hosts. Hosts returns the new list after
// ListLag; the first list is visible at once.
func (s *InMemory) SetHosts(hosts ...platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addHostListLocked(slices.Clone(hosts))
}

// SetLeaving sets whether a host of the latest list is leaving. Hosts returns the
// change after ListLag.
func (s *InMemory) SetLeaving(name string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.hostLists) == 0 {
		return
	}
	hosts := slices.Clone(s.hostLists[len(s.hostLists)-1].hosts)
	for i := range hosts {
		if hosts[i].Name == name {
			hosts[i].Leaving = leaving
		}
	}
	s.addHostListLocked(hosts)
}

func (s *InMemory) addHostListLocked(hosts []platform.Host) {
	visibleAt := s.clock.Now()
	if len(s.hostLists) > 0 {
		visibleAt = visibleAt.Add(s.config.HostListLag)
	}
	s.hostLists = append(s.hostLists, timedHostList{visibleAt: visibleAt, hosts: hosts})
}

// Hosts implements platform.LiveList.
func (s *InMemory) Hosts(ctx context.Context) ([]platform.Host, error) {
	if err := s.beforeCall(ctx, s.readLimiter); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	now := s.clock.Now()
	for len(s.hostLists) > 1 && !s.hostLists[1].visibleAt.After(now) {
		s.hostLists = s.hostLists[1:]
	}
	if len(s.hostLists) == 0 {
		return nil, nil
	}
	return slices.Clone(s.hostLists[0].hosts), nil
}
