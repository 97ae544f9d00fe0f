package order

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"verbenaseam.example/verbenaseam/process/platform"
)

// fault is the fault injected at one operation, which is one message of an entry
// to the table or to an agent.
type fault uint8

const (
	faultNone fault = iota
	faultLostRequest
	faultLostReply
	faultDelay
	faultDuplicate
	faultEntryCrash
	faultEntryCrashAfterCall
	faultAgentCrash
	faultEngineCrash
	faultOutage
	faultEntryPause // may outlast the call's deadline and the record's lifetime
	faultKinds
)

var faultNames = []string{"none", "lost request", "lost reply", "delay", "duplicate", "entry crash",
	"entry crash after call", "agent crash", "engine crash", "table outage", "entry pause"}

var errSimTimeout = eris.New("simulated timeout")

// startOperation counts an operation of an entry and applies its fault, unless the
// fault concerns the message itself. It returns the fault.
func (sim *simulation) startOperation(e *simEntry) fault {
	kind := sim.faults[sim.operations]
	sim.operations++
	switch kind {
	case faultEntryCrash:
		sim.schedule(0, e.kill)
		sim.block()
	case faultAgentCrash:
		sim.agents[sim.lastPlaced].crash()
	case faultEngineCrash:
		sim.agents[sim.lastPlaced].crashEngine()
	case faultOutage:
		sim.outageEnd = sim.now.Add(3 * time.Second)
	case faultEntryPause:
		pause := sim.randomDuration(simTimeout/2, 2*simRetention)
		if until := sim.now.Add(pause); until.After(e.pausedUntil) {
			e.pausedUntil = until
		}
		sim.sleep(pause)
	}
	return kind
}

// rpc sends a message and waits for its answer or the timeout. It passes handle a
// function that sends the answer, now or later.
func (sim *simulation) rpc(e *simEntry, timeout time.Duration, handle func(answer func())) (answered bool) {
	kind := sim.startOperation(e)
	caller, finished := sim.current, false
	finish := func(ok bool) {
		if !finished {
			finished, answered = true, ok
			sim.resume(caller)
		}
	}
	deliver := func() {
		handle(func() {
			if kind != faultLostReply {
				sim.schedule(sim.latency(), func() { finish(true) })
			}
		})
	}
	switch kind {
	case faultLostRequest:
	case faultDelay:
		sim.schedule(timeout+sim.randomDuration(0, 2*simRetention), deliver)
	case faultDuplicate:
		sim.schedule(sim.latency(), deliver)
		sim.schedule(sim.randomDuration(0, 2*simRetention), deliver)
	default:
		sim.schedule(sim.latency(), deliver)
	}
	sim.schedule(timeout, func() { finish(false) })
	sim.block()
	if kind == faultEntryCrashAfterCall {
		sim.schedule(0, e.kill)
		sim.block()
	}
	return answered
}

// simTable is the platform's table as seen by one entry.
type simTable struct{ e *simEntry }

func (t simTable) Get(ctx context.Context, keys ...string) (rows []platform.Row, err error) {
	sim := t.e.sim
	answered := sim.rpc(t.e, platformCallTimeout, func(answer func()) {
		if err = sim.outage(); err == nil {
			rows, err = sim.table.Get(ctx, keys...)
		}
		answer()
	})
	if !answered {
		return nil, &platform.UnavailableError{}
	}
	return rows, err
}

// Read implements Reader.
func (t simTable) Read(ctx context.Context, row string) (platform.Row, bool, error) {
	rows, err := t.Get(ctx, row)
	if err != nil || len(rows) == 0 {
		return platform.Row{}, false, err
	}
	return rows[0], true, nil
}

func (t simTable) Era() uint64 { return t.e.sim.table.Era() }

func (t simTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return t.e.sim.table.Scan(ctx, prefix, after, limit)
}

func (t simTable) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	sim := t.e.sim
	var result platform.TxnResult
	var err error
	first := true
	answered := sim.rpc(t.e, platformCallTimeout, func(answer func()) {
		if failed := sim.outage(); failed != nil {
			if first {
				err = failed
			}
		} else if got, failed := sim.table.Commit(context.Background(), txn); first {
			result, err = got, failed
		}
		first = false
		answer()
	})
	if !answered {
		return platform.TxnResult{}, &platform.UnknownEffectError{}
	}
	return result, err
}

// outage returns an error while the table is unavailable.
func (sim *simulation) outage() error {
	if sim.now.Before(sim.outageEnd) {
		return &platform.UnavailableError{}
	}
	return nil
}

// simAgent is the simulated agent and engine of one target.
type simAgent struct {
	sim           *simulation
	name          string
	rate          float64 // of its clock, relative to the virtual clock
	starts        int     // of the agent
	engineCrashes int
	execution     *ExecutionTracker
	clock         *clockwork.FakeClock
	startedAt     time.Time
	running       map[string]Attempt // by nonce
	readings      []reading
}

// reading is an agent's clock as observed by an entry.
type reading struct {
	incarnation string
	clock       AgentClock
}

func (a *simAgent) incarnation() string { return fmt.Sprintf("%s/%d", a.name, a.starts) }

func (a *simAgent) restart() {
	a.starts++
	a.clock = clockwork.NewFakeClock()
	a.startedAt = a.sim.now
	a.running = map[string]Attempt{}
	a.execution = NewExecutionTracker(ExecutionTrackerConfig{
		Incarnation: a.incarnation(), Clock: a.clock, MaxTrackedAttempts: 4, ResultRetention: simStartWindow,
	})
}

func (a *simAgent) crash() { a.restart() }

// crashEngine crashes the engine; the runs under way are lost.
func (a *simAgent) crashEngine() {
	a.engineCrashes++
	for _, attempt := range a.running {
		a.advanceClock().Finish(attempt, Reply{State: ExecutionOutcomeUnknown})
	}
	a.running = map[string]Attempt{}
}

// advanceClock advances the agent's clock to the current time and returns the
// agent's ExecutionTracker.
func (a *simAgent) advanceClock() *ExecutionTracker {
	agentTime := time.Duration(float64(a.sim.now.Sub(a.startedAt)) * a.rate)
	a.clock.Advance(agentTime - a.execution.Time())
	return a.execution
}

// Place implements Dispatcher. It uses the latest or the previous reading of the
// chosen agent's clock, so that a placement may name an old incarnation.
func (e *simEntry) Place(_ context.Context, _ Request, exclude []string) (Placement, error) {
	sim := e.sim
	first := sim.rng.IntN(len(sim.agents))
	for i := range sim.agents {
		index := (first + i) % len(sim.agents)
		agent := sim.agents[index]
		if !contains(exclude, agent.name) {
			sim.lastPlaced = index
			seen := ObserveAgentClock(agent.advanceClock().Time(), sim.now)
			agent.readings = append(agent.readings, reading{agent.incarnation(), seen})
			known := agent.readings[max(0, len(agent.readings)-1-sim.rng.IntN(2))]
			return Placement{Target: agent.name, Incarnation: known.incarnation, AgentTime: known.clock.LowerBound(sim.now)}, nil
		}
	}
	return Placement{}, ErrNoTarget
}

func contains(list []string, name string) bool {
	for _, element := range list {
		if element == name {
			return true
		}
	}
	return false
}

func (sim *simulation) agent(name string) *simAgent {
	for _, agent := range sim.agents {
		if agent.name == name {
			return agent
		}
	}
	return nil
}

// Dispatch implements Dispatcher.
func (e *simEntry) Dispatch(_ context.Context, dispatch Dispatch) (reply Reply, err error) {
	sim := e.sim
	if _, known := sim.origins[dispatch.Attempt.Nonce]; !known { // an order without a key
		sim.origins[dispatch.Attempt.Nonce] = attemptOrigin{callID: e.callIDs[sim.current], expires: sim.start.Add(time.Hour)}
	}
	answered := sim.rpc(e, dispatch.Timeout, func(answer func()) {
		agent := sim.agent(dispatch.Attempt.Target)
		begun := agent.advanceClock().Begin(dispatch.Attempt)
		if !begun.Run {
			reply = begun.Reply
			answer()
			return
		}
		agent.execute(dispatch, func(got Reply) {
			reply = got
			answer()
		})
	})
	if !answered {
		return Reply{}, errSimTimeout
	}
	return reply, nil
}

// execute runs the order on the engine: the effect takes place first, the run ends
// later. If the agent crashes in between, the reply is lost, but not the effect;
// if the engine crashes, either both or only the reply are lost.
func (a *simAgent) execute(dispatch Dispatch, done func(Reply)) {
	sim, attempt := a.sim, dispatch.Attempt
	starts, engineCrashes, execution := a.starts, a.engineCrashes, a.execution
	a.running[attempt.Nonce] = attempt
	id := fmt.Sprintf("run-%d", sim.seq)
	sim.schedule(sim.latency(), func() {
		if a.engineCrashes != engineCrashes && sim.rng.IntN(2) == 0 {
			return
		}
		origin := sim.origins[attempt.Nonce]
		sim.runs = append(sim.runs, engineRun{
			id: id, key: orderName(attempt.Key, origin.callID), nonce: attempt.Nonce, body: dispatch.Payload.([32]byte),
			at: sim.now, callID: origin.callID, created: origin.created, expires: origin.expires,
		})
	})
	length := sim.randomDuration(5*time.Millisecond, 50*time.Millisecond)
	if sim.rng.IntN(8) == 0 {
		length = sim.randomDuration(simTimeout, 3*simTimeout)
	}
	sim.schedule(length, func() {
		if a.starts != starts || a.engineCrashes != engineCrashes {
			return
		}
		delete(a.running, attempt.Nonce)
		a.advanceClock()
		done(execution.Finish(attempt, Reply{State: ExecutionDone, Result: &Result{Status: 200, Body: []byte(id)}}))
	})
}

// Tombstone implements Dispatcher.
func (e *simEntry) Tombstone(_ context.Context, attempt Attempt, timeout time.Duration) (Reply, error) {
	return e.sendToAgent(attempt, timeout, func(x *ExecutionTracker) Reply { return x.Tombstone(attempt) })
}

// Query implements Dispatcher.
func (e *simEntry) Query(_ context.Context, attempt Attempt, timeout time.Duration) (Reply, error) {
	return e.sendToAgent(attempt, timeout, func(x *ExecutionTracker) Reply { return x.Query(attempt) })
}

func (e *simEntry) sendToAgent(attempt Attempt, timeout time.Duration, do func(*ExecutionTracker) Reply) (reply Reply, err error) {
	answered := e.sim.rpc(e, timeout, func(answer func()) {
		reply = do(e.sim.agent(attempt.Target).advanceClock())
		answer()
	})
	if !answered {
		return Reply{}, errSimTimeout
	}
	return reply, nil
}

// Release implements Dispatcher.
func (e *simEntry) Release(_ context.Context, attempt Attempt) {
	e.sim.schedule(e.sim.latency(), func() { e.sim.agent(attempt.Target).advanceClock().Release(attempt) })
}
