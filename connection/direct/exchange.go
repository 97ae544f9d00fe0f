package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxCrossed is how many answers to earlier requests are passed over on one
// connection.
const maxCrossed = 3

// Answer is a target's answer whose head has arrived.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 if it is not known beforehand.
	Length int64

	exchange *exchange
	body     io.ReadCloser
}

// exchange is a request under way on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	// stop ends the watch of the context.
	stop func() bool
	// sent is closed once a large body has been written; nil for small ones.
	sent    chan struct{}
	sendErr error
	once    sync.Once
	// keepFor is how long the target keeps the connection.
	keepFor  time.Duration
	reusable bool
}

// Do sends a request and waits for the head of its answer. It fails with
// SendError. fresh asks for a new connection. The end of the context ends the
// exchange, also while the body is read.
func (p *Pool) Do(ctx context.Context, request *Request, fresh bool) (*Answer, error) {
	c, err := p.get(ctx, time.Now(), fresh)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	if err := ctx.Err(); err != nil {
		p.keep(c, c.expires)
		return nil, &SendError{Cause: err}
	}
	e := &exchange{pool: p, conn: c}
	// A deadline cannot be set on a closed connection, which the write tells.
	_ = c.SetDeadline(request.Deadline)
	e.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if n, err := c.Write(request.encode()); err != nil {
		e.end(false)
		return nil, &SendError{Sent: n > 0, Cause: errors.Join(ctx.Err(), err)}
	}
	if request.large() {
		e.sendBody(request.Body)
	}
	answer, err := e.receive(request)
	if err != nil {
		e.end(false)
		return nil, &SendError{Sent: true, Cause: errors.Join(ctx.Err(), err)}
	}
	return answer, nil
}

// sendBody writes a large body beside the reading of the answer.
func (e *exchange) sendBody(body []byte) {
	e.sent = make(chan struct{})
	go func() {
		defer close(e.sent)
		_, e.sendErr = e.conn.Write(body)
	}()
}

// receive reads the head of the answer, passing over those to earlier requests.
func (e *exchange) receive(request *Request) (*Answer, error) {
	for range maxCrossed {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		got := response.Header.Get(request.IDHeader)
		if got != "" && got != request.ID {
			if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
				return nil, &CrossedError{Want: request.ID, Got: got}
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, err
			}
			continue
		}
		return e.answer(response), nil
	}
	return nil, &CrossedError{Want: request.ID}
}

func (e *exchange) answer(response *http.Response) *Answer {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	e.reusable = framed && !response.Close
	e.keepFor = keepAliveTime(response.Header)
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		exchange: e, body: response.Body,
	}
}

// keepAliveTime reads how long a target keeps an idle connection.
func keepAliveTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(into []byte) (int, error) {
	n, err := a.body.Read(into)
	if errors.Is(err, io.EOF) {
		a.exchange.end(true)
	}
	return n, err
}

// Close ends the exchange; what is left of the answer is lost, and the target
// sees the connection close if the answer was not read to its end.
func (a *Answer) Close() { a.exchange.end(false) }

// end gives the connection back, or closes it unless the answer was whole and
// nothing came after it.
func (e *exchange) end(whole bool) {
	e.once.Do(func() {
		stopped := e.stop()
		if !whole {
			e.conn.reset()
		}
		if !whole || !e.reusable || !stopped || e.keepFor <= 0 || e.conn.reader.Buffered() > 0 {
			e.pool.drop(e.conn)
			return
		}
		if e.sent == nil {
			e.keep()
			return
		}
		go e.keepAfterBody()
	})
}

// keepAfterBody keeps the connection once the rest of a large body is written.
func (e *exchange) keepAfterBody() {
	<-e.sent
	if e.sendErr != nil {
		e.pool.drop(e.conn)
		return
	}
	e.keep()
}

func (e *exchange) keep() {
	// A connection on which it fails is closed, which the next use tells.
	_ = e.conn.SetDeadline(time.Time{})
	e.pool.keep(e.conn, time.Now().Add(e.keepFor))
}
