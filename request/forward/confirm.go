package forward

import (
	"errors"
	"io"
	"time"
)

// bodyBound limits how much of a body that does not go to the caller is read, in bytes, and how long the call
// waits for it.
type bodyBound struct {
	bytes int64
	wait  time.Duration
}

var (
	// discardBound is that of a body that is read to reuse its connection. A short one comes with its head or
	// soon after; the target may never send what it has stated.
	discardBound = bodyBound{bytes: 4 << 10, wait: 50 * time.Millisecond}
	// refusalBound is that of a refusal of a call that may be sent again in any case.
	refusalBound = bodyBound{bytes: 64 << 10, wait: 50 * time.Millisecond}
	// orderRefusalBound is that of a refusal of any other call, which fails if the refusal is not whole.
	orderRefusalBound = bodyBound{bytes: 64 << 10, wait: 500 * time.Millisecond}
)

// confirm reads a response to its end whose head alone has decided that the call has not run, or that another
// target would respond the same. It returns an error if the response is not whole: nothing in it may be
// believed then.
func (h *Handler) confirm(c *call, src *streamSource, v verdict) error {
	switch {
	case v.refused() && c.route.Idempotent:
		return h.drain(c, src, refusalBound)
	case v.refused():
		return h.drain(c, src, orderRefusalBound)
	case v.final():
		return h.readWhole(c, src)
	}
	return nil
}

// drain reads a response to its end and closes it, so that the connection can be reused. It returns why the
// response is not known to be whole, nil if it is.
func (h *Handler) drain(c *call, src *streamSource, bound bodyBound) error {
	if src.whole {
		return nil
	}
	defer src.response.Close()
	if src.response.Length > bound.bytes {
		return errResponseTooLong
	}
	timer := time.AfterFunc(bound.wait, src.response.Close)
	defer timer.Stop()
	if err := discardBody(src.response, bound.bytes); err != nil {
		return err
	}
	src.whole = true
	h.recordOwnNotice(c, src)
	return nil
}

// discardBody reads a body of at most limit bytes to its end.
func discardBody(body io.Reader, limit int64) error {
	buffer := make([]byte, minRead)
	for total := int64(0); total <= limit; {
		n, err := body.Read(buffer)
		total += int64(n)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errResponseTooLong
}
