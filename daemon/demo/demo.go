package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"verbenaseam.example/verbenaseam/api/gen/operatorapi"
	"verbenaseam.example/verbenaseam/daemon/dev"
	"verbenaseam.example/verbenaseam/process/failure"
)

// Config configures a demonstration.
type Config struct {
	// Phase is the duration of each of its three phases.
	Phase time.Duration
	// Callers is the number of concurrent callers.
	Callers int
}

// ViolationsError means that guarantees were violated during the demonstration.
type ViolationsError struct {
	Count int
}

// Error implements error.
func (e *ViolationsError) Error() string {
	return fmt.Sprintf("%d guarantee violations", e.Count)
}

const (
	// enforcementLimit is the time after which a failure domain that was taken out must
	// get no new work.
	enforcementLimit = 3 * time.Second
	chatTokens       = 24
	requestTimeout   = 30 * time.Second
	requestPause     = 5 * time.Millisecond
)

// run is one demonstration.
type run struct {
	config Config
	system *dev.System
	tally  *tally

	// mu guards the fields below; no other lock is taken under it.
	mu         sync.Mutex
	phase      string
	ordersDone int
}

// Run runs the demonstration against a running system and prints a table of the results.
// It fails with ViolationsError if a guarantee was violated.
func Run(ctx context.Context, system *dev.System, cfg Config, out io.Writer) error {
	r := &run{config: cfg, system: system, tally: newTally()}
	working, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	r.setPhase("1 steady")
	for i := range cfg.Callers {
		workers.Go(func() { r.runCaller(working, i) })
	}
	r.runPhases(ctx)
	stop()
	workers.Wait()
	r.checkOrders(ctx)
	r.tally.print(out)
	if violations := r.tally.listViolations(); len(violations) > 0 {
		return &ViolationsError{Count: len(violations)}
	}
	_, _ = fmt.Fprintln(out, "all guarantees held")
	return nil
}

func (r *run) setPhase(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = name
}

func (r *run) currentPhase() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase
}

// runPhases takes a failure domain out of service and brings it back, and checks that it
// gets no new work meanwhile and that no engine was overloaded.
func (r *run) runPhases(ctx context.Context) {
	domain := r.system.Description.FailureDomains[0]
	wait(ctx, r.config.Phase)
	r.setPhase("2 failure domain out")
	r.setDomain(ctx, domain, operatorapi.SetDomainReqStateOut)
	wait(ctx, enforcementLimit)
	before := r.countStarted(domain)
	wait(ctx, r.config.Phase)
	if after := r.countStarted(domain); after != before {
		r.tally.addViolation("failure domain %s got %d new requests more than %s after it was taken out", domain, after-before, enforcementLimit)
	}
	r.setPhase("3 failure domain back")
	r.setDomain(ctx, domain, operatorapi.SetDomainReqStateIn)
	wait(ctx, r.config.Phase)
	for name, engine := range r.system.Engines {
		if overloads := engine.Counters().OverloadCrashes; overloads > 0 {
			r.tally.addViolation("%s was overloaded %d times", name, overloads)
		}
	}
}

// countStarted returns the number of requests started by the engines of a failure domain.
func (r *run) countStarted(domain string) int64 {
	total := int64(0)
	for name, engine := range r.system.Engines {
		if strings.HasSuffix(name, domain) {
			total += engine.Counters().Started
		}
	}
	return total
}

// operatorKey authenticates requests with an operator key.
type operatorKey string

// Bearer implements operatorapi.SecuritySource.
func (k operatorKey) Bearer(context.Context, operatorapi.OperationName) (operatorapi.Bearer, error) {
	return operatorapi.Bearer{Token: string(k)}, nil
}

func (r *run) setDomain(ctx context.Context, domain string, state operatorapi.SetDomainReqState) {
	description := r.system.Description
	client, err := operatorapi.NewClient(description.Operator, operatorKey(description.OperatorKey))
	if err == nil {
		_, err = client.SetDomain(ctx, &operatorapi.SetDomainReq{State: state}, operatorapi.SetDomainParams{Name: domain})
	}
	if err != nil {
		r.tally.addViolation("failure domain %s could not be set to %s: %v", domain, state, err)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// runCaller sends requests as a single caller until ctx ends.
func (r *run) runCaller(ctx context.Context, number int) {
	organisations := []string{}
	for organisation := range r.system.Description.Callers {
		organisations = append(organisations, organisation)
	}
	organisation := organisations[number%len(organisations)]
	first := r.system.Description.Entries[number%len(r.system.Description.Entries)]
	c := newClient(r.system.Description.Callers[organisation], first)
	if err := c.discoverEntries(ctx); err != nil {
		r.tally.addViolation("caller %d could not get the list of entries: %v", number, err)
		return
	}
	for i := 0; ctx.Err() == nil; i++ {
		r.sendNext(c, number, i)
		wait(ctx, requestPause)
	}
}

// sendNext sends the i-th request of a caller's mix. The request has its own deadline, so
// that the end of the demonstration does not abort it.
func (r *run) sendNext(c *client, number, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	switch i % 4 {
	case 0, 1:
		prompt := fmt.Sprintf("%s\nbatch %d of dryer %d", strings.Repeat("sorting rules for petals. ", 30), i, number)
		got, err := c.chat(ctx, r.system.Description.ChatModel, prompt, chatTokens)
		r.record("chat stream", got, err)
	case 2:
		got, err := c.send(ctx, http.MethodGet, r.system.Description.LookupPath+"?item=rose", nil, "")
		r.record("lookup", got, err)
	case 3:
		r.sendOrder(ctx, c)
	}
}

// record tallies a reply. An incomplete or wrong answer is a violation, and so is a
// failure, because the remaining failure domains can carry this load.
func (r *run) record(kind string, got reply, err error) {
	phase := r.currentPhase()
	if err != nil {
		r.tally.add(rowKey{phase, kind, "broken"}, got.took)
		r.tally.addViolation("%s: %v", kind, err)
		return
	}
	outcome := got.outcome
	if got.status >= http.StatusBadRequest {
		outcome = fmt.Sprintf("%s (%d)", outcome, got.status)
		r.tally.addViolation("%s: status %d: %s", kind, got.status, strings.TrimSpace(string(got.body)))
	}
	r.tally.add(rowKey{phase, kind, outcome}, got.took)
}

// sendOrder sends an order twice with the same idempotency key and checks that it ran
// once: both answers must come from the same run.
func (r *run) sendOrder(ctx context.Context, c *client) {
	key := uuid.NewString()
	body := fmt.Appendf(nil, `{"release":%q}`, key)
	first, err := c.send(ctx, http.MethodPost, r.system.Description.OrderPath, body, key)
	r.record("order", first, err)
	if err != nil || first.outcome != string(failure.Done) {
		return
	}
	r.mu.Lock()
	r.ordersDone++
	r.mu.Unlock()
	second, err := c.send(ctx, http.MethodPost, r.system.Description.OrderPath, body, key)
	r.record("repeated order", second, err)
	if err == nil && runID(first.body) != runID(second.body) {
		r.tally.addViolation("order %s ran twice: its two answers have different run IDs", key)
	}
}

func runID(body []byte) string {
	var answer struct {
		RunID string `json:"run_id"`
	}
	_ = json.Unmarshal(body, &answer)
	return answer.RunID
}

// checkOrders compares the number of orders answered with the number that ran, as counted
// by the services.
func (r *run) checkOrders(ctx context.Context) {
	description := r.system.Description
	for organisation, key := range description.Callers {
		c := newClient(key, description.Entries[0])
		got, err := c.send(ctx, http.MethodGet, description.LookupPath+"?stat=runs", nil, "")
		if err != nil {
			r.tally.addViolation("the number of runs could not be read as organisation %s: %v", organisation, err)
			return
		}
		var answer struct {
			Runs int `json:"runs"`
		}
		_ = json.Unmarshal(got.body, &answer)
		if answer.Runs != r.ordersDone {
			r.tally.addViolation("%d orders were answered, %d ran", r.ordersDone, answer.Runs)
		}
		return
	}
}
