package forward

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/headers"
	"verbenaseam.example/verbenaseam/request/intake"
	"verbenaseam.example/verbenaseam/request/prompt"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/table"
)

// call is one request of a caller.
type call struct {
	id      string
	request *http.Request
	version *config.Version
	route   *table.Route
	// organisation is nil for requests without a key on public routes.
	organisation *table.Organisation
	service      string
	body         []byte
	hasBody      bool
	started      time.Time
	// deadline is the earlier of the caller's and the route's; byRoute tells that
	// it is the route's.
	deadline time.Time
	byRoute  bool
	work     dispatch.Work
	// fingerprint is that of all requests like this one.
	fingerprint uint64
	// attempts decides whether the call is sent again.
	attempts *retry.Session
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// target and waited are for the log.
	target string
	waited time.Duration
}

// read finds the route and the organisation and takes in the body.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*call, *failure.Error) {
	version := h.version()
	if version == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "this entry has no configuration yet").WithRetryAfter(time.Second)
	}
	c := &call{id: r.Header.Get(h.headers.Attempt), request: r, version: version, started: h.clock.Now()}
	if err := c.setRoute(&h.headers); err != nil {
		return c, err
	}
	if limit := version.Limits.HeaderBytes; limit > 0 && headers.Size(r) > limit {
		return c, failure.New(failure.HeadersTooLarge, failure.NotRun, "the headers are too large")
	}
	c.setDeadline(&h.headers)
	if err := c.readBody(w); err != nil {
		return c, err
	}
	c.fingerprint = prompt.Fingerprint(c.organisationName(), c.request.Host+c.request.RequestURI, c.body)
	if refused := h.poison.Verdict(c.fingerprint).Failure(h.clock.Now()); refused != nil {
		return c, refused
	}
	c.service = pickService(c.route.Direct.Split, rand.Float64())
	c.lastEvent = r.Header.Get(h.headers.LastEvent)
	c.work = dispatch.Work{Service: c.service, Urgency: c.urgency(), Arrived: c.started, GiveUp: c.giveUp()}
	c.attempts = retry.NewSession(retry.Policy{
		MaxAttempts: c.route.Direct.MaxAttempts, Once: !c.route.Idempotent, Deadline: c.deadline,
		Budget: h.budget(c.service), MinimumTime: leastTime,
	})
	return c, nil
}

// leastTime is the least time for which another attempt is worth making.
const leastTime = 20 * time.Millisecond

// setRoute finds the route by host and longest path, and checks the key.
func (c *call) setRoute(names *Headers) *failure.Error {
	route, ok := c.version.Routes.Route(table.Query{Host: hostName(c.request.Host), Path: pathOf(c.request.RequestURI)})
	if !ok {
		return failure.New(failure.NoRoute, failure.NotRun, "no route takes this request")
	}
	c.route = route
	if !c.version.KeysNeeded {
		return nil
	}
	key := intake.KeyOf(c.request.Header.Get(names.Key), names.KeyScheme)
	organisation, refused := intake.Organisation(c.version.Routes, key)
	if refused != nil && !route.Direct.Public {
		return refused
	}
	c.organisation = organisation
	return nil
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// pathOf returns the path of a request line's target as it was sent.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

func (c *call) readBody(w http.ResponseWriter) *failure.Error {
	r := c.request
	c.hasBody = r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != ""
	if !c.hasBody {
		return nil
	}
	body, err := intake.ReadBody(w, r, c.version.Limits.BodyBytes, c.deadline)
	c.body = body
	return err
}

// setDeadline takes the earlier of what the caller waits and the route allows.
func (c *call) setDeadline(names *Headers) {
	c.deadline = c.started.Add(maxWait)
	if wait, ok := waitOf(c.request.Header.Get(names.Deadline)); ok {
		c.deadline = c.started.Add(wait)
	}
	if c.route.Timeout <= 0 {
		return
	}
	if byRoute := c.started.Add(c.route.Timeout); byRoute.Before(c.deadline) {
		c.deadline, c.byRoute = byRoute, true
	}
}

// succeeded ends an attempt whose answer is whole. The answer goes to the caller
// also when its time has passed.
func (h *Handler) succeeded(c *call) {
	c.attempts.Succeeded(h.clock.Now())
	h.poison.Completed(c.fingerprint)
}

// class names the kind of a request for metrics.
func (c *call) class() string {
	switch {
	case c.route.Direct.Streams:
		return "stream"
	case c.route.Idempotent:
		return "idempotent"
	default:
		return "once"
	}
}

// organisationName is empty for requests without a key.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

func (c *call) urgency() int {
	if c.organisation != nil && c.organisation.Urgency != nil {
		return *c.organisation.Urgency
	}
	return c.route.Direct.Urgency
}

// waitShare is the part of a route's latency that a request may wait for a
// target; with more it could not be served in time.
const waitShare = 0.6

// giveUp is when a request that no target has taken is refused.
func (c *call) giveUp() time.Time {
	latency := c.route.Direct.Latency
	if latency <= 0 {
		return c.deadline
	}
	until := c.started.Add(time.Duration(waitShare * float64(latency)))
	if until.After(c.deadline) {
		return c.deadline
	}
	return until
}

// pickService picks one of the services by weight; at is in [0, 1).
func pickService(split []table.PoolShare, at float64) string {
	total := 0.0
	for _, share := range split {
		total += max(share.Weight, 0)
	}
	left := at * total
	for _, share := range split {
		left -= max(share.Weight, 0)
		if left < 0 {
			return share.Pool
		}
	}
	if len(split) == 0 {
		return ""
	}
	return split[len(split)-1].Pool
}

// deadlineSlack lets the end of a call's context come before that of its
// connection, so that the one is not taken for a fault of the target.
const deadlineSlack = 100 * time.Millisecond

// outgoing is the request as it goes to a target.
func (c *call) outgoing(names *Headers, t *dispatch.Target, now time.Time) *direct.Request {
	header := headers.EndToEnd(c.request.Header)
	header.Del(names.Key)
	header.Del(names.Organisation)
	if c.organisation != nil {
		header.Set(names.Organisation, c.organisation.Name)
	}
	left := max(c.deadline.Sub(now).Milliseconds(), 1)
	header.Set(names.Deadline, strconv.FormatInt(left, 10))
	header.Set(names.Expect, t.ID())
	if c.lastEvent != "" {
		header.Set(names.LastEvent, c.lastEvent)
	}
	return &direct.Request{
		Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host,
		Header: header, Body: c.body, HasBody: c.hasBody, Deadline: c.deadline.Add(deadlineSlack),
		IDHeader: names.Attempt, ID: c.id,
	}
}
