package integrity

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// requestProgress follows how much of a request has been written.
type requestProgress struct {
	// begun is set if there is a request.
	begun bool
	// bodyBytes is the length of the body, negative if it is not known.
	bodyBytes int64
	// headMatched is how many bytes of headEnd the last bytes of the head are.
	headMatched int
	// bodyWritten is how many bytes of the body have been written.
	bodyWritten int64
}

// wrote records bytes of the request.
func (r *requestProgress) wrote(p []byte) {
	for len(p) > 0 && r.headMatched < len(headEnd) {
		r.matchHead(p[0])
		p = p[1:]
	}
	r.bodyWritten += int64(len(p))
}

// matchHead records a byte of the head.
func (r *requestProgress) matchHead(b byte) {
	switch b {
	case headEnd[r.headMatched]:
		r.headMatched++
	case headEnd[0]:
		r.headMatched = 1
	default:
		r.headMatched = 0
	}
}

// complete reports whether the whole request has been written. That is not known of one whose length
// is not known.
func (r *requestProgress) complete() bool {
	return r.headMatched == len(headEnd) && r.bodyBytes >= 0 && r.bodyWritten >= r.bodyBytes
}
