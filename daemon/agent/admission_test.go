package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/version/table"
)

// TestEarlierRequestsCountAfterEngineRestart guards against overloading a cold
// engine: requests admitted before an engine restart may still reach the new
// incarnation, so they occupy its slots until they end.
func TestEarlierRequestsCountAfterEngineRestart(t *testing.T) {
	const cold = 2
	a := newAdmission(admit.NewGate(admit.GateConfig{ColdLimit: cold, Maximum: cold, Kind: table.KindService}))
	a.engineStarted("one")
	first, err := a.admit(0)
	require.NoError(t, err)
	second, err := a.admit(0)
	require.NoError(t, err)

	a.engineStarted("two")
	_, err = a.admit(0)
	require.Error(t, err)
	first.Done(admit.Result{})
	first.Done(admit.Result{})
	third, err := a.admit(0)
	require.NoError(t, err)
	_, err = a.admit(0)
	require.Error(t, err)

	a.engineStarted("one")
	_, err = a.admit(0)
	require.Error(t, err, "a restart must not free the slots of open requests")
	second.Done(admit.Result{})
	third.Done(admit.Result{})
	a.setAdopted(1)
	_, err = a.admit(0)
	require.NoError(t, err)
	_, err = a.admit(0)
	require.Error(t, err)
}
