package rollout

import (
	"bytes"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/table"
)

// MalformedEntries are values of the row of a version that no process writes.
func MalformedEntries(t testing.TB, version uint64) map[string][]byte {
	encode := func(row any) []byte {
		value, err := cbor.Marshal(row)
		require.NoError(t, err)
		return value
	}
	delta := func(from, to uint64) []byte {
		body, err := table.EncodeDelta(table.Delta{From: from, To: to})
		require.NoError(t, err)
		return body
	}
	return map[string][]byte{
		"empty":                    {},
		"deep nesting":             bytes.Repeat([]byte{0x81}, 20000),
		"a text":                   encode("entry"),
		"a version of other type":  encode(map[int]any{1: "x"}),
		"more parts than rows":     encode(Entry{Version: version, ChangeID: "absent", Parts: 3}),
		"a number too large":       encode(Entry{Version: version, ChangeID: "c", Parts: math.MaxInt64}),
		"a negative number":        encode(Entry{Version: version, ChangeID: "c", Parts: -1}),
		"no delta":                 encode(Entry{Version: version}),
		"a delta to another table": encode(Entry{Version: version, Delta: delta(version-1, math.MaxUint64)}),
		"a delta from another one": encode(Entry{Version: version, Delta: delta(0, version)}),
		"a delta of other type":    encode(Entry{Version: version, Delta: []byte{0x81, 0x81}}),
		"another version":          encode(Entry{Version: math.MaxUint64, Delta: delta(version-1, version)}),
	}
}

// TestTrimOfAMalformedEntryIsBounded guards against a process that runs out of memory because
// of the number in a row.
func TestTrimOfAMalformedEntryIsBounded(t *testing.T) {
	value, err := cbor.Marshal(Entry{Version: 1, ChangeID: "c", Parts: 5_000_000})
	require.NoError(t, err)
	require.LessOrEqual(t, len(dependentKeys(platform.Row{Key: versionKey(1), Value: value})), maxParts+1)
}

func FuzzRows(f *testing.F) {
	for _, value := range MalformedEntries(f, 2) {
		f.Add(value)
	}
	full := table.New()
	full.Version = 2
	full.Domains["d"] = table.FailureDomain{Name: "d", Region: "r"}
	full.Routes["r"] = table.Route{Name: "r"}
	full.Targets["t"] = table.Target{Name: "t"}
	body, err := EncodeTable(full)
	require.NoError(f, err)
	f.Add(body)
	f.Fuzz(func(t *testing.T, value []byte) {
		var entry Entry
		if decodeRow("k", value, &entry) == nil {
			require.LessOrEqual(t, len(dependentKeys(platform.Row{Value: value})), maxParts+1)
			if delta, err := entry.delta(); err == nil {
				delta.Describe()
			}
		}
		var checkpoint checkpointRow
		if decodeRow("k", value, &checkpoint) == nil {
			require.True(t, checkpoint.valid())
		}
		_ = decodeRow("k", value, &headRow{})
		_ = decodeRow("k", value, &changeRow{})
		if decoded, err := DecodeTable(value); err == nil {
			table.CompileUnchecked(decoded)
		}
	})
}
