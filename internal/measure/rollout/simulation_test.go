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
func (sim *simulation) kill(h *host) {
	h.alive = false
	h.incarnation++
	h.inbox = nil
}

// checker runs a simulation and checks the invariants of the rollout protocol.
type checker struct {
	t   *testing.T
	sim *simulation
	// lastVersions is the version that was last active on each host in its current
	// incarnation.
	lastVersions map[string]uint64
	incarnations map[string]int
	// faults counts the injected faults. faultsAtStart and minVersions hold, for each
	// host's current incarnation, the value of faults at its start and the newest
	// version that was then known to the platform or the hosts it could reach.
	faults        int
	faultsAtStart map[string]int
	minVersions   map[string]uint64
	accepted      []acceptance
}

type acceptance struct {
	at      time.Time
	version uint64
}

func newChecker(t *testing.T, sim *simulation) *checker {
	c := &checker{t: t, sim: sim, lastVersions: map[string]uint64{}, incarnations: map[string]int{},
		faultsAtStart: map[string]int{}, minVersions: map[string]uint64{}}
	sim.onVersionChange = c.checkVersion
	return c
}

// start starts a host and records the version that it must know before it is ready.
func (c *checker) start(h *host) {
	minVersion := uint64(0)
	for _, other := range c.sim.hosts {
		lostTo, _ := c.sim.linkFault(h, other)
		lostFrom, _ := c.sim.linkFault(other, h)
		if other != h && other.alive && !other.paused && other.node.Ready() && !lostTo && !lostFrom {
			minVersion = max(minVersion, other.node.Version())
		}
	}
	if !c.sim.rows.down && !c.sim.platformUnreachable(h) {
		minVersion = max(minVersion, c.sim.table.Version)
	}
	c.minVersions[h.name], c.faultsAtStart[h.name] = minVersion, c.faults
	c.sim.start(h)
}

// checkVersion requires that the version of an incarnation never decreases. Unless a
// fault was injected since the start, it must also begin no lower than minVersions.
func (c *checker) checkVersion(h *host) {
	if !h.node.Ready() {
		return
	}
	version := h.node.Version()
	if c.incarnations[h.name] != h.incarnation {
		c.incarnations[h.name] = h.incarnation
		if c.faultsAtStart[h.name] == c.faults {
			require.GreaterOrEqual(c.t, version, c.minVersions[h.name], "%s became ready with a version older than one known to its peers or the platform", h.name)
		}
	} else {
		require.GreaterOrEqual(c.t, version, c.lastVersions[h.name], "version of %s decreased", h.name)
	}
	c.lastVersions[h.name] = version
}

func (c *checker) commitChange(h *host) {
	if version, err := c.sim.commitChange(h); err == nil {
		c.accepted = append(c.accepted, acceptance{c.sim.now, version})
	}
}

// newestAcceptedBefore returns the newest version accepted before a time.
func (c *checker) newestAcceptedBefore(at time.Time) uint64 {
	newest := uint64(0)
	for _, acceptance := range c.accepted {
		if acceptance.at.Before(at) {
			newest = acceptance.version
		}
	}
	return newest
}

// advance runs the simulation and requires at every tick that each host whose version
// counts as confirmed has every version accepted more than MaxUnconfirmedAge ago.
func (c *checker) advance(d time.Duration) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += rollout.TickInterval {
		c.sim.advance(rollout.TickInterval)
		minVersion := c.newestAcceptedBefore(c.sim.now.Add(-rollout.MaxUnconfirmedAge))
		for _, h := range c.sim.hosts {
			if !h.alive || h.paused {
				continue
			}
			if rollout.MayServe(h.node.ServeInput(c.sim.now)) == rollout.ServeCurrent {
				require.GreaterOrEqual(c.t, h.node.Version(), minVersion, "%s serves an outdated version", h.name)
			}
		}
	}
}

// injectFault starts or ends a random fault.
func (c *checker) injectFault(random *rand.Rand) {
	c.faults++
	h := c.sim.hosts[random.IntN(len(c.sim.hosts))]
	switch random.IntN(9) {
	case 0:
		c.sim.kill(h)
	case 1, 2:
		if !h.alive {
			c.start(h)
		}
	case 3:
		if h.alive && !h.paused {
			c.sim.pause(h, time.Duration(1+random.IntN(8))*time.Second)
		}
	case 4:
		c.sim.rows.SetDown(random.IntN(2) == 0)
	case 5:
		c.sim.platformLatency = normalPlatformLatency
		if random.IntN(2) == 0 {
			c.sim.platformLatency = slowPlatformLatency
		}
	case 6:
		c.isolateDomain(random.IntN(c.sim.domains + 1))
	case 7:
		c.sim.rows.LoseReplies(random.IntN(2))
	case 8:
		c.breakLinks(random.Uint64())
	}
}

// isolateDomain partitions a failure domain from the others and from the platform,
// and replaces earlier link faults. An index past the last domain only ends these.
func (c *checker) isolateDomain(domain int) {
	name := domainName(domain)
	c.sim.platformUnreachable = func(h *host) bool { return h.domain == name }
	c.sim.linkFault = func(a, b *host) (bool, bool) { return (a.domain == name) != (b.domain == name), false }
}

// breakLinks breaks about one third of the links, each direction independently.
func (c *checker) breakLinks(seed uint64) {
	broken := map[[2]string]bool{}
	random := rand.New(rand.NewPCG(seed, 0))
	for _, a := range c.sim.hosts {
		for _, b := range c.sim.hosts {
			broken[[2]string{a.name, b.name}] = random.IntN(3) == 0
		}
	}
	c.sim.linkFault = func(a, b *host) (bool, bool) { return broken[[2]string{a.name, b.name}], false }
}

// heal ends all faults and restarts the hosts that are down.
func (c *checker) heal() {
	c.faults++
	c.sim.rows.SetDown(false)
	c.sim.rows.LoseReplies(0)
	c.sim.platformLatency = normalPlatformLatency
	c.sim.platformUnreachable = func(*host) bool { return false }
	c.sim.linkFault = func(_, _ *host) (bool, bool) { return false, false }
	for _, h := range c.sim.hosts {
		if !h.alive {
			c.start(h)
		}
	}
}

// TestVersionsNeverDecreaseUnderFaults guards against a host that returns to an older
// version or serves an outdated one. It interleaves changes at random with crashes,
// restarts, pauses, platform outages, partitions, broken links and lost replies.
func TestVersionsNeverDecreaseUnderFaults(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 2))
			sim := newSimulation(uint64(seed), 3+random.IntN(7), random.IntN(4), 3)
			c := newChecker(t, sim)
			for _, h := range sim.hosts {
				c.start(h)
			}
			for range 60 {
				c.advance(time.Duration(100+random.IntN(2000)) * time.Millisecond)
				if random.IntN(2) == 0 {
					c.injectFault(random)
				} else {
					c.commitChange(sim.hosts[0])
				}
			}
			c.heal()
			c.advance(20 * time.Second)
			c.commitChange(sim.hosts[0])
			c.advance(smallCoverageBound * time.Second)
			for _, h := range sim.hosts {
				require.True(t, h.node.Ready(), h.name)
				require.Equal(t, sim.table.Version, h.node.Version(), h.name)
				require.True(t, rollout.MayServe(h.node.ServeInput(sim.now)).OK(), h.name)
			}
		})
	}
}

// TestIsolatedFailureDomainRefusesNewWork guards against work under an outdated
// version: hosts of a partitioned failure domain, which cannot learn of a change, must
// refuse new work within MaxUnconfirmedAge while the others continue to serve.
func TestIsolatedFailureDomainRefusesNewWork(t *testing.T) {
	sim := newSimulation(1, 9, 0, 3)
	c := newChecker(t, sim)
	for _, h := range sim.hosts {
		c.start(h)
	}
	c.advance(warmUp)
	c.isolateDomain(1)
	c.commitChange(sim.hosts[0])
	c.advance(rollout.MaxUnconfirmedAge + rollout.TickInterval)
	for _, h := range sim.hosts {
		verdict := rollout.MayServe(h.node.ServeInput(sim.now))
		require.Equal(t, h.domain != domainName(1), verdict.OK(), "%s: %s", h.name, verdict)
	}
	c.heal()
	c.advance(rollout.MaxUnconfirmedAge)
	for _, h := range sim.hosts {
		require.True(t, rollout.MayServe(h.node.ServeInput(sim.now)).OK(), h.name)
	}
}

// TestAdoptionListsMissingHosts guards against an adoption report that counts a
// crashed or a partitioned host as confirmed.
func TestAdoptionListsMissingHosts(t *testing.T) {
	sim := newSimulation(1, 8, 4, 4)
	c := newChecker(t, sim)
	for _, h := range sim.hosts {
		c.start(h)
	}
	c.advance(warmUp)
	sim.platformUnreachable = func(h *host) bool { return h.name == "host-3" }
	sim.linkFault = func(a, b *host) (bool, bool) {
		broken := a.name == "host-3" || b.name == "host-3"
		return broken, broken
	}
	sim.kill(sim.hosts[5])
	c.commitChange(sim.hosts[0])
	for range 40 {
		sim.hosts[0].node.Adoption(sim.now, sim.table.Version)
		c.advance(rollout.TickInterval)
	}
	confirmed, missing := sim.hosts[0].node.Adoption(sim.now, sim.table.Version)
	require.Len(t, confirmed, 10)
	require.Subset(t, []string{"host-3", "host-5"}, missing)
	require.Contains(t, missing, "host-3")
}
