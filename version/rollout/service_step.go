package rollout

import (
	"context"
	"maps"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/version/table"
)

// step passes one input to the node and applies the resulting state changes in
// order while it holds mu. It performs the remaining actions after releasing mu.
func (s *Service) step(input func(now time.Time) []Action) {
	now := s.config.Clock.Now()
	s.mu.Lock()
	if s.runCtx == nil {
		s.mu.Unlock()
		return
	}
	remaining := s.applyStateActions(input(now))
	decision := MayServe(s.node.ServeInput(now))
	s.decision.Store(&timedDecision{decision: decision, at: now})
	s.metrics.observe(s.node, now, decision)
	s.mu.Unlock()
	for _, action := range remaining {
		s.perform(action)
	}
}

// applyStateActions performs the actions that change the service's state and
// returns the others. The caller holds mu.
func (s *Service) applyStateActions(actions []Action) []Action {
	remaining := make([]Action, 0, len(actions))
	for _, action := range actions {
		switch action := action.(type) {
		case Install:
			if !s.install(action.Entries) {
				remaining = append(remaining, LoadFullTable{})
			}
		case BecomeReady:
			s.publish()
			close(s.ready)
			s.log.WithField("version", s.newest.Version()).Info("configuration ready")
		case PublishHosts:
			s.hosts.Store(&action.Hosts)
			s.updateInService()
		default:
			remaining = append(remaining, action)
		}
	}
	return remaining
}

// install applies entries to the newest snapshot. It returns false if one of them
// cannot be applied; the full table must be loaded then. The caller holds mu.
func (s *Service) install(entries []Entry) bool {
	for _, entry := range entries {
		delta, err := entry.delta()
		var next *table.Snapshot
		if err == nil {
			next, err = s.newest.Advance(delta)
		}
		if err != nil {
			s.log.WithError(err).WithField("version", entry.Version).Error("configuration delta cannot be applied; reading the whole configuration table")
			return false
		}
		s.newest = next
	}
	s.publish()
	return true
}

// publish makes the newest snapshot active if the node is ready. The caller holds
// mu.
func (s *Service) publish() {
	s.config.Log.CacheTable(s.newest.Table())
	s.updateInService()
	if !s.node.Ready() {
		return
	}
	s.current.Store(s.newest)
	close(s.changed)
	s.changed = make(chan struct{})
}

// updateInService passes the failure domains that are not taken out of service to
// the node: those that have live hosts, or all in the table while no hosts are
// known. The caller holds mu.
func (s *Service) updateInService() {
	domains := map[string]bool{}
	for _, host := range *s.hosts.Load() {
		domains[host.FailureDomain] = true
	}
	for name, domain := range s.newest.Table().Domains {
		if len(*s.hosts.Load()) == 0 {
			domains[name] = true
		}
		if domain.Out {
			delete(domains, name)
		}
	}
	s.node.SetInService(slices.Sorted(maps.Keys(domains)))
}

// perform sends a message, or starts another action in the background unless the
// context of Run is done.
func (s *Service) perform(action Action) {
	if send, ok := action.(Send); ok {
		s.send(send)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	runCtx := s.runCtx
	if runCtx.Err() == nil {
		s.background.Go(func() { s.performInBackground(runCtx, action) })
	}
}

// performInBackground performs an action that may block.
func (s *Service) performInBackground(runCtx context.Context, action Action) {
	switch action := action.(type) {
	case ReadLog:
		s.readLog(runCtx, action)
	case ReadHosts:
		s.readHosts(runCtx)
	case LoadFullTable:
		s.loadFullTable(runCtx)
	case InstallFullTable:
		t, err := DecodeTable(action.Body)
		s.installFullTable(t, err)
	case SendPart:
		s.send(Send{Peer: action.Peer, Kind: KindPart, Body: s.parts.part(s.newestTable(), action.Fetch)})
	}
}

func (s *Service) send(message Send) {
	s.metrics.countSent(message.Kind)
	err := s.config.Transport.Send(message.Peer, message.Kind, message.Body)
	if err != nil {
		s.step(func(now time.Time) []Action { return s.node.HandleUnreachable(now, message.Peer) })
	}
}

func (s *Service) readLog(runCtx context.Context, read ReadLog) {
	ctx, cancel := context.WithTimeout(runCtx, readTimeout)
	defer cancel()
	update, err := s.config.Log.Since(ctx, read.After)
	s.metrics.countRead(err)
	if update.Corrupt != nil {
		s.log.WithError(update.Corrupt).Error("configuration entry cannot be read; the whole configuration table is needed")
	}
	s.step(func(now time.Time) []Action { return s.node.HandleRead(now, update, err) })
}

func (s *Service) readHosts(runCtx context.Context) {
	ctx, cancel := context.WithTimeout(runCtx, readTimeout)
	defer cancel()
	hosts, err := s.config.Live.Hosts(ctx)
	s.metrics.countRead(err)
	s.step(func(time.Time) []Action { return s.node.HandleHosts(hosts, err) })
}

func (s *Service) loadFullTable(runCtx context.Context) {
	ctx, cancel := context.WithTimeout(runCtx, loadTimeout)
	defer cancel()
	t, err := s.config.Log.Load(ctx)
	s.metrics.countRead(err)
	s.installFullTable(t, err)
}

// installFullTable installs a full table unless the newest snapshot is at least as
// new, and reports the result to the node.
func (s *Service) installFullTable(t *table.Table, err error) {
	if err != nil {
		s.log.WithError(err).Warn("reading the whole configuration table failed")
		s.step(func(now time.Time) []Action { return s.node.HandleFullTable(now, 0, err) })
		return
	}
	snapshot := table.CompileUnchecked(t)
	s.step(func(now time.Time) []Action {
		actions := s.node.HandleFullTable(now, t.Version, nil)
		if t.Version > s.newest.Version() {
			s.newest = snapshot
			s.publish()
		}
		return actions
	})
}

func (s *Service) newestTable() *table.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.Table()
}
