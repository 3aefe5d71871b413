package siblinggrpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// idleLimit is the time after which an unused connection is closed. An instance exchanges messages with random
// siblings, and a connection to each of 1,200 would take more memory than control work may use.
const idleLimit = 20 * time.Second

const (
	// maxHeaderBytes bounds the headers of a call, and maxMessageBytes a message. A message with all values of a full fleet
	// has about 2 MB.
	maxHeaderBytes  = 16 << 10
	maxMessageBytes = 8 << 20
)

// ServerOptions returns the options of a gRPC server for siblings.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.MaxHeaderListSize(maxHeaderBytes), grpc.MaxRecvMsgSize(maxMessageBytes)}
}

// Client calls siblings over one connection each. It is safe for concurrent use.
type Client struct {
	options []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*connection
	swept  time.Time // when idle connections were last closed
	closed bool
}

type connection struct {
	*grpc.ClientConn
	calls int       // calls in progress
	used  time.Time // when the last call started
	// retired is set after a call timed out or was not confirmed, or the sibling was unavailable. The last call in progress then closes the
	// connection.
	retired bool
}

// NewClient returns a client without connections. The options apply to each connection.
func NewClient(options ...grpc.DialOption) *Client {
	options = append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithMaxHeaderListSize(maxHeaderBytes), grpc.WithStatsHandler(sendTracker{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)), grpc.WithConnectParams(reconnectParams),
	}, options...)
	return &Client{options: options, conns: map[string]*connection{}}
}

// Close closes all connections. Later calls fail with sibling.ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// acquire returns the connection to an address. Each acquire needs one release.
func (c *Client) acquire(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, oops.In("sibling").Wrapf(sibling.ErrNotSent, "client is closed")
	}
	now := time.Now()
	c.sweep(now)
	conn := c.conns[address]
	if conn == nil {
		cc, err := grpc.NewClient(address, c.options...)
		if err != nil {
			return nil, oops.In("sibling").Wrapf(sibling.ErrNotSent, "connect %s: %v", address, err)
		}
		conn = &connection{ClientConn: cc}
		c.conns[address] = conn
	}
	conn.calls++
	conn.used = now
	return conn, nil
}

// sweep closes the connections that have been unused for idleLimit.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.swept) < idleLimit/4 {
		return
	}
	c.swept = now
	for address, conn := range c.conns {
		if conn.calls == 0 && now.Sub(conn.used) >= idleLimit {
			_ = conn.Close()
			delete(c.conns, address)
		}
	}
}

// release ends a call. A connection whose call failed is not used again, since an established connection can stop
// delivering while new ones work.
func (c *Client) release(address string, conn *connection, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	failed := errors.Is(err, sibling.ErrNotConfirmed)
	if code := status.Code(err); !conn.retired && (failed || code == codes.DeadlineExceeded || code == codes.Unavailable) {
		conn.retired = true
		if c.conns[address] == conn {
			delete(c.conns, address)
		}
	}
	if conn.retired && conn.calls == 0 {
		_ = conn.Close()
	}
}

// call makes one call to the sibling at the address and translates its error.
func call[R any](c *Client, address string, method func(grpc.ClientConnInterface) (R, error)) (R, error) {
	var zero R
	conn, err := c.acquire(address)
	if err != nil {
		return zero, err
	}
	reply, err := method(conn)
	c.release(address, conn, err)
	if err != nil {
		return zero, translate(err)
	}
	return reply, nil
}

// Exchange sends a heartbeat and returns the sibling's.
func (c *Client) Exchange(ctx context.Context, to sibling.Member, h sibling.Heartbeat) (sibling.Heartbeat, error) {
	reply, err := call(c, to.PeerAddress, func(conn grpc.ClientConnInterface) (*siblingpb.ExchangeReply, error) {
		return siblingpb.NewSiblingClient(conn).Exchange(ctx, &siblingpb.ExchangeRequest{Heartbeat: encodeHeartbeat(h)})
	})
	if err != nil {
		return sibling.Heartbeat{}, err
	}
	return decodeHeartbeat(reply.GetHeartbeat()), nil
}

// translate converts a gRPC error into one of package sibling. Unimplemented becomes ErrNotSent, since the sibling
// has no such method. No other status proves that a message was not delivered, so the others become ErrNoReply.
func translate(err error) error {
	if status.Code(err) == codes.Unimplemented {
		return oops.In("sibling").Wrapf(sibling.ErrNotSent, "%v", err)
	}
	if errors.Is(err, sibling.ErrNotConfirmed) {
		return oops.In("sibling").Wrap(err)
	}
	return oops.In("sibling").Wrapf(sibling.ErrNoReply, "%v", err)
}
