package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestMessagesOfEarlierReleasesAreRead guards against tables that processes of another build cannot follow:
// a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check("testdata/wire", map[string]any{
		"adoption_request":  new(AdoptionRequest),
		"adoption_response": new(AdoptionResponse),
		"change_row":        new(changeRow),
		"checkpoint_row":    new(checkpointRow),
		"entry":             new(Entry),
		"fetch_hosts":       new(FetchHosts),
		"fetch_part":        new(FetchPart),
		"head_row":          new(headRow),
		"hosts_update":      new(HostsUpdate),
		"part":              new(Part),
		"pull_request":      new(PullRequest),
		"pull_response":     new(PullResponse),
		"push":              new(Push),
	}))
}
