package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// callersPerKind is the number of callers of each kind of request.
	callersPerKind = 4
	// pauseBetween is the mean time between two requests of a caller.
	pauseBetween = 40 * time.Millisecond
	// patience is how long a caller waits for one request in all, with its retries.
	patience = 4 * time.Second
	// maxRetries is how often a caller sends a request again.
	maxRetries = 4
	// retryPause is the time before a retry, unless the refusal names one.
	retryPause = 50 * time.Millisecond
	// directoryTTL is how long a caller keeps the addresses of entries.
	directoryTTL = 2 * time.Second
	requestBody  = "body"
)

// caller sends requests of one kind. It keeps its connections until they are closed.
type caller struct {
	kind    requestKind
	records *records
	random  *rand.Rand
	client  *http.Client
	// directories are the addresses of the entries' directories.
	directories []string
	// entries are the addresses of the entries, by their numbers.
	entries    []string
	addresses  []string
	resolvedAt time.Time
	// pinned is the address of the only entry that the caller uses, empty for those that directories
	// name.
	pinned string
	// judging reports whether every request must be served by now.
	judging func() bool
	// changed reports whether prompts begin with newParts by now; nil if they never do.
	changed func() bool
}

func newCaller(kind requestKind, r *records, seed uint64, directories, entries []string, judging func() bool) *caller {
	return &caller{
		kind: kind, records: r, random: rand.New(rand.NewPCG(seed, 2)), directories: directories, entries: entries, judging: judging,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}},
	}
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		judged := c.judging()
		sent := time.Now()
		outcome := c.request()
		c.records.count(c.kind, outcome, sent)
		if judged && c.kind == lookup && outcome != Served {
			c.records.broken(LookupsAreServed, "a lookup ended: %s", outcome)
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * pauseBetween))))
	}
}

// Served is the outcome of a request that was served; other outcomes are statuses, or words
// for what happened.
const Served = "served"

// cutOutcome is the outcome of a request whose response broke off.
const cutOutcome = "cut"

// request sends one request, with the retries that its kind allows, and returns the outcome.
func (c *caller) request() string {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	outcome := "no entry known"
	for range 1 + maxRetries {
		address := c.entry()
		wait := retryPause
		again := true
		if address != "" {
			outcome, wait, again = c.send(ctx, address)
		}
		if !again {
			return outcome
		}
		select {
		case <-ctx.Done():
			return outcome
		case <-time.After(wait):
		}
	}
	return outcome
}

// entry returns the address of an entry, from the directory of any.
func (c *caller) entry() string {
	if c.pinned != "" {
		return c.pinned
	}
	if time.Since(c.resolvedAt) > directoryTTL || len(c.addresses) == 0 {
		directory := c.directories[c.random.IntN(len(c.directories))]
		if addresses := standin.QueryDirectory(directory, "z1"); len(addresses) > 0 {
			c.addresses, c.resolvedAt = addresses, time.Now()
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.random.IntN(len(c.addresses))]
}

var paths = map[requestKind]string{lookup: "/look/x", order: "/order/x", chat: "/chat/stream", crashing: "/look/", slowLookup: "/look/slow", slowOrder: "/order/slow"}

// send sends an attempt. It returns the outcome, the time after which the caller may try
// again, and whether it may.
func (c *caller) send(ctx context.Context, address string) (outcome string, wait time.Duration, again bool) {
	sent := c.records.begin(c.kind, c.path(), slices.Index(c.entries, address))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+sent.path, strings.NewReader(requestBody))
	if err != nil {
		return err.Error(), 0, false
	}
	request.Host = standin.Hostname
	request.Header.Set(platform.HeaderAttemptID, sent.id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
	request.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+standin.APIKey)
	request.Header.Set(platform.HeaderPromptParts, promptParts(sent, c.changed != nil && c.changed()))
	response, err := c.client.Do(request)
	if err != nil {
		c.addresses = nil
		c.notAnswered(ctx, sent, err)
		return "no response", retryPause, c.kind.repeatable()
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return c.receive(sent, response)
	}
	if promisesNotRun(response.StatusCode) {
		c.records.refusedAsNotRun(sent, response.StatusCode)
		return strconv.Itoa(response.StatusCode), retryAfter(response), true
	}
	return strconv.Itoa(response.StatusCode), retryPause, c.kind.repeatable()
}

// notAnswered records an attempt without a whole answer, if the caller still waited. ctx is that of
// the request.
func (c *caller) notAnswered(ctx context.Context, sent attempt, cause error) {
	if isWaiting(ctx) {
		c.records.wasNotAnswered(sent, cause)
	}
}

// isWaiting reports whether the caller of a request still waits for its answer. It compares times: an
// entry ends a request at the deadline that the caller states, which may be before the timer of ctx
// runs.
func isWaiting(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() == nil && (!limited || time.Now().Before(deadline))
}

// promptParts returns the parts of the prompt of an attempt. changed is set once requests with
// crashingPart come.
func promptParts(sent attempt, changed bool) string {
	shared := sharedPart
	if changed {
		shared = newParts
	}
	if sent.kind == crashing {
		return newParts + "," + crashingPart + ":410," + sent.id + ":250"
	}
	return shared + "," + sent.id + ":250"
}

// retryAfter returns the time that a refusal asks to wait.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get(platform.HeaderRetryAfter), 64)
	if err != nil {
		return retryPause
	}
	return min(time.Duration(seconds*float64(time.Second)), patience/3)
}

// receive reads and checks a successful answer.
func (c *caller) receive(sent attempt, response *http.Response) (outcome string, wait time.Duration, again bool) {
	if response.Header.Get(platform.HeaderAttemptID) != sent.id || response.Header.Get(platform.HeaderSignature) == "" {
		c.records.broken(AnswerIsWhole, "%s got the answer of %q, signature %q", sent.id,
			response.Header.Get(platform.HeaderAttemptID), response.Header.Get(platform.HeaderSignature))
	}
	if c.kind == chat {
		outcome, err := c.receiveStream(sent, response.Body)
		if outcome == cutOutcome {
			c.notAnswered(response.Request.Context(), sent, err)
		}
		return outcome, 0, false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.notAnswered(response.Request.Context(), sent, err)
		return cutOutcome, retryPause, c.kind.repeatable()
	}
	if string(body) != standin.Answer {
		c.records.broken(AnswerIsWhole, "%s got %q", sent.id, body)
	}
	return Served, 0, false
}

// streamCutError means that a stream broke off.
type streamCutError struct {
	// Events is the number of events that came whole.
	Events int
	Cause  error
}

// Error implements error.
func (e *streamCutError) Error() string { return fmt.Sprintf("after event %d: %v", e.Events, e.Cause) }

// Unwrap returns the error of reading the stream.
func (e *streamCutError) Unwrap() error { return e.Cause }

// receiveStream reads a stream and checks that its events have the IDs from 1, and that it
// does not look complete before the last one. It returns the outcome, and the error that cut the
// stream off.
func (c *caller) receiveStream(sent attempt, body io.Reader) (outcome string, cut error) {
	lines := bufio.NewReader(body)
	events := 0
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && events != streamEvents {
				c.records.broken(StreamIsWhole, "%s looks complete after %d of %d events", sent.id, events, streamEvents)
			}
			if events == streamEvents {
				return Served, nil
			}
			return cutOutcome, &streamCutError{Events: events, Cause: err}
		}
		id, isID := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !isID {
			continue
		}
		events++
		if id != strconv.Itoa(events) {
			c.records.broken(StreamIsWhole, "%s has event %s in place of %d", sent.id, id, events)
			return "disordered", nil
		}
	}
}
