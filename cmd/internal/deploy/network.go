package deploy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// LinkState is the condition of the link between two zones.
type LinkState string

// The states of a link.
const (
	LinkOpen LinkState = ""
	// LinkCut resets open connections and refuses new ones.
	LinkCut LinkState = "cut"
	// LinkFrozen holds all bytes and all new connections back until the link is open again, as a network does
	// that loses every packet.
	LinkFrozen LinkState = "frozen"
	// LinkFrozenOut and LinkFrozenBack hold back only what goes to the side that listens, or what comes from it.
	LinkFrozenOut  LinkState = "frozen_out"
	LinkFrozenBack LinkState = "frozen_back"
)

// ErrCut means that the link between two zones is cut.
var ErrCut = errors.New("link is cut")

// Link is what connections between two zones have in common. It is safe for concurrent use.
type Link struct {
	mu      sync.Mutex
	delay   time.Duration // one way
	state   LinkState
	changed chan struct{} // closed and replaced when state changes
	pairs   map[*pair]struct{}
}

// NewLink returns an open link with a one-way delay.
func NewLink(delay time.Duration) *Link {
	return &Link{delay: delay, changed: make(chan struct{}), pairs: map[*pair]struct{}{}}
}

// SetState changes the state of the link.
func (l *Link) SetState(s LinkState) {
	l.mu.Lock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	var cut []*pair
	if s == LinkCut {
		for p := range l.pairs {
			cut = append(cut, p)
		}
	}
	l.mu.Unlock()
	for _, p := range cut {
		p.close()
	}
}

func (l *Link) look() (LinkState, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.delay, l.changed
}

// SetDelay changes the one-way delay.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// open waits while the link is frozen for one of its directions. It returns ErrCut when the link is cut.
func (l *Link) open(ctx context.Context, direction LinkState) error {
	for {
		state, _, changed := l.look()
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

// Forwarder passes TCP connections on to one address over a link.
type Forwarder struct {
	listener net.Listener
	upstream string
	link     *Link
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewForwarder listens on a free port of loopback and forwards to upstream.
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

// Address is where the forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Close ends the forwarder with its connections.
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

func (f *Forwarder) forward(near *net.TCPConn) {
	if f.link.open(f.ctx, LinkFrozenOut) != nil {
		reset(near)
		return
	}
	far, err := (&net.Dialer{}).DialContext(f.ctx, "tcp", f.upstream)
	if err != nil {
		reset(near)
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	p := &pair{near: near, far: far.(*net.TCPConn), cancel: cancel}
	f.link.mu.Lock()
	f.link.pairs[p] = struct{}{}
	f.link.mu.Unlock()
	stop := context.AfterFunc(ctx, p.close)
	var directions sync.WaitGroup
	directions.Go(func() { f.pump(ctx, p, p.near, p.far, LinkFrozenOut) })
	directions.Go(func() { f.pump(ctx, p, p.far, p.near, LinkFrozenBack) })
	directions.Wait()
	stop()
	p.close()
	f.link.mu.Lock()
	delete(f.link.pairs, p)
	f.link.mu.Unlock()
}

// pair is one forwarded connection.
type pair struct {
	near, far *net.TCPConn
	cancel    context.CancelFunc
	once      sync.Once
}

// close resets both sides. After an orderly end of both directions nothing is left to reset.
func (p *pair) close() {
	p.once.Do(func() {
		p.cancel()
		reset(p.near)
		reset(p.far)
	})
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

const (
	chunkBytes = 32 << 10
	// chunksInFlight bounds what one direction of a connection holds back.
	chunksInFlight = 64
)

type chunk struct {
	due  time.Time
	data []byte
}

// pump passes bytes on, each after the link's delay and while the link is open.
func (f *Forwarder) pump(ctx context.Context, p *pair, from, to *net.TCPConn, direction LinkState) {
	chunks := make(chan chunk, chunksInFlight)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkBytes)
			n, err := from.Read(buffer)
			_, delay, _ := f.link.look()
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
		if !sleepUntil(ctx, c.due) || f.link.open(ctx, direction) != nil {
			p.close()
			return
		}
		if _, err := to.Write(c.data); err != nil {
			p.close()
			return
		}
	}
	_ = to.CloseWrite()
}

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

// The places besides zones that a connection may come from or go to.
const (
	PlaceClients  = "clients"
	PlacePlatform = "platform"
)

// Network connects zones, the platform and clients. Connections inside a zone are direct.
type Network struct {
	mu         sync.Mutex
	places     map[string]string // address to place
	links      map[[2]string]*Link
	forwarders map[[2]string]*Forwarder // by source place and address
	delay      func(a, b string) time.Duration
}

// NewNetwork returns a network in which delay gives the one-way delay between two places.
func NewNetwork(delay func(a, b string) time.Duration) *Network {
	return &Network{places: map[string]string{}, links: map[[2]string]*Link{}, forwarders: map[[2]string]*Forwarder{}, delay: delay}
}

// Register says where an address is.
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

func (n *Network) link(a, b string) *Link {
	key := [2]string{min(a, b), max(a, b)}
	l := n.links[key]
	if l == nil {
		l = NewLink(n.delay(a, b))
		n.links[key] = l
	}
	return l
}

// Dial returns the dial function of a process at a place.
func (n *Network) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		via, link, err := n.route(from, address)
		if err != nil {
			return nil, err
		}
		if link != nil {
			if err := link.open(ctx, LinkFrozenOut); err != nil {
				return nil, &net.OpError{Op: "dial", Net: network, Err: err}
			}
		}
		return dialer.DialContext(ctx, network, via)
	}
}

// route returns the address to connect to, and the link if the connection leaves the place.
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

// Close ends all forwarders.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.forwarders {
		f.Close()
	}
}
