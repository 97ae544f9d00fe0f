package rank

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/expertmap"
)

// TestCommandArrivingAfterAbortHasNoEffect guards against a step that runs on two maps:
// a command to arm the switch gets no answer, the proposal is aborted, and the engine
// executes the command after the group was released.
func TestCommandArrivingAfterAbortHasNoEffect(t *testing.T) {
	const late = 300 * time.Millisecond
	targets := []*standin.Target{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}
	server := httptest.NewServer(targets[0])
	t.Cleanup(server.Close)
	group := standin.NewGroup(2, 4, targets...)
	group.SetCommandCounting(false)
	target := platform.NewRankClient(strings.TrimPrefix(server.URL, "http://"), platform.LocalCommandTimeout)

	to := expertmap.MapID{Epoch: 1, Version: expertmap.NextVersion(0)}
	ok, err := target.Prepare(t.Context(), platform.CommandPrecondition{Incarnation: 1}, to.Number(), [][][]int{{{0, 2, 1}, {1, 3}}, {{0, 2}, {1, 3}}})
	require.NoError(t, err)
	require.True(t, ok)
	engine := expertmap.NewCommandEngine(engineCommands{target})
	_, err = engine.Refresh()
	require.NoError(t, err)
	proposal := expertmap.Proposal{ID: expertmap.NewProposalID(to, 5), Group: groupOf(t, target), To: to, Step: 5, GroupHeld: true}
	held, err := expertmap.HoldGroup(engineCommands{target}, proposal)
	require.NoError(t, err)
	require.True(t, held)

	targets[0].SetRankFaults(standin.RankFaults{LostCommands: 1, LostOp: "arm", DelayLostCommands: true, Delay: late})
	_, err = engine.Hold(proposal)
	require.Error(t, err)
	require.Eventually(t, func() bool { return engine.Release(proposal.ID) == nil }, late/2, time.Millisecond)
	report, err := engine.Refresh()
	require.NoError(t, err)
	require.False(t, report.Holding, "the group must be released")
	require.Equal(t, to.Invalidator().Number(), report.Prepared)

	require.Never(t, func() bool {
		report, err := engine.Refresh()
		return err != nil || report.Armed != 0
	}, 2*late, 10*time.Millisecond, "the late command must not arm the switch")
	for range 6 {
		group.Step(nil)
	}
	_, running, mixed := group.State()
	require.Zero(t, running)
	require.Zero(t, mixed)
}

// TestNewIncarnationIsDetectedWhenAnotherCallReadTheReport guards against an agent that
// stays in the old incarnation of its group, so that the map never changes again: a call
// for a proposal in progress reads the report of the re-formed group before refresh does.
func TestNewIncarnationIsDetectedWhenAnotherCallReadTheReport(t *testing.T) {
	target := &standin.Target{ID: "a", Service: "s"}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	group := standin.NewGroup(1, 4, target, &standin.Target{ID: "b", Service: "s"})
	agent := New(Config{
		Settings: settings.Rank{Name: "a", TargetAddress: strings.TrimPrefix(server.URL, "http://"), Service: "s"},
		Clock:    clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	agent.refresh(time.Now())
	group1, _, _ := agent.driver.Agent().Group()
	require.Equal(t, uint64(1), group1.Incarnation)
	group.Reset()
	_, err := agent.engine.Refresh()
	require.NoError(t, err)
	agent.refresh(time.Now())
	group2, _, _ := agent.driver.Agent().Group()
	require.Equal(t, expertmap.GroupID{Name: group1.Name, Incarnation: 2}, group2)
}

// groupOf returns the group that a target reports.
func groupOf(t *testing.T, target *platform.RankClient) expertmap.GroupID {
	t.Helper()
	report, err := target.Report(t.Context())
	require.NoError(t, err)
	return report.Group
}
