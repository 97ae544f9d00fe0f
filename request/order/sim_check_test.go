package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"verbenaseam.example/verbenaseam/process/failure"
)

// simCall is one call of a caller and its result.
type simCall struct {
	id         int
	key        string
	body       [32]byte
	start, end time.Time
	returned   bool
	outcome    failure.Outcome
	kind       failure.Kind
	answer     string
	faultFree  bool // made after all faults were over
}

// orderName returns the key of an order, or a name derived from the call for an
// order without a key.
func orderName(key string, callID int) string {
	if key == "" || key[0] == unrecordedKeyPrefix[0] {
		return fmt.Sprintf("call-%d", callID)
	}
	return key
}

// scheduleCall schedules a caller's request to an entry. If that entry is
// unavailable, the request goes to the next one.
func (sim *simulation) scheduleCall(wait time.Duration, entry int, key string, body byte, faultFree bool) {
	c := &simCall{id: len(sim.history), key: orderName(key, len(sim.history)), faultFree: faultFree}
	c.body[0] = body
	sim.history = append(sim.history, c)
	sim.schedule(wait, func() {
		c.start = sim.now
		c.faultFree = c.faultFree && sim.faultsOver()
		e := sim.entries[entry]
		for i := 0; e.unavailable(sim.now) && i < simEntries; i++ {
			e = sim.entries[(entry+i)%simEntries]
		}
		if e.killed {
			return
		}
		c.faultFree = c.faultFree && !e.unavailable(sim.now)
		e.spawn(func() {
			e.callIDs[sim.current] = c.id
			timeout := simTimeout
			if faultFree {
				timeout = simFaultFreeTimeout
			}
			answer, err := e.coordinator.Run(context.Background(), Request{
				Organisation: "himal", Key: key, Fingerprint: c.body, Payload: c.body, Timeout: timeout,
			})
			c.complete(sim.now, answer, err)
		})
	})
}

// unavailable reports whether the entry is killed or paused.
func (e *simEntry) unavailable(now time.Time) bool { return e.killed || now.Before(e.pausedUntil) }

// faultsOver reports whether all faults have occurred and the table is available.
func (sim *simulation) faultsOver() bool {
	for operation := range sim.faults {
		if operation >= sim.operations {
			return false
		}
	}
	return !sim.now.Before(sim.outageEnd)
}

// complete stores the result of the call.
func (c *simCall) complete(now time.Time, answer Answer, err error) {
	c.end, c.returned = now, true
	if err == nil {
		c.outcome, c.answer = failure.Done, string(answer.Result.Body)
		return
	}
	var failed *failure.Error
	if !errors.As(err, &failed) {
		panic(err)
	}
	c.outcome, c.kind = failed.Outcome, failed.Kind
}

// violation describes the first violated guarantee, or returns an empty string.
func (sim *simulation) violation() string {
	for i, r := range sim.runs {
		if late := r.at.Sub(r.expires); late > 0 {
			return fmt.Sprintf("key %s ran %s after its record expired", r.key, late)
		}
		for _, earlier := range sim.runs[:i] {
			if earlier.key == r.key && r.created.Before(earlier.expires) {
				return fmt.Sprintf("key %s ran twice in one lifetime of its record", r.key)
			}
		}
	}
	for _, c := range sim.history {
		if text := sim.checkCall(c); text != "" {
			return fmt.Sprintf("call %d: %s", c.id, text)
		}
	}
	return sim.checkLinearizable()
}

// checkCall checks the result of one call against the actual runs.
func (sim *simulation) checkCall(c *simCall) string {
	switch {
	case !c.returned:
		return ""
	case c.outcome == failure.NotRun:
		return sim.checkNotRun(c)
	case c.outcome == failure.Done:
		for _, r := range sim.runs {
			if r.id == c.answer && r.key == c.key && r.body == c.body {
				return ""
			}
		}
		return "reported done with an answer that no run of this order gave"
	case c.faultFree && c.outcome == failure.Unknown && c.kind != failure.OutcomeUnknown:
		return fmt.Sprintf("no decision after all faults were over: %s", c.kind)
	}
	return ""
}

// checkNotRun checks a call that was told that its order did not run. Its own
// attempts must never run, at any time. No earlier run of the key may fall into
// the same record lifetime, unless the call was rejected regardless of the key's
// record.
func (sim *simulation) checkNotRun(c *simCall) string {
	if c.faultFree && c.kind != failure.IdempotencyConflict {
		return fmt.Sprintf("not run after all faults were over: %s", c.kind)
	}
	for _, r := range sim.runs {
		if r.key != c.key {
			continue
		}
		if r.callID == c.id {
			return "reported not run, but its own attempt ran"
		}
		if r.at.Before(c.start) && c.start.Before(r.expires) && !c.ignoresEarlierRuns() {
			return "reported not run after the order had run"
		}
	}
	return ""
}

// ignoresEarlierRuns reports whether the call's result says nothing about earlier
// runs of the key: the platform was unavailable, or the key belongs to another
// request.
func (c *simCall) ignoresEarlierRuns() bool {
	return c.kind == failure.PlatformUnavailable || c.kind == failure.IdempotencyConflict
}

// modelInput is one step of the model: a run, or the result of a call.
type modelInput struct {
	run     bool
	id      string
	outcome failure.Outcome
}

// orderModel is the specification of one key: at most one run, whose id is the
// state. Calls that report done return that run, and calls that report not run
// precede it.
var orderModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		in, ran := input.(modelInput), state.(string)
		switch {
		case in.run:
			return ran == "", in.id
		case in.outcome == failure.Done:
			return ran == in.id, ran
		case in.outcome == failure.NotRun:
			return ran == "", ran
		default:
			return true, ran
		}
	},
}

// checkLinearizable checks that the history of each key is linearizable. Keys
// whose runs fall into several record lifetimes are left out, and so are calls made
// after the first lifetime.
func (sim *simulation) checkLinearizable() string {
	byKey := map[string][]porcupine.Operation{}
	lastCreated := map[string]time.Time{}
	severalLifetimes := map[string]bool{}
	add := func(key string, client int, in modelInput, start, end time.Time) {
		byKey[key] = append(byKey[key], porcupine.Operation{
			ClientId: client, Input: in, Call: start.Sub(sim.start).Nanoseconds(), Return: end.Sub(sim.start).Nanoseconds(),
		})
	}
	for i, r := range sim.runs {
		created, known := lastCreated[r.key]
		severalLifetimes[r.key] = severalLifetimes[r.key] || known && !created.Equal(r.created)
		lastCreated[r.key] = r.created
		add(r.key, 100+i, modelInput{run: true, id: r.id}, r.at, r.at)
	}
	for _, c := range sim.history {
		if c.returned && !c.ignoresEarlierRuns() && c.start.Before(sim.start.Add(simRetention)) {
			add(c.key, c.id, modelInput{id: c.answer, outcome: c.outcome}, c.start, c.end)
		}
	}
	for key, operations := range byKey {
		if !severalLifetimes[key] && !porcupine.CheckOperations(orderModel, operations) {
			return fmt.Sprintf("key %s: history is not linearizable", key)
		}
	}
	return ""
}
