package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	contactTime = 3 * time.Second
	// crashEvery is the time between two requests with the part that crashes runners, runnerDown how
	// long a runner is down after a crash.
	crashEvery = 1500 * time.Millisecond
	runnerDown = 2 * time.Second
	deadlyPart = "dead0001"
)

// partsState is what runParts records.
type partsState struct {
	s *system

	// mu guards the fields below.
	mu sync.Mutex
	// begun are the attempts that runners have begun to run.
	begun   map[string]bool
	crashes int
	fifthAt time.Time
	// deadlyAt is when requests with the part that crashes runners reached runners.
	deadlyAt []time.Time
}

// crash ends a runner, which comes back after runnerDown as another incarnation.
func (p *partsState) crash(r *appRunner) {
	_ = r.server.Close()
	p.s.bench.record("runner %s crashes", r.id)
	time.Sleep(runnerDown)
	p.s.store.Delete(platform.TableTargets, r.id)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		p.s.bench.record("runner %s cannot start again: %v", r.id, err)
		return
	}
	r.mu.Lock()
	r.id += "x"
	r.born = time.Now().UnixMilli()
	r.gone, r.running = false, 0
	r.server = &http.Server{Handler: r}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.register(p.s.store, "ready")
}

// onRun records that a request has begun to run, and crashes the runner if the request has the
// part.
func (p *partsState) onRun(r *appRunner, request *http.Request) {
	p.mu.Lock()
	p.begun[request.Header.Get("Verbenaseam-Attempt-Id")] = true
	deadly := strings.Contains(request.Header.Get("Verbenaseam-Prefix-Hash"), deadlyPart)
	first := false
	if deadly {
		p.deadlyAt = append(p.deadlyAt, time.Now())
		r.mu.Lock()
		first = !r.gone
		r.gone = true
		r.mu.Unlock()
		if first {
			p.crashes++
			p.s.bench.record("crash %d: %s runs %s", p.crashes, r.id, request.Header.Get("Verbenaseam-Attempt-Id"))
			if p.crashes == 5 {
				p.fifthAt = time.Now()
			}
		}
	}
	p.mu.Unlock()
	if first {
		go p.crash(r)
		time.Sleep(50 * time.Millisecond)
	}
}

// soundZone is the zone of the callers of the sound requests. It has one entry.
const soundZone = "nadi"

// trialEntries is how many entries may run a suspected part on trial.
const trialEntries = 2

// sharedPart returns a part of prompts for which the entry of soundZone has none of the first
// places in the order of processes (dispatch.Processes.Rank). With 4 entries half of all parts are
// so.
func (s *system) sharedPart() uint64 {
	hash := func(part uint64, name string) uint64 {
		return xxhash.Sum64String(strconv.FormatUint(part, 10) + "\x00" + name)
	}
	for part := uint64(0xf001); ; part++ {
		before := 0
		for _, e := range s.entries {
			if hash(part, e.entryName) < hash(part, s.entryOf(soundZone).entryName) {
				before++
			}
		}
		if before >= trialEntries {
			return part
		}
	}
}

// entryOf returns the first entry of a zone.
func (s *system) entryOf(zone string) *entry {
	for _, e := range s.entries {
		if e.zone == zone {
			return e
		}
	}
	return nil
}

// runParts runs 4 entries and 12 runners. Requests come at any entry with a part of the prompt that
// crashes runners, all of which begin with another part that is new; then sound requests that begin
// with that one, from callers in one zone.
func runParts(b *bench) (bool, error) {
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
	p.sound(contactTime, earlierPart)
	before := p.sound(6*time.Second, earlierPart)
	part := strconv.FormatUint(s.sharedPart(), 16)
	b.record("the prompts begin with the part %s from now on", part)
	if b.trouble {
		running.Go(func() { p.deadly(done, part) })
		for p.fifth().IsZero() {
			time.Sleep(50 * time.Millisecond)
			if time.Since(b.started) > time.Minute {
				return false, fmt.Errorf("no five crashes")
			}
		}
		p.sound(2*contactTime, part)
	}
	after := p.sound(20*time.Second, part)
	close(done)
	running.Wait()
	b.record("sound requests with the key that began at the first attempt: %d of %d before, %d of %d later than 2 x contact_ms after the fifth crash; %d crashes",
		before.served, before.sent, after.served, after.sent, p.crashes)
	return after.share() < before.share()/2, nil
}

// earlierPart begins the prompts before the disruption.
const earlierPart = "0a0a"

func (p *partsState) fifth() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fifthAt
}

// deadly sends requests with the part that crashes runners, no two alike, at any entry.
func (p *partsState) deadly(done <-chan struct{}, first string) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		running.Go(func() {
			p.s.prompt(first+":40,"+deadlyPart+":300,"+strconv.FormatUint(rand.Uint64(), 16)+":50", fmt.Sprintf("/fault-diag/d%d", n), zones[rand.IntN(len(zones))])
		})
		select {
		case <-done:
			return
		case <-time.After(crashEvery):
		}
	}
}

// sound sends 10 sound requests a second whose prompts begin with a part, and returns how many
// have begun to run at the first attempt.
func (p *partsState) sound(span time.Duration, first string) tally {
	var running sync.WaitGroup
	var mu sync.Mutex
	var t tally
	for n := range int(span / (100 * time.Millisecond)) {
		running.Go(func() {
			id := p.s.prompt(first+":40,"+strconv.FormatUint(rand.Uint64N(1<<40)+1<<40, 16)+":600", fmt.Sprintf("/fault-diag/s%d", n), soundZone)
			p.mu.Lock()
			begun := p.begun[id]
			p.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			t.sent++
			if begun {
				t.served++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	return t
}

// prompt sends a streaming request with the parts of a prompt, from a caller in a zone, and returns
// its ID.
func (s *system) prompt(parts, path, zone string) string {
	id := s.nextID()
	address := s.resolve(zone)
	if address == "" {
		s.bench.record("%s: no directory answers", id)
		return id
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("prompt "+id))
	if err != nil {
		return id
	}
	request.Host = hostName
	request.Header.Set("Verbenaseam-Attempt-Id", id)
	request.Header.Set("Verbenaseam-Deadline-Ms", "8000")
	request.Header.Set("Authorization", "Token k1")
	request.Header.Set("Verbenaseam-Model", "m")
	request.Header.Set("Verbenaseam-Token-Usage", "640,40")
	request.Header.Set("Verbenaseam-Prefix-Hash", parts)
	client := *callers
	client.Timeout = 8 * time.Second
	response, err := client.Do(request)
	if err != nil {
		s.bench.record("%s %s parts %s to %s: %v", id, path, parts, address, err)
		return id
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	s.bench.record("%s %s parts %s to %s: %d, whole %v", id, path, parts, address, response.StatusCode, err == nil)
	return id
}
