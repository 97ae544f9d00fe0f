package forward

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/connection/pace"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/memory"
	"verbenaseam.example/verbenaseam/request/capacity"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/finish"
	"verbenaseam.example/verbenaseam/request/headers"
	"verbenaseam.example/verbenaseam/request/intake"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/prompt"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/table"
)

// call is the state of one request of a caller.
type call struct {
	id      string
	request *http.Request
	version *config.Version
	route   *table.Route
	// organisation is nil for requests without a valid key on public routes.
	organisation *table.Organisation
	service      string
	body         []byte
	hasBody      bool
	started      time.Time
	// deadline is the earlier of the caller's and the route's; routeDeadline is set
	// if it is the route's.
	deadline      time.Time
	routeDeadline bool
	work          dispatch.Request
	finishWork    finish.Work
	// subject is what may crash targets. Its fingerprint is the same for all requests with
	// the same organisation, URL and body.
	subject poison.Subject
	// trial is the suspect, the fingerprint or a part, that the call runs on trial for, 0 for
	// none. A call on trial is sent to one target only.
	trial uint64
	// firstEvent is when the current attempt received its first event, zero before that; ran
	// is set once it has received events for provenAfter.
	firstEvent time.Time
	ran        bool
	// attempts decides whether the call is retried.
	attempts *retry.Session
	// lastEventID is the ID of the last stream event that the caller has received, or
	// empty.
	lastEventID string
	// target and queueWait are logged: the last target that the call was sent to and
	// the total time in the dispatcher's queue.
	target    string
	queueWait time.Duration
	// slot is the target that the call holds a slot at while an attempt runs, or nil.
	slot *dispatch.Target
	// run is the current attempt, nil before the first one.
	run *finish.Run
	// resuming is set while the call's stream is continued at another target.
	resuming bool
	// undelivered is why the caller did not receive the whole response, nil if it did.
	undelivered error
	// held is what the process holds for the call.
	held *memory.Holder
	// startedLate is set if the last target was granted when the call could not be in time
	// any more.
	startedLate bool
}

// newCall resolves the route and the organisation of a request and reads its body.
// The call is returned along with a failure, except when there is no configuration
// yet.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) (*call, *failure.Error) {
	version := h.version()
	if version == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "this entry has no configuration yet").WithRetryAfter(time.Second)
	}
	c := &call{id: attemptID(r.Header.Get(h.headers.Attempt)), request: r, version: version, started: h.clock.Now()}
	if err := c.setRoute(&h.headers); err != nil {
		return c, err
	}
	if limit := version.Limits.MaxHeaderBytes; limit > 0 && headers.RequestSize(r) > limit {
		return c, failure.New(failure.HeadersTooLarge, failure.NotRun, "the headers are too large")
	}
	c.setDeadline(&h.headers)
	c.held = h.memory.Open(c.organisationName())
	if err := h.readBodyOf(c, w); err != nil {
		return c, err
	}
	c.subject = poison.Subject{
		Fingerprint: prompt.Fingerprint(c.organisationName(), c.request.Host+c.request.RequestURI, c.body),
		Parts:       h.promptParts(r.Header),
	}
	if err := h.refuseSuspect(c); err != nil {
		return c, err
	}
	c.service = pickService(c.route.Direct.Split, rand.Float64())
	c.lastEventID = r.Header.Get(h.headers.LastEvent)
	c.finishWork = finishWork(r, c.route.Name)
	prompt, output := h.tokens(r.Header)
	c.work = dispatch.Request{
		Service: c.service, Urgency: c.urgency(), Organisation: c.organisationName(), Weight: c.weight(),
		Timing: h.timing(c), QueueDeadline: c.queueDeadline(),
		Bytes: h.transfers.expected(c.route.Name), Tokens: prompt + output,
	}
	if h.dispatcher.ExceedsMemory(c.service, c.work.Tokens) {
		return c, failure.New(failure.TooLarge, failure.NotRun, "the request has more tokens than the memory of any target")
	}
	c.attempts = retry.NewSession(retry.Policy{
		MaxAttempts: c.route.Direct.MaxAttempts, NonIdempotent: !c.route.Idempotent, Deadline: c.deadline,
		Budget: h.budget(c.service), MinAttemptTime: minAttemptTime,
	})
	return c, nil
}

// attemptID returns the ID that a caller gave to its request, or a new one. Without an ID, a
// late response to one request could be taken for that to another.
func attemptID(given string) string {
	if given != "" {
		return given
	}
	return strconv.FormatUint(rand.Uint64(), 36)
}

// minAttemptTime is the least remaining time for which a retry is worthwhile.
const minAttemptTime = 20 * time.Millisecond

// setRoute selects the route by host and longest path prefix, and the organisation by
// the request's key if the configuration requires keys.
func (c *call) setRoute(names *Headers) *failure.Error {
	route, ok := c.version.Routes.Route(table.Query{Host: hostName(c.request.Host), Path: requestPath(c.request.RequestURI)})
	if !ok {
		return failure.New(failure.NoRoute, failure.NotRun, "no route takes this request")
	}
	c.route = route
	if !c.version.RequireKeys {
		return nil
	}
	key := intake.KeyFromHeader(c.request.Header.Get(names.Key), names.KeyScheme)
	organisation, err := intake.Authenticate(c.version.Routes, key)
	if err != nil && !route.Direct.Public {
		return err
	}
	c.organisation = organisation
	return nil
}

// hostName returns the lower-case host name of a Host header, without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// requestPath returns the path of a request URI, still escaped as it was sent.
func requestPath(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

func (h *Handler) readBodyOf(c *call, w http.ResponseWriter) *failure.Error {
	r := c.request
	c.hasBody = r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != ""
	if !c.hasBody {
		return nil
	}
	defer intake.EndReads(w, h.guard)()
	body, err := intake.ReadHeldBody(w, r, c.version.Limits.MaxBodyBytes, c.deadline, c.held)
	c.body = body
	if err != nil && err.Kind == failure.Overloaded {
		h.metrics.CountMemoryDecision("reject_body")
		return err.WithRetryAfter(retryAfter(false, c.deadline.Sub(h.clock.Now()), rand.Float64()))
	}
	return err
}

// setDeadline sets the earlier of the caller's deadline and the route's.
func (c *call) setDeadline(names *Headers) {
	c.deadline = c.started.Add(maxTimeout)
	if timeout, ok := parseTimeout(c.request.Header.Get(names.Deadline)); ok {
		c.deadline = c.started.Add(timeout)
	}
	if c.route.Timeout <= 0 {
		return
	}
	if deadline := c.started.Add(c.route.Timeout); deadline.Before(c.deadline) {
		c.deadline, c.routeDeadline = deadline, true
	}
}

// recordSuccess ends an attempt whose response is complete. It does not check the
// deadline: the response is sent to the caller even if that has passed meanwhile.
func (h *Handler) recordSuccess(c *call) {
	c.attempts.Succeeded(h.clock.Now())
	h.crashes.Completed(c.subject.Fingerprint)
	h.crashes.PartsRan(c.subject.Parts)
}

// classOnce is the class of at-most-once requests that are no streams.
const classOnce = "once"

// class returns the value of the metrics label "class".
func (c *call) class() string {
	switch {
	case c.route.Direct.Streams:
		return "stream"
	case c.route.Idempotent:
		return "idempotent"
	default:
		return classOnce
	}
}

// organisationName returns an empty string if the call has no organisation.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// urgency returns the organisation's urgency if it has one, otherwise the route's.
// Lower values go first.
func (c *call) urgency() int {
	if c.organisation != nil && c.organisation.Urgency != nil {
		return *c.organisation.Urgency
	}
	return c.route.Direct.Urgency
}

// weight returns the organisation's weight, 0 for the default one.
func (c *call) weight() float64 {
	if c.organisation == nil {
		return 0
	}
	return c.organisation.Weight
}

// timing returns what the dispatcher needs to know of the time that the call has.
func (h *Handler) timing(c *call) capacity.Timing {
	timing := capacity.Timing{Arrived: c.started, Objective: c.route.Direct.Latency, Deadline: c.deadline}
	// A caller that resumes a stream has received its first event already.
	if left, ok := parseTimeout(c.request.Header.Get(h.headers.Deadline)); ok && c.lastEventID == "" {
		timing.Age = h.attemptAges.age(c.route.Name, left)
	}
	return timing
}

// queueShare is the share of the route's latency objective that a request may spend
// in the queue while the dispatcher does not know how long the targets need.
const queueShare = 0.6

// queueDeadline returns when the call is rejected if it is still in the queue and the
// dispatcher does not know how long the targets need.
func (c *call) queueDeadline() time.Time {
	latency := c.route.Direct.Latency
	if latency <= 0 {
		return c.deadline
	}
	deadline := c.started.Add(time.Duration(queueShare * float64(latency)))
	if deadline.After(c.deadline) {
		return c.deadline
	}
	return deadline
}

// pickService selects a service by weight; random is in [0, 1).
func pickService(split []table.PoolShare, random float64) string {
	total := 0.0
	for _, share := range split {
		total += max(share.Weight, 0)
	}
	remaining := random * total
	for _, share := range split {
		remaining -= max(share.Weight, 0)
		if remaining < 0 {
			return share.Pool
		}
	}
	if len(split) == 0 {
		return ""
	}
	return split[len(split)-1].Pool
}

// deadlineSlack is added to the call's deadline for the connection to the target.
// Without it the connection could time out before the call's context, which would be
// mistaken for a fault of the target.
const deadlineSlack = 100 * time.Millisecond

// mixedUrgency reports whether the requests of the call's service differ in urgency.
func (c *call) mixedUrgency() bool {
	if c.version == nil {
		return false
	}
	service := c.version.Services[c.service]
	return service != nil && service.MixedUrgency
}

// maxStatedUrgency is the least urgent value that targets know.
const maxStatedUrgency = 9

// outgoingRequest returns the request to send to a target.
func (c *call) outgoingRequest(names *Headers, rate pace.Rate, t *dispatch.Target, now time.Time) *direct.Request {
	header := headers.EndToEnd(c.request.Header)
	header.Del(names.Key)
	header.Del(names.Organisation)
	if c.organisation != nil {
		header.Set(names.Organisation, c.organisation.Name)
	}
	remaining := max(c.deadline.Sub(now).Milliseconds(), 1)
	header.Set(names.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(names.Expect, t.ID())
	header.Set(names.Attempt, c.id)
	if names.Urgency != "" && c.mixedUrgency() {
		header.Set(names.Urgency, strconv.Itoa(min(max(c.work.Urgency, 0), maxStatedUrgency)))
	}
	if c.lastEventID != "" {
		header.Set(names.LastEvent, c.lastEventID)
	}
	return &direct.Request{
		Method: c.request.Method, RequestTarget: c.request.RequestURI, Host: c.request.Host,
		Header: header, Body: c.body, HasBody: c.hasBody, Deadline: c.deadline.Add(deadlineSlack),
		IDHeader: names.Attempt, ID: c.id, Pace: rate,
	}
}
