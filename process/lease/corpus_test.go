package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestMessagesOfEarlierReleasesAreRead guards against leases that are held across a change of build:
// a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check("testdata/wire", map[string]any{
		"row": new(Row),
	}))
}
