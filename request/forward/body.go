package forward

import (
	"bytes"
	"errors"
	"io"
)

const (
	// responseLimit bounds the body of a response that is not streamed, in bytes. A longer one
	// may have no end.
	responseLimit = 16 << 20
	// minSegment is the size of the first segment of a body whose length is not known, in bytes.
	minSegment = 512
	// maxFirstSegment bounds the first segment of a body, in bytes. The length that a target states
	// may not be true.
	maxFirstSegment = 16 << 10
	// maxSegment bounds the segments of a body, in bytes.
	maxSegment = 1 << 20
)

// errResponseTooLong means that a body is longer than responseLimit, or states to be, or that it
// takes too much of the memory for responses that are being read.
const errResponseTooLong = streamError("response exceeds the size limit")

// readBody reads the whole body of a response, whose length is negative if it is not known.
// received is called with the number of bytes of each read that is not the last.
//
// The body is read into segments, which are joined at its end. A single buffer would be copied
// each time it grows, and bodies without end would take several times the limit. No segment is
// larger than what has been received before, except the first; see heldFor.
func readBody(response io.Reader, length int64, received func(n int)) ([]byte, error) {
	limited := io.LimitReader(&countingReader{response, received}, responseLimit+1)
	var segments [][]byte
	total, size := 0, firstSegment(length)
	for {
		segment, err := readSegment(limited, size)
		segments = append(segments, segment)
		total += len(segment)
		switch {
		case total > responseLimit:
			return nil, errResponseTooLong
		case errors.Is(err, io.EOF):
			return join(segments), nil
		case err != nil:
			return nil, err
		}
		size = nextSegment(size, total, length)
	}
}

// firstSegment returns the size of the first segment of a body of the given length. It has a byte
// to spare, so that its end is read without another one.
func firstSegment(length int64) int {
	if length < 0 {
		return minSegment
	}
	return int(min(length, maxFirstSegment-1)) + 1
}

// nextSegment returns the size of the segment after one of the given size, of a body of which total
// bytes have been read: no more than the rest of its length, if that is known, and a byte to spare.
func nextSegment(size, total int, length int64) int {
	next := min(2*size, maxSegment)
	if rest := length - int64(total); rest >= 0 && rest < int64(next) {
		return int(rest) + 1
	}
	return next
}

// heldFor returns the most bytes that the segments of a body of the given length take of which
// total have been read, without the byte to spare.
func heldFor(total, length int64) int64 {
	held := total + min(max(total, maxFirstSegment), maxSegment)
	if length >= total {
		return min(held, length)
	}
	return held
}

// readSegment reads until a segment is full or the reader fails, with io.EOF at its end.
func readSegment(r io.Reader, size int) ([]byte, error) {
	segment := make([]byte, 0, size)
	for len(segment) < size {
		n, err := r.Read(segment[len(segment):size])
		segment = segment[:len(segment)+n]
		if err != nil {
			return segment, err
		}
	}
	return segment, nil
}

// join returns the segments as one slice.
func join(segments [][]byte) []byte {
	if len(segments) == 1 {
		return segments[0]
	}
	return bytes.Join(segments, nil)
}

// countingReader calls received after each read that returns bytes and no error.
type countingReader struct {
	io.Reader
	received func(n int)
}

// Read implements io.Reader.
func (r *countingReader) Read(into []byte) (int, error) {
	n, err := r.Reader.Read(into)
	if n > 0 && err == nil {
		r.received(n)
	}
	return n, err
}
