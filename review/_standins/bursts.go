package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	// burstEvery is the time between two groups of requests with the part that crashes runners,
	// burstSize how many come at the same time, bursts how many groups come.
	burstEvery = 5 * time.Second
	burstSize  = 5
	bursts     = 4
	// maxDeadly is how many of them may reach runners later than contact_ms after the fifth crash.
	maxDeadly = 3
)

// runBursts runs 4 entries and 12 runners. Beside sound requests, groups of requests with a part
// of the prompt that crashes runners come at the entries.
func runBursts(b *bench) (bool, error) {
	s, storeAddress, err := newSystem(b, deploymentConfiguration())
	if err != nil {
		return false, err
	}
	p := &partsState{s: s, begun: map[string]bool{}}
	for i := range 12 {
		r := &appRunner{id: fmt.Sprintf("i-lm%d", i), service: "verbena-lm", zone: zones[i%3], address: fmt.Sprintf("127.0.13.%d", i+1), capacity: 12, work: 60 * time.Millisecond, events: 10, onRun: p.onRun}
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
	running.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				p.sound(time.Second, earlierPart)
			}
		}
	})
	time.Sleep(6 * time.Second)
	for n := range bursts {
		if !b.trouble {
			break
		}
		for i := range burstSize {
			running.Go(func() {
				parts := strconv.FormatUint(rand.Uint64(), 16) + ":40," + deadlyPart + ":300," + strconv.FormatUint(rand.Uint64(), 16) + ":50"
				s.prompt(parts, fmt.Sprintf("/fault-diag/d%d-%d", n, i), zones[i%len(zones)])
			})
		}
		time.Sleep(burstEvery)
	}
	close(done)
	running.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, at := range p.deadlyAt {
		if !p.fifthAt.IsZero() && at.Sub(p.fifthAt) > contactTime {
			late++
		}
	}
	b.record("%d requests with the part have reached runners, %d of them later than contact_ms after the fifth crash; %d crashes", len(p.deadlyAt), late, p.crashes)
	return late > maxDeadly, nil
}
