package stream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestMessagesOfEarlierReleasesAreRead guards against requests between entries and agents of different builds:
// a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check("testdata/wire", map[string]any{
		"crash_report":  new(CrashReport),
		"load_report":   new(LoadReport),
		"refusal":       new(Refusal),
		"request_head":  new(RequestHead),
		"response_head": new(ResponseHead),
	}))
}
