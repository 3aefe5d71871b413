package deploy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// LinkState is the state of the link between two places of the network.
type LinkState string

// The states of a link.
const (
	LinkOpen LinkState = ""
	// LinkCut resets open connections and refuses new ones.
	LinkCut LinkState = "cut"
	// LinkFrozen holds back all bytes and all new connections until the link is open again, like a network that
	// loses every packet.
	LinkFrozen LinkState = "frozen"
	// LinkFrozenOut holds back only bytes to the listening side and new connections, LinkFrozenBack only bytes
	// from the listening side.
	LinkFrozenOut  LinkState = "frozen_out"
	LinkFrozenBack LinkState = "frozen_back"
)

// ErrCut is returned when a connection is opened over a link that is cut.
var ErrCut = errors.New("link is cut")

// Link is the emulated link between two places, with a delay and a state that apply to all connections over it. It
// is safe for concurrent use.
type Link struct {
	mu          sync.Mutex
	delay       time.Duration // one way
	state       LinkState
	changed     chan struct{} // closed and replaced when state changes
	connections map[*forwardedConn]struct{}
}

// NewLink returns an open link with a one-way delay.
func NewLink(delay time.Duration) *Link {
	return &Link{delay: delay, changed: make(chan struct{}), connections: map[*forwardedConn]struct{}{}}
}

// SetState changes the state of the link. LinkCut resets all open connections over it.
func (l *Link) SetState(s LinkState) {
	l.mu.Lock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	var cut []*forwardedConn
	if s == LinkCut {
		for fc := range l.connections {
			cut = append(cut, fc)
		}
	}
	l.mu.Unlock()
	for _, fc := range cut {
		fc.close()
	}
}

// snapshot returns the state, the one-way delay, and a channel that is closed when the state is set again.
func (l *Link) snapshot() (LinkState, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.delay, l.changed
}

// SetDelay changes the one-way delay for bytes received from now on.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// waitOpen waits while the link is frozen entirely or in the direction, which is LinkFrozenOut or LinkFrozenBack.
// It returns ErrCut if the link is cut, or the error of ctx if that ends first.
func (l *Link) waitOpen(ctx context.Context, direction LinkState) error {
	for {
		state, _, changed := l.snapshot()
		switch {
		case state == LinkCut:
			return ErrCut
		case state != LinkFrozen && state != direction:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Forwarder is a TCP proxy that forwards connections to one address over a link.
type Forwarder struct {
	listener net.Listener
	upstream string
	link     *Link
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewForwarder listens on a free port on loopback and forwards connections to the upstream address.
func NewForwarder(upstream string, link *Link) (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: listener, upstream: upstream, link: link}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	go f.accept()
	return f, nil
}

// Address returns the address that the forwarder listens on.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Close stops the listener and resets the forwarded connections.
func (f *Forwarder) Close() {
	f.cancel()
	_ = f.listener.Close()
}

func (f *Forwarder) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(c.(*net.TCPConn))
	}
}

func (f *Forwarder) forward(client *net.TCPConn) {
	if f.link.waitOpen(f.ctx, LinkFrozenOut) != nil {
		reset(client)
		return
	}
	server, err := (&net.Dialer{}).DialContext(f.ctx, "tcp", f.upstream)
	if err != nil {
		reset(client)
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	fc := &forwardedConn{client: client, server: server.(*net.TCPConn), cancel: cancel}
	f.link.mu.Lock()
	f.link.connections[fc] = struct{}{}
	f.link.mu.Unlock()
	stop := context.AfterFunc(ctx, fc.close)
	var directions sync.WaitGroup
	directions.Go(func() { f.copyDelayed(ctx, fc, fc.client, fc.server, LinkFrozenOut) })
	directions.Go(func() { f.copyDelayed(ctx, fc, fc.server, fc.client, LinkFrozenBack) })
	directions.Wait()
	stop()
	fc.close()
	f.link.mu.Lock()
	delete(f.link.connections, fc)
	f.link.mu.Unlock()
}

// forwardedConn holds the two TCP connections of one forwarded connection: from the client and to the server.
type forwardedConn struct {
	client, server *net.TCPConn
	cancel         context.CancelFunc
	once           sync.Once
}

// close resets both TCP connections. If both directions have ended in order before, nothing is left to reset.
func (fc *forwardedConn) close() {
	fc.once.Do(func() {
		fc.cancel()
		reset(fc.client)
		reset(fc.server)
	})
}

// reset closes the connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

const (
	chunkBytes = 32 << 10
	// chunksInFlight bounds the data that one direction of a connection buffers.
	chunksInFlight = 64
)

// chunk is data to forward at a due time.
type chunk struct {
	due  time.Time
	data []byte
}

// copyDelayed copies bytes from one connection to the other in order, each after the link's delay, and pauses while
// the link is frozen in the direction.
func (f *Forwarder) copyDelayed(ctx context.Context, fc *forwardedConn, from, to *net.TCPConn, direction LinkState) {
	chunks := make(chan chunk, chunksInFlight)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkBytes)
			n, err := from.Read(buffer)
			_, delay, _ := f.link.snapshot()
			if n > 0 {
				select {
				case chunks <- chunk{due: time.Now().Add(delay), data: buffer[:n]}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !sleepUntil(ctx, c.due) || f.link.waitOpen(ctx, direction) != nil {
			fc.close()
			return
		}
		if _, err := to.Write(c.data); err != nil {
			fc.close()
			return
		}
	}
	_ = to.CloseWrite()
}

// sleepUntil waits until the due time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// The places of the network other than zones.
const (
	PlaceClients  = "clients"
	PlacePlatform = "platform"
)

// Network connects zones, the platform and clients through links. Connections within a place and to unregistered
// addresses are direct.
type Network struct {
	mu         sync.Mutex
	places     map[string]string // address to place
	links      map[[2]string]*Link
	forwarders map[[2]string]*Forwarder // by source place and address
	delay      func(a, b string) time.Duration
}

// NewNetwork returns a network whose links have the one-way delay that the function returns for their two places.
func NewNetwork(delay func(a, b string) time.Duration) *Network {
	return &Network{places: map[string]string{}, links: map[[2]string]*Link{}, forwarders: map[[2]string]*Forwarder{}, delay: delay}
}

// Register assigns an address to a place.
func (n *Network) Register(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = place
}

// Link returns the link between two places, the same for both directions.
func (n *Network) Link(a, b string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(a, b)
}

// link is Link for callers that hold n.mu.
func (n *Network) link(a, b string) *Link {
	key := [2]string{min(a, b), max(a, b)}
	l := n.links[key]
	if l == nil {
		l = NewLink(n.delay(a, b))
		n.links[key] = l
	}
	return l
}

// Dial returns a dial function for a process at the place. It fails with ErrCut while the link to the address is
// cut, and waits while new connections are held back.
func (n *Network) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialAddress, link, err := n.route(from, address)
		if err != nil {
			return nil, err
		}
		if link != nil {
			if err := link.waitOpen(ctx, LinkFrozenOut); err != nil {
				return nil, &net.OpError{Op: "dial", Net: network, Err: err}
			}
		}
		return dialer.DialContext(ctx, network, dialAddress)
	}
}

// route returns the address to connect to: that of a forwarder, with its link, if the connection leaves the place,
// or else the address itself and no link.
func (n *Network) route(from, address string) (string, *Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	place, known := n.places[address]
	if !known || place == from {
		return address, nil, nil
	}
	link := n.link(from, place)
	key := [2]string{from, address}
	f := n.forwarders[key]
	if f == nil {
		var err error
		if f, err = NewForwarder(address, link); err != nil {
			return "", nil, err
		}
		n.forwarders[key] = f
	}
	return f.Address(), link, nil
}

// Close stops all forwarders and resets their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.forwarders {
		f.Close()
	}
}
