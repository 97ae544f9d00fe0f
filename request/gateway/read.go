package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/headers"
	"verbenaseam.example/verbenaseam/request/intake"
	"verbenaseam.example/verbenaseam/request/prompt"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	maxIdempotencyKeyBytes = 256
	maxRequestIDBytes      = 128
	// maxTimeout bounds the timeout that a caller may request.
	maxTimeout = time.Hour
)

// readCall authenticates a caller's request, reads its body, and determines its
// route and deadline.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, id string) (*call, error) {
	if headers.RequestSize(r) > g.limits.HeaderBytes {
		return nil, failure.New(failure.TooLarge, failure.NotRun, "the headers are too large")
	}
	snapshot := g.tables.Current()
	if snapshot == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "this entry has no configuration yet").WithRetryAfter(time.Second)
	}
	organisation, refused := intake.Authenticate(snapshot, intake.KeyFromHeader(r.Header.Get("Authorization"), "Bearer "))
	if refused != nil {
		return nil, refused
	}
	c := &call{
		id: id, organisation: organisation, snapshot: snapshot,
		method: r.Method, path: r.URL.RequestURI(), header: r.Header,
		idempotencyKey: r.Header.Get(HeaderIdempotencyKey), started: g.clock.Now(),
	}
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "the idempotency key is too long")
	}
	defer intake.EndReads(w, g.guard)()
	if c.body, refused = intake.ReadBody(w, r, g.limits.BodyBytes, time.Now().Add(g.limits.BodyTimeout)); refused != nil {
		return nil, refused
	}
	if err := c.parsePrompt(r); err != nil {
		return nil, err
	}
	if err := c.setRoute(r); err != nil {
		return nil, err
	}
	c.fingerprint = prompt.Fingerprint(organisation.Name, c.path, c.body)
	return c, c.setDeadline(r)
}

// requestID returns the caller's request ID, or a new one if it is missing or
// too long.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		return uuid.NewString()
	}
	return id
}

// parsePrompt parses the prompt of a model request; it does nothing on other paths.
func (c *call) parsePrompt(r *http.Request) error {
	if r.URL.Path != PathChat && r.URL.Path != PathCompletions {
		return nil
	}
	if r.Method != http.MethodPost {
		return failure.New(failure.BadRequest, failure.NotRun, "completions take POST")
	}
	parsed, err := prompt.Parse(c.body)
	c.prompt = parsed
	return err
}

// setRoute sets the route and the service class of the call.
func (c *call) setRoute(r *http.Request) error {
	requested := table.Class(r.Header.Get(HeaderClass))
	route, ok := c.snapshot.Route(table.Query{
		Path: r.URL.Path, Model: c.prompt.Model, Organisation: c.organisation.Name,
		Class: requested, Header: r.Header.Get,
	})
	if !ok {
		return failure.New(failure.NoRoute, failure.NotRun, "no route takes this request")
	}
	c.route = route
	c.class = route.Class
	switch requested {
	case table.ClassLow, table.ClassNormal, table.ClassHigh:
		c.class = requested
	}
	if c.class == "" {
		c.class = table.ClassNormal
	}
	return nil
}

// setDeadline sets the deadline from the route's timeout, or from the timeout
// that the caller requests if that is shorter.
func (c *call) setDeadline(r *http.Request) error {
	timeout := c.route.Timeout
	if text := r.Header.Get(HeaderTimeout); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
			message := HeaderTimeout + " is not a whole number of milliseconds above 0"
			return failure.New(failure.BadRequest, failure.NotRun, message)
		}
		timeout = min(timeout, time.Duration(millis)*time.Millisecond)
	}
	c.deadline = c.started.Add(timeout)
	return nil
}
