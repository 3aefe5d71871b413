// Package siblinggrpc connects entry instances over gRPC.
package siblinggrpc

//go:generate protoc -I siblingpb --go_out=siblingpb --go_opt=paths=source_relative --go-grpc_out=siblingpb --go-grpc_opt=paths=source_relative siblingpb/sibling.proto

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// Register adds the sibling service to a gRPC server. Its handlers talk to the control goroutine by events.
func Register(s grpc.ServiceRegistrar, loop *control.Loop) {
	siblingpb.RegisterSiblingServer(s, &server{loop: loop})
}

type server struct {
	siblingpb.UnimplementedSiblingServer
	loop *control.Loop
}

// Exchange takes a sibling's heartbeat and returns our own.
func (s *server) Exchange(ctx context.Context, r *siblingpb.ExchangeRequest) (*siblingpb.ExchangeReply, error) {
	s.loop.Post(control.HeartbeatHeard{Heartbeat: decodeHeartbeat(r.GetHeartbeat())})
	own, err := control.Ask(ctx, s.loop, func(reply chan<- sibling.Heartbeat) control.Event {
		return control.OwnHeartbeat{Reply: reply}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &siblingpb.ExchangeReply{Heartbeat: encodeHeartbeat(own)}, nil
}

// Fetch returns the configuration in force.
func (s *server) Fetch(context.Context, *siblingpb.FetchRequest) (*siblingpb.FetchReply, error) {
	snapshot := s.loop.Snapshot()
	reply := &siblingpb.FetchReply{}
	var err error
	if snapshot.Document != nil {
		if reply.Document, err = json.Marshal(snapshot.Document); err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
	}
	if snapshot.List != nil {
		if reply.List, err = json.Marshal(snapshot.List); err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
	}
	return reply, nil
}

func encodeHeartbeat(h sibling.Heartbeat) *siblingpb.Heartbeat {
	return &siblingpb.Heartbeat{
		Id: h.ID, Zone: h.Zone, DocumentRevision: uint64(h.DocumentRevision), ListRevision: uint64(h.ListRevision),
	}
}

func decodeHeartbeat(h *siblingpb.Heartbeat) sibling.Heartbeat {
	return sibling.Heartbeat{
		ID: h.GetId(), Zone: h.GetZone(),
		DocumentRevision: platform.Revision(h.GetDocumentRevision()), ListRevision: platform.Revision(h.GetListRevision()),
	}
}
