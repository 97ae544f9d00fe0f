package integrity

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper whose connections are of type Conn.
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
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*Conn).BeginRequest(bodyBytes(r))
	}}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

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

// CloseIdleConnections closes the connections that are not in use; see http.Client.CloseIdleConnections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
