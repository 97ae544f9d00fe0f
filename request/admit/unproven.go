package admit

import "time"

// unprovenWindow holds the admitted requests that have not yet shown that the
// engine is warm: those without a first token, and those whose first token was
// slow. A first token in normal time shows that the engine has been warm since
// that request was admitted, so it also removes the slow requests admitted
// before it.
//
// As long as the window is no larger than the cold limit, an engine that became
// cold without the gate noticing holds at most the cold limit of new work: a
// request that it received since cannot leave the window before it ends.
type unprovenWindow struct {
	// tickets is in order of admission.
	tickets []*Ticket
}

// add appends a ticket.
func (w *unprovenWindow) add(t *Ticket) { w.tickets = append(w.tickets, t) }

// remove removes one ticket.
func (w *unprovenWindow) remove(t *Ticket) {
	w.filter(func(other *Ticket) bool { return other != t })
}

// removeProven removes a ticket whose first token came in normal time, and the
// slow tickets admitted before it.
func (w *unprovenWindow) removeProven(t *Ticket) {
	w.filter(func(other *Ticket) bool {
		return other != t && !(other.slow && other.sequence < t.sequence)
	})
}

// filter keeps only the tickets for which keep returns true.
func (w *unprovenWindow) filter(keep func(*Ticket) bool) {
	kept := w.tickets[:0]
	for _, t := range w.tickets {
		if keep(t) {
			kept = append(kept, t)
		}
	}
	clear(w.tickets[len(kept):])
	w.tickets = kept
}

// suspects counts the tickets whose first token was slow or is overdue. A first
// token is overdue when the ticket's prompt tokens and those still ahead of it
// should have been processed by now. lastFirstToken is the time of the most
// recent first token, normal the usual first-token time per prompt token.
func (w *unprovenWindow) suspects(now, lastFirstToken time.Time, normal *baseline) int {
	count, tokens := 0, 0
	for _, t := range w.tickets {
		if t.slow {
			count++
			continue
		}
		tokens += t.tokens
		since := t.admittedAt
		if lastFirstToken.After(since) {
			since = lastFirstToken
		}
		if normal.isSlow(now.Sub(since) / time.Duration(tokens)) {
			count++
		}
	}
	return count
}

// pendingTokens returns the prompt tokens of the requests without a first token.
func (w *unprovenWindow) pendingTokens() int {
	sum := 0
	for _, t := range w.tickets {
		if t.firstToken == 0 {
			sum += t.tokens
		}
	}
	return sum
}
