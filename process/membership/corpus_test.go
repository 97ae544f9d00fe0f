package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestMessagesOfEarlierReleasesAreRead guards against processes of another build that count as dead:
// a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check("testdata/wire", map[string]any{
		"ack":          new(Ack),
		"indirect_ack": new(IndirectAck),
		"ping":         new(Ping),
		"ping_request": new(PingRequest),
	}))
}
