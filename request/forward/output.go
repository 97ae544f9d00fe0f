package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/pace"
	"verbenaseam.example/verbenaseam/process/memory"
)

// errMemoryFull means that a response was ended because the memory of the process was nearly full
// and its caller among the slowest with the most bytes.
const errMemoryFull = streamError("ended to free memory")

// errCallerStalled means that the caller reads more slowly than pace.Rate, or not at all.
const errCallerStalled = streamError("caller reads too slowly")

// connectionKey is the key of the caller's connection in the context of a request.
type connectionKey struct{}

// WithConnection returns a context with a caller's connection, for http.Server.ConnContext.
// With it the progress of a caller is measured by what its host has acknowledged, without it by
// what the kernel has accepted.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// writeChunk is the size of one write to a caller, in bytes. Progress is seen after each at the
// latest.
const writeChunk = 8 << 10

// output writes to a caller. It fails once the caller has stalled; without that a write has no
// time limit.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	monitor *pace.Monitor
	handler *Handler
	call    *call
	// ended is set once the response has been ended to free memory.
	ended atomic.Bool
}

// newOutput returns the output of a request. The caller must call close.
func (h *Handler) newOutput(w http.ResponseWriter, c *call) *output {
	o := &output{w: w, control: http.NewResponseController(w), handler: h, call: c}
	o.monitor = pace.NewMonitor(h.pace, callerProgress(c.request), o.abort)
	return o
}

// allowEnd says whether the response may be ended to free memory; see memory.Holder.SetEnd.
// Responses to at-most-once requests may not: their outcome would be lost.
func (o *output) allowEnd(allowed bool) {
	if !allowed || o.call.class() == classOnce {
		o.call.held.SetEnd(nil, time.Time{})
		return
	}
	o.call.held.SetEnd(o.endForMemory, o.handler.clock.Now())
}

func (o *output) endForMemory(part memory.Part) {
	o.ended.Store(true)
	o.abort()
	held := o.call.held.Describe()
	o.handler.metrics.CountMemoryDecision("end_" + part.String())
	o.handler.log.WithFields(logrus.Fields{
		"request": o.call.id, "organisation": held.Organisation, "target": held.Target, "bytes": held.Bytes, "moved": held.Moved,
	}).Warn("response ended to free memory")
}

// callerProgress returns the pace.Monitor's poll function of a caller, nil if its connection is
// not known. Whether bytes wait, the writer reports.
func callerProgress(r *http.Request) func() (int64, bool) {
	c, ok := r.Context().Value(connectionKey{}).(net.Conn)
	if !ok {
		return nil
	}
	progress := pace.Progress(c)
	if progress == nil {
		return nil
	}
	return func() (int64, bool) {
		moved, _ := progress()
		return moved, true
	}
}

// abort ends writes to the caller, also the current one.
func (o *output) abort() {
	// This fails only on a closed connection, which ends writes too.
	_ = o.control.SetWriteDeadline(time.Unix(1, 0))
}

// write writes and flushes data. The caller of it calls monitor.Idle when no more waits.
func (o *output) write(data []byte) error {
	o.monitor.Wait()
	for len(data) > 0 {
		n, err := o.w.Write(data[:min(len(data), writeChunk)])
		if err != nil {
			return o.failure()
		}
		o.monitor.Moved(n)
		o.call.held.Moved(n)
		data = data[n:]
	}
	if o.control.Flush() != nil {
		return o.failure()
	}
	return nil
}

func (o *output) failure() error {
	if o.ended.Load() {
		return errMemoryFull
	}
	if o.monitor.Stalled() {
		o.handler.metrics.CountStalledPeer("caller")
		return errCallerStalled
	}
	return errCallerDisconnected
}

// markIncomplete makes a response that is about to be cut recognizable as such also in HTTP/1.0,
// where the close of the connection ends a complete body: the connection is reset.
func (o *output) markIncomplete() {
	tcp, ok := o.call.request.Context().Value(connectionKey{}).(*net.TCPConn)
	if ok && !o.call.request.ProtoAtLeast(1, 1) {
		// SetLinger fails only on a connection that is already closed.
		_ = tcp.SetLinger(0)
	}
}

func (o *output) close() {
	o.allowEnd(false)
	o.monitor.Close()
}

// limitLastWrite limits the time of what net/http writes after the handler has returned: the
// rest of its buffer and the end of a chunked body.
func (h *Handler) limitLastWrite(w http.ResponseWriter) {
	if h.pace.Window > 0 {
		// This fails only on a closed connection.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.pace.Window))
	}
}
