package slowpeers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/internal/freeport"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const configuration = `{"version":1,"routes":[
 {"name":"chat","hostname":"h.example","prefix":"/chat/","route_type":"streaming","timeout_ms":60000,"target_latency_ms":5000,
  "priority":1,"service":"s","max_attempts":1,"resumable":false,"target_gap_ms":120},
 {"name":"look","hostname":"h.example","prefix":"/look/","route_type":"idempotent","timeout_ms":10000,"target_latency_ms":5000,
  "priority":2,"service":"s","max_attempts":1}],
 "services":[{"name":"s","max_connections":4000}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":8388608},
 "tenants":[{"name":"org","api_keys":["key"]}]}`

const (
	eventCount    = 200
	eventBytes    = 1000
	eventInterval = 50 * time.Millisecond
	startTimeout  = 10 * time.Second
	stopTimeout   = 5 * time.Second
)

// system is an entry process with a store and a target in this process.
type system struct {
	callers string
	command *exec.Cmd
	closers []io.Closer
	folder  string
}

// serveTarget sends a stream of numbered events, or reads the body and answers.
func serveTarget(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.HeaderSignature, "seal")
	w.Header().Set(platform.HeaderAttemptID, r.Header.Get(platform.HeaderAttemptID))
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		_, _ = io.WriteString(w, "ok")
		return
	}
	control := http.NewResponseController(w)
	text := strings.Repeat("x", eventBytes)
	for id := 1; id <= eventCount; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, text); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// serve serves a handler on a free port and returns the address.
func (s *system) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	s.closers = append(s.closers, server)
	go func() {
		// Serve returns when the server is closed.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

// startSystem builds and starts an entry on a host with the given memory, in megabytes.
func startSystem(ctx context.Context, memory int) (*system, error) {
	folder, err := os.MkdirTemp("", "slowpeers")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder}
	if err := s.start(ctx, memory); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) start(ctx context.Context, memory int) error {
	program := filepath.Join(s.folder, "verbenaseam-direct")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "verbenaseam.example/verbenaseam/cmd/verbenaseam-direct")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return err
	}
	target, err := s.serve(http.HandlerFunc(serveTarget))
	if err != nil {
		return err
	}
	store := standin.NewStore()
	store.Put(platform.TableOperator, platform.KeyConfiguration, []byte(configuration))
	store.Put(platform.TableTargets, "t", fmt.Appendf(nil,
		`{"service":"s","address":"%s","zone":"z","version":"v1","capacity":4000,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1}`, target))
	storeAddress, err := s.serve(store)
	if err != nil {
		return err
	}
	settings, err := s.settings(storeAddress, memory)
	if err != nil {
		return err
	}
	s.command = exec.Command(program, "--config", settings)
	// The entries of large deployments have 0.272 cores.
	s.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := s.command.Start(); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// settings writes the entry's settings and returns the path of the file.
func (s *system) settings(store string, memory int) (string, error) {
	var addresses []any
	for range 4 {
		address, err := freeport.Address("127.0.0.1")
		if err != nil {
			return "", err
		}
		addresses = append(addresses, address)
	}
	s.callers = addresses[0].(string)
	text := fmt.Sprintf("[entry]\nname = e\nfailure_domain = z\ncaller_address = %s\nready_address = %s\ndirectory_address = %s\npeer_address = %s\nfiles = 8192\n", addresses...) +
		fmt.Sprintf("memory = %d\n[store]\naddress = %s\n[bounds]\nretry_share = 0.2\nretry_slack = 20\nretry_window = 10s\ngrace = 2s\n", memory, store)
	file := filepath.Join(s.folder, "entry.ini")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

func (s *system) awaitReady(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if status, err := s.post(bounded, "/look/x", 0); err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-bounded.Done():
			return bounded.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (s *system) stop() {
	if s.command != nil && s.command.Process != nil {
		// Both fail only if the process has ended already.
		_ = s.command.Process.Kill()
		_ = s.command.Wait()
	}
	for _, closer := range s.closers {
		_ = closer.Close()
	}
	_ = os.RemoveAll(s.folder)
}

// largestBody is the body of all requests, or its start.
var largestBody = strings.Repeat("b", bodyBytes)

// newRequest returns a request with a body of size bytes.
func (s *system) newRequest(ctx context.Context, path string, size int) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers+path, strings.NewReader(largestBody[:size]))
	if err != nil {
		return nil, err
	}
	r.Host = "h.example"
	r.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+"key")
	r.Header.Set(platform.HeaderAttemptID, strconv.FormatInt(time.Now().UnixNano(), 36))
	return r, nil
}

// post sends a request and returns the status of the response.
func (s *system) post(ctx context.Context, path string, size int) (int, error) {
	r, err := s.newRequest(ctx, path, size)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// residentPeak returns the peak of the entry's resident memory in megabytes.
func (s *system) residentPeak() (float64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", s.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "VmHWM:"); found {
			kilobytes, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 64)
			return kilobytes * 1024 / 1e6, err
		}
	}
	return 0, lines.Err()
}
