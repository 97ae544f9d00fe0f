package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	// recoveryTime is recovery_s of the sheet of vrwa-pumps.
	recoveryTime = 12 * time.Second
	// beforeTime is how long the system serves before the final fault, afterTime how long after
	// recoveryTime requests are counted.
	beforeTime = 8 * time.Second
	afterTime  = 12 * time.Second
	// downTime is that of the final fault, as `down_s` of closing in the site files.
	downTime = 1100 * time.Millisecond
)

// tally counts requests sent in one span.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// runRecover runs 4 entries, 12 runners of verbena-lm and 3 of work-orders. The final fault kills
// all entries; while they are down, another writer adds entries of a service that the configuration
// does not name, at the addresses of the runners.
func runRecover(b *bench) (bool, error) {
	s, storeAddress, err := newSystem(b, deploymentConfiguration())
	if err != nil {
		return false, err
	}
	for i := range 12 {
		r := &appRunner{id: fmt.Sprintf("i-lm%d", i), service: "verbena-lm", zone: zones[i%3], address: fmt.Sprintf("127.0.13.%d", i+1), capacity: 12, work: 20 * time.Millisecond, events: 12}
		if err := s.startRunner(r); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		r := &appRunner{id: fmt.Sprintf("i-wo%d", i), service: "work-orders", zone: zones[i], address: fmt.Sprintf("127.0.14.%d", i+1), capacity: 6, work: 60 * time.Millisecond}
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
	var mu sync.Mutex
	var before, after tally
	began := time.Now()
	var backAt time.Time
	count := func(sent time.Time, served bool) {
		mu.Lock()
		defer mu.Unlock()
		span := &before
		switch {
		case sent.Sub(began) < beforeTime:
		case !backAt.IsZero() && sent.Sub(backAt) >= recoveryTime:
			span = &after
		default:
			return
		}
		span.sent++
		if served {
			span.served++
		}
	}
	running.Go(func() { s.callMany(done, count) })
	time.Sleep(beforeTime)
	if b.trouble {
		rows := make(chan struct{})
		go func() {
			defer close(rows)
			time.Sleep(downTime / 2)
			if os.Getenv("ROWS") != "0" {
				s.writeForeignRows()
			}
		}()
		if err := s.killAll(downTime); err != nil {
			return false, err
		}
		<-rows
	}
	mu.Lock()
	backAt = time.Now()
	mu.Unlock()
	time.Sleep(recoveryTime + afterTime)
	close(done)
	running.Wait()
	b.record("before the final fault %d of %d requests served, later than %s after the machines are back %d of %d", before.served, before.sent, recoveryTime, after.served, after.sent)
	if before.share() < 0.25 || after.sent == 0 {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	return after.share() < 0.25, nil
}

// writeForeignRows adds a row of another writer for each runner's address.
func (s *system) writeForeignRows() {
	born := time.Now().UnixMilli()
	for i, r := range s.runners {
		s.store.Put(platform.TableTargets, fmt.Sprintf("m-%d", i), encode(map[string]any{
			"service": "host-metrics", "address": r.address, "zone": r.zone, "version": "2", "capacity": 1,
			"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": born,
		}))
	}
	s.bench.record("another writer has written %d entries of the service host-metrics, at the addresses of the runners", len(s.runners))
}

// heartbeats has the runners write their rows.
func (s *system) heartbeats(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(1200 * time.Millisecond):
		}
		for _, r := range s.runners {
			r.mu.Lock()
			gone := r.gone
			r.mu.Unlock()
			if !gone {
				r.register(s.store, "ready")
			}
		}
	}
}

// kinds are the requests of callers, with how many of ten are of a kind.
var kinds = []struct {
	method, path string
	deadline     time.Duration
	weight       int
}{
	{"POST", "/fault-diag/", 8 * time.Second, 7},
	{"POST", "/crew-dispatch/", 1500 * time.Millisecond, 2},
	{"GET", "/pump-status/", 1500 * time.Millisecond, 1},
}

// callMany sends 20 requests a second, each of which is tried once more after a refusal, and
// counts them.
func (s *system) callMany(done <-chan struct{}, count func(sent time.Time, served bool)) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		kind := kinds[0]
		if at := n % 10; at >= 7 {
			kind = kinds[1]
			if at == 9 {
				kind = kinds[2]
			}
		}
		zone := zones[n%len(zones)]
		running.Go(func() {
			sent := time.Now()
			served := false
			for try := range 2 {
				answer := s.call(zone, callerRequest{id: s.nextID(), method: kind.method, path: fmt.Sprintf("%s%d", kind.path, n), deadline: kind.deadline - time.Since(sent)})
				if served = answer.status == 200 && answer.seal != ""; served || try > 0 || answer.status != 503 {
					break
				}
				time.Sleep(min(answer.retryAfter, (kind.deadline-time.Since(sent))/3))
			}
			count(sent, served)
		})
	}
}

// call finds an entry and sends it a request.
func (s *system) call(zone string, q callerRequest) callerAnswer {
	address := s.resolve(zone)
	if address == "" {
		s.bench.record("%s %s %s: no directory answers", q.id, q.method, q.path)
		return callerAnswer{}
	}
	answer := s.send(address, q)
	s.bench.record("%s %s %s to %s: %d, seal %q", q.id, q.method, q.path, address, answer.status, answer.seal)
	return answer
}
