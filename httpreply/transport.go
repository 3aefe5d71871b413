package httpreply

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Client returns a copy of an HTTP client for peers without TLS that accepts only sound replies: to a malformed one, it returns an error that
// wraps ErrMalformed from the request or from the read of the body, and closes the connection. The copy has connections of its own. A
// client whose transport is not a *http.Transport is returned unchanged. nil stands for http.DefaultClient.
func Client(client *http.Client) *http.Client {
	if client == nil {
		client = http.DefaultClient
	}
	base := client.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	plain, ok := base.(*http.Transport)
	if !ok {
		return client
	}
	out := *client
	out.Transport = NewTransport(plain)
	return &out
}

// Transport is an http.RoundTripper that accepts only sound replies, as Client describes. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the settings of base, whose connections it does not use.
func NewTransport(base *http.Transport) *Transport {
	own := base.Clone()
	dial := own.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	own.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{base: own}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	method := r.Method
	var used atomic.Pointer[conn] // of the last try: net/http may send a request again that was not written
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*conn)
		if ok {
			c.next.Store(&method)
		}
		used.Store(c)
	}}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	c := used.Load()
	if err != nil {
		return nil, c.explain(err)
	}
	if c != nil {
		response.Body = &body{response.Body, c}
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// conn is a connection that returns an error instead of bytes that are no part of a sound reply. It holds back all of them, so that
// net/http does not find them in its buffer when it sends another request.
type conn struct {
	net.Conn
	// next is the method of the request that the connection was given to, until its reply begins.
	next atomic.Pointer[string]

	// checked and check belong to the reader.
	checked bool
	check   Check
	// broken is the error that ended the check. It is set before net/http sees the end of the reply.
	broken atomic.Pointer[error]
}

// explain returns an error of net/http that was caused by a malformed reply with that cause, which net/http does not always keep. c may be nil.
func (c *conn) explain(err error) error {
	if c == nil || errors.Is(err, ErrMalformed) || !errors.Is(c.err(), ErrMalformed) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// err returns the error that ended the check, nil if there was none.
func (c *conn) err() error {
	if err := c.broken.Load(); err != nil {
		return *err
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if method := c.next.Swap(nil); method != nil {
		c.check.Reset(*method)
		c.checked = true
	}
	if !c.checked {
		return n, err
	}
	sound, checkErr := c.check.Scan(p[:n])
	if checkErr == nil {
		return n, err
	}
	c.broken.Store(&checkErr)
	if sound == 0 {
		return 0, checkErr
	}
	return sound, nil
}

// Write implements net.Conn. A request that net/http gives to a broken connection is not written, so that net/http sends it on another one.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.err(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// body is the body of a reply on a connection.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.conn.explain(err)
	}
	return n, err
}
