package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults. All but the first of a group end after Fault.For.
const (
	// KillEntry kills an entry and starts it again, StopEntry lets it shut down first,
	// StopEntryTwice tells it so again meanwhile, FreezeEntry stops its process for a time,
	// ReloadEntry makes it read its settings.
	KillEntry      FaultKind = "kill entry"
	StopEntry      FaultKind = "stop entry"
	StopEntryTwice FaultKind = "stop entry twice"
	FreezeEntry    FaultKind = "freeze entry"
	ReloadEntry    FaultKind = "reload entry"
	// KillAgent and FreezeAgent are the same for an agent.
	KillAgent   FaultKind = "kill agent"
	FreezeAgent FaultKind = "freeze agent"
	// StoreDown makes the store refuse all calls, StoreSilent leave them unanswered,
	// StoreSlow delay them, StoreLosesResponses carry out writes without a response.
	StoreDown           FaultKind = "store down"
	StoreSilent         FaultKind = "store silent"
	StoreSlow           FaultKind = "store slow"
	StoreLosesResponses FaultKind = "store loses responses"
	// StoreRestored makes the store return from a copy that is Fault.For old.
	StoreRestored FaultKind = "store restored"
	// CutFromStore silences the link between a process and the store.
	CutFromStore FaultKind = "cut from store"
	// TargetPauses makes a target refuse with a time, TargetHangs leave requests
	// unanswered, TargetBreaks cut off responses, TargetFails respond with a failure.
	TargetPauses FaultKind = "target pauses"
	TargetHangs  FaultKind = "target hangs"
	TargetBreaks FaultKind = "target breaks off"
	TargetFails  FaultKind = "target fails"
	// TargetCrashes ends a target and starts another incarnation, TargetReplaced lets it
	// say that it leaves first.
	TargetCrashes  FaultKind = "target crashes"
	TargetReplaced FaultKind = "target replaced"
	// LateCommands makes a rank's engine leave commands unanswered and carry them out late.
	LateCommands FaultKind = "late commands"
	// LinkReset resets the connections to a target, LinkDelayed delays them, LinkSilent
	// holds back all bytes.
	LinkReset   FaultKind = "link reset"
	LinkDelayed FaultKind = "link delayed"
	LinkSilent  FaultKind = "link silent"
	// TargetRests makes a target refuse with a time of some seconds, TargetLimits name a limit of
	// requests a second.
	TargetRests  FaultKind = "target rests"
	TargetLimits FaultKind = "target limits its requests"
	// TargetEndless makes a target send bytes without end in place of some responses.
	TargetEndless FaultKind = "target sends bytes without end"
	// NewConfiguration gives out a later version of the configuration.
	NewConfiguration FaultKind = "new configuration"
)

var faultKinds = []FaultKind{
	KillEntry, StopEntry, FreezeEntry, ReloadEntry, KillAgent, FreezeAgent,
	StoreDown, StoreSilent, StoreSlow, StoreLosesResponses, StoreRestored, CutFromStore,
	TargetPauses, TargetHangs, TargetBreaks, TargetFails, TargetCrashes, TargetReplaced,
	LateCommands, LinkReset, LinkDelayed, LinkSilent, NewConfiguration,
}

// noticeKinds are drawn apart from the others, on some days.
var noticeKinds = []FaultKind{TargetRests, TargetLimits}

// Fault is a fault that begins at a time of the day and lasts for a time. Subject selects
// the process, target or link that it concerns; it is taken modulo their number.
type Fault struct {
	At, For time.Duration
	Kind    FaultKind
	Subject int
}

// String describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%5.2f s: %s %d for %.2f s", f.At.Seconds(), f.Kind, f.Subject, f.For.Seconds())
}

// Day is a plan of faults. It begins with warmup and ends with recovery and judged, which are
// free of faults.
type Day struct {
	Seed uint64
	// Trouble is the time in which faults begin.
	Trouble time.Duration
	Faults  []Fault
	// CrashingFrom is when requests with crashingPart begin to come; 0 for not at all.
	CrashingFrom time.Duration
	// Entries is the number of entries of the run.
	Entries int
	// Stops is set if the day has planned work only, so that nothing excuses a request that is cut
	// off. Callers then send slow requests too, and some keep to an entry until it is gone.
	Stops bool
}

const (
	// warmup is the time before the first fault.
	warmup = 2 * time.Second
	// recovery is the time after the last fault in which the system may still recover; it
	// is the platform's bound.
	recovery = 12 * time.Second
	// judged is the time at the end in which every lookup must be served.
	judged = 3 * time.Second
	// grace is the grace period of the settings, in which a process shuts down.
	grace = 6 * time.Second
	// maxFaultTime is the longest time that a fault lasts.
	maxFaultTime = 4 * time.Second
	// minFaultTime is the shortest.
	minFaultTime = 100 * time.Millisecond
	// faultsPerSecond is the mean number of faults that begin in a second.
	faultsPerSecond = 1.2
	// crashingDays is the number of days of which one has requests with crashingPart.
	crashingDays = 3
	// noticeDays is the number of days of which one has noticeFaults faults of noticeKinds. They
	// last noticeTime longer than others.
	noticeDays   = 2
	noticeFaults = 4
	noticeTime   = 4 * time.Second
	// endlessDays is the number of days of which one has endlessFaults faults of TargetEndless.
	endlessDays   = 2
	endlessFaults = 4
)

// DrawDay draws a day from a seed, with faults that begin within the given time.
func DrawDay(seed uint64, trouble time.Duration) Day {
	random := rand.New(rand.NewPCG(seed, 1))
	day := Day{Seed: seed, Trouble: trouble}
	count := max(int(trouble.Seconds()*faultsPerSecond), 1)
	for range count {
		day.Faults = append(day.Faults, Fault{
			At:      warmup + time.Duration(random.Int64N(int64(trouble))),
			For:     minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))),
			Kind:    faultKinds[random.IntN(len(faultKinds))],
			Subject: random.IntN(maxSubjects),
		})
	}
	slices.SortFunc(day.Faults, byTime)
	if random.IntN(crashingDays) == 0 {
		day.CrashingFrom = warmup + time.Duration(random.Int64N(int64(trouble)))
	}
	if random.IntN(noticeDays) == 0 {
		day.Faults = append(day.Faults, drawNotices(random, trouble)...)
	}
	day.Faults = append(day.Faults, drawEndless(random, trouble)...)
	slices.SortFunc(day.Faults, byTime)
	return day
}

// drawEndless draws faults of TargetEndless, on some days.
func drawEndless(random *rand.Rand, trouble time.Duration) []Fault {
	if random.IntN(endlessDays) != 0 {
		return nil
	}
	var faults []Fault
	for range endlessFaults {
		faults = append(faults, Fault{
			At:      warmup + time.Duration(random.Int64N(int64(trouble))),
			For:     time.Second + time.Duration(random.Int64N(int64(maxFaultTime))),
			Kind:    TargetEndless,
			Subject: random.IntN(maxSubjects),
		})
	}
	return faults
}

func byTime(a, b Fault) int { return cmp.Compare(a.At, b.At) }

// drawNotices draws faults of noticeKinds.
func drawNotices(random *rand.Rand, trouble time.Duration) []Fault {
	var faults []Fault
	for range noticeFaults {
		faults = append(faults, Fault{
			At:      warmup + time.Duration(random.Int64N(int64(trouble))),
			For:     noticeTime + time.Duration(random.Int64N(int64(maxFaultTime))),
			Kind:    noticeKinds[random.IntN(len(noticeKinds))],
			Subject: random.IntN(maxSubjects),
		})
	}
	return faults
}

// maxSubjects is a multiple of the number of entries, agents and targets.
const maxSubjects = 12

// LastFaultEnds returns when the last fault has ended, which may be a shutdown.
func (d Day) LastFaultEnds() time.Duration {
	return warmup + d.Trouble + noticeTime + maxFaultTime + grace
}

// Length returns the length of the day.
func (d Day) Length() time.Duration { return d.LastFaultEnds() + recovery + judged }

// String lists the day in full.
func (d Day) String() string {
	var lines []string
	for _, fault := range d.Faults {
		lines = append(lines, fault.String())
	}
	if d.CrashingFrom > 0 {
		lines = append(lines, fmt.Sprintf("%5.2f s: requests with a part that crashes targets, to the end", d.CrashingFrom.Seconds()))
	}
	return fmt.Sprintf("seed %d\n%s", d.Seed, strings.Join(lines, "\n"))
}
