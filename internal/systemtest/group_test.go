package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/agent"
	"verbenaseam.example/verbenaseam/daemon/entry"
	"verbenaseam.example/verbenaseam/daemon/group"
	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
	platformstandin "verbenaseam.example/verbenaseam/internal/standin/platform"
	"verbenaseam.example/verbenaseam/process/lease"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	groupRanks    = 4
	groupEntries  = 2
	groupExperts  = 8
	groupStepTime = 2 * time.Millisecond
	// groupLimit bounds a wait; nothing is concluded from how long one took.
	groupLimit = 60 * time.Second
	groupPoll  = 10 * time.Millisecond

	metricSwitches = "verbenaseam_expert_map_switches_total"

	callHold   = "/v1/expert-step/hold"
	callSwitch = "/v1/expert-step/switch"
)

// runs is a process that can be stopped on its own.
type runs struct {
	leave context.CancelFunc
	ended chan struct{}
}

func (r *runs) stop() {
	r.leave()
	<-r.ended
}

// lockStep is a lock-step group with its agents and entries in this process.
type lockStep struct {
	t        *testing.T
	base     int
	platform *platformstandin.Server
	group    *enginestandin.Group
	engines  []*httptest.Server
	// blocked names the call that a rank's engine fails, empty for none; refused
	// counts the failed ones.
	blocked [groupRanks]atomic.Value
	refused [groupRanks]atomic.Int64
	agents  [groupRanks]*runs
	entries [groupEntries]*runs
	started [groupEntries]*entry.Entry
}

func rankName(rank int) string { return fmt.Sprintf("rank-%d", rank) }

func (s *lockStep) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", s.base+offset) }

func startLockStep(t *testing.T, fencing table.Fencing) *lockStep {
	t.Helper()
	s := &lockStep{
		t: t, base: freeBase(t), group: enginestandin.NewGroup(groupRanks),
		platform: platformstandin.New(platformstandin.Config{}),
	}
	s.load(0)
	s.proposeTables(fencing)
	for rank := range groupRanks {
		engine := enginestandin.New(enginestandin.Config{Name: rankName(rank), Group: s.group, Rank: rank})
		server := httptest.NewServer(s.gate(rank, engine.Handler()))
		s.engines = append(s.engines, server)
		t.Cleanup(func() { engine.Close(); server.Close() })
		s.startAgent(rank)
	}
	for i := range groupEntries {
		s.startEntry(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.group.Run(ctx, clockwork.NewRealClock(), groupStepTime)
	return s
}

// load gives one expert of the present map's first rank most of the tokens.
func (s *lockStep) load(hot int) {
	loads := make([]float64, groupExperts)
	for expert := range loads {
		loads[expert] = 100
	}
	loads[hot], loads[(hot+groupRanks)%groupExperts] = 4000, 3000
	s.group.SetExperts(enginestandin.Experts{
		Loads: [][]float64{loads}, Speeds: []float64{1e6, 1e6, 1e6, 1e6}, Slots: 3, ExpertBytes: 1 << 20,
	})
}

func (s *lockStep) gate(rank int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, _ := s.blocked[rank].Load().(string)
		if call != "" && r.URL.Path == call {
			s.refused[rank].Add(1)
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *lockStep) proposeTables(fencing table.Fencing) {
	t := table.New()
	t.Version = 1
	t.Domains["patan"] = table.FailureDomain{Name: "patan", Region: "bagmati"}
	pool := table.Pool{
		Name: "advice", Kind: table.KindModel, ColdLimit: 2, Maximum: 8, Fencing: fencing,
		Policy: "score", LockStep: true, Rebalance: true,
	}
	hosts := []platform.Host{}
	for rank := range groupRanks {
		name, address := rankName(rank), s.address(20+rank)
		t.Targets[name] = table.Target{Name: name, Agent: address, FailureDomain: "patan"}
		pool.Targets = append(pool.Targets, name)
		hosts = append(hosts, platform.Host{Name: name, Role: "target", Address: address, FailureDomain: "patan"})
	}
	for i := range groupEntries {
		name := fmt.Sprintf("entry-%d", i)
		hosts = append(hosts, platform.Host{Name: name, Role: link.RoleEntry, Address: s.address(10 + i), FailureDomain: "patan"})
	}
	t.Pools["advice"] = pool
	s.platform.SetHosts(hosts...)
	_, err := rollout.NewLog(s.platform, clockwork.NewRealClock()).Propose(context.Background(),
		rollout.Change{ID: "first", Operator: "test", Base: 0, Next: t})
	require.NoError(s.t, err)
}

func (s *lockStep) run(process interface {
	Run(ctx, cut context.Context) error
}) *runs {
	ctx, leave := context.WithCancel(context.Background())
	started := &runs{leave: leave, ended: make(chan struct{})}
	go func() {
		defer close(started.ended)
		if err := process.Run(ctx, ctx); err != nil {
			s.t.Errorf("process ended: %v", err)
		}
	}()
	s.t.Cleanup(started.stop)
	return started
}

func (s *lockStep) startAgent(rank int) {
	created, err := agent.New(agent.Config{
		Settings: settings.Agent{
			Name: rankName(rank), FailureDomain: "patan", LinkAddress: s.address(20 + rank),
			StatusAddress: s.address(30 + rank), EngineURL: s.engines[rank].URL,
			EngineKind: string(table.KindModel), ProbeInterval: settings.DefaultProbeInterval,
			Shutdown: settings.Shutdown{Timeout: time.Second},
		},
		Platform: s.platform, Clock: clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	require.NoError(s.t, err)
	s.agents[rank] = s.run(created)
}

func (s *lockStep) startEntry(i int) {
	created, err := entry.New(entry.Config{
		Settings: settings.Entry{
			Name: fmt.Sprintf("entry-%d", i), FailureDomain: "patan", CallerAddress: s.address(i),
			OperatorAddress: s.address(5 + i), LinkAddress: s.address(10 + i), Limits: settings.DefaultLimits(),
			Shutdown: settings.Shutdown{Timeout: time.Second, EntriesTTL: time.Millisecond},
		},
		Platform: s.platform, Clock: clockwork.NewRealClock(), Logger: logs.Discard(),
		GroupLeaseTTL: time.Second,
	})
	require.NoError(s.t, err)
	s.started[i], s.entries[i] = created, s.run(created)
}

func (s *lockStep) eventually(what string, holds func() bool) {
	s.t.Helper()
	require.Eventually(s.t, holds, groupLimit, groupPoll, what)
}

// awaitSwitch waits until all ranks run a later map than the given one, and
// steps on it.
func (s *lockStep) awaitSwitch(from int64) {
	s.t.Helper()
	s.eventually("all ranks switch and step on", func() bool {
		for rank := range groupRanks {
			state := s.group.State(rank)
			if state.Version == from || state.Hold != nil || state.Pending != nil {
				return false
			}
		}
		return true
	})
	step := s.group.State(0).Step
	s.eventually("the group steps on", func() bool { return s.group.State(0).Step > step+1 })
	require.Zero(s.t, s.group.MixedSteps(), "no step ran on two maps")
}

// holder finds the entry whose metrics show that it led a switch.
func (s *lockStep) holder() int {
	s.t.Helper()
	for i := range groupEntries {
		if s.metric(i, metricSwitches) {
			return i
		}
	}
	s.t.Fatal("no entry led a switch")
	return -1
}

func (s *lockStep) metric(i int, name string) bool {
	status, _, body, err := send(mustGet(s.t, "http://"+s.address(5+i)+"/metrics"))
	require.NoError(s.t, err)
	require.Equal(s.t, http.StatusOK, status)
	return strings.Contains(string(body), "\n"+name)
}

func mustGet(t *testing.T, url string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	return request
}

// interrupt starts a switch in which one rank's engine fails a call, and
// returns once it has: a failed hold leaves the proposal undecided, a failed
// switch leaves it committed everywhere but there, and the rank's hold stops the
// group. The caller ends the failure with unblock.
func (s *lockStep) interrupt(rank int, call string, hot int) (from int64) {
	s.t.Helper()
	from = s.group.State(0).Version
	s.blocked[rank].Store(call)
	before := s.refused[rank].Load()
	s.load(hot)
	s.eventually("a switch is under way", func() bool { return s.refused[rank].Load() > before })
	require.Equal(s.t, call == callSwitch, s.group.State(rank).Hold != nil)
	require.Equal(s.t, from, s.group.State(rank).Version)
	return from
}

func (s *lockStep) unblock(rank int) { s.blocked[rank].Store("") }

// TestGroupSwitchesMaps runs a group of four ranks under two entries. The lease
// holder rebalances it; then an agent is restarted, and the holder stopped, in
// the middle of a switch.
func TestGroupSwitchesMaps(t *testing.T) {
	cases := []struct {
		desc    string
		fencing table.Fencing
		// call is the one that fails in the middle of the switches.
		call string
	}{
		{"engines check epochs, undecided", table.FencingChecked, callHold},
		{"engines ignore epochs, decided", table.FencingIgnored, callSwitch},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			s := startLockStep(t, tc.fencing)
			s.awaitSwitch(1)
			t.Logf("steps stalled up to the end of the first switch: %d of %d", s.group.Stalls(), s.group.State(0).Step)
			s.eventually("the switch shows in metrics", func() bool {
				return s.metric(0, metricSwitches) || s.metric(1, metricSwitches)
			})
			for _, name := range []string{"verbenaseam_step_skew_ratio_bucket", "verbenaseam_expert_moves_total",
				"verbenaseam_expert_moved_bytes_total", "verbenaseam_expert_map_switch_seconds_count"} {
				require.True(t, s.metric(s.holder(), name+`{group="advice"`), name)
			}
			s.orderModel()
			s.restartAgent(2, tc.call)
			s.stopHolder(3, tc.call)
		})
	}
}

// orderModel loads a model on one rank: the holder's order takes effect, the
// other entry may give none.
func (s *lockStep) orderModel() {
	ctx, cancel := context.WithTimeout(context.Background(), groupLimit)
	defer cancel()
	holder := s.holder()
	answer, err := s.started[holder].OrderEngine(ctx, "advice", rankName(1), group.OrderLoadModel, "petal-2")
	require.NoError(s.t, err)
	require.Equal(s.t, group.ResultDone, answer.Result, answer.Reason)
	require.Equal(s.t, "petal-2", s.model(1))
	_, err = s.started[1-holder].OrderEngine(ctx, "advice", rankName(1), group.OrderLoadModel, "petal-3")
	require.ErrorIs(s.t, err, lease.ErrNotHeld)
}

func (s *lockStep) model(rank int) string {
	client, err := engineapi.NewClient(s.engines[rank].URL)
	require.NoError(s.t, err)
	status, err := client.GetStatus(context.Background())
	require.NoError(s.t, err)
	return status.Model
}

func (s *lockStep) restartAgent(rank int, call string) {
	from := s.interrupt(rank, call, 1)
	held := s.group.State(rank).Hold
	s.agents[rank].stop()
	require.Equal(s.t, held, s.group.State(rank).Hold, "a hold outlives its agent")
	s.unblock(rank)
	s.startAgent(rank)
	s.awaitSwitch(from)
}

func (s *lockStep) stopHolder(rank int, call string) {
	from := s.interrupt(rank, call, 2)
	s.entries[s.holder()].stop()
	s.unblock(rank)
	s.awaitSwitch(from)
	// The other entry takes the lease over and leads on.
	from = s.group.State(0).Version
	s.load(3)
	s.awaitSwitch(from)
}
