package rebalance

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/corpus"
)

const corpusFolder = "testdata/wire"

// TestMessagesOfEarlierReleasesAreRead guards against groups whose maps stand still while a
// release is rolled out, because agents do not understand each other's datagrams.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check(corpusFolder, map[string]any{"envelope": new(Envelope)}))
	files, err := corpus.Files(corpusFolder, "envelope.cbor")
	require.NoError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = Decode(data)
		require.NoError(t, err)
	}
}

// TestDatagramsOfUnknownVersionsAreDropped guards against a datagram of a later release whose
// fields have another meaning than this build knows.
func TestDatagramsOfUnknownVersionsAreDropped(t *testing.T) {
	for version := range uint8(4) {
		data, err := Encode(Envelope{Group: testGroup, Version: version, Status: &Status{}})
		require.NoError(t, err)
		_, err = Decode(data)
		if Versions.Contains(max(version, 1)) {
			require.NoError(t, err)
			continue
		}
		var unknown *VersionError
		require.ErrorAs(t, err, &unknown)
		require.Equal(t, version, unknown.Version)
	}
}
