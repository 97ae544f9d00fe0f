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
	// unaryLimitBytes is the size up to which an answer travels in one frame.
	unaryLimitBytes = 64 << 10
	copyBufferBytes = 4 << 10
	cancelTimeout   = time.Second
)

// Priorities of classes at the engine; more is sooner.
var priorityOfClass = map[table.Class]int{
	table.ClassLow:    0,
	table.ClassNormal: 1,
	table.ClassHigh:   2,
}

// forwarder runs admitted requests on the engine and relays their answers.
type forwarder struct {
	engine *engine.Client
	flight *flight
	// monitor is told which incarnation answers and when a connection breaks.
	monitor *monitor
}

// run forwards one admitted request and relays the answer to the stream.
func (f *forwarder) run(ctx context.Context, head *stream.RequestHead, body []byte, s *link.Stream, ticket *pass) {
	f.flight.begin(head.Fingerprint)
	started := time.Now()
	response, err := f.call(ctx, head, body)
	if err != nil {
		f.unreachable(ctx, head, err, s, ticket)
		return
	}
	defer func() { _ = response.Body.Close() }()
	f.monitor.answered(response.Header.Get(engine.HeaderIncarnation))
	err = f.relay(response, s, ticket, started)
	f.flight.end(head.Fingerprint, err != nil && ctx.Err() == nil)
	if err == nil {
		ticket.Done(resultOf(response))
		return
	}
	f.fail(ctx, head.RequestID, ticket)
	s.Cancel("the target failed in the middle of the answer, or the request was cancelled")
}

// fail ends the pass of a request without a whole answer: its place is free
// only once the gate knows of a broken engine, or the engine of the cancelling.
func (f *forwarder) fail(ctx context.Context, id string, ticket *pass) {
	if ctx.Err() != nil {
		f.cancel(id)
		ticket.Done(admit.Result{Cancelled: true})
		return
	}
	f.monitor.broke()
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

// unreachable answers a request whose call to the engine failed. It may have
// run: only the gate says "not run".
func (f *forwarder) unreachable(ctx context.Context, head *stream.RequestHead, err error, s *link.Stream, ticket *pass) {
	f.flight.end(head.Fingerprint, ctx.Err() == nil)
	f.fail(ctx, head.RequestID, ticket)
	if ctx.Err() != nil {
		refuse(s, failure.New(failure.DeadlineExceeded, failure.Unknown, "the request was cancelled or its deadline passed"))
		return
	}
	refuse(s, failure.New(failure.EngineFailed, failure.Unknown, "the target failed while it had the request").WithCause(err))
}

func (f *forwarder) cancel(id string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	f.engine.Cancel(ctx, id)
}

// relay sends the answer: a small one in one frame, others as they come.
func (f *forwarder) relay(response *http.Response, s *link.Stream, ticket *pass, started time.Time) error {
	if isEventStream(response) || response.ContentLength > unaryLimitBytes || response.ContentLength < 0 {
		return f.relayStream(response, s, ticket, started)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	ticket.FirstToken(time.Since(started))
	return s.SendHead(responseHead(response), body, true)
}

func (f *forwarder) relayStream(response *http.Response, s *link.Stream, ticket *pass, started time.Time) error {
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

// Header fields in which an engine tells how much of a prompt it had cached.
const (
	headerPromptTokens = "X-Prompt-Tokens"
	headerCachedTokens = "X-Cached-Tokens"
)

func resultOf(response *http.Response) admit.Result {
	prompt, _ := strconv.Atoi(response.Header.Get(headerPromptTokens))
	cached, _ := strconv.Atoi(response.Header.Get(headerCachedTokens))
	return admit.Result{
		OK:           response.StatusCode < http.StatusInternalServerError,
		PromptTokens: prompt,
		CachedTokens: cached,
	}
}

// refuse answers a stream with a typed failure and no body.
func refuse(s *link.Stream, err *failure.Error) {
	head := &stream.ResponseHead{Status: err.Kind.Status(), Refusal: stream.NewRefusal(err)}
	_ = s.SendHead(head, nil, true)
}

// readBody takes a whole request body off a stream; it fails when the body is
// incomplete or over the limit.
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
