package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TrialTarget returns the target on which a suspect runs on trial, by rendezvous
// hashing: all entries that know the same targets choose the same one. Targets that
// crashed with the suspect in flight are chosen only if there are no others. It
// returns false if there are no targets.
func TrialTarget(fingerprint uint64, targets, crashed []string) (string, bool) {
	best, found := "", false
	var highest uint64
	for _, allowCrashed := range []bool{false, true} {
		for _, target := range targets {
			if !allowCrashed && slices.Contains(crashed, target) {
				continue
			}
			if score := trialScore(fingerprint, target); !found || score > highest {
				best, highest, found = target, score, true
			}
		}
		if found {
			return best, true
		}
	}
	return "", false
}

func trialScore(fingerprint uint64, target string) uint64 {
	key := binary.LittleEndian.AppendUint64(nil, fingerprint)
	return xxhash.Sum64(append(key, target...))
}

// trialInterval is the least time between two trials of a suspect, and from the start of a
// process to its first one. It is longer than evidence takes to arrive.
const trialInterval = 2 * time.Second

const (
	// trialRanks is the number of ranks whose processes may begin trials at once.
	trialRanks = 2
	// maxTrials is the number of trials of a suspect that all processes begin together before
	// they wait for lateTrialInterval.
	maxTrials = 3
	// lateTrialInterval is the time from the latest trial of a prompt part to a further one when
	// maxTrials have shown neither that the part runs nor that it crashes targets.
	lateTrialInterval = 10 * time.Second
	// trialTurn is how much longer a process waits for each other one that has requests with a
	// suspect too and comes first. By then it has heard of a trial that the other one began.
	trialTurn = time.Second
	// maxTrialTurns bounds the number of processes that are waited for.
	maxTrialTurns = 4
	// wantTTL is how long after its latest request with a suspect a process counts as having some.
	wantTTL = trialInterval
	// wantMemory is how long after its latest request with a suspect a process keeps its place among those
	// that have such requests. Requests may come at longer intervals than wantTTL.
	wantMemory = time.Minute
	// maxTrialRuns is the number of trials of a suspect that are kept, those that count first.
	maxTrialRuns = 8
	// maxTrialSlots is the number of ranks that TrialEvidence.Begun counts. Ranks from there on share
	// the last place.
	maxTrialSlots = 64
)

// trialRun is a trial that a process has begun.
type trialRun struct {
	id   uint64
	rank int
	at   time.Time
	// unsent is set if the request did not reach a target, so that the trial doesn't count.
	unsent bool
}

// trialWant is that a process has requests with a suspect that it may not run.
type trialWant struct {
	rank int
	// latest is when it had the latest request, since when the first one after a pause of wantTTL, known
	// when the first one after a pause of wantMemory.
	latest, since, known time.Time
}

// suspectTrials is what is known of the trials of one suspect at all processes.
type suspectTrials struct {
	// runs are sorted by time. latestOwn is the ID of the latest that this process has begun.
	runs      []trialRun
	latestOwn uint64
	// own is what this process wants, others what those want that come before others, by process.
	own    trialWant
	others map[uint64]trialWant
}

// TrialAllowance returns how many trials of a suspect processes may begin at once that have the
// given rank, from 0, among all processes, without regard to the others. The allowances add up
// to maxTrials, so that a request that crashes every target is not tried without end by processes
// that see different evidence; that of the second rank is for the time when the first one is down.
func TrialAllowance(rank int) int { return max(trialRanks-rank, 0) }

// lateTrialDelay returns how long a process without an allowance, which has requests with a suspect,
// waits for those that have one, and for others that have such requests, the given number of which
// come before it. It does not depend on how many processes there are: callers use some of them only.
func lateTrialDelay(before int) time.Duration {
	return trialInterval + time.Duration(min(before, maxTrialTurns))*trialTurn
}

// slotOf returns the place of a rank in TrialEvidence.Begun.
func slotOf(rank int) int { return min(rank, maxTrialSlots-1) }

// count returns how many trials count that match.
func (t *suspectTrials) count(match func(trialRun) bool) int {
	count := 0
	for _, run := range t.runs {
		if !run.unsent && match(run) {
			count++
		}
	}
	return count
}

func anyRun(trialRun) bool { return true }

// last returns when the latest trial that counts began, zero if there is none.
func (t *suspectTrials) last() time.Time {
	for _, run := range slices.Backward(t.runs) {
		if !run.unsent {
			return run.at
		}
	}
	return time.Time{}
}

// changedAt returns when the latest trial began, or a process last wanted one.
func (t *suspectTrials) changedAt() time.Time {
	latest := t.own.latest
	for _, run := range t.runs {
		latest = later(latest, run.at)
	}
	return latest
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// before returns how many other processes come before one of the given rank and have had requests with
// the suspect within the given time.
func (t *suspectTrials) before(rank int, within time.Duration, now time.Time) int {
	count := 0
	for _, want := range t.others {
		if want.rank < rank && now.Sub(want.latest) < within {
			count++
		}
	}
	return count
}

// mayBegin reports whether a process of the given rank may begin a trial now. again is set if there
// may be more than maxTrials, at long intervals.
func (t *suspectTrials) mayBegin(rank int, again bool, now time.Time) bool {
	last := t.last()
	if now.Sub(last) < trialInterval {
		return false
	}
	if t.count(anyRun) >= maxTrials && (!again || now.Sub(last) < lateTrialInterval) {
		return false
	}
	if t.count(func(run trialRun) bool { return run.rank == rank }) < TrialAllowance(rank) {
		return true
	}
	// The results of trials may be lost, and processes of lower ranks have no request with it.
	return t.isItsTurn(rank, last, now)
}

// isItsTurn reports whether a process without an allowance has waited long enough, for its requests since
// the latest trial, to begin one: as all that come first among those with frequent requests would have done
// by now, or as the very first of all. Only the first one may have waited since a request long ago: after a
// pause, requests may come at many processes at once, which have not heard of each other's yet.
func (t *suspectTrials) isItsTurn(rank int, last, now time.Time) bool {
	if t.own.latest.IsZero() {
		return false
	}
	if now.Sub(later(t.own.since, last)) >= lateTrialDelay(t.before(rank, wantTTL, now)) {
		return true
	}
	return t.before(rank, wantMemory, now) == 0 && now.Sub(later(t.own.known, last)) >= lateTrialDelay(0)
}

// want records that this process has a request with the suspect. It reports whether other
// processes should hear of it.
func (t *suspectTrials) want(rank int, now time.Time) bool {
	begins := t.own.latest.IsZero() || now.Sub(t.own.latest) >= wantTTL
	if begins {
		t.own.since = now
	}
	if t.own.latest.IsZero() || now.Sub(t.own.latest) >= wantMemory {
		t.own.known = now
	}
	t.own.rank, t.own.latest = rank, now
	return begins
}

// add adds a trial, or what has become known of it, and reports whether that changed anything.
func (t *suspectTrials) add(added trialRun) bool {
	if slices.ContainsFunc(t.runs, func(run trialRun) bool { return run.id == added.id }) {
		return added.unsent && t.markUnsent(added.id)
	}
	t.runs = append(t.runs, added)
	slices.SortFunc(t.runs, func(a, b trialRun) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
	for len(t.runs) > maxTrialRuns {
		dropped := max(slices.IndexFunc(t.runs, func(run trialRun) bool { return run.unsent }), 0)
		t.runs = slices.Delete(t.runs, dropped, dropped+1)
	}
	return true
}

// begin records a trial that this process begins.
func (t *suspectTrials) begin(id uint64, rank int, now time.Time) {
	t.latestOwn = id
	t.add(trialRun{id: id, rank: rank, at: now})
}

// markUnsent records that the request of a trial did not reach a target.
func (t *suspectTrials) markUnsent(id uint64) bool {
	n := slices.IndexFunc(t.runs, func(run trialRun) bool { return run.id == id })
	if n < 0 || t.runs[n].unsent {
		return false
	}
	t.runs[n].unsent = true
	return true
}

// addWant adds what another process wants. Only those that come first are kept.
func (t *suspectTrials) addWant(process uint64, want trialWant) {
	if t.others == nil {
		t.others = map[uint64]trialWant{}
	}
	if want.latest.After(t.others[process].latest) {
		t.others[process] = want
	}
	for len(t.others) > maxTrialTurns {
		delete(t.others, t.lastWanting())
	}
}

// lastWanting returns the process of others to drop: one without a recent request, or of the highest rank.
func (t *suspectTrials) lastWanting() uint64 {
	newest := time.Time{}
	for _, want := range t.others {
		newest = later(newest, want.latest)
	}
	processes := slices.Collect(maps.Keys(t.others))
	return slices.MaxFunc(processes, func(a, b uint64) int {
		left, right := t.others[a], t.others[b]
		return cmp.Or(
			compareBool(newest.Sub(left.latest) >= wantTTL, newest.Sub(right.latest) >= wantTTL),
			cmp.Compare(left.rank, right.rank), cmp.Compare(a, b),
		)
	})
}

// evidence returns what other processes are told of the trials.
func (t *suspectTrials) evidence(suspect, process uint64, now time.Time) TrialEvidence {
	e := TrialEvidence{Fingerprint: suspect}
	for _, run := range t.runs {
		e.Runs = append(e.Runs, TrialRun{ID: run.id, Rank: run.rank, AgeMillis: now.Sub(run.at).Milliseconds(), Unsent: run.unsent})
		for len(e.Begun) <= slotOf(run.rank) {
			e.Begun = append(e.Begun, 0)
		}
		if !run.unsent {
			e.Begun[slotOf(run.rank)]++
		}
	}
	wants := maps.Clone(t.others)
	if wants == nil {
		wants = map[uint64]trialWant{}
	}
	if !t.own.latest.IsZero() {
		wants[process] = t.own
	}
	for _, id := range slices.Sorted(maps.Keys(wants)) {
		if age := now.Sub(wants[id].latest); age < wantMemory {
			e.Wants = append(e.Wants, TrialWant{Process: id, Rank: wants[id].rank, AgeMillis: age.Milliseconds()})
		}
	}
	return e
}

// merge takes over what a peer reports, and reports whether it knew of further trials.
func (t *suspectTrials) merge(reported TrialEvidence, process uint64, now time.Time) bool {
	changed := false
	for _, run := range reported.runs() {
		at := now.Add(-parseAge(run.AgeMillis))
		changed = t.add(trialRun{id: run.ID, rank: max(run.Rank, 0), at: at, unsent: run.Unsent}) || changed
	}
	for _, want := range reported.Wants[:min(len(reported.Wants), maxTrialTurns+1)] {
		if want.Process != process {
			t.addWant(want.Process, trialWant{rank: max(want.Rank, 0), latest: now.Add(-parseAge(want.AgeMillis))})
		}
	}
	return changed
}

// Trial limits a target to one suspect at a time; each agent has one. It is not safe
// for concurrent use.
type Trial struct {
	running bool
	current uint64
}

// Begin starts the trial of a fingerprint. It returns false if one is running.
func (t *Trial) Begin(fingerprint uint64) bool {
	if t.running {
		return false
	}
	t.running, t.current = true, fingerprint
	return true
}

// End ends the running trial.
func (t *Trial) End() { t.running = false }

// Current returns the fingerprint on trial, or nil if there is none, for
// Crash.OnTrial.
func (t *Trial) Current() []uint64 {
	if !t.running {
		return nil
	}
	return []uint64{t.current}
}
