package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

// Parts of prompts: the first part of sound requests before and after the change, and the one that
// crashes runners.
const (
	oldFirst = "a0"
	newFirst = "a1"
	crashing = "dead"
)

const (
	modelRunners = 12
	// backAfter is how long a crashed runner is down, heartbeats the silence after which its entry is
	// removed.
	backAfter  = 2 * time.Second
	heartbeats = 3600 * time.Millisecond
	// crashAfter is how long after the arrival of a request a runner crashes for another reason.
	crashAfter = 200 * time.Millisecond
)

// modelService is the runners of the model service, each of which is replaced when it crashes.
type modelService struct {
	system *system
	// others is how many crashes for another reason are left: of runners that run a sound request with
	// the new first part.
	others atomic.Int64

	mu sync.Mutex
	// crashes are those by the part, in order.
	crashes []time.Time
}

// start starts the runner of a place, the given incarnation of it.
func (m *modelService) start(place, incarnation int) error {
	r := &runner{Target: &standin.Target{
		ID: fmt.Sprintf("m-%d-%d", place, incarnation), Service: "model", FailureDomain: zones[place%len(zones)], Events: 20, Pause: 50 * time.Millisecond,
	}}
	var once sync.Once
	crash := func(reason string) {
		once.Do(func() {
			m.system.record.note("runner %s crashes: %s", r.ID, reason)
			r.exit()
			time.AfterFunc(heartbeats, func() { m.system.store.Delete(platform.TableTargets, r.ID) })
			time.AfterFunc(backAfter, func() { _ = m.start(place, incarnation+1) })
		})
	}
	r.SetFaults(standin.TargetFaults{CrashOnPart: crashing})
	r.Crash = func() {
		m.mu.Lock()
		m.crashes = append(m.crashes, time.Now())
		m.mu.Unlock()
		crash("by the part")
	}
	var err error
	r.address, r.exit, err = m.system.serve(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		parts := request.Header.Get(platform.HeaderPromptParts)
		if strings.HasPrefix(parts, newFirst) && !strings.Contains(parts, crashing) && m.others.Add(-1) >= 0 {
			time.AfterFunc(crashAfter, func() { crash("for another reason, while it runs " + request.Header.Get(platform.HeaderAttemptID)) })
		}
		r.ServeHTTP(w, request)
	}))
	if err != nil {
		return err
	}
	m.system.store.Put(platform.TableTargets, r.ID, r.RegistrationValue(r.address, "ready"))
	return nil
}

// fifth returns when the part crashed the fifth runner, or the latest one; zero if none.
func (m *modelService) fifth() (at time.Time, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.crashes) > 0 {
		at = m.crashes[min(len(m.crashes), 5)-1]
	}
	return at, len(m.crashes)
}

// stream sends a request of the streaming route and records how it began.
func (c *client) stream(e *entry, first, more string, began func(sentAt time.Time, status int)) {
	number := c.number.Add(1)
	id := fmt.Sprintf("r%d", number)
	// No two requests are alike.
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/chat/"+id+"/stream", nil)
	if err != nil {
		return
	}
	request.Host = standin.Hostname
	request.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+c.key)
	request.Header.Set(platform.HeaderAttemptID, id)
	request.Header.Set(platform.HeaderDeadline, "8000")
	request.Header.Set(platform.HeaderTokenUsage, "150,20")
	request.Header.Set(platform.HeaderPromptParts, fmt.Sprintf("%s:40,%sb%x:10", first, more, number))
	at, status := time.Now(), 0
	streams := &http.Client{Transport: c.http.Transport, Timeout: 9 * time.Second}
	if response, err := streams.Do(request); err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	c.record.noteAt(at, "%s with %s%s sent to %s: %d", id, first, more, e.name, status)
	began(at, status)
}

// tally counts requests and those that began.
type tally struct {
	mu          sync.Mutex
	sent, began int
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if status == http.StatusOK {
		t.began++
	}
}

func (t *tally) share() float64 { return float64(t.began) / float64(max(t.sent, 1)) }

// soundPart is case 15: a part of prompts crashes runners; two runners crash for another reason while they
// run a sound request with a part that came with it.
func soundPart(s *system, trouble bool) (broken bool, err error) {
	m := &modelService{system: s}
	for place := range modelRunners {
		if err := m.start(place, 1); err != nil {
			return false, err
		}
	}
	if err := s.start(4, 3); err != nil {
		return false, err
	}
	if trouble && os.Getenv("OTHERS") != "0" {
		m.others.Store(2)
	}
	c := newClient(s.record)
	var before, after tally
	s.sendStreams(c, 6*time.Second, oldFirst, func(_ time.Time, status int) { before.add(status) })
	ctx, stop := context.WithCancel(context.Background())
	var deadly sync.WaitGroup
	defer deadly.Wait()
	defer stop()
	counted := time.Now().Add(2 * contact)
	if trouble {
		deadly.Go(func() { c.crash(ctx, s.entries) })
		for giveUp := time.Now().Add(20 * time.Second); time.Now().Before(giveUp); time.Sleep(50 * time.Millisecond) {
			if _, count := m.fifth(); count >= 5 {
				break
			}
		}
		at, count := m.fifth()
		s.record.note("the part has crashed %d runners", count)
		counted = at.Add(2 * contact)
	}
	s.sendStreams(c, 20*time.Second, newFirst, func(at time.Time, status int) {
		if at.After(counted) {
			after.add(status)
		}
	})
	s.record.note("before: %d of %d sound requests began; later than 2 x contact after the fifth crash: %d of %d", before.began, before.sent, after.began, after.sent)
	return before.sent >= 20 && after.sent >= 20 && after.share() < before.share()/2, nil
}

// crash sends a request with the part each 1.5 s until ctx is done.
func (c *client) crash(ctx context.Context, entries []*entry) {
	for n := 0; ctx.Err() == nil; n++ {
		c.stream(entries[n%len(entries)], newFirst, crashing+":100,", func(time.Time, int) {})
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// sendStreams sends 10 sound requests a second with a first part, to the entries in turn.
func (s *system) sendStreams(c *client, span time.Duration, first string, began func(time.Time, int)) {
	var pending sync.WaitGroup
	for n, end := 0, time.Now().Add(span); time.Now().Before(end); n++ {
		pending.Go(func() { c.stream(s.entries[n%len(s.entries)], first, "", began) })
		time.Sleep(100 * time.Millisecond)
	}
	pending.Wait()
}
