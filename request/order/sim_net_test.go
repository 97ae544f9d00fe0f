package order

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"verbenaseam.example/verbenaseam/process/platform"
)

// fault is what goes wrong at one operation.
type fault uint8

const (
	faultNone fault = iota
	faultLostRequest
	faultLostReply
	faultDelay
	faultDuplicate
	faultEntryDeath
	faultEntryDeathAfter
	faultAgentDeath
	faultEngineDeath
	faultOutage
	faultPause // the process is paused past its leases
	faultKinds
)

var faultNames = []string{"none", "lost request", "lost reply", "delay", "duplicate", "entry death",
	"entry death after", "agent death", "engine death", "table outage", "lease lapse"}

var errSimTimeout = eris.New("simulated timeout")

// begin counts an operation of an entry and applies the faults that do not
// concern its message.
func (w *world) begin(e *simEntry) fault {
	kind := w.faults[w.ops]
	w.ops++
	switch kind {
	case faultEntryDeath:
		w.at(0, e.kill)
		w.block()
	case faultAgentDeath:
		w.agents[w.last].crash()
	case faultEngineDeath:
		w.agents[w.last].crashEngine()
	case faultOutage:
		w.outageEnd = w.now.Add(3 * time.Second)
	case faultPause:
		pause := w.between(simTimeout/2, 2*simRetention)
		if until := w.now.Add(pause); until.After(e.pausedUntil) {
			e.pausedUntil = until
		}
		w.sleep(pause)
	}
	return kind
}

// rpc sends a message and waits for its answer or the timeout. The handler gets
// a function that answers; it may call it later.
func (w *world) rpc(e *simEntry, timeout time.Duration, handle func(answer func())) (answered bool) {
	kind := w.begin(e)
	caller, over := w.current, false
	finish := func(ok bool) {
		if !over {
			over, answered = true, ok
			w.resume(caller)
		}
	}
	deliver := func() {
		handle(func() {
			if kind != faultLostReply {
				w.at(w.latency(), func() { finish(true) })
			}
		})
	}
	switch kind {
	case faultLostRequest:
	case faultDelay:
		w.at(timeout+w.between(0, 2*simRetention), deliver)
	case faultDuplicate:
		w.at(w.latency(), deliver)
		w.at(w.between(0, 2*simRetention), deliver)
	default:
		w.at(w.latency(), deliver)
	}
	w.at(timeout, func() { finish(false) })
	w.block()
	if kind == faultEntryDeathAfter {
		w.at(0, e.kill)
		w.block()
	}
	return answered
}

// simTable is the platform as one entry reaches it.
type simTable struct{ e *simEntry }

func (t simTable) Get(ctx context.Context, keys ...string) (rows []platform.Row, err error) {
	w := t.e.w
	answered := w.rpc(t.e, commitTimeout, func(answer func()) {
		if err = w.outage(); err == nil {
			rows, err = w.table.Get(ctx, keys...)
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

func (t simTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return t.e.w.table.Scan(ctx, prefix, after, limit)
}

func (t simTable) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	w := t.e.w
	var result platform.TxnResult
	var err error
	first := true
	answered := w.rpc(t.e, commitTimeout, func(answer func()) {
		if failed := w.outage(); failed != nil {
			if first {
				err = failed
			}
		} else if got, failed := w.table.Commit(context.Background(), txn); first {
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

func (w *world) outage() error {
	if w.now.Before(w.outageEnd) {
		return &platform.UnavailableError{}
	}
	return nil
}

// simAgent is the agent and engine of one target.
type simAgent struct {
	w         *world
	name      string
	rate      float64 // of its clock
	starts    int
	engines   int
	execution *Execution
	clock     *clockwork.FakeClock
	began     time.Time
	running   map[string]Attempt
	readings  []reading
}

// reading is what entries have seen of an agent's clock.
type reading struct {
	incarnation string
	clock       AgentClock
}

func (a *simAgent) incarnation() string { return fmt.Sprintf("%s/%d", a.name, a.starts) }

func (a *simAgent) restart() {
	a.starts++
	a.clock = clockwork.NewFakeClock()
	a.began = a.w.now
	a.running = map[string]Attempt{}
	a.execution = NewExecution(ExecutionConfig{
		Incarnation: a.incarnation(), Clock: a.clock, MaxEntries: 4, ResultRetention: simWindow,
	})
}

func (a *simAgent) crash() { a.restart() }

// crashEngine ends the engine; runs under way are lost.
func (a *simAgent) crashEngine() {
	a.engines++
	for _, attempt := range a.running {
		a.tick().Finish(attempt, Reply{State: ExecutionLost})
	}
	a.running = map[string]Attempt{}
}

// tick brings the agent's clock up to now and returns its memory.
func (a *simAgent) tick() *Execution {
	want := time.Duration(float64(a.w.now.Sub(a.began)) * a.rate)
	a.clock.Advance(want - a.execution.Time())
	return a.execution
}

// Place implements Dispatcher: it knows an old reading of each agent's clock.
func (e *simEntry) Place(_ context.Context, _ Request, avoid []string) (Placement, error) {
	w := e.w
	first := w.rng.IntN(len(w.agents))
	for i := range w.agents {
		index := (first + i) % len(w.agents)
		agent := w.agents[index]
		if !contains(avoid, agent.name) {
			w.last = index
			seen := ObserveAgentClock(agent.tick().Time(), w.now)
			agent.readings = append(agent.readings, reading{agent.incarnation(), seen})
			known := agent.readings[max(0, len(agent.readings)-1-w.rng.IntN(2))]
			return Placement{Target: agent.name, Incarnation: known.incarnation, AgentTime: known.clock.LowerBound(w.now)}, nil
		}
	}
	return Placement{}, ErrNoTarget
}

func contains(list []string, name string) bool {
	for _, have := range list {
		if have == name {
			return true
		}
	}
	return false
}

func (w *world) agent(name string) *simAgent {
	for _, agent := range w.agents {
		if agent.name == name {
			return agent
		}
	}
	return nil
}

// Dispatch implements Dispatcher.
func (e *simEntry) Dispatch(_ context.Context, dispatch Dispatch) (reply Reply, err error) {
	w := e.w
	if _, known := w.origins[dispatch.Attempt.Nonce]; !known { // an order without a key
		w.origins[dispatch.Attempt.Nonce] = origin{callID: e.calling[w.current], until: w.start.Add(time.Hour)}
	}
	answered := w.rpc(e, dispatch.Timeout, func(answer func()) {
		agent := w.agent(dispatch.Attempt.Target)
		verdict := agent.tick().Begin(dispatch.Attempt)
		if !verdict.Run {
			reply = verdict.Reply
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

// execute lets the engine run the order: the effect comes first, the end later.
// A dead agent loses the reply, but not the effect; a dead engine loses both or
// the reply alone.
func (a *simAgent) execute(dispatch Dispatch, done func(Reply)) {
	w, attempt := a.w, dispatch.Attempt
	starts, engines, execution := a.starts, a.engines, a.execution
	a.running[attempt.Nonce] = attempt
	id := fmt.Sprintf("run-%d", w.seq)
	w.at(w.latency(), func() {
		if a.engines != engines && w.rng.IntN(2) == 0 {
			return
		}
		from := w.origins[attempt.Nonce]
		w.runs = append(w.runs, run{
			id: id, key: orderName(attempt.Key, from.callID), nonce: attempt.Nonce, body: dispatch.Payload.([32]byte),
			at: w.now, callID: from.callID, life: from.life, until: from.until,
		})
	})
	length := w.between(5*time.Millisecond, 50*time.Millisecond)
	if w.rng.IntN(8) == 0 {
		length = w.between(simTimeout, 3*simTimeout)
	}
	w.at(length, func() {
		if a.starts != starts || a.engines != engines {
			return
		}
		delete(a.running, attempt.Nonce)
		a.tick()
		done(execution.Finish(attempt, Reply{State: ExecutionDone, Result: &Result{Status: 200, Body: []byte(id)}}))
	})
}

// Tombstone implements Dispatcher.
func (e *simEntry) Tombstone(_ context.Context, attempt Attempt, timeout time.Duration) (Reply, error) {
	return e.ask(attempt, timeout, func(x *Execution) Reply { return x.Tombstone(attempt) })
}

// Query implements Dispatcher.
func (e *simEntry) Query(_ context.Context, attempt Attempt, timeout time.Duration) (Reply, error) {
	return e.ask(attempt, timeout, func(x *Execution) Reply { return x.Query(attempt) })
}

func (e *simEntry) ask(attempt Attempt, timeout time.Duration, do func(*Execution) Reply) (reply Reply, err error) {
	answered := e.w.rpc(e, timeout, func(answer func()) {
		reply = do(e.w.agent(attempt.Target).tick())
		answer()
	})
	if !answered {
		return Reply{}, errSimTimeout
	}
	return reply, nil
}

// Release implements Dispatcher.
func (e *simEntry) Release(_ context.Context, attempt Attempt) {
	e.w.at(e.w.latency(), func() { e.w.agent(attempt.Target).tick().Release(attempt) })
}
