package direct

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is a request as it is sent to a target.
type Request struct {
	// Method, Target, as it stands in the request line, and Host go out unchanged.
	Method, Target, Host string
	// Header is sent as it is, but for the length of the body.
	Header http.Header
	Body   []byte
	// HasBody tells that the request has a body, which may be empty.
	HasBody bool
	// Deadline ends the exchange.
	Deadline time.Time
	// IDHeader names the header by which request and answer are matched, ID its
	// value; an answer with another value is not taken.
	IDHeader, ID string
}

// smallBody is the size up to which a request is written before its answer is
// read; the kernel's buffers hold as much.
const smallBody = 8 << 10

// encode returns the head, and the body if it is small.
func (r *Request) encode() []byte {
	var out bytes.Buffer
	out.Grow(512 + min(len(r.Body), smallBody))
	out.WriteString(r.Method)
	out.WriteByte(' ')
	out.WriteString(r.Target)
	out.WriteString(" HTTP/1.1\r\nHost: ")
	out.WriteString(r.Host)
	out.WriteString("\r\n")
	if r.HasBody {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// A bytes.Buffer returns no error.
	_ = r.Header.Write(&out)
	out.WriteString("\r\n")
	if !r.large() {
		out.Write(r.Body)
	}
	return out.Bytes()
}

// large tells whether the body is written beside reading the answer: a target
// may answer before it has read a long body.
func (r *Request) large() bool { return len(r.Body) > smallBody }
