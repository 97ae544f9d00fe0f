package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/platform"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cluster runs probers in lockstep; a nil prober is a silent host. reach reports
// whether a message between two hosts is delivered.
type cluster struct {
	now     time.Time
	names   []string
	probers map[string]*Prober
	reach   func(from, to string) bool
}

func newCluster(count int) *cluster {
	c := &cluster{now: startTime, probers: map[string]*Prober{}, reach: func(_, _ string) bool { return true }}
	var hosts []platform.Host
	for i := range count {
		name := fmt.Sprintf("h%d", i)
		c.names = append(c.names, name)
		hosts = append(hosts, platform.Host{Name: name})
		c.probers[name] = NewProber(name, 100, rand.New(rand.NewPCG(uint64(i), 5)))
	}
	c.setHosts(hosts)
	return c
}

func (c *cluster) setHosts(hosts []platform.Host) {
	for _, prober := range c.probers {
		if prober != nil {
			prober.SetHosts(c.now, hosts)
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(TickInterval) {
		for _, name := range c.names {
			if c.probers[name] != nil {
				c.deliver(name, c.probers[name].Tick(c.now))
			}
		}
	}
}

func (c *cluster) deliver(from string, messages []OutgoingMessage) {
	for _, message := range messages {
		to := c.probers[message.Peer]
		if to != nil && c.reach(from, message.Peer) {
			c.deliver(message.Peer, to.Receive(c.now, from, message.Body))
		}
	}
}

// agreedState returns the state that all other hosts see of a host; it fails when
// they differ.
func (c *cluster) agreedState(t *testing.T, name string) State {
	states := map[State]bool{}
	last := Alive
	for other, prober := range c.probers {
		if other != name && prober != nil {
			last = prober.State(name)
			states[last] = true
		}
	}
	require.Len(t, states, 1, "the others disagree about %s: %v", name, states)
	return last
}

func TestProbersDistinguishStates(t *testing.T) {
	cases := []struct {
		desc string
		do   func(c *cluster)
		want State
	}{
		{"nothing happens", func(*cluster) {}, Alive},
		{"silent, address does not refuse", func(c *cluster) { c.probers["h3"] = nil }, Stalled},
		{"no progress", func(c *cluster) { c.probers["h3"].SetProgress(false) }, Stalled},
		{"process ended, one connection was refused", func(c *cluster) {
			c.probers["h3"] = nil
			c.deliver("h1", c.probers["h1"].ConnectionRefused(c.now, "h3"))
		}, Dead},
		{"refused once, but answers", func(c *cluster) { c.deliver("h1", c.probers["h1"].ConnectionRefused(c.now, "h3")) }, Alive},
		{"live list says leaving", func(c *cluster) {
			var hosts []platform.Host
			for _, name := range c.names {
				hosts = append(hosts, platform.Host{Name: name, Leaving: name == "h3"})
			}
			c.setHosts(hosts)
		}, Leaving},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			c := newCluster(9)
			c.run(5 * time.Second)
			tc.do(c)
			c.run(40 * time.Second)
			require.Equal(t, tc.want, c.agreedState(t, "h3"))
			for _, name := range c.names {
				if name != "h3" && c.probers[name] != nil {
					require.Equal(t, Alive, c.agreedState(t, name), name)
				}
			}
		})
	}
}

func TestSilentHostIsDeadOnceTheLiveListDropsIt(t *testing.T) {
	c := newCluster(6)
	c.run(5 * time.Second)
	c.probers["h3"] = nil
	c.run(20 * time.Second)
	require.Equal(t, Stalled, c.agreedState(t, "h3"))
	for range 20 {
		c.setHosts([]platform.Host{{Name: "h0"}, {Name: "h1"}, {Name: "h2"}, {Name: "h4"}, {Name: "h5"}})
		c.run(time.Second)
	}
	require.Equal(t, Dead, c.agreedState(t, "h3"))
}

// TestHostThatComesBackIsAliveAgain has so many hosts that no host can probe all others
// in the time given; the recovery must be disseminated by updates.
func TestHostThatComesBackIsAliveAgain(t *testing.T) {
	c := newCluster(120)
	c.run(5 * time.Second)
	paused := c.probers["h3"]
	c.probers["h3"] = nil
	c.run(30 * time.Second)
	require.Equal(t, Stalled, c.agreedState(t, "h3"))
	c.probers["h3"] = paused
	c.run(20 * time.Second)
	require.Equal(t, Alive, c.agreedState(t, "h3"))
}

func TestCutOffIsSeenOnlyByTheCutOffHost(t *testing.T) {
	c := newCluster(9)
	c.run(5 * time.Second)
	c.reach = func(from, to string) bool {
		return !(from == "h1" && to == "h3" || from == "h3" && to == "h1")
	}
	c.run(40 * time.Second)
	for _, name := range c.names {
		want := Alive
		if name == "h1" {
			want = CutOff
		}
		if name != "h3" {
			require.Equal(t, want, c.probers[name].State("h3"), name)
		}
	}
}

// TestShortStallsAndMessageLossChangeNoState guards against false positives: one host at
// a time stalls for 2 s in 6 s, and 3 of 10 messages are lost.
func TestShortStallsAndMessageLossChangeNoState(t *testing.T) {
	c := newCluster(20)
	random := rand.New(rand.NewPCG(1, 6))
	stalled := ""
	c.reach = func(from, to string) bool { return to != stalled && from != stalled && random.IntN(10) >= 3 }
	for second := range 120 {
		stalled = ""
		if second%6 < 2 {
			stalled = c.names[second/6%len(c.names)]
		}
		c.run(time.Second)
		for _, name := range c.names {
			for _, other := range c.names {
				if name != other {
					require.Equal(t, Alive, c.probers[name].State(other), "%s of %s at second %d", name, other, second)
				}
			}
		}
	}
}
