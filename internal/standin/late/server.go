// Package late is a stand-in for a faulty server that sends each response once more before the
// next one on its connection.
package late

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Responder returns the response to a request, as it is written to the connection.
type Responder func(r *http.Request, body []byte) string

// Serve serves the connections of a listener until it is closed.
func Serve(listener net.Listener, respond Responder) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(c, respond)
	}
}

func serveConn(c net.Conn, respond Responder) {
	defer c.Close()
	in, last := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		response := respond(r, body)
		if _, err := io.WriteString(c, last+response); err != nil {
			return
		}
		last = response
	}
}
