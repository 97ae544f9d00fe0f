package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"verbenaseam.example/verbenaseam/connection/integrity"
	"verbenaseam.example/verbenaseam/connection/pace"
)

// maxResponsesRead is the maximum number of responses read for one request:
// interim (1xx) responses, late responses to earlier requests and the response to the
// request itself.
const maxResponsesRead = 3

// Response is the response of a target. Its status and headers have been received.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known in advance.
	Length int64
	// Delimited is set if the body has a length or is chunked. Otherwise it ends with its
	// connection, also where the target has stopped early.
	Delimited bool

	exchange *exchange
	// received is the response as net/http reads it. Its trailer is set at the end of its body.
	received *http.Response
}

// exchange is a request and its response on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	// detach detaches the exchange from the context. It returns false if the context
	// has already ended.
	detach func() bool
	// bodySent is closed once a large body has been written; nil for a small one.
	bodySent chan struct{}
	// bodyErr is the error of writing a large body; it may be read once bodySent is
	// closed.
	bodyErr error
	// reading monitors how the target reads a large body, sending how it sends the head of a
	// response; nil without a pace.
	reading, sending *pace.Monitor
	endOnce          sync.Once
	// idleTimeout is how long the connection may be idle before it must not be used
	// any more.
	idleTimeout time.Duration
	// first is set if the connection has carried no exchange before, so that no late
	// response can arrive on it.
	first bool
	// reusable is set if the response has a length or is chunked, the target keeps the
	// connection open and late responses on it can be told from those to later requests.
	reusable bool
}

// Do sends a request and waits for the head of its response. All errors are of type
// ExchangeError. If fresh is set, a new connection is used. The end of ctx aborts the
// exchange, even while the body is being read.
func (p *Pool) Do(ctx context.Context, request *Request, fresh bool) (*Response, error) {
	c, err := p.get(ctx, time.Now(), request.ID, fresh)
	if err != nil {
		return nil, &ExchangeError{Cause: err}
	}
	if err := ctx.Err(); err != nil {
		p.putIdle(c, c.expires)
		return nil, &ExchangeError{Cause: err}
	}
	e := &exchange{pool: p, conn: c}
	e.sending = pace.NewMonitor(request.Pace, nil, e.abort)
	// Setting the deadline fails only on a closed connection, which the write
	// reports.
	_ = c.SetDeadline(request.Deadline)
	e.detach = context.AfterFunc(ctx, e.abort)
	e.first, c.carried = !c.carried, true
	c.recordID(request.ID)
	c.BeginRequest(int64(len(request.Body)))
	if n, err := c.Write(request.encode()); err != nil {
		e.end(false)
		return nil, &ExchangeError{Sent: n > 0, Cause: errors.Join(ctx.Err(), err)}
	}
	if request.large() {
		e.sendBody(request)
	}
	response, err := e.receive(request)
	if err != nil {
		e.end(false)
		return nil, &ExchangeError{Sent: true, Cause: errors.Join(ctx.Err(), e.stalled(), err)}
	}
	return response, nil
}

// abort ends reads and writes of the exchange.
func (e *exchange) abort() {
	// This fails only on a closed connection, which ends them too.
	_ = e.conn.SetDeadline(time.Unix(1, 0))
}

// stalled returns a StalledError if the target has stalled, otherwise nil.
func (e *exchange) stalled() error {
	switch {
	case e.sending.Stalled():
		return &StalledError{Sending: true}
	case e.reading.Stalled():
		return &StalledError{}
	}
	return nil
}

// sendBody writes a large body on a goroutine while the response is read. The target must read
// it at the request's pace, also what the kernel has accepted and not yet delivered.
func (e *exchange) sendBody(request *Request) {
	e.bodySent = make(chan struct{})
	var written atomic.Bool
	if progress := pace.Progress(e.conn.NetConn()); progress != nil {
		e.reading = pace.NewMonitor(request.Pace, func() (int64, bool) {
			moved, queued := progress()
			return moved, queued || !written.Load()
		}, e.abort)
	}
	if e.reading != nil {
		// The kernel applies the timeout also while the target acknowledges probes but reads
		// nothing; whether it reads fast enough, the monitor decides.
		e.conn.setUserTimeout(request.Pace.Window + unackedTimeout)
	}
	e.reading.Wait()
	go func() {
		defer close(e.bodySent)
		_, e.bodyErr = e.conn.Write(request.Body)
		written.Store(true)
	}()
}

// receive reads the head of the response. It skips late responses to earlier
// requests, but fails at one whose end is not known: one that is delimited only by the
// close of the connection, or any if the request is a HEAD request.
func (e *exchange) receive(request *Request) (*Response, error) {
	if e.sending != nil {
		e.conn.limits.onRead = func(n int) {
			e.sending.Wait()
			e.sending.Moved(n)
		}
		defer func() { e.conn.limits.onRead = nil }()
	}
	for range maxResponsesRead {
		// Before the first byte of a response the target may take its time.
		e.sending.Idle()
		e.conn.limits.limit(maxHeadBytes)
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		e.conn.limits.unlimit()
		if err := integrity.CheckHead(response.StatusCode, response.Header); err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(request.IDHeader)
		if id == request.ID && id != "" || id == "" && e.first {
			e.sending.Close()
			return e.newResponse(request, response), nil
		}
		if id == "" || !delimited(response) || request.Method == http.MethodHead {
			return nil, &ResponseMismatchError{Want: request.ID, Got: id}
		}
		if err := discardLateBody(response); err != nil {
			return nil, err
		}
		if request.OnLate != nil {
			request.OnLate(response.StatusCode, response.Header)
		}
	}
	return nil, &ResponseMismatchError{Want: request.ID}
}

// discardLateBody reads the body of a late response to its end.
func discardLateBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxLateBodyBytes+1))
	switch {
	case err != nil:
		return err
	case n > maxLateBodyBytes:
		return &ResponseTooLongError{Limit: maxLateBodyBytes}
	}
	return integrity.CheckFields(response.StatusCode, response.Trailer)
}

// delimited reports whether a response has a length or is chunked.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// newResponse returns the Response and records whether the connection can be reused,
// and how long it may be idle. It is not reused after a response without the request's ID,
// whose late copies would match any request, nor after a HEAD request, whose late copies
// have a length but no body.
func (e *exchange) newResponse(request *Request, response *http.Response) *Response {
	identified := response.Header.Get(request.IDHeader) != "" && request.Method != http.MethodHead
	e.reusable = delimited(response) && !response.Close && identified
	e.idleTimeout = idleTimeout(response.Header)
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Delimited: delimited(response),
		exchange: e, received: response,
	}
}

// maxIdleSeconds bounds the Keep-Alive timeout of a target, whose conversion could overflow.
const maxIdleSeconds = 3600

// idleTimeout returns how long a connection may be idle: the timeout of the
// Keep-Alive header less idleMargin, or defaultIdleTimeout without one.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(min(seconds, maxIdleSeconds))*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(into []byte) (int, error) {
	n, err := r.received.Body.Read(into)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := integrity.CheckFields(r.Status, r.received.Trailer); malformed != nil {
		r.exchange.end(false)
		return n, malformed
	}
	r.exchange.end(true)
	return n, err
}

// Close ends the exchange. If the response has not been read to its end, Close resets
// the connection, and the rest of the response is lost.
func (r *Response) Close() { r.exchange.end(false) }

// end returns the connection to the pool if the response was complete and nothing
// followed it; otherwise it closes the connection. Only the first call has an effect.
func (e *exchange) end(complete bool) {
	e.endOnce.Do(func() {
		detached := e.detach()
		e.sending.Close()
		if !complete {
			e.conn.resetOnClose()
		}
		if !complete || !e.reusable || !detached || e.idleTimeout <= 0 || e.conn.reader.Buffered() > 0 {
			e.reading.Close()
			e.pool.discard(e.conn)
			return
		}
		if e.bodySent == nil {
			e.putBack()
			return
		}
		go e.putBackAfterBody()
	})
}

// putBackAfterBody returns the connection to the pool once a large body has been
// written, or closes it if the write has failed.
func (e *exchange) putBackAfterBody() {
	<-e.bodySent
	if stalled := e.reading.Close(); stalled || e.bodyErr != nil {
		e.pool.discard(e.conn)
		return
	}
	e.conn.setUserTimeout(unackedTimeout)
	e.putBack()
}

func (e *exchange) putBack() {
	// Clearing the deadline fails only on a closed connection, which the next use
	// reports.
	_ = e.conn.SetDeadline(time.Time{})
	e.pool.putIdle(e.conn, time.Now().Add(e.idleTimeout))
}
