package systemtest

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/standin/plain"
)

const (
	orderCallers    = 6
	ordersPerCaller = 20
	repeatsPerOrder = 6
	orderTimeoutMs  = "2000"
)

// orderHistory records the responses to one order and its repeats.
type orderHistory struct {
	body    string
	answers []string
	// refused is the response with the outcome "not-run", if no earlier call of the
	// order can have run it. The outcome applies only to the call it answers, so later
	// refusals prove nothing.
	refused string
	// uncertain counts the calls that may or may not have run the order.
	uncertain int
}

// orderLoad sends orders and repeats each through the next entry.
type orderLoad struct {
	f         *fleet
	completed atomic.Int64
	// mu guards histories.
	mu        sync.Mutex
	histories []*orderHistory
}

func (l *orderLoad) run(caller int) {
	for number := range ordersPerCaller {
		history := &orderHistory{body: fmt.Sprintf(`{"release":"%d-%d"}`, caller, number)}
		l.submit(history, fmt.Sprintf("release-%d-%d", caller, number), caller+number)
		l.mu.Lock()
		l.histories = append(l.histories, history)
		l.mu.Unlock()
		l.completed.Add(1)
	}
}

// submit repeats an order, at most repeatsPerOrder times, until it has been answered
// twice or is known not to have run.
func (l *orderLoad) submit(history *orderHistory, key string, first int) {
	for repeat := range repeatsPerOrder {
		request := l.f.newRequest(http.MethodPost, l.f.url((first+repeat)%entryCount)+"/orders", []byte(history.body), key)
		request.Header.Set("X-Verbenaseam-Timeout-Ms", orderTimeoutMs)
		status, outcome, body, err := send(request)
		switch {
		case err == nil && status == http.StatusOK && outcome == "done":
			history.answers = append(history.answers, string(body))
		case err == nil && outcome == "not-run":
			history.recordRefusal(string(body))
		default:
			history.uncertain++
		}
		if len(history.answers) == 2 || history.refused != "" {
			return
		}
	}
}

func (h *orderHistory) recordRefusal(answer string) {
	if len(h.answers) == 0 && h.uncertain == 0 {
		h.refused = answer
	}
}

// checkOrdersDuringKills kills an agent and then an entry while callers send orders
// and repeat each through other entries. No order may run twice, and all answers to
// an order must be equal.
func (f *fleet) checkOrdersDuringKills() {
	for _, service := range f.standins.Services {
		service.SetFaults(plain.Faults{Delay: serviceDelay})
	}
	load := &orderLoad{f: f}
	var callers sync.WaitGroup
	for caller := range orderCallers {
		callers.Go(func() { load.run(caller) })
	}
	total := int64(orderCallers * ordersPerCaller)
	for i, name := range []string{"agent-floor-app-1.ini", "entry-2.ini"} {
		f.awaitCount(&load.completed, total*int64(2*i+1)/6)
		f.kill(name)
		f.awaitCount(&load.completed, total*int64(2*i+2)/6)
		f.restart(name)
	}
	callers.Wait()
	for _, service := range f.standins.Services {
		service.SetFaults(plain.Faults{})
	}
	f.checkHistories(load.histories)
	f.awaitLookup(1)
}

func (f *fleet) awaitCount(count *atomic.Int64, minimum int64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return count.Load() >= minimum }, startTimeout, conditionPollInterval)
}

func (f *fleet) checkHistories(histories []*orderHistory) {
	answered, uncertain := 0, 0
	for _, history := range histories {
		runs := f.standins.RunCounter.RunsWithBody(history.body)
		require.LessOrEqual(f.t, runs, 1, history.body)
		uncertain += history.uncertain
		if history.refused != "" {
			require.Zero(f.t, runs, "order %s ran after the response %s", history.body, history.refused)
		}
		if len(history.answers) == 0 {
			continue
		}
		answered++
		require.Equal(f.t, 1, runs, history.body)
		for _, answer := range history.answers {
			require.Equal(f.t, history.answers[0], answer)
		}
	}
	require.NotZero(f.t, uncertain, "no order was in flight when a process was killed")
	require.Greater(f.t, answered, len(histories)/2)
	f.t.Logf("%d orders: %d answered, %d calls with an uncertain outcome", len(histories), answered, uncertain)
}
