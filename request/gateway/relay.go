package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

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
// ends with an event that carries an ErrorBody and with the outcome "unknown" in
// its trailer, and its connection is closed so that no client takes the response
// for complete.
func (g *Gateway) relayStream(ctx context.Context, w http.ResponseWriter, c *call, response *targetResponse) {
	stop := context.AfterFunc(ctx, func() { response.stream.Cancel("the caller left or its deadline passed") })
	defer stop()
	w.Header().Set("Trailer", HeaderOutcome)
	writeHead(w, response.head, c.id)
	w.WriteHeader(response.head.Status)
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := response.stream.Read(buffer)
		if n > 0 {
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
			g.abortStream(ctx, w, c, err)
		}
	}
}

// abortStream terminates an incomplete stream. It panics with
// http.ErrAbortHandler and does not return.
func (g *Gateway) abortStream(ctx context.Context, w http.ResponseWriter, c *call, cause error) {
	err := exchangeFailure(ctx, cause)
	g.metrics.CountFailure(string(err.Kind))
	g.finish(c, failure.Unknown)
	event, _ := json.Marshal(NewErrorBody(err))
	_, _ = w.Write(append(append([]byte("data: "), event...), '\n', '\n'))
	w.Header().Set(HeaderOutcome, string(failure.Unknown))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
