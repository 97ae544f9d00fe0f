package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is how a request of a client ended.
type result struct {
	id string
	// kept is set if the connection had carried an answered request before.
	kept bool
	// status is that of the answer; 0 if the connection ended or the client gave up before one.
	status int
	// whole is set if the answer came whole, ended if the connection ended before that.
	whole, ended bool
	body         []byte
	took         time.Duration
	err          error
}

// client is a stand-in of a caller that keeps its connection, as PROTOCOL.md describes them.
type client struct {
	address, host, key string
	deadline           time.Duration

	connection net.Conn
	reader     *bufio.Reader
	used       bool
}

// send sends a request with a new ID and reads its answer.
func (c *client) send(method, path, body string) result {
	got := result{id: fmt.Sprintf("%016x", rand.Uint64())}
	began := time.Now()
	if c.connection == nil {
		connection, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			got.err = err
			return got
		}
		c.connection, c.reader, c.used = connection, bufio.NewReader(connection), false
	}
	got.kept = c.used
	_ = c.connection.SetDeadline(began.Add(c.deadline))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nVerbenaseam-Attempt-Id: %s\r\nVerbenaseam-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, path, c.host, got.id, c.deadline.Milliseconds(), c.key)
	if body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	if _, got.err = io.WriteString(c.connection, text.String()); got.err == nil {
		c.receive(&got)
	}
	got.took = time.Since(began)
	if got.err != nil {
		timeout, isNet := got.err.(net.Error)
		got.ended = !isNet || !timeout.Timeout()
		c.close()
	}
	return got
}

func (c *client) receive(got *result) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		got.err = err
		return
	}
	got.status = response.StatusCode
	got.body, got.err = io.ReadAll(response.Body)
	if got.err != nil {
		return
	}
	got.whole, c.used = true, true
	if response.Close {
		c.close()
	}
}

func (c *client) close() {
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}
