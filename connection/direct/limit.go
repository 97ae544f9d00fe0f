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
	// onRead is called with the number of bytes of each read; may be nil.
	onRead func(n int)
}

// limit sets the number of bytes that may be read.
func (r *limitedReader) limit(bytes int) { r.limited, r.left = true, bytes }

// unlimit removes the limit.
func (r *limitedReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(into []byte) (int, error) {
	if r.limited && r.left <= 0 {
		return 0, &ResponseTooLongError{Limit: maxHeadBytes}
	}
	if r.limited {
		into = into[:min(len(into), r.left)]
	}
	n, err := r.Reader.Read(into)
	r.left -= n
	if r.onRead != nil && n > 0 {
		r.onRead(n)
	}
	return n, err
}
