package rebalance

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

// TestEnvelopesOfEarlierReleasesAreRead guards against groups whose maps stand still while a
// release is rolled out, because agents do not understand each other's datagrams.
func TestEnvelopesOfEarlierReleasesAreRead(t *testing.T) {
	files, err := corpus.Files("testdata/wire", "envelope.cbor")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		require.NoError(t, corpus.CheckCBOR(file, new(Envelope)), file)
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = Decode(data)
		require.NoError(t, err)
	}
}
