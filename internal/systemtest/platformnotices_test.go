package systemtest

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// drainBound is the drain bound of soak.Bounds.
	drainBound = 2 * time.Second
	// onTheirWay is how long after a target asked for a pause requests may still reach it.
	onTheirWay = 500 * time.Millisecond
	// entryFreeze is how long an entry is stopped, less than its peers take to give it up.
	entryFreeze = 700 * time.Millisecond
)

// arrivals returns how many requests have reached a target, run or not.
func arrivals(fake *standin.Target) int { return len(fake.Executed()) + len(fake.Refused()) }

// freeze stops an entry for a time and continues it.
func (p *platformProcess) freeze(t *testing.T, d time.Duration) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(syscall.SIGSTOP))
	time.Sleep(d)
	require.NoError(t, p.command.Process.Signal(syscall.SIGCONT))
}

// burst sends streams to an entry from several callers for a time, and ignores how they end.
func (s *platformSystem) burst(entry *platformProcess, callers int, d time.Duration) {
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for started := time.Now(); time.Since(started) < d; time.Sleep(20 * time.Millisecond) {
				_, _, _ = s.send(entry, "/chat/stream")
			}
		})
	}
	wg.Wait()
}

// TestLeavingTargetsGetNoRequestsWithoutTheStore lets two of three targets say to one entry,
// once, that they leave, while the store is away and the other entry is frozen. Both entries
// must send them nothing more, and the remaining target serves.
func TestLeavingTargetsGetNoRequestsWithoutTheStore(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	s := startPlatformSystem(t)
	s.awaitBothEntries()
	s.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	leaving := s.ranks[:2]
	for _, fake := range leaving {
		fake.SetFaults(standin.TargetFaults{LeavingOnce: true})
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.entries[1].freeze(t, entryFreeze) })
	s.burst(s.entries[0], 8, entryFreeze)
	wg.Wait()
	for _, fake := range leaving {
		require.Positive(t, arrivals(fake))
	}
	time.Sleep(drainBound)
	before := []int{arrivals(leaving[0]), arrivals(leaving[1]), arrivals(s.ranks[2])}
	for _, entry := range s.entries {
		s.burst(entry, 4, time.Second)
	}
	require.Equal(t, before[:2], []int{arrivals(leaving[0]), arrivals(leaving[1])})
	require.Greater(t, arrivals(s.ranks[2]), before[2])
}

// TestAgentsTellEntriesOfLeavingTargetsWithoutTheStore lets two of three targets say only to
// their agents that they leave, while the store is away. No request may reach them.
func TestAgentsTellEntriesOfLeavingTargetsWithoutTheStore(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	const (
		// agentsKnowEntries is more than the time after which agents read the entries.
		agentsKnowEntries = 7 * time.Second
		// reported is more than the time between two reports of an agent.
		reported = time.Second
	)
	s := startPlatformSystem(t)
	s.awaitBothEntries()
	time.Sleep(agentsKnowEntries)
	s.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	for _, fake := range s.ranks[:2] {
		fake.SetFaults(standin.TargetFaults{Leaving: true})
	}
	time.Sleep(reported)
	for _, entry := range s.entries {
		s.burst(entry, 4, time.Second)
	}
	require.Zero(t, arrivals(s.ranks[0])+arrivals(s.ranks[1]))
	require.Positive(t, arrivals(s.ranks[2]))
}

// TestPausingTargetsGetNoRequestsAcrossAFreeze lets targets refuse a burst and ask for a
// pause, during which their entry is frozen for a while.
func TestPausingTargetsGetNoRequestsAcrossAFreeze(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	for text, pause := range map[string]time.Duration{
		"0.4": 400 * time.Millisecond, "2": 2 * time.Second, "30": 30 * time.Second,
	} {
		t.Run(text+" s", func(t *testing.T) {
			s := startPlatformSystem(t)
			s.awaitBothEntries()
			for _, fake := range s.ranks {
				fake.SetFaults(standin.TargetFaults{Refuse: true, RetryAfter: text})
			}
			var wg sync.WaitGroup
			wg.Go(func() { s.burst(s.entries[0], 8, 4*time.Second) })
			time.Sleep(time.Second)
			s.entries[0].freeze(t, entryFreeze)
			wg.Wait()
			for _, fake := range s.ranks {
				refused := fake.Refused()
				require.NotEmpty(t, refused)
				for i, first := range refused {
					for _, later := range refused[i+1:] {
						since := later.Sub(first)
						require.False(t, since > onTheirWay && since < pause, "reached %v after it asked for %v", since, pause)
					}
				}
				fake.SetFaults(standin.TargetFaults{})
			}
			if pause < 10*time.Second {
				require.Eventually(t, func() bool {
					status, _, err := s.send(s.entries[0], "/chat/stream")
					return err == nil && status == http.StatusOK
				}, pause+2*time.Second, 50*time.Millisecond)
			}
		})
	}
}
