package siblinggrpc

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// Client talks to siblings, over one connection each. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*grpc.ClientConn{}} }

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) sibling(address string) (siblingpb.SiblingClient, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	return siblingpb.NewSiblingClient(conn), nil
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		var err error
		if conn, err = grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials())); err != nil {
			return nil, oops.In("sibling").Wrapf(sibling.ErrNotSent, "connect %s: %v", address, err)
		}
		c.conns[address] = conn
	}
	return conn, nil
}

// Exchange sends a heartbeat and returns the sibling's.
func (c *Client) Exchange(ctx context.Context, to sibling.Member, h sibling.Heartbeat) (sibling.Heartbeat, error) {
	s, err := c.sibling(to.PeerAddress)
	if err != nil {
		return sibling.Heartbeat{}, err
	}
	reply, err := s.Exchange(ctx, &siblingpb.ExchangeRequest{Heartbeat: encodeHeartbeat(h)})
	if err != nil {
		return sibling.Heartbeat{}, translate(err)
	}
	return decodeHeartbeat(reply.GetHeartbeat()), nil
}

// Configuration is what a sibling has in force. Either part may be nil.
type Configuration struct {
	Document *platform.Document
	List     *platform.InstanceList
}

// Fetch returns the configuration in force at a sibling.
func (c *Client) Fetch(ctx context.Context, from sibling.Member) (Configuration, error) {
	s, err := c.sibling(from.PeerAddress)
	if err != nil {
		return Configuration{}, err
	}
	reply, err := s.Fetch(ctx, &siblingpb.FetchRequest{})
	if err != nil {
		return Configuration{}, translate(err)
	}
	var out Configuration
	if len(reply.GetDocument()) > 0 {
		out.Document = &platform.Document{}
		if err := json.Unmarshal(reply.GetDocument(), out.Document); err != nil {
			return Configuration{}, oops.In("sibling").Wrapf(sibling.ErrNoReply, "decode document: %v", err)
		}
	}
	if len(reply.GetList()) > 0 {
		out.List = &platform.InstanceList{}
		if err := json.Unmarshal(reply.GetList(), out.List); err != nil {
			return Configuration{}, oops.In("sibling").Wrapf(sibling.ErrNoReply, "decode instance list: %v", err)
		}
	}
	return out, nil
}

// translate turns a gRPC error into one of package sibling. No status of gRPC proves that a message was not
// delivered, so the default is ErrNoReply.
func translate(err error) error {
	if status.Code(err) == codes.Unimplemented {
		return oops.In("sibling").Wrapf(sibling.ErrNotSent, "%v", err)
	}
	return oops.In("sibling").Wrapf(sibling.ErrNoReply, "%v", err)
}
