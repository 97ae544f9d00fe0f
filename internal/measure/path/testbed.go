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
	firstBase   = 12000
	lastBase    = 31000
	baseStep    = 100
	connections = 256
)

// bench is a system on loopback with clients for it.
type bench struct {
	system *dev.System
	client *http.Client
}

// NoPortsError means that no range of ports is free.
type NoPortsError struct{}

// Error implements error.
func (e *NoPortsError) Error() string { return "no range of ports is free" }

// StatusError means that a request was not answered with 200.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

func start(ctx context.Context, instant bool) (*bench, error) {
	for base := firstBase; base < lastBase; base += baseStep {
		if !portsFree(base) {
			continue
		}
		system, err := dev.Start(ctx, dev.Config{
			PortBase: base, EntriesTTL: time.Millisecond, Logger: logs.Discard(), InstantEngines: instant,
		})
		if err != nil {
			return nil, err
		}
		transport := &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}
		return &bench{system: system, client: &http.Client{Transport: transport}}, nil
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

func (b *bench) stop() {
	cut, cancel := context.WithCancel(context.Background())
	cancel()
	b.client.CloseIdleConnections()
	b.system.Stop(cut)
}

// get sends one small request and drains its answer.
func (b *bench) get(ctx context.Context, url, key string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := b.client.Do(request)
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

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
