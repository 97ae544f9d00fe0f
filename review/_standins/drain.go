package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	// drainTime is drain_ms of the sheet of vrwa-pumps.
	drainTime = 2 * time.Second
	// leaveAfter is when a runner begins to leave, foreignAfter when another writer writes an entry
	// with its ID, and exitAfter when it exits.
	leaveAfter   = 4 * time.Second
	foreignAfter = 4 * time.Second
	exitAfter    = 4 * time.Second
)

// runDrain runs 4 entries and 3 runners of work-orders. One of the runners leaves: its entry is
// removed, its answers say Server-Leaving, and it serves on for some seconds. Meanwhile another
// writer writes an entry with its ID in which fields are missing.
func runDrain(b *bench) (bool, error) {
	s, storeAddress, err := newSystem(b, deploymentConfiguration())
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var goneAt time.Time
	late := 0
	var exitOnce sync.Once
	exit := func() {
		exitOnce.Do(func() {
			b.record("runner %s exits", s.runners[0].id)
			_ = s.runners[0].server.Close()
		})
	}
	onRun := func(r *appRunner, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r != s.runners[0] || goneAt.IsZero() {
			return
		}
		since := time.Since(goneAt)
		b.record("runner %s, which is gone for %.3f s, runs %s %s", r.id, since.Seconds(), request.Method, request.Header.Get("Verbenaseam-Attempt-Id"))
		if since <= drainTime {
			return
		}
		late++
		if request.Method == http.MethodPost {
			// It exits while it works on the order.
			time.AfterFunc(r.work/2, exit)
		}
	}
	for i := range 3 {
		r := &appRunner{id: fmt.Sprintf("i-wo%d", i), service: "work-orders", zone: zones[i], address: fmt.Sprintf("127.0.14.%d", i+1), capacity: 6, work: 60 * time.Millisecond, onRun: onRun}
		if err := s.startRunner(r); err != nil {
			return false, err
		}
	}
	if err := s.startEntries(4, storeAddress); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { s.heartbeats(done) })
	running.Go(func() { s.callWorkOrders(done) })
	time.Sleep(leaveAfter)
	leaving := s.runners[0]
	leaving.mu.Lock()
	leaving.leaving, leaving.gone = true, true
	leaving.mu.Unlock()
	s.store.Delete(platform.TableTargets, leaving.id)
	mu.Lock()
	goneAt = time.Now()
	mu.Unlock()
	b.record("runner %s leaves: its entry is removed, and the store has acknowledged that", leaving.id)
	time.Sleep(foreignAfter)
	if b.trouble {
		s.store.Put(platform.TableTargets, leaving.id, encode(map[string]any{
			"service": leaving.service, "address": leaving.address, "zone": leaving.zone, "capacity": leaving.capacity, "state": "ready",
		}))
		b.record("another writer has written an entry %s without version, warmup_left_ms, sequence and born", leaving.id)
	}
	time.Sleep(exitAfter)
	exit()
	time.Sleep(time.Second)
	close(done)
	running.Wait()
	b.record("%d requests reached the runner later than %s after its leaving was acknowledged", late, drainTime)
	return late > 0, nil
}

// callWorkOrders sends 50 orders and lookups a second.
func (s *system) callWorkOrders(done <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kind := kinds[1+n%2]
		running.Go(func() {
			s.call(zones[n%len(zones)], callerRequest{id: s.nextID(), method: kind.method, path: fmt.Sprintf("%s%d", kind.path, n), deadline: kind.deadline})
		})
	}
}
