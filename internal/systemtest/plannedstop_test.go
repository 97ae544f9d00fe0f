package systemtest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/soak"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// stopGrace is the grace period of the entries of these tests.
	stopGrace = 8 * time.Second
	// callersGone is how long after a stop began callers still use the entry because of a
	// directory answer that they keep.
	callersGone = 3 * time.Second
	// stopTargets is the number of targets, of four requests at once each.
	stopTargets = 8
	// sendInterval is the time between two requests of a pattern.
	sendInterval = 250 * time.Millisecond
)

// startStopSystem starts one entry in front of targets that work as long as a request says.
func startStopSystem(t *testing.T) (*platformSystem, []*standin.Target) {
	t.Helper()
	s := &platformSystem{t: t, store: standin.NewStore(), entryBounds: strings.Replace(soak.Bounds, "grace = 6s", "grace = 8s", 1)}
	s.storeAddress = serve(t, "127.0.0.1:0", s.store)
	s.store.Put(platform.TableOperator, platform.KeyConfiguration, standin.SlowConfiguration())
	targets := make([]*standin.Target, stopTargets)
	for n := range targets {
		targets[n] = &standin.Target{ID: fmt.Sprintf("plain-%d", n), Service: "plain", FailureDomain: "z1"}
		s.store.Put(platform.TableTargets, targets[n].ID, targets[n].RegistrationValue(serve(t, "127.0.0.1:0", targets[n]), "ready"))
	}
	s.addEntry(0)
	require.Eventually(t, func() bool { return len(s.resolveEntries(s.entries[0])) == 1 }, 10*time.Second, 20*time.Millisecond)
	return s, targets
}

// stopRequest is a request of a caller and how it ended.
type stopRequest struct {
	id, path string
	work     time.Duration
	sent     time.Time
	// status is 0 without an answer; closing is set if the answer asks to close the connection.
	status  int
	closing bool
	err     error
}

// sendWork sends a request that takes the given time at a target.
func sendWork(client *http.Client, address, id, path string, work time.Duration) *stopRequest {
	r := &stopRequest{id: id, path: path, work: work, sent: time.Now()}
	url := fmt.Sprintf("http://%s%s?%s=%d", address, path, standin.WorkParameter, work.Milliseconds())
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		r.err = err
		return r
	}
	request.Host = standin.Hostname
	request.Header.Set(platform.HeaderAttemptID, id)
	request.Header.Set(platform.HeaderDeadline, "10000")
	request.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+standin.APIKey)
	response, err := client.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		r.err = err
		return r
	}
	r.status, r.closing = response.StatusCode, response.Close
	return r
}

// stopCallers send requests of one kind and duration to an entry until it is gone.
type stopCallers struct {
	mu   sync.Mutex
	wg   sync.WaitGroup
	all  []*stopRequest
	done chan struct{}
}

// run sends requests over kept connections, or over a new one each, until done is closed.
func (c *stopCallers) run(address, path string, work time.Duration, kept bool) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !kept, MaxIdleConnsPerHost: 8}}
	c.wg.Go(func() {
		var inner sync.WaitGroup
		ticker := time.NewTicker(sendInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-c.done:
				inner.Wait()
				client.CloseIdleConnections()
				return
			case <-ticker.C:
			}
			inner.Go(func() {
				r := sendWork(client, address, fmt.Sprintf("%s%v-%v-%d", path[1:], work, kept, n), path, work)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.all = append(c.all, r)
			})
		}
	})
}

// executedIDs returns the IDs of the requests that targets have run.
func executedIDs(targets []*standin.Target) map[string]bool {
	ids := map[string]bool{}
	for _, target := range targets {
		for _, request := range target.Executed() {
			ids[request.AttemptID] = true
		}
	}
	return ids
}

// TestPlannedStopCutsNoRequestThatComesLate guards against requests that an entry passes on late
// in its grace period and cuts off, without an answer, when the period ends.
func TestPlannedStopCutsNoRequestThatComesLate(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	for _, work := range []time.Duration{2500 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) {
			t.Parallel()
			s, targets := startStopSystem(t)
			entry := s.entries[0]
			callers := &stopCallers{done: make(chan struct{})}
			for _, path := range []string{"/order/x", "/look/x"} {
				for _, kept := range []bool{true, false} {
					callers.run(entry.callerAddress, path, 20*time.Millisecond, kept)
				}
			}
			callers.run(entry.callerAddress, "/order/slow", work, true)
			callers.run(entry.callerAddress, "/order/slow", work, false)
			time.Sleep(work + time.Second)
			stopped := time.Now()
			require.NoError(t, entry.command.Process.Signal(syscall.SIGTERM))
			select {
			case <-entry.done:
			case <-time.After(stopGrace):
				t.Error("the entry did not exit within the grace period")
			}
			close(callers.done)
			callers.wg.Wait()
			ran := executedIDs(targets)
			served := 0
			for _, r := range callers.all {
				after := r.sent.Sub(stopped)
				if ran[r.id] && r.status == 0 {
					t.Errorf("%s, sent %v after the stop began, ran and was cut off: %v", r.id, after, r.err)
				}
				if r.status == http.StatusServiceUnavailable && (ran[r.id] || !r.closing) {
					t.Errorf("%s, sent %v after the stop began, was refused: ran %v, closing %v", r.id, after, ran[r.id], r.closing)
				}
				if r.work < time.Second && r.status != 0 && after < callersGone {
					require.Equal(t, http.StatusOK, r.status, "%s, sent %v after the stop began", r.id, after)
				}
				if r.status == http.StatusOK && after > callersGone {
					served++
				}
			}
			require.Positive(t, served, "quick requests must be served while callers may come")
		})
	}
}

// TestSecondTerminationSignalCutsNoRequest guards against a second SIGTERM within the grace period
// that cuts off what the first one lets finish.
func TestSecondTerminationSignalCutsNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	s, targets := startStopSystem(t)
	entry := s.entries[0]
	const count = 12
	results := make(chan *stopRequest, count)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range count {
		go func() {
			path := []string{"/order/x", "/look/x"}[n%2]
			results <- sendWork(client, entry.callerAddress, fmt.Sprintf("second-%d", n), path, 2500*time.Millisecond)
		}()
	}
	require.Eventually(t, func() bool { return len(executedIDs(targets)) == count }, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, entry.command.Process.Signal(syscall.SIGTERM))
	time.Sleep(1500 * time.Millisecond)
	require.NoError(t, entry.command.Process.Signal(syscall.SIGTERM))
	for range count {
		r := <-results
		require.NoError(t, r.err, r.id)
		require.Equal(t, http.StatusOK, r.status, r.id)
	}
}
