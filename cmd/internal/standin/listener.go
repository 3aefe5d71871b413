package standin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// server is a target's listener with its connections. The address stays the same over restarts.
type server struct {
	address string
	// limit is how many connections are open at most; 0 means no limit.
	limit int
	// cost is how long the accept path is busy with one new connection.
	cost time.Duration

	mu       sync.Mutex
	http     *http.Server
	conns    map[*conn]struct{}
	most     int
	accepted int
	refused  int
}

// start listens and serves. The first start chooses a free port of loopback.
func (s *server) start(handler http.Handler) error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	h := &http.Server{
		Handler: handler, ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	s.mu.Lock()
	s.http, s.conns = h, map[*conn]struct{}{}
	s.mu.Unlock()
	go func() { _ = h.Serve(&limited{Listener: listener, server: s}) }()
	return nil
}

// stop closes the listener and resets all connections.
func (s *server) stop() {
	s.mu.Lock()
	h, conns := s.http, s.conns
	s.http, s.conns = nil, map[*conn]struct{}{}
	s.mu.Unlock()
	if h == nil {
		return
	}
	for c := range conns {
		c.reset()
	}
	_ = h.Close()
}

func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// admit counts a connection, or reports false at the limit.
func (s *server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 && len(s.conns) >= s.limit {
		s.refused++
		return false
	}
	s.accepted++
	s.conns[c] = struct{}{}
	s.most = max(s.most, len(s.conns))
	return true
}

func (s *server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *server) count(c *Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Connections, c.MostConnections = len(s.conns), s.most
	c.ConnectionsAccepted, c.ConnectionsRefused = s.accepted, s.refused
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// limited accepts one connection after the other, each at the server's cost.
type limited struct {
	net.Listener
	server *server
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.server.cost)
		c := &conn{Conn: inner, server: l.server}
		if l.server.admit(c) {
			return c, nil
		}
		c.reset()
	}
}

// conn is a connection that can go silent: what arrives is discarded and nothing is sent. It can also repeat the
// next response, so that the peer's view of which response belongs to which request is off by one.
type conn struct {
	net.Conn
	server *server
	silent atomic.Bool
	repeat atomic.Bool
	once   sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if c.repeat.Swap(false) {
		if _, err := c.Conn.Write(append(slices.Clone(b), b...)); err != nil {
			return 0, err
		}
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() { c.server.remove(c) })
	return c.Conn.Close()
}

// reset closes the connection so that the peer sees a reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
