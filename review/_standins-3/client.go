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

// client sends requests to the entries, over kept connections.
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

// run sends a look-up every interval to each entry until ctx is done, and waits for the answers.
func (c *client) run(ctx context.Context, entries []*entry, interval time.Duration) {
	var pending sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, e := range entries {
			pending.Go(func() { c.send(http.MethodGet, "/look/", e) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	pending.Wait()
}

// order sends a round of orders, so many to each entry at the same time, and waits for the answers.
func (c *client) order(entries []*entry, each int) {
	var pending sync.WaitGroup
	for range each {
		for _, e := range entries {
			pending.Go(func() { c.send(http.MethodPost, "/order/", e) })
		}
	}
	pending.Wait()
}

func (c *client) send(method, path string, e *entry) {
	id := fmt.Sprintf("r%d", c.number.Add(1))
	request, err := http.NewRequest(method, "http://"+e.callers+path+id, nil)
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
	c.record.noteAt(s.at, "%s %s sent to %s: %d after %d ms", method, id, e.name, s.status, time.Since(s.at).Milliseconds())
}

func (c *client) request(id string) sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}
