package integrity

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// maxInterimResponses is the maximum number of interim responses to one request.
const maxInterimResponses = 5

// Transport is an http.RoundTripper whose connections are of type Conn. It fails at responses that may not be
// believed, final or interim, and closes their connections.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that sends requests with base, whose DialContext must be set. base
// must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	e := &exchange{bodyBytes: bodyBytes(r)}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), e.trace())))
	if err != nil {
		e.end()
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		e.reject()
		// The connection is closed already.
		_ = response.Body.Close()
		return nil, err
	}
	if response.Body == http.NoBody {
		e.end()
		return response, nil
	}
	response.Body = &body{ReadCloser: response.Body, response: response, exchange: e}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use; see http.Client.CloseIdleConnections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// bodyBytes returns the length of the body of a request, negative if it is not known.
func bodyBytes(r *http.Request) int64 {
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		return 0
	case r.ContentLength > 0:
		return r.ContentLength
	}
	return -1
}

// exchange is a request and its response. net/http offers a connection to the next request as soon as it has
// read a response, before the response has been checked; that request waits for the end of the exchange.
type exchange struct {
	bodyBytes int64

	// mu guards the fields below.
	mu sync.Mutex
	// interimCount is the number of interim responses read.
	interimCount int
	// conn is nil until the request has a connection.
	conn *Conn
	// ended is closed at the end of the exchange on conn; nil after that.
	ended chan<- struct{}
}

// trace returns the hooks that net/http calls during the exchange.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { e.begin(info.Conn) },
		Got1xxResponse: e.checkInterim,
	}
}

// checkInterim returns why an interim response ends the exchange, nil if it does not. net/http does not limit
// their number if they are checked.
func (e *exchange) checkInterim(status int, header textproto.MIMEHeader) error {
	e.mu.Lock()
	e.interimCount++
	count := e.interimCount
	e.mu.Unlock()
	if count > maxInterimResponses {
		return &HeadError{Status: status, Reason: "too many interim responses"}
	}
	return CheckHead(status, http.Header(header))
}

// begin begins the exchange on a connection of the Transport. It may have begun on another one, which failed
// before the request was written.
func (e *exchange) begin(connection net.Conn) {
	e.end()
	c, plain := connection.(*Conn)
	if !plain {
		c = connection.(*tls.Conn).NetConn().(*Conn)
	}
	ended := c.beginExchange()
	if plain {
		c.BeginRequest(e.bodyBytes)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.ended = c, ended
}

// reject closes the connection and ends the exchange.
func (e *exchange) reject() {
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	// This fails only on a connection that is closed already.
	_ = c.Close()
	e.end()
}

// end lets the next request use the connection. Only the first call for a connection has an effect.
func (e *exchange) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended != nil {
		close(e.ended)
		e.ended = nil
	}
}

// body is the body of a response. Its end is that of the exchange.
type body struct {
	io.ReadCloser
	// response has the trailer at the end of the body.
	response *http.Response
	exchange *exchange
}

// Read implements io.Reader. It fails at the end of a response with a malformed trailer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if malformed := CheckFields(b.response.StatusCode, b.response.Trailer); malformed != nil {
		b.exchange.reject()
		return n, malformed
	}
	b.exchange.end()
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.exchange.end()
	return err
}
