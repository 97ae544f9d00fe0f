package health

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestMessagesOfEarlierReleasesAreRead guards against failures that entries of different builds share:
// a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check("testdata/wire", map[string]any{
		"failure": new(Failure),
	}))
}
