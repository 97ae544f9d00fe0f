package direct

import "io"

const (
	// maxHeadBytes limits the head of a response, and maxLateBodyBytes the body of a late
	// response to an earlier request.
	maxHeadBytes     = 256 << 10
	maxLateBodyBytes = 1 << 20
)

// limitedReader reads from a connection. While a limit is set, it fails with
// ResponseTooLongError once that many bytes have been read.
type limitedReader struct {
	io.Reader
	limited bool
	left    int
}

// limit sets the number of bytes that may be read.
func (r *limitedReader) limit(bytes int) { r.limited, r.left = true, bytes }

// unlimit removes the limit.
func (r *limitedReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(into []byte) (int, error) {
	if !r.limited {
		return r.Reader.Read(into)
	}
	if r.left <= 0 {
		return 0, &ResponseTooLongError{Limit: maxHeadBytes}
	}
	n, err := r.Reader.Read(into[:min(len(into), r.left)])
	r.left -= n
	return n, err
}
