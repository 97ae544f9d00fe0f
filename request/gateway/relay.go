package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/stream"
)

const relayBufferBytes = 4 << 10

// relay writes a target's response to the caller.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, c *call, response *targetResponse) {
	g.metrics.ObserveFirstByte(c.organisation.Name, string(c.class), g.clock.Since(c.started))
	if response.stream == nil {
		g.relayComplete(w, c, response)
		return
	}
	g.relayStream(ctx, w, c, response)
}

func (g *Gateway) relayComplete(w http.ResponseWriter, c *call, response *targetResponse) {
	writeHead(w, response.head, c.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	w.WriteHeader(response.head.Status)
	_, _ = w.Write(response.body)
	g.recordCompletion(c)
	g.finish(c, failure.Done)
}

// writeHead copies the response's header fields. The caller's request ID and
// the outcome override the values that the target sent.
func writeHead(w http.ResponseWriter, head *stream.ResponseHead, id string) {
	stream.AddForwardedFields(w.Header(), head.Header)
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderOutcome, string(failure.Done))
}

// relayStream forwards a streamed response as it arrives. Its header carries
// the outcome "done", which holds if the stream completes. An interrupted stream
// has the outcome "unknown" in its trailer, and its connection is closed so that no
// client takes the response for complete. If it was interrupted between two events, it
// ends with one that carries an ErrorBody; within an event the text would be taken for a
// part of that.
func (g *Gateway) relayStream(ctx context.Context, w http.ResponseWriter, c *call, response *targetResponse) {
	stop := context.AfterFunc(ctx, func() { response.stream.Cancel("the caller left or its deadline passed") })
	defer stop()
	w.Header().Set("Trailer", HeaderOutcome)
	writeHead(w, response.head, c.id)
	w.WriteHeader(response.head.Status)
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBufferBytes)
	var boundary eventBoundary
	for {
		n, err := response.stream.Read(buffer)
		if n > 0 {
			boundary.add(buffer[:n])
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				response.stream.Cancel("the caller left")
				response.finish(false)
				g.finish(c, failure.Unknown)
				return
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			response.finish(true)
			g.recordCompletion(c)
			g.finish(c, failure.Done)
			return
		}
		if err != nil {
			response.finish(false)
			g.abortStream(ctx, w, c, err, boundary.reached())
		}
	}
}

// eventBoundary tells whether a stream is between two events. It holds the last bytes of the
// stream.
type eventBoundary []byte

// eventEnds are the blank lines that end an event.
var eventEnds = []string{"\n\n", "\r\n\r\n"}

// maxEventEnd is the length of the longest of eventEnds.
const maxEventEnd = 4

// add takes the next bytes of the stream.
func (b *eventBoundary) add(data []byte) {
	tail := append(*b, data[max(0, len(data)-maxEventEnd):]...)
	*b = append((*b)[:0], tail[max(0, len(tail)-maxEventEnd):]...)
}

// reached reports whether the stream has not begun, or has ended an event.
func (b *eventBoundary) reached() bool {
	return len(*b) == 0 || slices.ContainsFunc(eventEnds, func(end string) bool { return strings.HasSuffix(string(*b), end) })
}

// abortStream terminates an incomplete stream, with an event if betweenEvents is set. It
// panics with http.ErrAbortHandler and does not return.
func (g *Gateway) abortStream(ctx context.Context, w http.ResponseWriter, c *call, cause error, betweenEvents bool) {
	err := exchangeFailure(ctx, cause)
	g.metrics.CountFailure(string(err.Kind))
	g.finish(c, failure.Unknown)
	if betweenEvents {
		event, _ := json.Marshal(NewErrorBody(err))
		_, _ = w.Write(append(append([]byte("data: "), event...), '\n', '\n'))
	}
	w.Header().Set(HeaderOutcome, string(failure.Unknown))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
