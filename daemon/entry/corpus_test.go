package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestMessagesOfEarlierReleasesAreRead guards against entries of different builds that do not know each other:
// a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check("testdata/wire", map[string]any{
		"announcement": new(announcement),
	}))
}
