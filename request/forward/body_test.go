package forward

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// endlessReader returns bytes without end.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(into []byte) (int, error) { return len(into), nil }

// TestReadBodyIsWhole guards against bodies that lose or repeat bytes between segments, whether
// their length is known, unknown or not true.
func TestReadBodyIsWhole(t *testing.T) {
	for _, size := range []int{0, 1, minSegment - 1, minSegment, minSegment + 1, 3 * minSegment, maxSegment, 3*maxSegment + 7, responseLimit} {
		text := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for _, length := range []int{-1, size, size / 2, 2 * size} {
			received := 0
			body, err := readBody(iotest.DataErrReader(bytes.NewReader(text)), int64(length), func(n int) { received += n })
			require.NoError(t, err)
			require.True(t, bytes.Equal(text, body), "size %d, length %d", size, length)
			require.LessOrEqual(t, received, size)
		}
	}
}

// TestReadBodyOfABrokenResponse guards against a body that breaks off and counts as whole.
func TestReadBodyOfABrokenResponse(t *testing.T) {
	text := strings.Repeat("x", 5*minSegment)
	_, err := readBody(io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, func(int) {})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestReadBodyWithoutEndTakesMemoryOnce guards against buffers that grow by copying: a body
// without end would take several times the limit, and so long that it ends by its deadline.
func TestReadBodyWithoutEndTakesMemoryOnce(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readBody(endlessReader{}, -1, func(int) {})
	runtime.ReadMemStats(&after)
	require.ErrorIs(t, err, errResponseTooLong)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(responseLimit+responseLimit/4))
}
