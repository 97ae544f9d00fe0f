package agent

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/group"
	rolloutmeasure "verbenaseam.example/verbenaseam/internal/measure/rollout"
	"verbenaseam.example/verbenaseam/process/lease"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
	"verbenaseam.example/verbenaseam/version/table"
)

// recordingEngine is an engine that ignores epochs, the weakest behaviour that
// engines may have. It counts the orders that took effect.
type recordingEngine struct {
	epochs    []int64
	maps      int
	proposals int
}

func (e *recordingEngine) PlaceOrder(_ context.Context, _ *engineapi.EngineOrder, params engineapi.PlaceOrderParams) (*engineapi.EngineOrderResult, error) {
	e.epochs = append(e.epochs, params.XEpoch)
	return &engineapi.EngineOrderResult{Epoch: params.XEpoch}, nil
}

func (e *recordingEngine) LoadMap(context.Context, expertmap.MapID, placement.Map) error {
	e.maps++
	return nil
}

func (e *recordingEngine) ReadMap(context.Context, expertmap.MapID) (placement.Map, error) {
	return placement.Map{}, nil
}

func (e *recordingEngine) ReadExpertLoad(context.Context) (engine.ExpertLoad, error) {
	return engine.ExpertLoad{}, nil
}

func (e *recordingEngine) propose(_ expertmap.Proposal, done chan<- bool) bool {
	e.proposals++
	done <- true
	return true
}

func newTestEngineOrders(t *testing.T, fencing table.Fencing, rows platform.Table) (*engineOrders, *recordingEngine) {
	tables := table.New()
	tables.Domains["d"] = table.FailureDomain{Name: "d"}
	tables.Targets["t"] = table.Target{Name: "t", Agent: "127.0.0.1:1", FailureDomain: "d"}
	tables.Pools["p"] = table.Pool{Name: "p", Kind: table.KindModel, Targets: []string{"t"},
		ColdLimit: 1, Maximum: 1, Fencing: fencing, Policy: "p2c", LockStep: true}
	snapshot, err := table.Compile(tables)
	require.NoError(t, err)
	recorder := &recordingEngine{}
	return &engineOrders{
		target: "t", api: recorder, maps: recorder, propose: recorder.propose, fence: lease.NewFence(rows),
		tables: func() *table.Snapshot { return snapshot }, log: logs.Component(logs.Discard(), "test"),
	}, recorder
}

// TestEngineOrderFencing guards against orders of a former lease holder taking
// effect. Each case gives its orders to a newly started agent while the lease's
// row holds epoch 7.
func TestEngineOrderFencing(t *testing.T) {
	loadModel := func(epoch uint64) group.Order {
		return group.Order{Pool: "p", Kind: group.OrderLoadModel, Epoch: epoch, Value: "m"}
	}
	loadMap := func(epoch uint64) group.Order {
		return group.Order{Pool: "p", Kind: group.OrderLoadMap, Epoch: epoch, Content: &placement.Map{}}
	}
	propose := func(epoch, proposalEpoch uint64) group.Order {
		proposal := &expertmap.Proposal{ID: expertmap.ProposalID{Epoch: proposalEpoch, Sequence: 1}}
		return group.Order{Pool: "p", Kind: group.OrderPropose, Epoch: epoch, Proposal: proposal}
	}
	otherPool := loadModel(9)
	otherPool.Pool = "q"
	cases := []struct {
		desc    string
		fencing table.Fencing
		// tableDown makes the platform's table unreachable.
		tableDown bool
		orders    []group.Order
		results   []group.Result
		stale     []bool
		effects   int
	}{
		{"epochs below the lease's are refused", table.FencingIgnored, false,
			[]group.Order{loadModel(6), loadModel(7)},
			[]group.Result{group.ResultRefused, group.ResultDone}, []bool{true, false}, 1},
		{"an order raises the lowest accepted epoch", table.FencingIgnored, false,
			[]group.Order{loadModel(8), loadModel(7), loadMap(7), propose(7, 7)},
			[]group.Result{group.ResultDone, group.ResultRefused, group.ResultRefused, group.ResultRefused},
			[]bool{false, true, true, true}, 1},
		{"orders are refused while the lease's epoch is unknown", table.FencingIgnored, true,
			[]group.Order{loadModel(9)}, []group.Result{group.ResultRefused}, []bool{false}, 0},
		{"the engine checks epochs itself", table.FencingChecked, true,
			[]group.Order{loadModel(9)}, []group.Result{group.ResultDone}, []bool{false}, 1},
		{"map orders are always checked by the agent", table.FencingChecked, false,
			[]group.Order{loadMap(6), propose(6, 6), loadMap(7), propose(7, 7)},
			[]group.Result{group.ResultRefused, group.ResultRefused, group.ResultDone, group.ResultDone},
			[]bool{true, true, false, false}, 2},
		{"a proposal with another epoch than its order is refused", table.FencingChecked, false,
			[]group.Order{propose(9, 6)}, []group.Result{group.ResultRefused}, []bool{false}, 0},
		{"a pool without the agent's target", table.FencingIgnored, false,
			[]group.Order{otherPool}, []group.Result{group.ResultRefused}, []bool{false}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			rows := rolloutmeasure.NewMemoryTable()
			value, err := link.Marshal(lease.Row{Holder: "other", Epoch: 7, TTLMillis: 1000})
			require.NoError(t, err)
			_, err = rows.Commit(context.Background(), platform.Txn{
				Puts: []platform.Put{{Key: lease.Key(group.LeaseName), Value: value}},
			})
			require.NoError(t, err)
			rows.SetDown(tc.tableDown)
			orders, recorder := newTestEngineOrders(t, tc.fencing, rows)
			for i, order := range tc.orders {
				answer := answerFor(order.ID, orders.execute(context.Background(), order))
				require.Equal(t, tc.results[i], answer.Result, answer.Reason)
				require.Equal(t, tc.stale[i], answer.StaleEpoch)
			}
			require.Equal(t, tc.effects, len(recorder.epochs)+recorder.maps+recorder.proposals)
		})
	}
}
