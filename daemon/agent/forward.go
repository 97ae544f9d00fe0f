package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/stream"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// maxSingleFrameBytes is the largest answer sent in a single frame.
	maxSingleFrameBytes = 64 << 10
	copyBufferBytes     = 4 << 10
	cancelTimeout       = time.Second
)

// priorityOfClass maps classes to engine priorities; a higher value is scheduled
// sooner.
var priorityOfClass = map[table.Class]int{
	table.ClassLow:    0,
	table.ClassNormal: 1,
	table.ClassHigh:   2,
}

// forwarder sends admitted requests to the engine and relays the answers.
type forwarder struct {
	engine   *engine.Client
	inFlight *inFlightTracker
	// monitor is notified of the incarnation in each answer and of broken
	// connections.
	monitor *monitor
}

// run forwards one admitted request to the engine and relays the answer to the
// stream.
func (f *forwarder) run(ctx context.Context, head *stream.RequestHead, body []byte, s *link.Stream, ticket *admissionTicket) {
	f.inFlight.begin(head.Fingerprint)
	started := time.Now()
	response, err := f.call(ctx, head, body)
	if err != nil {
		f.handleCallError(ctx, head, err, s, ticket)
		return
	}
	defer func() { _ = response.Body.Close() }()
	err = f.relay(response, s, ticket, started)
	f.inFlight.end(head.Fingerprint, err != nil && ctx.Err() == nil)
	if err == nil {
		ticket.Done(admissionResult(response))
		return
	}
	f.finishFailed(ctx, head.RequestID, ticket)
	s.Cancel("the target failed in the middle of the answer, or the request was cancelled")
}

// finishFailed releases the ticket of a request without a complete answer. It
// does so only after the gate knows of the broken connection, or after the
// engine has been told of the cancellation, so that the slot is not reused early.
func (f *forwarder) finishFailed(ctx context.Context, id string, ticket *admissionTicket) {
	if ctx.Err() != nil {
		f.cancelOnEngine(id)
		ticket.Done(admit.Result{Cancelled: true})
		return
	}
	f.monitor.handleBrokenConnection()
	ticket.Done(admit.Result{})
}

func (f *forwarder) call(ctx context.Context, head *stream.RequestHead, body []byte) (*http.Response, error) {
	header := make(http.Header, len(head.Header))
	stream.AddForwardedFields(header, head.Header)
	return f.engine.Forward(ctx, engine.Call{
		ID:        head.RequestID,
		Method:    head.Method,
		Path:      head.Path,
		Header:    header,
		Body:      body,
		Priority:  priorityOfClass[table.Class(head.Class)],
		Remaining: time.Duration(head.RemainingMillis) * time.Millisecond,
	})
}

// handleCallError answers a request whose engine call failed. The request may
// have run, so the outcome is unknown; only refusals before the call report "not run".
func (f *forwarder) handleCallError(ctx context.Context, head *stream.RequestHead, err error, s *link.Stream, ticket *admissionTicket) {
	f.inFlight.end(head.Fingerprint, ctx.Err() == nil)
	f.finishFailed(ctx, head.RequestID, ticket)
	if ctx.Err() != nil {
		refuse(s, failure.New(failure.DeadlineExceeded, failure.Unknown, "the request was cancelled or its deadline passed"))
		return
	}
	refuse(s, failure.New(failure.EngineFailed, failure.Unknown, "the target failed while it had the request").WithCause(err))
}

// cancelOnEngine asks the engine to cancel a request.
func (f *forwarder) cancelOnEngine(id string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	f.engine.Cancel(ctx, id)
}

// relay sends the answer to the stream. A small answer of known length goes out
// in one frame; event streams and larger answers are relayed as they arrive.
func (f *forwarder) relay(response *http.Response, s *link.Stream, ticket *admissionTicket, started time.Time) error {
	if isEventStream(response) || response.ContentLength > maxSingleFrameBytes || response.ContentLength < 0 {
		return f.relayStream(response, s, ticket, started)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	f.monitor.observeIncarnation(response.Header.Get(engine.HeaderIncarnation))
	ticket.FirstToken(time.Since(started))
	return s.SendHead(responseHead(response), body, true)
}

// relayStream relays an answer as it arrives. Its incarnation is believed with its head if it is an event stream,
// whose end may be far, and otherwise at its end.
func (f *forwarder) relayStream(response *http.Response, s *link.Stream, ticket *admissionTicket, started time.Time) error {
	incarnation := response.Header.Get(engine.HeaderIncarnation)
	if isEventStream(response) {
		f.monitor.observeIncarnation(incarnation)
	}
	if err := s.SendHead(responseHead(response), nil, false); err != nil {
		return err
	}
	buffer := make([]byte, copyBufferBytes)
	first := true
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 && first {
			first = false
			ticket.FirstToken(time.Since(started))
		}
		if n > 0 {
			if _, writeErr := s.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			f.monitor.observeIncarnation(incarnation)
			return s.CloseWrite()
		}
		if err != nil {
			return err
		}
	}
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func responseHead(response *http.Response) *stream.ResponseHead {
	return &stream.ResponseHead{
		Status:            response.StatusCode,
		Header:            stream.ForwardedFields(response.Header),
		EngineIncarnation: response.Header.Get(engine.HeaderIncarnation),
	}
}

// Headers in which an engine reports the prompt length and the number of prompt
// tokens found in its cache.
const (
	headerPromptTokens = "X-Prompt-Tokens"
	headerCachedTokens = "X-Cached-Tokens"
)

func admissionResult(response *http.Response) admit.Result {
	prompt, _ := strconv.Atoi(response.Header.Get(headerPromptTokens))
	cached, _ := strconv.Atoi(response.Header.Get(headerCachedTokens))
	return admit.Result{
		OK:           response.StatusCode < http.StatusInternalServerError,
		PromptTokens: prompt,
		CachedTokens: cached,
	}
}

// refuse sends a failure instead of an answer.
func refuse(s *link.Stream, err *failure.Error) {
	head := &stream.ResponseHead{Status: err.Kind.Status(), Refusal: stream.NewRefusal(err)}
	_ = s.SendHead(head, nil, true)
}

// readBody reads a complete request body from a stream. It fails when the body
// is incomplete or larger than limit.
func readBody(s *link.Stream, limit int64) ([]byte, error) {
	var body bytes.Buffer
	_, err := io.Copy(&body, io.LimitReader(s, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(body.Len()) > limit {
		return nil, failure.New(failure.TooLarge, failure.NotRun, "the body is over the agent's limit")
	}
	return body.Bytes(), nil
}
