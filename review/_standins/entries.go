package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

// host names the host of all routes.
const hostName = "h.example"

// appRunner is a stand-in of a runner that serves one request at a time on a connection.
type appRunner struct {
	bench         *bench
	id, service   string
	zone, address string
	capacity      int
	work          time.Duration
	events        int
	born          int64
	server        *http.Server
	// onRun is called with each request that begins to run; may be nil.
	onRun func(r *appRunner, request *http.Request)

	// mu guards the fields below.
	mu       sync.Mutex
	running  int
	sequence int
	leaving  bool
	gone     bool
	seals    int
}

// startRunner serves a runner at a free port of a loopback address and registers it.
func (s *system) startRunner(r *appRunner) error {
	listener, err := net.Listen("tcp", r.address+":0")
	if err != nil {
		return err
	}
	r.bench, r.address, r.born = s.bench, listener.Addr().String(), time.Now().UnixMilli()
	r.server = &http.Server{Handler: r}
	s.bench.servers = append(s.bench.servers, r.server)
	s.bench.addresses = append(s.bench.addresses, r.address)
	go func() { _ = r.server.Serve(listener) }()
	s.runners = append(s.runners, r)
	r.register(s.store, "ready")
	return nil
}

// register writes the runner's row, as it does every heartbeat.
func (r *appRunner) register(store *standin.Store, state string) {
	r.mu.Lock()
	r.sequence++
	sequence := r.sequence
	r.mu.Unlock()
	store.Put(platform.TableTargets, r.id, encode(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "capacity": r.capacity,
		"state": state, "warmup_left_ms": 0, "sequence": sequence, "born": r.born,
	}))
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return encoded
}

// ServeHTTP implements http.Handler.
func (r *appRunner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	header.Set("Verbenaseam-Instance-Id", r.id)
	r.mu.Lock()
	leaving, running := r.leaving, r.running
	r.mu.Unlock()
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	if request.URL.Path == "/healthz" {
		return
	}
	id := request.Header.Get("Verbenaseam-Attempt-Id")
	header.Set("Verbenaseam-Attempt-Id", id)
	header.Set("Verbenaseam-Instance-Load", fmt.Sprintf("%d,0,%d", running, r.capacity))
	if expected := request.Header.Get("Verbenaseam-Expect-Instance"); expected != "" && expected != r.id {
		header.Set("Verbenaseam-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if !r.enter() {
		header.Set("Verbenaseam-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	if r.onRun != nil {
		r.onRun(r, request)
	}
	header.Set("Verbenaseam-Server-Seal", r.seal(id))
	if r.events > 0 {
		r.stream(w, request)
		return
	}
	if r.pause(request, r.work) {
		_, _ = io.WriteString(w, "done "+id)
	}
}

func (r *appRunner) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.capacity {
		return false
	}
	r.running++
	return true
}

func (r *appRunner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *appRunner) seal(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seals++
	return fmt.Sprintf("%s.%d.%s", r.id, r.seals, id)
}

// pause waits and returns false if the connection is closed first.
func (r *appRunner) pause(request *http.Request, d time.Duration) bool {
	select {
	case <-request.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *appRunner) stream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for event := first; event <= r.events; event++ {
		if !r.pause(request, r.work) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// system is the entries of a small deployment, with stand-ins of the store and the runners.
type system struct {
	bench   *bench
	store   *standin.Store
	runners []*appRunner
	entries []*entry
	random  *rand.Rand
	// started counts the entries that were started.
	started int

	// mu guards the fields below.
	mu       sync.Mutex
	requests int
}

// entry is a process of verbenaseam-direct.
type entry struct {
	*process
	zone, caller, ready, directory string
	// entryName is its node_name.
	entryName string
}

var zones = []string{"suva", "nadi", "lautoka"}

// newSystem starts the store with a configuration.
func newSystem(b *bench, configuration []byte) (*system, string, error) {
	s := &system{bench: b, store: standin.NewStore(), random: rand.New(rand.NewPCG(1, 1))}
	address, err := b.serve("127.0.0.1:0", s.store)
	if err != nil {
		return nil, "", err
	}
	s.store.Put(platform.TableOperator, platform.KeyConfiguration, configuration)
	return s, address, nil
}

// startEntries starts count entries, the first two in the first zone.
func (s *system) startEntries(count int, storeAddress string) error {
	for range count {
		i := s.started
		s.started++
		host := fmt.Sprintf("127.0.12.%d", i+1)
		var ports []string
		for range 4 {
			port, err := freePort(host)
			if err != nil {
				return err
			}
			ports = append(ports, net.JoinHostPort(host, port))
		}
		e := &entry{zone: zones[max(i-1, 0)%len(zones)], caller: ports[0], ready: ports[1], directory: ports[2]}
		e.entryName = fmt.Sprintf("edge-%s-%d", e.zone, i+1)
		settings := fmt.Sprintf("[entry]\nname = %s\nfailure_domain = %s\nregion = viti-levu\nprocessor = 0.608\ncores = 1\nlink = 1500\ncaller_address = %s\nready_address = %s\ndirectory_address = %s\npeer_address = %s\nfiles = 6300\nmemory = 414\n[store]\naddress = %s\n",
			e.entryName, e.zone, e.caller, e.ready, e.directory, ports[3], storeAddress) + boundsOf
		var err error
		if e.process, err = s.bench.start(fmt.Sprintf("edge-%d", i+1), "verbenaseam-direct", settings); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	return nil
}

// awaitReady waits until all entries say that they are ready.
func (s *system) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, e := range s.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s is not ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// killAll kills all entries at the same moment and starts them again after a time.
func (s *system) killAll(down time.Duration) error {
	for _, e := range s.entries {
		e.mu.Lock()
		e.stoppedOnPurpose = true
		e.mu.Unlock()
		e.signal(syscall.SIGKILL)
	}
	for _, e := range s.entries {
		e.stop(syscall.SIGKILL)
	}
	s.bench.record("all entries killed")
	time.Sleep(down)
	for _, e := range s.entries {
		if err := e.run(); err != nil {
			return err
		}
	}
	s.bench.record("all entries started again")
	return nil
}

// resolve asks up to three directories for the entries, as callers do.
func (s *system) resolve(zone string) string {
	order := rand.Perm(len(s.entries))
	for _, at := range order[:min(3, len(order))] {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + s.entries[at].directory + "/v1/resolve?name=" + hostName + "&region=viti-levu&zone=" + zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses[rand.IntN(len(answer.Addresses))]
		}
	}
	return ""
}

// callerRequest is one request of a caller.
type callerRequest struct {
	id, method, path string
	deadline         time.Duration
}

// callerAnswer is what a caller got. The status is 0 without a whole answer.
type callerAnswer struct {
	entry               string
	sent                time.Time
	status              int
	seal, leaving, body string
	retryAfter          time.Duration
}

// callers share connections to entries, which they keep open.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}

// send sends a request to an entry and reads the answer.
func (s *system) send(address string, q callerRequest) callerAnswer {
	answer := callerAnswer{entry: address, sent: time.Now()}
	request, err := http.NewRequest(q.method, "http://"+address+q.path, nil)
	if err != nil {
		return answer
	}
	request.Host = hostName
	request.Header.Set("Verbenaseam-Attempt-Id", q.id)
	request.Header.Set("Verbenaseam-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token k1")
	client := *callers
	client.Timeout = q.deadline
	response, err := client.Do(request)
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer
	}
	answer.status, answer.body = response.StatusCode, string(body)
	answer.seal, answer.leaving = response.Header.Get("Verbenaseam-Server-Seal"), response.Header.Get("Server-Leaving")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		answer.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return answer
}

// nextID returns the ID of a client attempt.
func (s *system) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return fmt.Sprintf("a%08d", s.requests)
}

// route is a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS, aimMS, priority, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "hostname": hostName, "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS, "target_latency_ms": aimMS,
		"priority": priority, "service": service, "max_attempts": attempts,
	}
	if kind == "streaming" {
		r["resumable"], r["target_gap_ms"], r["session_affinity"] = true, 120, true
	}
	return r
}

// deploymentConfiguration is the configuration of the routes and services of vrwa-pumps.
func deploymentConfiguration() []byte {
	return encode(map[string]any{
		"version": 5,
		"routes": []any{
			route("fault-diag", "/fault-diag/", "streaming", "verbena-lm", 8000, 500, 1, 2),
			route("crew-dispatch", "/crew-dispatch/", "non_idempotent", "work-orders", 1500, 300, 2, 1),
			route("pump-status", "/pump-status/", "idempotent", "work-orders", 1500, 300, 2, 2),
		},
		"services": []any{
			map[string]any{"name": "verbena-lm", "health_path": "/healthz", "max_connections": 278},
			map[string]any{"name": "work-orders", "health_path": "/healthz", "max_connections": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"k1"}}},
	})
}
