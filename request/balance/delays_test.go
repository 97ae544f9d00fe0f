package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestObservedDelaysAreThoseOfTheNetwork guards against a failure domain that seems far away
// because this host was busy while a connection was made.
func TestObservedDelaysAreThoseOfTheNetwork(t *testing.T) {
	var o ObservedDelays
	require.Zero(t, o.OneWay("a", "b"))
	o.Record("a", 200*time.Microsecond)
	o.Record("b", 1200*time.Microsecond)
	o.Record("b", 10*time.Millisecond)
	require.InDelta(t, 0.6, o.OneWay("a", "b").Seconds()*1000, 0.1)
	require.Zero(t, o.OneWay("b", "a"), "never negative")
	for range 500 {
		o.Record("b", 8*time.Millisecond)
	}
	require.InDelta(t, 3.9, o.OneWay("a", "b").Seconds()*1000, 0.1, "the network has changed")
}
