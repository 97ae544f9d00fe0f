package soak

import (
	"net/http"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// writtenAgain is how long after a restoration operators and targets write their rows
	// again.
	writtenAgain = time.Second
	// lateCommandDelay is how late an engine carries out commands that it left unanswered.
	lateCommandDelay = 2 * time.Second
	// lateCommands is how many commands an engine leaves unanswered at most.
	lateCommands = 20
	// lostResponses is how many responses the store loses.
	lostResponses = 5
	// storeDelay is the delay of a slow store.
	storeDelay = 300 * time.Millisecond
	// pauseSeconds is the pause that a target asks for.
	pauseSeconds = "0.5"
	// restSeconds is the pause that a target asks for which rests, limitPerSecond the limit that
	// one names.
	restSeconds, limitPerSecond = "3", "2"
	// endlessEach is how many requests a target gets for one that it answers with bytes without end.
	endlessEach = 5
	// breakAfter is the number of events after which a target cuts off a stream.
	breakAfter = 5
	// staleRegistration is how long the registration of a crashed target stays.
	staleRegistration = 500 * time.Millisecond
)

// inject lets a fault happen, and returns when it has ended.
func (s *system) inject(f Fault) {
	entry, agent := s.entries[f.Subject%len(s.entries)], s.agents[f.Subject%len(s.agents)]
	switch f.Kind {
	case KillEntry:
		s.restart(entry, syscall.SIGKILL, f.For)
	case StopEntry:
		s.restart(entry, syscall.SIGTERM, f.For)
	case StopEntryTwice:
		s.stopTwice(entry, f.For)
	case FreezeEntry:
		freeze(entry, f.For)
	case ReloadEntry:
		// An error means that the process is down at the moment.
		_ = entry.signal(syscall.SIGHUP)
	case KillAgent:
		s.restart(agent, syscall.SIGKILL, f.For)
	case FreezeAgent:
		freeze(agent, f.For)
	case NewConfiguration:
		s.newConfiguration()
	case LateCommands:
		rank := s.rankTargets[f.Subject%len(s.rankTargets)]
		rank.SetRankFaults(standin.RankFaults{LostCommands: lateCommands, DelayLostCommands: true, Delay: lateCommandDelay, Silent: true})
		time.Sleep(f.For)
		rank.SetRankFaults(standin.RankFaults{})
	default:
		s.injectIntoStore(f)
		s.injectIntoTarget(f)
	}
}

// freeze stops a process for a time.
func freeze(p *process, d time.Duration) {
	// Errors mean that the process is down at the moment.
	_ = p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.signal(syscall.SIGCONT)
}

func (s *system) injectIntoStore(f Fault) {
	faults := map[FaultKind]standin.StoreFaults{
		StoreDown: {Status: http.StatusServiceUnavailable}, StoreSilent: {Unresponsive: true},
		StoreSlow: {Delay: storeDelay}, StoreLosesResponses: {LostResponses: lostResponses},
	}
	switch f.Kind {
	case StoreRestored:
		s.restoreStore(f.For)
	case CutFromStore:
		during(s.storeLinks[f.Subject%len(s.storeLinks)], linkSilent, f.For)
	default:
		if chosen, isStoreFault := faults[f.Kind]; isStoreFault {
			s.store.SetFaults(chosen)
			time.Sleep(f.For)
			s.store.SetFaults(standin.StoreFaults{})
		}
	}
}

// restoreStore makes the store return from a copy of the given age. Operators and targets
// write their rows again.
func (s *system) restoreStore(age time.Duration) {
	s.store.Copy()
	time.Sleep(age)
	s.store.Restore()
	time.Sleep(writtenAgain)
	s.mu.Lock()
	s.putConfiguration()
	s.mu.Unlock()
	for _, target := range s.plain {
		target.registerAgain()
	}
}

// during sets the mode of a link for a time.
func during(link *proxy, mode linkMode, d time.Duration) {
	link.setMode(mode)
	time.Sleep(d)
	link.setMode(linkOpen)
}

func (s *system) injectIntoTarget(f Fault) {
	target := s.plain[f.Subject%len(s.plain)]
	faults := map[FaultKind]standin.TargetFaults{
		TargetPauses: {Refuse: true, RetryAfter: pauseSeconds}, TargetHangs: {Hang: true},
		TargetBreaks: {BreakAfter: breakAfter}, TargetFails: {Status: http.StatusInternalServerError},
		TargetEndless: {EndlessEach: endlessEach},
		TargetRests:   {Refuse: true, RetryAfter: restSeconds}, TargetLimits: {Limit: limitPerSecond},
	}
	switch f.Kind {
	case TargetCrashes:
		s.replace(target, f.For)
	case TargetReplaced:
		target.setFaults(standin.TargetFaults{Leaving: true})
		time.Sleep(f.For)
		s.replace(target, 0)
	case LinkReset:
		target.link.resetAll()
	case LinkDelayed:
		during(target.link, linkDelayed, f.For)
	case LinkSilent:
		during(target.link, linkSilent, f.For)
	default:
		if chosen, isTargetFault := faults[f.Kind]; isTargetFault {
			setFaults := s.faultSetter(f.Subject)
			setFaults(chosen)
			time.Sleep(f.For)
			setFaults(standin.TargetFaults{})
		}
	}
}

// faultSetter returns the function that sets the faults of a target, of either service.
func (s *system) faultSetter(subject int) func(standin.TargetFaults) {
	n := subject % (len(s.plain) + len(s.rankTargets))
	if n < len(s.plain) {
		return s.plain[n].setFaults
	}
	return s.rankTargets[n-len(s.plain)].SetFaults
}

// replace ends a target's incarnation and starts the next one after a pause. The platform
// removes the registration of the one that ended after a while.
func (s *system) replace(target *plainTarget, pause time.Duration) {
	target.replacing.Lock()
	defer target.replacing.Unlock()
	ended := target.crash()
	time.Sleep(max(pause, staleRegistration))
	s.store.Delete(platform.TableTargets, ended)
	if err := target.start(); err != nil {
		s.records.broken(StandinsWork, "the stand-in of a target did not start again: %v", err)
	}
}
