// Package siblinggrpc connects entry instances over gRPC. It contains the client for calls to siblings, and the servers
// that pass received messages to the control goroutine.
package siblinggrpc

//go:generate protoc -I siblingpb --go_out=siblingpb --go_opt=paths=source_relative --go-grpc_out=siblingpb --go-grpc_opt=paths=source_relative siblingpb/sibling.proto siblingpb/config.proto siblingpb/history.proto siblingpb/gossip.proto siblingpb/values.proto

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// Register adds the sibling and configuration services to a gRPC server. Their handlers communicate with the control
// goroutine through events.
func Register(s grpc.ServiceRegistrar, loop *control.Loop, receiver *Receiver) {
	siblingpb.RegisterSiblingServer(s, &siblingServer{loop: loop})
	siblingpb.RegisterConfigurationServer(s, &configServer{loop: loop, receiver: receiver})
}

type siblingServer struct {
	siblingpb.UnimplementedSiblingServer
	loop *control.Loop
}

// Exchange records a sibling's heartbeat and returns this instance's own.
func (s *siblingServer) Exchange(ctx context.Context, r *siblingpb.ExchangeRequest) (*siblingpb.ExchangeReply, error) {
	s.loop.Post(control.HeartbeatReceived{Heartbeat: decodeHeartbeat(r.GetHeartbeat())})
	own, err := control.Ask(ctx, s.loop, func(reply chan<- sibling.Heartbeat) control.Event {
		return control.BuildHeartbeat{Reply: reply}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &siblingpb.ExchangeReply{Heartbeat: encodeHeartbeat(own)}, nil
}

func encodeHeartbeat(h sibling.Heartbeat) *siblingpb.Heartbeat {
	return &siblingpb.Heartbeat{
		Id: h.ID, Zone: h.Zone, DocumentRevision: uint64(h.DocumentRevision), ListRevision: uint64(h.ListRevision),
		DirectAgeMs: encodeAge(h.DirectAge), ZoneAgeMs: encodeAge(h.ZoneAge), OutsideAgeMs: encodeAge(h.OutsideAge),
	}
}

func decodeHeartbeat(h *siblingpb.Heartbeat) sibling.Heartbeat {
	return sibling.Heartbeat{
		ID: h.GetId(), Zone: h.GetZone(),
		DocumentRevision: document.Revision(h.GetDocumentRevision()), ListRevision: document.Revision(h.GetListRevision()),
		DirectAge: decodeAge(h.DirectAgeMs), ZoneAge: decodeAge(h.ZoneAgeMs), OutsideAge: decodeAge(h.OutsideAgeMs),
	}
}

// encodeAge rounds up, so that a contact never looks newer than it is.
func encodeAge(age time.Duration) *uint64 {
	if age == sibling.NoContact {
		return nil
	}
	ms := uint64((age + time.Millisecond - 1) / time.Millisecond)
	return &ms
}

// maxAge replaces the age of every older contact. It keeps ages received from a sibling within the range of
// time.Duration.
const maxAge = 365 * 24 * time.Hour

func decodeAge(ms *uint64) time.Duration {
	if ms == nil {
		return sibling.NoContact
	}
	return time.Duration(min(*ms, uint64(maxAge/time.Millisecond))) * time.Millisecond
}
