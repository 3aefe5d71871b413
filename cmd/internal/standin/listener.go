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

// server is a target's listener with its connections. It keeps its address across restarts.
type server struct {
	address string
	// maxConnections is the maximum number of open connections; 0 means no limit.
	maxConnections int
	// acceptCost is the time for which one new connection occupies the accept loop.
	acceptCost time.Duration

	mu              sync.Mutex
	http            *http.Server
	conns           map[*conn]struct{}
	mostConnections int
	accepted        int
	refused         int
}

// start listens and serves in the background. The first start uses a free port on loopback; later starts reuse
// its address.
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
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	s.mu.Lock()
	s.http, s.conns = h, map[*conn]struct{}{}
	s.mu.Unlock()
	go func() { _ = h.Serve(&limitingListener{Listener: listener, server: s}) }()
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

// silenceConnections makes the connections that are open now discard all further traffic in both directions.
func (s *server) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// admit registers a new connection. At the connection limit, it counts a refusal and returns false.
func (s *server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxConnections > 0 && len(s.conns) >= s.maxConnections {
		s.refused++
		return false
	}
	s.accepted++
	s.conns[c] = struct{}{}
	s.mostConnections = max(s.mostConnections, len(s.conns))
	return true
}

func (s *server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *server) fillCounters(c *Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Connections, c.MostConnections = len(s.conns), s.mostConnections
	c.ConnectionsAccepted, c.ConnectionsRefused = s.accepted, s.refused
}

// connContextKey is the context key of the connection that a request arrived on.
type connContextKey struct{}

// limitingListener accepts connections one at a time, spends acceptCost on each, and resets those above the
// server's connection limit.
type limitingListener struct {
	net.Listener
	server *server
}

func (l *limitingListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.server.acceptCost)
		c := &conn{Conn: inner, server: l.server}
		if l.server.admit(c) {
			return c, nil
		}
		c.reset()
	}
}

// conn is a connection that can emulate two faults. A silent connection discards received bytes and drops writes.
// With repeatNextWrite, the next response is written twice, so that the peer matches each later response on the
// connection to the wrong request.
type conn struct {
	net.Conn
	server          *server
	silent          atomic.Bool
	repeatNextWrite atomic.Bool
	once            sync.Once
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
	if c.repeatNextWrite.Swap(false) {
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

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
