package poison

import (
	"encoding/binary"
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

// trialRanks is the number of ranks whose processes may begin trials.
const trialRanks = 2

// trialCounts counts the trials of one suspect that all processes have begun.
type trialCounts struct {
	// begun counts them by the rank of the process. A process counts on from what earlier
	// processes of its rank began.
	begun [trialRanks]int
	// last is when this process began, or heard of, the latest trial.
	last time.Time
}

// TrialAllowance returns how many trials of a suspect processes may begin that have the
// given rank, from 0, among all processes. The allowances add up to 3, so that a
// request that crashes every target is not tried without end by processes that see
// different evidence; that of the second rank is for the time when the first one is down.
func TrialAllowance(rank int) int { return max(trialRanks-rank, 0) }

// merge takes over the counts that a peer reports, and reports whether any was higher.
func (c *trialCounts) merge(begun []int, now time.Time) bool {
	changed := false
	for rank, count := range begun[:min(len(begun), trialRanks)] {
		if count > c.begun[rank] {
			c.begun[rank] = count
			c.last = now
			changed = true
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
