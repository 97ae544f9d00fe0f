package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventsAreSplitWhereverReadsEnd guards against events that are held back or split wrongly
// because their end arrives in two reads.
func TestEventsAreSplitWhereverReadsEnd(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\n\n\n\nid: 3\ndata: b\n\ndata: c\n"
	for size := 1; size <= len(text); size++ {
		var relayed, pending []byte
		for at := 0; at < len(text); at += size {
			searched := len(pending)
			pending = append(pending, text[at:min(at+size, len(text))]...)
			events, rest := splitCompleteEvents(pending, searched)
			relayed = append(relayed, events...)
			pending = append([]byte{}, rest...)
		}
		require.Equal(t, text[:len(text)-len("data: c\n")], string(relayed), "reads of %d bytes", size)
		require.Equal(t, "data: c\n", string(pending), "reads of %d bytes", size)
	}
}
