package path

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenaseam.example/verbenaseam/daemon/dev"
	"verbenaseam.example/verbenaseam/process/logs"
)

const (
	firstPortBase      = 12000
	lastPortBase       = 31000
	portBaseStep       = 100
	maxIdleConnections = 256
)

// testbed is a system on loopback with an HTTP client for it.
type testbed struct {
	system *dev.System
	client *http.Client
}

// NoPortsError means that no port range for a system is free.
type NoPortsError struct{}

// Error implements error.
func (e *NoPortsError) Error() string {
	return fmt.Sprintf("no free range of %d ports with a base from %d to below %d", dev.PortSpan, firstPortBase, lastPortBase)
}

// StatusError means that a response had a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected HTTP status %d: %s", e.Status, e.Body)
}

// startTestbed starts a system on the first free port range. instantEngines makes the
// engine stand-ins answer without delay.
func startTestbed(ctx context.Context, instantEngines bool) (*testbed, error) {
	for base := firstPortBase; base < lastPortBase; base += portBaseStep {
		if !portsFree(base) {
			continue
		}
		system, err := dev.Start(ctx, dev.Config{
			PortBase: base, EntriesTTL: time.Millisecond, Logger: logs.Discard(), InstantEngines: instantEngines,
		})
		if err != nil {
			return nil, err
		}
		transport := &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}
		return &testbed{system: system, client: &http.Client{Transport: transport}}, nil
	}
	return nil, &NoPortsError{}
}

func portsFree(base int) bool {
	for offset := range dev.PortSpan {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+offset))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// stop stops the system without waiting for open requests.
func (t *testbed) stop() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	t.client.CloseIdleConnections()
	t.system.Stop(cancelled)
}

// get sends one small request and reads the whole response.
func (t *testbed) get(ctx context.Context, url, key string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return &StatusError{Status: response.StatusCode, Body: string(body)}
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// newHistogram returns a histogram of latencies in microseconds, up to one minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
