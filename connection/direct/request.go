package direct

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"verbenaseam.example/verbenaseam/connection/pace"
)

// Request is a request to a target.
type Request struct {
	// Method, RequestTarget (the request target of the request line) and Host are sent
	// unchanged.
	Method, RequestTarget, Host string
	// Header is sent unchanged, after the Host and Content-Length headers.
	Header http.Header
	Body   []byte
	// HasBody is set if the request has a body, which may be empty.
	HasBody bool
	// Deadline is the time at which the exchange fails, even while the body of the
	// response is being read.
	Deadline time.Time
	// IDHeader is the header by which a response is matched with its request, and ID
	// is its value. A response with another value is rejected; a response without the
	// header is accepted as the first one of its connection only.
	IDHeader, ID string
	// Pace is the least progress of the target in reading a large body and in sending the head
	// of a response that it has begun; zero for none.
	Pace pace.Rate
	// OnLate, if not nil, is called with the head of each late response to an earlier request that arrives on
	// the connection before the one to this request. It is whole.
	OnLate func(status int, header http.Header)
}

// maxSmallBodyBytes is the size up to which a body is written before the response is
// read. It fits into the socket buffers of the kernel, so the write does not block.
const maxSmallBodyBytes = 8 << 10

// encode returns the encoded head of the request, and its body if that is small.
func (r *Request) encode() []byte {
	var out bytes.Buffer
	out.Grow(512 + min(len(r.Body), maxSmallBodyBytes))
	out.WriteString(r.Method)
	out.WriteByte(' ')
	out.WriteString(r.RequestTarget)
	out.WriteString(" HTTP/1.1\r\nHost: ")
	out.WriteString(r.Host)
	out.WriteString("\r\n")
	if r.HasBody {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writing to a bytes.Buffer returns no error.
	_ = r.Header.Write(&out)
	out.WriteString("\r\n")
	if !r.large() {
		out.Write(r.Body)
	}
	return out.Bytes()
}

// large reports whether the body must be written while the response is read: a
// target may respond before it has read a large body.
func (r *Request) large() bool { return len(r.Body) > maxSmallBodyBytes }
