package agent

import (
	"sync"

	"verbenaseam.example/verbenaseam/request/admit"
)

// admission tracks admitted requests across engine incarnations. The gate drops
// its tickets when a new incarnation starts, but a request admitted just before
// a restart may reach the new engine. Until it ends, it counts as untracked work,
// so that a cold engine is not given more than its limit.
type admission struct {
	gate *admit.Gate

	// mu guards the fields below. The gate's lock is acquired while mu is held.
	mu sync.Mutex
	// generation is the number of engine incarnations seen so far.
	generation int
	// currentInFlight and previousInFlight count the open tickets admitted in the
	// current generation and in earlier ones.
	currentInFlight, previousInFlight int
	// adoptedInFlight is the number of requests that the engine was already
	// running when this agent started.
	adoptedInFlight int
}

func newAdmission(gate *admit.Gate) *admission { return &admission{gate: gate} }

// admissionTicket is a gate ticket that stays counted until Done, also when the
// engine restarts in between.
type admissionTicket struct {
	*admit.Ticket
	admission  *admission
	generation int
	once       sync.Once
}

// admit acquires a ticket for a request with an estimated prompt length in
// tokens. It returns the errors of admit.Gate.AdmitSized.
func (a *admission) admit(promptTokens int) (*admissionTicket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ticket, err := a.gate.AdmitSized(promptTokens)
	if err != nil {
		return nil, err
	}
	a.currentInFlight++
	return &admissionTicket{Ticket: ticket, admission: a, generation: a.generation}, nil
}

// Done releases the ticket. Calls after the first have no effect.
func (t *admissionTicket) Done(result admit.Result) {
	t.once.Do(func() {
		t.Ticket.Done(result)
		t.admission.release(t.generation)
	})
}

func (a *admission) release(generation int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if generation == a.generation {
		a.currentInFlight--
		return
	}
	a.previousInFlight--
	a.updateUntracked()
}

// engineStarted resets the gate for a new engine incarnation and keeps counting
// the requests admitted before it as untracked.
func (a *admission) engineStarted(incarnation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
	a.previousInFlight += a.currentInFlight
	a.currentInFlight, a.adoptedInFlight = 0, 0
	a.gate.EngineStarted(incarnation)
	a.updateUntracked()
}

// setAdopted records how many requests the engine still runs from before this
// agent started.
func (a *admission) setAdopted(inFlight int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adoptedInFlight = inFlight
	a.updateUntracked()
}

// updateUntracked passes the number of requests in flight without a gate ticket
// to the gate. The caller must hold mu.
func (a *admission) updateUntracked() {
	a.gate.SetUntrackedInFlight(a.previousInFlight + a.adoptedInFlight)
}
