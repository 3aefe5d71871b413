package siblinggrpc

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/proto"
)

// Call is a call in progress on a connection of a sibling.
type Call interface {
	// MessageArrived is called when the message of the call has arrived and the call begins to run. size is in bytes.
	MessageArrived(size int)
	// End is called once when the call has ended.
	End()
}

// maxRefusedCalls is the number of refused calls without a deadline after which a connection is closed: gRPC keeps the context of
// a call that is refused before it starts until its deadline or the end of the connection. Siblings set a deadline for each call.
const maxRefusedCalls = 300

// TrackCalls returns the options of a gRPC server whose calls are reported and admitted. admit is called when the header of a call
// has arrived on a connection, before the call gets a goroutine; the call is refused if it returns nil. It must not wait.
func TrackCalls(admit func(net.Conn) Call) []grpc.ServerOption {
	begin := func(ctx context.Context, _ *tap.Info) (context.Context, error) {
		p, _ := grpcpeer.FromContext(ctx)
		c := p.AuthInfo.(*trackedConn)
		call := admit(c.conn)
		if call == nil {
			if _, limited := ctx.Deadline(); !limited {
				c.refused++
			}
			if c.refused >= maxRefusedCalls {
				_ = c.conn.Close()
			}
			return ctx, status.Error(codes.ResourceExhausted, "too many calls of siblings")
		}
		context.AfterFunc(ctx, call.End)
		return context.WithValue(ctx, callKey{}, call), nil
	}
	return []grpc.ServerOption{
		grpc.Creds(trackedCredentials{insecure.NewCredentials()}), grpc.InTapHandle(begin),
		grpc.UnaryInterceptor(func(ctx context.Context, m any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			messageArrived(ctx, m)
			return handler(ctx, m)
		}),
		grpc.StreamInterceptor(func(s any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
			return handler(s, trackedStream{stream})
		}),
	}
}

// callKey is the context key of the Call.
type callKey struct{}

func messageArrived(ctx context.Context, m any) {
	call, _ := ctx.Value(callKey{}).(Call)
	if message, ok := m.(proto.Message); ok && call != nil {
		call.MessageArrived(proto.Size(message))
	}
}

// trackedStream reports the arrival of messages. Those after the first one are small.
type trackedStream struct{ grpc.ServerStream }

func (s trackedStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if err == nil {
		messageArrived(s.Context(), m)
	}
	return err
}

// trackedConn is the credentials.AuthInfo through which calls learn their connection. It belongs to the goroutine that reads from
// the connection.
type trackedConn struct {
	credentials.CommonAuthInfo
	conn    net.Conn
	refused int
}

// AuthType returns the type of connections without transport security.
func (*trackedConn) AuthType() string { return "insecure" }

// trackedCredentials are those of connections without transport security, with a trackedConn.
type trackedCredentials struct {
	credentials.TransportCredentials
}

// ServerHandshake returns the connection unchanged.
func (trackedCredentials) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c, &trackedConn{CommonAuthInfo: credentials.CommonAuthInfo{SecurityLevel: credentials.NoSecurity}, conn: c}, nil
}

// Clone returns the credentials, which have no state.
func (c trackedCredentials) Clone() credentials.TransportCredentials { return c }
