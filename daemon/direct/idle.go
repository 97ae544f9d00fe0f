package direct

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultIdle is how long a caller's connection may be idle where no
// configuration says it.
const defaultIdle = time.Minute

// idleConnections closes callers' connections that are idle for longer than the
// configuration in force allows. The limits of http.Server cannot change while it
// runs.
type idleConnections struct {
	limit func() time.Duration

	// mu guards timers; it is a leaf.
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConnections(limit func() time.Duration) *idleConnections {
	return &idleConnections{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// note is for http.Server.ConnState.
func (i *idleConnections) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[c]; timer != nil {
		timer.Stop()
		delete(i.timers, c)
	}
	if state == http.StateIdle {
		// The error is that of a connection which is closed already.
		i.timers[c] = time.AfterFunc(i.limit(), func() { _ = c.Close() })
	}
}

// idleLimit is how long a caller's connection may be idle now.
func (e *Entry) idleLimit() time.Duration {
	if version := e.version.Load(); version != nil && version.Limits.IdleTimeout > 0 {
		return version.Limits.IdleTimeout
	}
	return defaultIdle
}
