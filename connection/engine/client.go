package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
	"verbenaseam.example/verbenaseam/connection/integrity"
)

// Header fields that an agent and its back end exchange.
const (
	HeaderIncarnation = "X-Engine-Incarnation"
	HeaderRequestID   = "X-Request-Id"
	HeaderPriority    = "X-Priority"
	HeaderTimeoutMS   = "X-Timeout-Ms"
)

// Kinds of back end: KindModel is an engine, KindService a plain HTTP service.
const (
	KindModel   = "model"
	KindService = "service"
)

const (
	dialTimeout     = time.Second
	connBufferBytes = 2 << 10
	maxIdleConns    = 512
	idleConnTimeout = 30 * time.Second
	probeTimeout    = 2 * time.Second
	// probeDrainBytes is how much of a probe response is read, so that its connection
	// can be reused.
	probeDrainBytes = 64 << 10
	// maxResponseHeadBytes is the maximum size of the head of a response.
	maxResponseHeadBytes = 64 << 10
	// maxControlBytes is the maximum size of the body of a control response, for instance of an expert map.
	maxControlBytes = 8 << 20
)

// Client calls one back end over HTTP.
type Client struct {
	base string
	kind string
	http *http.Client
	api  *engineapi.Client
}

// State is the result of a probe.
type State struct {
	// Incarnation identifies one start of the back end; empty if it reports none.
	Incarnation string
	// Running and Waiting count requests as reported by the engine, which may lag
	// behind.
	Running, Waiting int
	// InFlight counts the requests that the engine holds at the time of the probe.
	InFlight int
	// CacheHitRatio is the share of prompt tokens that the engine found in its
	// cache.
	CacheHitRatio float64
	// Latency is the duration of the probe.
	Latency time.Duration
}

// UnreachableError means that the back end did not respond. A request that was sent
// may still have taken effect.
type UnreachableError struct {
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string { return "no response from back end: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NewClient returns a client of the back end at the base URL. kind is KindModel or
// KindService.
func NewClient(base, kind string) (*Client, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      connBufferBytes,
		WriteBufferSize:     connBufferBytes,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
	client := &http.Client{Transport: integrity.NewTransport(transport), CheckRedirect: returnRedirects}
	api, err := engineapi.NewClient(base, engineapi.WithClient(controlClient{client}))
	if err != nil {
		return nil, &UnreachableError{Cause: err}
	}
	return &Client{base: base, kind: kind, http: client, api: api}, nil
}

// controlClient sends the calls of the control API, whose generated client reads bodies whole, and fails at
// those over maxControlBytes.
type controlClient struct{ http *http.Client }

// Do sends a call.
func (c controlClient) Do(request *http.Request) (*http.Response, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxControlBytes)
	return response, nil
}

// returnRedirects makes the HTTP client return redirects to the caller: following
// one would send the request a second time.
func returnRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call is one request to forward.
type Call struct {
	ID, Method, Path string
	Header           http.Header
	Body             []byte
	// Priority is the priority of the request; a higher value is more important.
	Priority int
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
}

// Forward sends a request; the caller must close the body of the response. A request
// that has a body or is not idempotent is never sent twice: it fails if it is sent on
// an idle connection that the back end has closed.
func (c *Client) Forward(ctx context.Context, call Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &UnreachableError{Cause: err}
	}
	if call.Header != nil {
		request.Header = call.Header
	}
	// Idempotency keys are not forwarded to the back end: net/http treats a request
	// with one of these headers as idempotent and may send it again.
	request.Header.Del("Idempotency-Key")
	request.Header.Del("X-Idempotency-Key")
	request.Header.Set(HeaderRequestID, call.ID)
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	request.Header.Set(HeaderTimeoutMS, strconv.FormatInt(call.Remaining.Milliseconds(), 10))
	// Without GetBody, net/http cannot send the body again on another connection.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &UnreachableError{Cause: err}
	}
	if id := response.Header.Get(HeaderRequestID); id != "" && id != call.ID {
		// The error of closing a response that is not read is that of its connection.
		_ = response.Body.Close()
		return nil, &UnreachableError{Cause: &ForeignResponseError{Want: call.ID, Got: id}}
	}
	return response, nil
}

// ForeignResponseError means that a response names another request than the one that was sent on
// its connection: a back end has sent an earlier response once more.
type ForeignResponseError struct{ Want, Got string }

// Error implements error.
func (e *ForeignResponseError) Error() string {
	return "response belongs to request " + strconv.Quote(e.Got) + ", want " + strconv.Quote(e.Want)
}

// Probe requests the state of the back end.
func (c *Client) Probe(ctx context.Context) (State, error) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := time.Now()
	if c.kind == KindService {
		return c.probeService(probeCtx, start)
	}
	status, err := c.api.GetStatus(probeCtx)
	if err != nil {
		return State{}, &UnreachableError{Cause: err}
	}
	inFlight, err := c.api.ListInFlight(probeCtx)
	if err != nil {
		return State{}, &UnreachableError{Cause: err}
	}
	return State{
		Incarnation:   inFlight.Incarnation,
		Running:       status.Running,
		Waiting:       status.Waiting,
		InFlight:      len(inFlight.Requests),
		CacheHitRatio: status.CacheHitRatio,
		Latency:       time.Since(start),
	}, nil
}

// probeService probes a plain service. Any whole HTTP response counts as success.
func (c *Client) probeService(ctx context.Context, start time.Time) (State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/incarnation", nil)
	if err != nil {
		return State{}, &UnreachableError{Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return State{}, &UnreachableError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, probeDrainBytes)); err != nil {
		return State{}, &UnreachableError{Cause: err}
	}
	return State{Incarnation: response.Header.Get(HeaderIncarnation), Latency: time.Since(start)}, nil
}

// Cancel tells the engine to stop work on a request. It does nothing for a plain
// service, which stops work when the connection of the request is closed.
func (c *Client) Cancel(ctx context.Context, id string) {
	if c.kind != KindModel {
		return
	}
	_, _ = c.api.CancelRequest(ctx, engineapi.CancelRequestParams{ID: id})
}

// ControlAPI returns the client of the engine's control ControlAPI.
func (c *Client) ControlAPI() *engineapi.Client { return c.api }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
