package forward

import (
	"time"

	"verbenaseam.example/verbenaseam/request/poison"
)

// provenAfter is how long a stream must go on after its first event to show that its prompt
// crashes no targets. One that does crashes them as it begins to write.
const provenAfter = 300 * time.Millisecond

// recordEvents records that a call has received events of a stream.
func (h *Handler) recordEvents(c *call, src *streamSource) {
	src.watchdog.progress()
	now := h.clock.Now()
	switch {
	case c.firstEvent.IsZero():
		c.firstEvent = now
	case !c.ran && now.Sub(c.firstEvent) >= provenAfter:
		c.ran = true
		h.crashes.PartsRan(c.subject.Parts)
	}
}

// suspected returns what of a call may have crashed the target of its current attempt.
func (c *call) suspected() poison.Subject {
	subject := c.subject
	if c.ran {
		subject.Parts = nil
	}
	return subject
}
