package order

import (
	"container/heap"
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	standin "verbenaseam.example/verbenaseam/internal/standin/platform"
)

// The simulation runs coordinators as coroutines, and execution trackers and the
// platform's table as events, on one virtual clock. Only one coroutine runs at a
// time, and their order depends on the seed and the injected faults alone.

const (
	simEntries     = 3
	simAgents      = 3
	simStartWindow = 2 * time.Second
	simRetention   = 20 * time.Second
	simTimeout     = 1500 * time.Millisecond
	// simFaultFreeTimeout is longer than the longest run of an order.
	simFaultFreeTimeout = 4 * simTimeout
)

// event is a function scheduled on the virtual clock; seq orders events of the
// same time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventHeap implements heap.Interface, ordered by time and seq.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// engineRun is one actual run of an order by an engine, against which the results
// of calls are checked.
type engineRun struct {
	id      string
	key     string
	nonce   string
	body    [32]byte
	at      time.Time
	callID  int
	created time.Time // start of the record's lifetime
	expires time.Time // its end, including the expiry margin
}

// attemptOrigin identifies the call that made an attempt and the lifetime of the
// attempt's record.
type attemptOrigin struct {
	callID           int
	created, expires time.Time
}

// simulation is the state of one simulated history.
type simulation struct {
	now     time.Time
	start   time.Time
	rng     *rand.Rand
	queue   eventHeap
	seq     int
	current *task
	faults  map[int]fault
	// operations counts the messages that entries have sent; faults are injected
	// by this index.
	operations int

	table      *standin.InMemory
	outageEnd  time.Time
	entries    []*simEntry
	agents     []*simAgent
	lastPlaced int                      // index of the agent last chosen by Place
	origins    map[string]attemptOrigin // by nonce
	runs       []engineRun
	history    []*simCall
}

func newSimulation(seed uint64, faults map[int]fault) *simulation {
	start := time.Unix(1_700_000_000, 0).UTC()
	sim := &simulation{
		now: start, start: start, faults: faults,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		table:   standin.New(standin.Config{Clock: clockwork.NewFakeClock(), WritesPerSecond: -1, ReadsPerSecond: -1}),
		origins: map[string]attemptOrigin{},
	}
	for i := range simAgents {
		agent := &simAgent{sim: sim, name: fmt.Sprintf("target-%d", i), rate: 0.99 + 0.01*float64(i)}
		agent.restart()
		sim.agents = append(sim.agents, agent)
	}
	for i := range simEntries {
		sim.entries = append(sim.entries, newSimEntry(sim, i))
	}
	return sim
}

// randomDuration returns a random duration from low to high inclusive.
func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

func (sim *simulation) latency() time.Duration {
	return sim.randomDuration(time.Millisecond, 5*time.Millisecond)
}

// schedule runs a function after the given wait.
func (sim *simulation) schedule(wait time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(wait), seq: sim.seq, run: do})
}

// runEvents runs all events in order and then stops the entries.
func (sim *simulation) runEvents() {
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
	for _, entry := range sim.entries {
		entry.kill() // ends coroutines that nothing can resume any more
	}
}

// task is a coroutine of an entry process.
type task struct {
	entry *simEntry
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
	ended bool
}

// taskKilled is the panic value that unwinds a killed task.
type taskKilled struct{}

// spawn starts a task of the entry.
func (e *simEntry) spawn(body func()) {
	t := &task{entry: e}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer func() {
			t.ended = true
			if r := recover(); r != nil {
				if _, ok := r.(taskKilled); !ok {
					panic(r)
				}
			}
		}()
		body()
	})
	e.tasks = append(e.tasks, t)
	e.sim.schedule(0, func() { e.sim.resume(t) })
}

// resume runs a task until it blocks or ends.
func (sim *simulation) resume(t *task) {
	if t.ended || t.entry.killed {
		return
	}
	sim.current = t
	t.next()
	sim.current = nil
}

// block suspends the running task until something resumes it.
func (sim *simulation) block() {
	t := sim.current
	if !t.yield(struct{}{}) {
		panic(taskKilled{})
	}
	sim.current = t
}

// sleep suspends the running task for the given time.
func (sim *simulation) sleep(wait time.Duration) {
	t := sim.current
	sim.schedule(wait, func() { sim.resume(t) })
	sim.block()
}

// simEntry is a simulated entry process.
type simEntry struct {
	sim            *simulation
	killed         bool
	pausedUntil    time.Time
	tasks          []*task
	coordinator    *Coordinator
	queue          writeQueue
	workerRunning  bool
	blockedWriters []*task // wait for the worker
	callIDs        map[*task]int
}

func newSimEntry(sim *simulation, index int) *simEntry {
	e := &simEntry{sim: sim, queue: newWriteQueue(100), callIDs: map[*task]int{}}
	nonces := 0
	coordinator, err := NewCoordinator(Config{
		Table: simTable{e}, Writer: e, Reader: simTable{e}, Dispatcher: e,
		Retention: simRetention, MaxStartWindow: simStartWindow,
		QueryAfter: 200 * time.Millisecond, OrphanAfter: 400 * time.Millisecond, FollowUpDuration: 5 * time.Second,
		NewNonce: func() string {
			nonces++
			return fmt.Sprintf("n%d-%d", index, nonces)
		},
		Random: sim.rng.Float64,
	})
	if err != nil {
		panic(err)
	}
	coordinator.clock = simClock{sim}
	coordinator.spawn = e.spawn
	e.coordinator = coordinator
	return e
}

// kill ends the process. It must be called from an event, not from one of the
// process's own tasks.
func (e *simEntry) kill() {
	if e.killed {
		return
	}
	e.killed = true
	for _, t := range e.tasks {
		t.stop()
	}
}

// Write implements Writer with the Recorder's queue and committer. It also
// registers the origin of each attempt that it writes.
func (e *simEntry) Write(_ context.Context, write Write) WriteResult {
	if record, err := Decode(write.Content); err == nil && record.State == StateDispatched {
		margin := record.Expires.Sub(record.Created) / expiryMarginDivisor
		e.sim.origins[record.Nonce] = attemptOrigin{e.callIDs[e.sim.current], record.Created, record.Expires.Add(margin)}
	}
	item := &queuedWrite{write: write, done: make(chan WriteResult, 1)}
	caller := e.sim.current
	e.queue.push(item)
	if !e.workerRunning {
		e.workerRunning = true
		e.spawn(e.writeWorker)
	}
	for len(item.done) == 0 {
		e.blockedWriters = append(e.blockedWriters, caller)
		e.sim.block()
	}
	return <-item.done
}

// writeWorker commits waiting writes until the queue is empty.
func (e *simEntry) writeWorker() {
	c := committer{
		table: simTable{e},
		sleep: func(_ context.Context, wait time.Duration) { e.sim.sleep(wait) },
	}
	for len(e.queue.waiting) > 0 {
		items := e.queue.take(8)
		writes := make([]Write, 0, len(items))
		for _, item := range items {
			writes = append(writes, item.write)
		}
		results, _ := c.commit(context.Background(), writes)
		for i, item := range items {
			item.done <- results[i]
		}
		e.queue.release(items)
		for _, writer := range e.blockedWriters {
			e.sim.schedule(0, func() { e.sim.resume(writer) })
		}
		e.blockedWriters = nil
	}
	e.workerRunning = false
}

// simClock implements contextClock on the virtual clock.
type simClock struct{ sim *simulation }

func (c simClock) Now() time.Time { return c.sim.now }

func (c simClock) Sleep(_ context.Context, wait time.Duration) error {
	c.sim.sleep(wait)
	return nil
}
