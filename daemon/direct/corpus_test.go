package direct

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestDatagramsOfEarlierReleasesAreRead guards against entries that do not understand each
// other while a release is rolled out: a field that was renumbered, dropped or retyped.
func TestDatagramsOfEarlierReleasesAreRead(t *testing.T) {
	files, err := corpus.Files("testdata/wire", "datagram.cbor")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		require.NoError(t, corpus.CheckCBOR(file, new(datagram)), file)
	}
}
