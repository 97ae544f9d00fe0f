package link

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestMessagesOfEarlierReleasesAreRead guards against links between processes of different builds:
// a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check("testdata/wire", map[string]any{
		"frame": new(frame),
		"hello": new(hello),
	}))
}
