package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Conn is a client's connection to an edge.
type Conn struct {
	Edge *Edge

	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

// Dial opens a connection to an edge.
func Dial(e *Edge) (*Conn, error) {
	c, err := net.DialTimeout("tcp", e.Callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Edge: e, conn: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Answer is what a client got for a request.
type Answer struct {
	// Sent is when the last byte of the request was sent, Ended when the answer was complete or the connection ended.
	Sent, Ended time.Time
	// Status is 0 if the connection ended without a complete answer.
	Status int
	Header http.Header
	Body   []byte
	// Kept reports that the connection may carry another request.
	Kept bool
	// Reused reports that the connection had carried a request before.
	Reused bool
	// TimedOut reports that the client gave up at its deadline.
	TimedOut bool
}

// Request is a client's request.
type Request struct {
	ID, Method, Host, Path, Key, Body string
	Deadline                          time.Duration
}

// Do sends a request and waits for the answer.
func (c *Conn) Do(r Request) Answer {
	a := Answer{Reused: c.used}
	c.used = true
	_ = c.conn.SetDeadline(time.Now().Add(r.Deadline))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds(), r.Key, len(r.Body), r.Body)
	a.Sent = time.Now()
	if err != nil {
		a.Ended = a.Sent
		return a
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err == nil {
		a.Body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	a.Ended = time.Now()
	if err != nil {
		timeout, ok := err.(net.Error)
		a.TimedOut = ok && timeout.Timeout()
		return a
	}
	a.Status, a.Header, a.Kept = response.StatusCode, response.Header, !response.Close
	return a
}
