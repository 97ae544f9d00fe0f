package corpus

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

type earlier struct {
	Name  string         `cbor:"1,keyasint"`
	Count int            `cbor:"2,keyasint"`
	Parts []earlierPart  `cbor:"3,keyasint"`
	Load  map[string]int `cbor:"4,keyasint"`
}

type earlierPart struct {
	Level *uint64 `cbor:"1,keyasint"`
}

// TestLostFieldsAreFound guards against a check that passes although a field was renumbered,
// dropped or retyped.
func TestLostFieldsAreFound(t *testing.T) {
	var message earlier
	Fill(&message)
	data, err := cbor.Marshal(message)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "message.cbor")
	require.NoError(t, os.WriteFile(file, data, 0o600))

	require.NoError(t, CheckCBOR(file, new(earlier)))
	require.NoError(t, CheckCBOR(file, new(struct {
		earlier
		Added string `cbor:"5,keyasint"`
	})), "new fields are no loss")
	var lost *LostField
	require.ErrorAs(t, CheckCBOR(file, new(struct {
		Name string `cbor:"1,keyasint"`
	})), &lost)
	require.ErrorAs(t, CheckCBOR(file, new(struct {
		earlier
		Parts []struct {
			Level *uint64 `cbor:"2,keyasint"`
		} `cbor:"3,keyasint"`
	})), &lost)
	require.Error(t, CheckCBOR(file, new(struct {
		Name int `cbor:"1,keyasint"`
	})))
}
