package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

// sent is a request of a client.
type sent struct {
	at     time.Time
	entry  string
	status int
}

// client sends idempotent requests to the entries in turn, over kept connections.
type client struct {
	record *record
	key    string
	http   *http.Client
	number atomic.Int64

	mu   sync.Mutex
	sent map[string]sent
}

func newClient(r *record) *client {
	return &client{record: r, key: standin.APIKey, sent: map[string]sent{}, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 32}, Timeout: 2 * time.Second,
	}}
}

// run sends a request every interval to each entry until ctx is done, and waits for the answers.
func (c *client) run(ctx context.Context, entries []*entry, interval time.Duration) {
	var pending sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, e := range entries {
			pending.Go(func() { c.send(e) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	pending.Wait()
}

func (c *client) send(e *entry) {
	id := fmt.Sprintf("r%d", c.number.Add(1))
	request, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/look/"+id, nil)
	if err != nil {
		return
	}
	request.Host = standin.Hostname
	request.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+c.key)
	request.Header.Set(platform.HeaderAttemptID, id)
	request.Header.Set(platform.HeaderDeadline, "1000")
	s := sent{at: time.Now(), entry: e.name}
	c.mu.Lock()
	c.sent[id] = s
	c.mu.Unlock()
	if response, err := c.http.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		s.status = response.StatusCode
	}
	c.mu.Lock()
	c.sent[id] = s
	c.mu.Unlock()
	c.record.noteAt(s.at, "request %s sent to %s: %d after %d ms", id, e.name, s.status, time.Since(s.at).Milliseconds())
}

func (c *client) request(id string) sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}
