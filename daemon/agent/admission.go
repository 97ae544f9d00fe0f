package agent

import (
	"sync"

	"verbenaseam.example/verbenaseam/request/admit"
)

// admission counts what the gate admitted over the engine's incarnations. The
// gate forgets its tickets when a new incarnation runs, but a request admitted
// just before may reach the engine just after: until its end it counts as
// foreign work, so that a cold engine gets no more than it bears.
type admission struct {
	gate *admit.Gate

	// mu guards the fields below; the gate's lock is taken under it.
	mu sync.Mutex
	// life counts the engine incarnations seen.
	life int
	// present and earlier count the passes in use by the life they began in.
	present, earlier int
	// adopted is work in flight from before this agent.
	adopted int
}

func newAdmission(gate *admit.Gate) *admission { return &admission{gate: gate} }

// pass is a gate's ticket that counts until its end, whatever becomes of the
// engine.
type pass struct {
	*admit.Ticket
	admission *admission
	life      int
	once      sync.Once
}

// admit takes a pass for new work with a prompt of about so many tokens; it
// fails as admit.Gate.AdmitSized does.
func (a *admission) admit(promptTokens int) (*pass, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ticket, err := a.gate.AdmitSized(promptTokens)
	if err != nil {
		return nil, err
	}
	a.present++
	return &pass{Ticket: ticket, admission: a, life: a.life}, nil
}

// Done ends the request. Only the first call counts.
func (p *pass) Done(result admit.Result) {
	p.once.Do(func() {
		p.Ticket.Done(result)
		p.admission.end(p.life)
	})
}

func (a *admission) end(life int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if life == a.life {
		a.present--
		return
	}
	a.earlier--
	a.tellForeign()
}

// engineStarted tells the gate of a new incarnation without forgetting what is
// on its way to it.
func (a *admission) engineStarted(incarnation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.life++
	a.earlier += a.present
	a.present, a.adopted = 0, 0
	a.gate.EngineStarted(incarnation)
	a.tellForeign()
}

// setAdopted tells how much work the engine holds from before this agent.
func (a *admission) setAdopted(inFlight int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adopted = inFlight
	a.tellForeign()
}

// tellForeign tells the gate of the work in flight that its own count lacks. The
// caller holds mu.
func (a *admission) tellForeign() { a.gate.SetUntrackedInFlight(a.earlier + a.adopted) }
