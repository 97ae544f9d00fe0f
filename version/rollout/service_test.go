package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	measure "verbenaseam.example/verbenaseam/internal/measure/rollout"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// cluster runs services that exchange encoded messages in memory.
type cluster struct {
	rows     *measure.MemoryTable
	clock    clockwork.Clock
	services map[string]*rollout.Service
}

// memoryTransport is the transport of one service of a cluster.
type memoryTransport struct {
	cluster *cluster
	self    string
}

func (m memoryTransport) PeerNames() []string {
	var names []string
	for name := range m.cluster.services {
		names = append(names, name)
	}
	return names
}

func (m memoryTransport) Send(peer string, kind uint16, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	m.cluster.services[peer].Receive(m.self, kind, encoded)
	return nil
}

func (c *cluster) Hosts(context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	for name := range c.services {
		hosts = append(hosts, platform.Host{Name: name, Role: rollout.RoleEntry, FailureDomain: "d-" + name})
	}
	return hosts, nil
}

// newCluster creates services; start runs them. The tests only wait for events, so
// their results do not depend on the real clock.
func newCluster(names ...string) *cluster {
	c := &cluster{rows: measure.NewMemoryTable(), clock: clockwork.NewRealClock(), services: map[string]*rollout.Service{}}
	for i, name := range names {
		c.services[name] = rollout.NewService(rollout.ServiceConfig{
			Log:       rollout.NewLog(c.rows, c.clock),
			Clock:     c.clock,
			Identity:  rollout.Identity{Name: name, Role: rollout.RoleEntry, FailureDomain: "d-" + name, Incarnation: "1"},
			Random:    rand.New(rand.NewPCG(uint64(i), 7)),
			Transport: memoryTransport{c, name},
			Live:      c,
			Metrics:   prometheus.NewRegistry(),
		})
	}
	return c
}

// start runs services until the end of the test and waits until they are ready.
func (c *cluster) start(t *testing.T, names ...string) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, name := range names {
		running.Go(func() { _ = c.services[name].Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	for _, name := range names {
		<-c.services[name].Ready()
	}
}

func TestServicesAdoptAndConfirmChanges(t *testing.T) {
	c := newCluster("a", "b", "c")
	c.start(t, "a", "b", "c")
	base := c.services["a"].Current().Table()
	for i := range 5 {
		next := withOrganisation(base, fmt.Sprintf("o%d", i))
		change := rollout.Change{ID: fmt.Sprint(i), Operator: "me", Base: base.Version, Next: next}
		version, err := c.services["a"].Propose(t.Context(), change)
		require.NoError(t, err)
		for _, service := range c.services {
			require.NoError(t, service.WaitForVersion(t.Context(), version))
			require.Len(t, service.Current().Table().Organisations, i+1)
		}
		base = c.services["b"].Current().Table()
	}
	missing := []string{"?"}
	for len(missing) > 0 {
		_, missing = c.services["c"].Adoption(base.Version)
	}
	stale := rollout.Change{ID: "stale", Operator: "you", Base: 1, Next: table.New()}
	_, err := c.services["b"].Propose(t.Context(), stale)
	var conflict *rollout.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "me", conflict.Operator)
	require.Equal(t, uint64(5), conflict.Current)
}

func TestServiceStartsFromPeersWhilePlatformIsDown(t *testing.T) {
	c := newCluster("a", "b", "late")
	c.start(t, "a", "b")
	change := rollout.Change{ID: "x", Operator: "me", Next: withOrganisation(table.New(), "o")}
	version, err := c.services["a"].Propose(t.Context(), change)
	require.NoError(t, err)
	require.NoError(t, c.services["b"].WaitForVersion(t.Context(), version))
	c.rows.SetDown(true)
	require.Nil(t, c.services["late"].Current())
	require.Equal(t, rollout.RefuseStarting, c.services["late"].MayServe())
	c.start(t, "late")
	require.Equal(t, version, c.services["late"].Current().Version())
	require.Contains(t, c.services["late"].Current().Table().Organisations, "o")
	_, err = c.services["a"].Propose(t.Context(), rollout.Change{ID: "y", Base: version, Next: table.New()})
	require.Equal(t, failure.PlatformUnavailable, failure.From(err).Kind)
	require.Equal(t, failure.NotRun, failure.From(err).Outcome)
}

// TestFullTableIsTransferredInParts guards against full tables that are lost or
// altered in a transfer from a peer. A process starts while the platform is down and
// its peer is too far ahead for single entries, so it has to fetch a table of many
// parts.
func TestFullTableIsTransferredInParts(t *testing.T) {
	c := newCluster("a", "late")
	log := rollout.NewLog(c.rows, c.clock)
	current := table.New()
	addOrganisations(current, 3000)
	for i := range 80 {
		next := withRegion(current, i)
		_, err := log.Propose(t.Context(), rollout.Change{ID: fmt.Sprint(i), Base: uint64(i), Next: next})
		require.NoError(t, err)
		current = next
		current.Version = uint64(i + 1)
	}
	c.start(t, "a")
	require.Equal(t, uint64(80), c.services["a"].Current().Version())
	c.rows.SetDown(true)
	c.start(t, "late")
	require.True(t, table.Diff(current, c.services["late"].Current().Table()).Empty())
}

// TestServeDecisionExpiresWithoutTicks guards against a process that resumes after a
// pause and serves under an outdated decision. The ticks of a service stop, as in a
// pause of its process, and time passes.
func TestServeDecisionExpiresWithoutTicks(t *testing.T) {
	c := newCluster("a")
	clock := clockwork.NewFakeClock()
	c.clock = clock
	c.services["a"] = rollout.NewService(rollout.ServiceConfig{
		Log:       rollout.NewLog(c.rows, clock),
		Clock:     clock,
		Identity:  rollout.Identity{Name: "a", Role: rollout.RoleEntry, FailureDomain: "d-a", Incarnation: "1"},
		Random:    rand.New(rand.NewPCG(1, 7)),
		Transport: memoryTransport{c, "a"},
		Live:      c,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.services["a"].Run(ctx) }()
	<-c.services["a"].Ready()
	cancel()
	<-done
	require.True(t, c.services["a"].MayServe().OK())
	clock.Advance(rollout.MaxUnconfirmedAge)
	require.Equal(t, rollout.RefusePartitioned, c.services["a"].MayServe())
}
