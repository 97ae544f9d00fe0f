package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// replay moves bytes at regular times for as long as the peer has not stalled, at most 60 s, and
// returns how long that is.
func replay(rate Rate, bytes int64, every time.Duration) time.Duration {
	m := NewMeter(rate)
	m.Wait(start)
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += every {
		if stalled, _ := m.Stalled(start.Add(elapsed)); stalled {
			return elapsed
		}
		m.Moved(bytes, start.Add(elapsed))
	}
	return time.Minute
}

// TestRateOverAWindow guards against judging by the time of the last byte: a byte now and then
// is no progress, and a slow peer that moves in bursts is.
func TestRateOverAWindow(t *testing.T) {
	require.Equal(t, Default.Window, replay(Default, 0, 100*time.Millisecond), "nothing moves")
	require.Equal(t, Default.Window, replay(Default, 1, 100*time.Millisecond), "a byte now and then")
	require.Equal(t, time.Minute, replay(Default, 200, time.Second), "slow")
	require.Equal(t, time.Minute, replay(Default, 1000, 3500*time.Millisecond), "bursts")
}

func TestNothingWaits(t *testing.T) {
	m := NewMeter(Default)
	stalled, left := m.Stalled(start.Add(time.Hour))
	require.False(t, stalled, "a stream without waiting bytes may pause")
	require.Zero(t, left)
	m.Wait(start)
	m.Idle()
	m.Wait(start.Add(time.Hour))
	stalled, left = m.Stalled(start.Add(time.Hour))
	require.False(t, stalled, "the window begins when bytes wait again")
	require.Equal(t, Default.Window, left)
}

// TestMonitorPollsProgress guards against ending a peer whose progress only the kernel sees.
func TestMonitorPollsProgress(t *testing.T) {
	rate := Rate{Bytes: 100, Window: 80 * time.Millisecond}
	stalled := make(chan struct{})
	polls := 0
	m := NewMonitor(rate, func() (int64, bool) {
		polls++
		if polls > 24 {
			return 0, true
		}
		return 50, true
	}, func() { close(stalled) })
	began := time.Now()
	m.Wait()
	<-stalled
	require.GreaterOrEqual(t, time.Since(began), 3*rate.Window)
	require.True(t, m.Close())
}

func TestClosedMonitorIsSilent(t *testing.T) {
	rate := Rate{Bytes: 100, Window: 10 * time.Millisecond}
	m := NewMonitor(rate, nil, func() { t.Error("stalled after Close") })
	m.Wait()
	require.False(t, m.Close())
	time.Sleep(3 * rate.Window)
	require.Nil(t, NewMonitor(Rate{}, nil, nil), "without a window nothing is monitored")
}

// TestLateCheckJudgesNobody guards against a process that was frozen, and ends healthy requests
// when it goes on because nothing has moved meanwhile.
func TestLateCheckJudgesNobody(t *testing.T) {
	rate := Rate{Bytes: 100, Window: time.Minute}
	m := NewMonitor(rate, nil, func() { t.Error("stalled") })
	m.Wait()
	now := time.Now()
	m.mu.Lock()
	m.due, m.meter.windowStart = now.Add(-rate.Window/2), now.Add(-2*rate.Window)
	m.mu.Unlock()
	m.check()
	require.False(t, m.Close())
}
