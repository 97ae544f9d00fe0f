package path

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
)

const (
	idleStreamCount     = 36
	maxStreamKiB        = 32 // per idle open stream and process
	maxStreamGoroutines = 4  // per idle open stream and process
	streamTokens        = 400
	processesPerStream  = 2 // entry and agent
	bytesPerKiB         = 1024
	warmUpWorkers       = 96
	warmUpTokens        = 2
)

// measureIdleStreams measures the memory and goroutines that an idle open stream takes
// in an entry and an agent. Client, entries, agents and engine stand-ins share this
// process; the cost of the client and the stand-in is measured with the same streams
// sent directly to the stand-in, and subtracted.
func measureIdleStreams(ctx context.Context) (measure.Result, error) {
	t, err := startTestbed(ctx, false)
	if err != nil {
		return measure.Result{}, err
	}
	defer t.stop()
	direct, err := t.directCost(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	if err := t.warmEngines(ctx); err != nil {
		return measure.Result{}, err
	}
	t.client.CloseIdleConnections()
	if err := sleep(ctx, idleConnectionExpiry); err != nil {
		return measure.Result{}, err
	}
	description := t.system.Description
	proxied, err := t.idleStreamCost(ctx, description.Entries, description.Callers["packers"])
	if err != nil {
		return measure.Result{}, err
	}
	added := proxied.minus(direct)
	if added.bytes <= 0 || added.goroutines <= 0 {
		return measure.Result{}, &NoCostError{Added: added}
	}
	return measure.Result{Figures: []measure.Figure{
		{Name: "memory per idle stream and process", Value: added.bytes / processesPerStream / bytesPerKiB, Unit: "KiB", Limit: measure.AtMost, Bound: maxStreamKiB},
		{Name: "goroutines per idle stream and process", Value: added.goroutines / processesPerStream, Unit: "goroutines", Limit: measure.AtMost, Bound: maxStreamGoroutines},
	}}, nil
}

// NoCostError means that the streams added no memory or no goroutines, because the
// baseline already included what they should have added.
type NoCostError struct {
	Added cost
}

// Error implements error.
func (e *NoCostError) Error() string {
	return fmt.Sprintf("streams added no measurable cost: %.0f bytes and %.1f goroutines per stream over the direct path", e.Added.bytes, e.Added.goroutines)
}

// directCost returns the cost of a stream in the client and the engine stand-in. It
// has to run before the system has served any request.
func (t *testbed) directCost(ctx context.Context) (cost, error) {
	for _, engine := range t.system.Engines {
		engine.SetWarm()
	}
	direct, err := t.idleStreamCost(ctx, t.system.EngineURLs(), "")
	t.client.CloseIdleConnections()
	return direct, err
}

// idleConnectionExpiry exceeds the time for which an agent keeps idle connections to
// its engine.
// The connections of the warm-up must be closed, or the streams would reuse them and
// add no cost.
const idleConnectionExpiry = 32 * time.Second

// sleep waits for the given duration, or returns the context's error when ctx ends
// first.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cost is the memory and the number of goroutines per stream.
type cost struct {
	bytes, goroutines float64
}

func (c cost) minus(other cost) cost {
	return cost{bytes: c.bytes - other.bytes, goroutines: c.goroutines - other.goroutines}
}

// idleStreamCost opens two batches of idleStreamCount streams, stalls them after the
// response headers, and returns the cost per stream of the second batch. The first
// batch takes up the workers and connections that an earlier burst has left idle.
func (t *testbed) idleStreamCost(ctx context.Context, urls []string, key string) (cost, error) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	defer t.stall(false)
	if err := t.openStreams(bounded, urls, key, idleStreamCount); err != nil {
		return cost{}, err
	}
	before := t.usageWhileStalled()
	if err := t.openStreams(bounded, urls, key, idleStreamCount); err != nil {
		return cost{}, err
	}
	after := t.usageWhileStalled()
	return cost{
		bytes:      float64(after.bytes-before.bytes) / idleStreamCount,
		goroutines: float64(after.goroutines-before.goroutines) / idleStreamCount,
	}, nil
}

// usage is the memory and the number of goroutines of this process.
type usage struct {
	bytes, goroutines int64
}

// readUsage returns the usage after garbage collection.
func readUsage() usage {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return usage{bytes: int64(stats.HeapAlloc + stats.StackInuse), goroutines: int64(runtime.NumGoroutine())}
}

// openStream opens a stream, which stays open until it is read to its end or ctx ends.
func (t *testbed) openStream(ctx context.Context, url, key string, tokens int) (*http.Response, error) {
	body, err := json.Marshal(enginestandin.Request{
		Model: t.system.Description.ChatModel, Stream: true, MaxTokens: tokens,
		Messages: []enginestandin.Message{{Role: "user", Content: "idle"}},
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := t.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		return nil, &StatusError{Status: response.StatusCode, Body: string(content)}
	}
	return response, nil
}

func (t *testbed) openStreams(ctx context.Context, urls []string, key string, count int) error {
	for i := range count {
		if _, err := t.openStream(ctx, urls[i%len(urls)], key, streamTokens); err != nil {
			return err
		}
	}
	return nil
}

// usageWhileStalled returns the usage while the engines generate no tokens.
func (t *testbed) usageWhileStalled() usage {
	t.stall(true)
	defer t.stall(false)
	return readUsage()
}

// stall stops the token generation of all engines, or resumes it.
func (t *testbed) stall(on bool) {
	for _, engine := range t.system.Engines {
		engine.SetStalled(on)
	}
}

// warmEngines runs short requests for warmUpTime, after which the agents' admission
// gates admit all streams.
func (t *testbed) warmEngines(ctx context.Context) error {
	description := t.system.Description
	_, err := runClosedLoop(ctx, warmUpWorkers, warmUpTime, func(ctx context.Context, number int64) error {
		entry := description.Entries[int(number)%len(description.Entries)]
		response, err := t.openStream(ctx, entry, description.Callers["packers"], warmUpTokens)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	})
	return err
}
