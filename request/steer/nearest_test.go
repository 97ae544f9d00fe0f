package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/presence"
)

func TestNearestPrefersFailureDomain(t *testing.T) {
	entries := []presence.Peer{{Name: "a", FailureDomain: "x"}, {Name: "b", FailureDomain: "y"}, {Name: "c", FailureDomain: "x"}}
	require.Equal(t, []presence.Peer{entries[0], entries[2]}, Nearest(entries, "x"))
	require.Equal(t, entries, Nearest(entries, "z"))
	require.Empty(t, Nearest(nil, "x"))
}
