package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestMessagesOfEarlierReleasesAreRead guards against lock-step groups whose agents run different builds:
// a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check("testdata/wire", map[string]any{
		"answer": new(Answer),
		"load":   new(Load),
		"order":  new(Order),
		"report": new(Report),
	}))
}
