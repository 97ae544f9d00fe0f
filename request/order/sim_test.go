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

// The simulation runs coordinators, executions and the platform's table as
// coroutines on one virtual clock: one runs at a time, in an order that only
// the seed decides.

const (
	simEntries   = 3
	simAgents    = 3
	simWindow    = 2 * time.Second
	simRetention = 20 * time.Second
	simTimeout   = 1500 * time.Millisecond
	// simCalmTimeout outlasts the longest run.
	simCalmTimeout = 4 * simTimeout
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is the ground truth of one real run of an order.
type run struct {
	id     string
	key    string
	nonce  string
	body   [32]byte
	at     time.Time
	callID int
	life   time.Time // when the record's life began
	until  time.Time // when it ends
}

// origin tells which call made an attempt, in which life of the record.
type origin struct {
	callID      int
	life, until time.Time
}

type world struct {
	now     time.Time
	start   time.Time
	rng     *rand.Rand
	queue   events
	seq     int
	current *task
	faults  map[int]fault
	ops     int

	table     *standin.Server
	outageEnd time.Time
	entries   []*simEntry
	agents    []*simAgent
	last      int // the agent last placed on
	origins   map[string]origin
	runs      []run
	history   []*operation
}

func newWorld(seed uint64, faults map[int]fault) *world {
	start := time.Unix(1_700_000_000, 0).UTC()
	w := &world{
		now: start, start: start, faults: faults,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		table:   standin.New(standin.Config{Clock: clockwork.NewFakeClock(), WritesPerSecond: -1, ReadsPerSecond: -1}),
		origins: map[string]origin{},
	}
	for i := range simAgents {
		agent := &simAgent{w: w, name: fmt.Sprintf("target-%d", i), rate: 0.99 + 0.01*float64(i)}
		agent.restart()
		w.agents = append(w.agents, agent)
	}
	for i := range simEntries {
		w.entries = append(w.entries, newSimEntry(w, i))
	}
	return w
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *world) latency() time.Duration { return w.between(time.Millisecond, 5*time.Millisecond) }

func (w *world) at(wait time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(wait), seq: w.seq, run: do})
}

// play runs all events.
func (w *world) play() {
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	for _, entry := range w.entries {
		entry.kill() // frees coroutines that nothing can wake any more
	}
}

// task is a coroutine of an entry.
type task struct {
	entry *simEntry
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
	ended bool
}

type killed struct{}

func (e *simEntry) spawn(body func()) {
	t := &task{entry: e}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer func() {
			t.ended = true
			if r := recover(); r != nil {
				if _, ok := r.(killed); !ok {
					panic(r)
				}
			}
		}()
		body()
	})
	e.tasks = append(e.tasks, t)
	e.w.at(0, func() { e.w.resume(t) })
}

func (w *world) resume(t *task) {
	if t.ended || t.entry.dead {
		return
	}
	w.current = t
	t.next()
	w.current = nil
}

// block suspends the running task until something resumes it.
func (w *world) block() {
	t := w.current
	if !t.yield(struct{}{}) {
		panic(killed{})
	}
	w.current = t
}

func (w *world) sleep(wait time.Duration) {
	t := w.current
	w.at(wait, func() { w.resume(t) })
	w.block()
}

// simEntry is an entry process.
type simEntry struct {
	w           *world
	dead        bool
	pausedUntil time.Time
	tasks       []*task
	coordinator *Coordinator
	queue       queue
	working     bool
	writers     []*task // wait for the worker
	calling     map[*task]int
}

func newSimEntry(w *world, index int) *simEntry {
	e := &simEntry{w: w, queue: newQueue(100), calling: map[*task]int{}}
	nonces := 0
	coordinator, err := NewCoordinator(Config{
		Table: simTable{e}, Writer: e, Reader: simTable{e}, Dispatcher: e,
		Retention: simRetention, MaxWindow: simWindow,
		QueryAfter: 200 * time.Millisecond, OrphanAfter: 400 * time.Millisecond, FollowUp: 5 * time.Second,
		NewNonce: func() string {
			nonces++
			return fmt.Sprintf("n%d-%d", index, nonces)
		},
		Random: w.rng.Float64,
	})
	if err != nil {
		panic(err)
	}
	coordinator.clock = simTimer{w}
	coordinator.spawn = e.spawn
	e.coordinator = coordinator
	return e
}

// kill ends the process; call it from an event, never from one of its tasks.
func (e *simEntry) kill() {
	if e.dead {
		return
	}
	e.dead = true
	for _, t := range e.tasks {
		t.stop()
	}
}

// Write implements Writer with the recorder's queue and committer.
func (e *simEntry) Write(_ context.Context, write Write) Written {
	if record, err := Decode(write.Content); err == nil && record.State == StateDispatched {
		margin := record.Expires.Sub(record.Created) / expiryMarginShare
		e.w.origins[record.Nonce] = origin{e.calling[e.w.current], record.Created, record.Expires.Add(margin)}
	}
	item := &queued{write: write, done: make(chan Written, 1)}
	caller := e.w.current
	e.queue.push(item)
	if !e.working {
		e.working = true
		e.spawn(e.work)
	}
	for len(item.done) == 0 {
		e.writers = append(e.writers, caller)
		e.w.block()
	}
	return <-item.done
}

func (e *simEntry) work() {
	c := committer{
		table: simTable{e},
		sleep: func(_ context.Context, wait time.Duration) { e.w.sleep(wait) },
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
		for _, writer := range e.writers {
			e.w.at(0, func() { e.w.resume(writer) })
		}
		e.writers = nil
	}
	e.working = false
}

type simTimer struct{ w *world }

func (t simTimer) Now() time.Time { return t.w.now }

func (t simTimer) Sleep(_ context.Context, wait time.Duration) error {
	t.w.sleep(wait)
	return nil
}
