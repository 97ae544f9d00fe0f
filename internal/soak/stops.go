package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// stopInterval is the mean time between two stops of a day of planned work.
	stopInterval = 1500 * time.Millisecond
	// secondSignal is when the second signal of StopEntryTwice comes.
	secondSignal = 1500 * time.Millisecond
	// minSlowWork and maxSlowWork bound how long slow requests take. With the route's timeout, which
	// is a little longer, they end within a grace period that has just begun.
	minSlowWork = 300 * time.Millisecond
	maxSlowWork = 1800 * time.Millisecond
	// drainTime is how long a target that is replaced says so before it exits.
	drainTime = 2 * time.Second
)

// DrawStopDay draws a day of planned work from a seed: stops of entries in series that overlap, with
// reloads, configurations and replaced targets meanwhile, and on some days targets that send bytes without end.
func DrawStopDay(seed uint64, trouble time.Duration) Day {
	random := rand.New(rand.NewPCG(seed, 3))
	day := Day{Seed: seed, Trouble: trouble, Stops: true}
	for range max(int(trouble/stopInterval), 1) {
		stop := Fault{
			At:   warmup + time.Duration(random.Int64N(int64(trouble))),
			For:  minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))),
			Kind: []FaultKind{StopEntry, StopEntryTwice}[random.IntN(2)], Subject: random.IntN(maxSubjects),
		}
		meanwhile := Fault{
			At:   stop.At + time.Duration(random.Int64N(int64(grace))),
			Kind: []FaultKind{ReloadEntry, NewConfiguration, TargetReplaced}[random.IntN(3)], Subject: stop.Subject,
		}
		if meanwhile.Kind == TargetReplaced {
			meanwhile.For = drainTime
		}
		day.Faults = append(day.Faults, stop, meanwhile)
	}
	day.Faults = append(day.Faults, drawEndless(random, trouble)...)
	slices.SortFunc(day.Faults, byTime)
	return day
}

// stopTwice tells an entry to stop, and again a little later, and starts it again after a pause.
func (s *system) stopTwice(entry *process, pause time.Duration) {
	again := time.AfterFunc(secondSignal, func() {
		// An error means that the process has exited.
		_ = entry.signal(syscall.SIGTERM)
	})
	defer again.Stop()
	s.restart(entry, syscall.SIGTERM, pause)
}

// runStopCallers sends slow requests, and has callers keep to each entry until it is gone.
func (s *system) runStopCallers(run func(*caller), day Day) {
	seed := day.Seed << 8
	next := func(kind requestKind) *caller {
		seed++
		return newCaller(kind, s.records, seed, s.directories, s.callerAddresses, func() bool { return false })
	}
	for _, kind := range []requestKind{slowLookup, slowOrder} {
		for range callersPerKind / 2 {
			run(next(kind))
		}
		for entry := range s.callerAddresses {
			c := next(kind)
			c.entries, c.pinned = s.callerAddresses, s.callerAddresses[entry]
			run(c)
		}
	}
}

// path returns the path of the caller's next request.
func (c *caller) path() string {
	if c.kind != slowLookup && c.kind != slowOrder {
		return paths[c.kind]
	}
	work := minSlowWork + time.Duration(c.random.Int64N(int64(maxSlowWork-minSlowWork)))
	return fmt.Sprintf("%s?%s=%d", paths[c.kind], standin.WorkParameter, work.Milliseconds())
}

// checkCuts checks that no request that ran was cut off on a day of planned work.
func (r *records) checkCuts(executed []standin.ExecutedRequest, day Day) {
	if !day.Stops {
		return
	}
	reported := map[string]bool{}
	for _, request := range executed {
		sent := r.sentAttempt(request.AttemptID)
		if cut, wasCut := r.cutOf(sent.id); wasCut && !reported[sent.id] {
			reported[sent.id] = true
			r.broken(StopCutsNothing, "%s to entry %d ran and had no whole answer: %v", sent.id, sent.entry, cut)
		}
	}
}
