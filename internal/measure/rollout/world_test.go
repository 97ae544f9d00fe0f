package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/rollout"
)

// kill ends a host's process.
func (w *world) kill(h *host) {
	h.alive = false
	h.life++
	h.inbox = nil
}

// checker holds the history of versions against the promises.
type checker struct {
	t *testing.T
	w *world
	// served is the version each host last had in force in its present life.
	served map[string]uint64
	lives  map[string]int
	// faults counts the faults so far; startedIn and floors are, for each host's
	// present life, their number and the version known around it at its start.
	faults    int
	startedIn map[string]int
	floors    map[string]uint64
	heads     []acceptance
}

type acceptance struct {
	at      time.Time
	version uint64
}

func newChecker(t *testing.T, w *world) *checker {
	c := &checker{t: t, w: w, served: map[string]uint64{}, lives: map[string]int{},
		startedIn: map[string]int{}, floors: map[string]uint64{}}
	w.onVersion = c.onVersion
	return c
}

// start starts a host and notes what it has to know before it is ready.
func (c *checker) start(h *host) {
	floor := uint64(0)
	for _, other := range c.w.hosts {
		lostTo, _ := c.w.blocked(h, other)
		lostFrom, _ := c.w.blocked(other, h)
		if other != h && other.alive && !other.paused && other.node.Ready() && !lostTo && !lostFrom {
			floor = max(floor, other.node.Version())
		}
	}
	if !c.w.rows.down && !c.w.tableCut(h) {
		floor = max(floor, c.w.table.Version)
	}
	c.floors[h.name], c.startedIn[h.name] = floor, c.faults
	c.w.start(h)
}

// onVersion requires that a life never goes back and begins no lower than what
// was known around it.
func (c *checker) onVersion(h *host) {
	if !h.node.Ready() {
		return
	}
	version := h.node.Version()
	if c.lives[h.name] != h.life {
		c.lives[h.name] = h.life
		if c.startedIn[h.name] == c.faults {
			require.GreaterOrEqual(c.t, version, c.floors[h.name], "%s began below what was known", h.name)
		}
	} else {
		require.GreaterOrEqual(c.t, version, c.served[h.name], "%s went back", h.name)
	}
	c.served[h.name] = version
}

func (c *checker) change(h *host) {
	if version, err := c.w.change(h); err == nil {
		c.heads = append(c.heads, acceptance{c.w.now, version})
	}
}

// headBefore is the newest version accepted before a time.
func (c *checker) headBefore(at time.Time) uint64 {
	head := uint64(0)
	for _, one := range c.heads {
		if one.at.Before(at) {
			head = one.version
		}
	}
	return head
}

// run lets time pass and requires at every tick that whoever believes in its
// version is at most ServeLimit behind the newest accepted one.
func (c *checker) run(d time.Duration) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += rollout.TickInterval {
		c.w.run(rollout.TickInterval)
		floor := c.headBefore(c.w.now.Add(-rollout.MaxUnconfirmedAge))
		for _, h := range c.w.hosts {
			if !h.alive || h.paused {
				continue
			}
			if rollout.MayServe(h.node.ServeInput(c.w.now)) == rollout.ServeCurrent {
				require.GreaterOrEqual(c.t, h.node.Version(), floor, "%s serves an old version", h.name)
			}
		}
	}
}

// fault brings about or ends one fault at random.
func (c *checker) fault(random *rand.Rand) {
	c.faults++
	h := c.w.hosts[random.IntN(len(c.w.hosts))]
	switch random.IntN(9) {
	case 0:
		c.w.kill(h)
	case 1, 2:
		if !h.alive {
			c.start(h)
		}
	case 3:
		if h.alive && !h.paused {
			c.w.suspend(h, time.Duration(1+random.IntN(8))*time.Second)
		}
	case 4:
		c.w.rows.SetDown(random.IntN(2) == 0)
	case 5:
		c.w.latency = platformUsual
		if random.IntN(2) == 0 {
			c.w.latency = platformSlow
		}
	case 6:
		c.cutDomain(random.IntN(c.w.domains + 1))
	case 7:
		c.w.rows.LoseReplies(random.IntN(2))
	case 8:
		c.breakLinks(random.Uint64())
	}
}

// cutDomain cuts a failure domain off from the others and from the platform;
// one that does not exist heals all cuts.
func (c *checker) cutDomain(domain int) {
	name := domainName(domain)
	c.w.tableCut = func(h *host) bool { return h.domain == name }
	c.w.blocked = func(a, b *host) (bool, bool) { return (a.domain == name) != (b.domain == name), false }
}

// breakLinks breaks about a third of the links, each way by itself.
func (c *checker) breakLinks(seed uint64) {
	broken := map[[2]string]bool{}
	random := rand.New(rand.NewPCG(seed, 0))
	for _, a := range c.w.hosts {
		for _, b := range c.w.hosts {
			broken[[2]string{a.name, b.name}] = random.IntN(3) == 0
		}
	}
	c.w.blocked = func(a, b *host) (bool, bool) { return broken[[2]string{a.name, b.name}], false }
}

func (c *checker) heal() {
	c.faults++
	c.w.rows.SetDown(false)
	c.w.rows.LoseReplies(0)
	c.w.latency = platformUsual
	c.w.tableCut = func(*host) bool { return false }
	c.w.blocked = func(_, _ *host) (bool, bool) { return false, false }
	for _, h := range c.w.hosts {
		if !h.alive {
			c.start(h)
		}
	}
}

// TestVersionsNeverGoBackUnderFaults runs random interleavings of changes with
// deaths, restarts, pauses, outages, cuts, broken links and lost replies.
func TestVersionsNeverGoBackUnderFaults(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 2))
			w := newWorld(uint64(seed), 3+random.IntN(7), random.IntN(4), 3)
			c := newChecker(t, w)
			for _, h := range w.hosts {
				c.start(h)
			}
			for range 60 {
				c.run(time.Duration(100+random.IntN(2000)) * time.Millisecond)
				if random.IntN(2) == 0 {
					c.fault(random)
				} else {
					c.change(w.hosts[0])
				}
			}
			c.heal()
			c.run(20 * time.Second)
			c.change(w.hosts[0])
			c.run(coverageTodayBound * time.Second)
			for _, h := range w.hosts {
				require.True(t, h.node.Ready(), h.name)
				require.Equal(t, w.table.Version, h.node.Version(), h.name)
				require.True(t, rollout.MayServe(h.node.ServeInput(w.now)).OK(), h.name)
			}
		})
	}
}

// TestCutOffFailureDomainStopsTakingWork cuts a failure domain off and makes a
// change it cannot learn of; it must stop within ServeLimit, and the others go on.
func TestCutOffFailureDomainStopsTakingWork(t *testing.T) {
	w := newWorld(1, 9, 0, 3)
	c := newChecker(t, w)
	for _, h := range w.hosts {
		c.start(h)
	}
	c.run(warmUp)
	c.cutDomain(1)
	c.change(w.hosts[0])
	c.run(rollout.MaxUnconfirmedAge + rollout.TickInterval)
	for _, h := range w.hosts {
		verdict := rollout.MayServe(h.node.ServeInput(w.now))
		require.Equal(t, h.domain != domainName(1), verdict.OK(), "%s: %s", h.name, verdict)
	}
	c.heal()
	c.run(rollout.MaxUnconfirmedAge)
	for _, h := range w.hosts {
		require.True(t, rollout.MayServe(h.node.ServeInput(w.now)).OK(), h.name)
	}
}

// TestConfirmationsNameWhoIsMissing waits for a version while one host is dead
// and another is cut off.
func TestConfirmationsNameWhoIsMissing(t *testing.T) {
	w := newWorld(1, 8, 4, 4)
	c := newChecker(t, w)
	for _, h := range w.hosts {
		c.start(h)
	}
	c.run(warmUp)
	w.tableCut = func(h *host) bool { return h.name == "host-3" }
	w.blocked = func(a, b *host) (bool, bool) {
		cut := a.name == "host-3" || b.name == "host-3"
		return cut, cut
	}
	w.kill(w.hosts[5])
	c.change(w.hosts[0])
	for range 40 {
		w.hosts[0].node.Adoption(w.now, w.table.Version)
		c.run(rollout.TickInterval)
	}
	confirmed, missing := w.hosts[0].node.Adoption(w.now, w.table.Version)
	require.Len(t, confirmed, 10)
	require.Subset(t, []string{"host-3", "host-5"}, missing)
	require.Contains(t, missing, "host-3")
}
