package poison

import "time"

// storedRow is the evidence that the entry of a rank has written to the store.
type storedRow struct {
	evidence Evidence
	at       time.Time
}

// share sends an entry's new evidence to the others and has it written to the store.
func (s *entriesSim) share(e *simEntry) {
	s.heartbeat(e)
	if e.writeAt.IsZero() {
		e.writeAt = s.clock.Now().Add(simStoreLag)
	}
}

// writeEvidence writes the rows of the store that are due.
func (s *entriesSim) writeEvidence() {
	now := s.clock.Now()
	for _, e := range s.entries {
		if e.writeAt.IsZero() || now.Before(e.writeAt) {
			continue
		}
		e.writeAt = time.Time{}
		if evidence := e.tracker.Restricted(simRestrictedCrashes); !evidence.IsEmpty() {
			s.stored[e.rank] = storedRow{evidence, now}
		}
	}
}

func (s *entriesSim) heartbeats() {
	for _, from := range s.entries {
		s.heartbeat(from)
	}
}

// heartbeat sends a heartbeat to all other entries.
func (s *entriesSim) heartbeat(from *simEntry) {
	now := s.clock.Now()
	evidence := from.tracker.Recent(simEvidenceItems, simEvidenceSpan)
	if s.scenario.fault != onlyNewestCrashes {
		evidence.Append(from.tracker.NextCrash())
		if now.Sub(from.restrictedSent) >= simRestrictedInterval {
			from.restrictedSent = now
			evidence.Append(from.tracker.Restricted(simRestrictedCrashes))
		}
	}
	if s.scenario.fault == trialsNotShared {
		evidence.Trials = nil
	}
	for _, to := range s.entries {
		if to != from && s.random.Float64() >= s.scenario.lossShare {
			to.tracker.Merge(evidence)
		}
	}
}
