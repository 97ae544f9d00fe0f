package prompt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/failure"
)

func chatBody(text string) []byte {
	return fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}]}`, text)
}

func TestParseSharesHashesOfCommonPrefix(t *testing.T) {
	common := strings.Repeat("token ", 100)
	a, err := Parse(chatBody(common + strings.Repeat("a", 600)))
	require.NoError(t, err)
	b, err := Parse(chatBody(common + strings.Repeat("b", 600)))
	require.NoError(t, err)
	require.Equal(t, a.PrefixHashes[:2], b.PrefixHashes[:2])
	require.NotEqual(t, a.PrefixHashes[3], b.PrefixHashes[3])
}

func TestParseRejectsInvalidBodies(t *testing.T) {
	for _, content := range []string{"", "{", "[]", `{"messages":[]}`, `{"model":"m"}`, `{"model":7}`} {
		_, err := Parse([]byte(content))
		found := failure.From(err)
		require.Equal(t, failure.BadRequest, found.Kind, content)
		require.Equal(t, failure.NotRun, found.Outcome, content)
	}
}

func TestFingerprintSeparatesFields(t *testing.T) {
	require.NotEqual(t, Fingerprint("a", "b/c", nil), Fingerprint("a/b", "c", nil))
	require.Equal(t, Fingerprint("a", "/x", []byte("1")), Fingerprint("a", "/x", []byte("1")))
}
