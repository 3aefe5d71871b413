package siblinggrpc

//go:generate protoc -I siblingpb --go_out=siblingpb --go_opt=paths=source_relative --go-grpc_out=siblingpb --go-grpc_opt=paths=source_relative siblingpb/gather.proto

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// ShardGatherer gathers the parts of some shards for a sibling.
type ShardGatherer interface {
	GatherShards(ctx context.Context, r sibling.GatherRequest) sibling.GatherReply
}

// RegisterGatherer adds the service that gathers parts for siblings to a gRPC server. Its handler is traffic: it does not
// use the control goroutine.
func RegisterGatherer(s grpc.ServiceRegistrar, g ShardGatherer) {
	siblingpb.RegisterGathererServer(s, &gathererServer{gatherer: g})
}

type gathererServer struct {
	siblingpb.UnimplementedGathererServer
	gatherer ShardGatherer
}

// Gather gathers the parts of the shards in the request.
func (s *gathererServer) Gather(ctx context.Context, m *siblingpb.GatherRequest) (*siblingpb.GatherReply, error) {
	r := sibling.GatherRequest{
		RequestID: string(m.GetRequestId()), Method: string(m.GetMethod()), RequestURI: string(m.GetRequestUri()), Path: string(m.GetPath()),
		Host:   string(m.GetHost()),
		Header: make(map[string][]string, len(m.GetHeader())), Body: m.GetBody(), Organisation: m.GetOrganisation(), KeyDigest: m.GetKeyDigest(),
		Shards: m.GetShards(), MaxAttempts: int(m.GetMaxAttempts()),
		Timeout: time.Duration(m.GetTimeoutUs()) * time.Microsecond, SoftTimeout: time.Duration(m.GetSoftTimeoutUs()) * time.Microsecond,
		Sender: m.GetSender(), SentAt: time.Duration(m.GetSentAtUs()) * time.Microsecond, TopRecords: sibling.UnknownTopRecords,
	}
	if m.TopRecords != nil {
		r.TopRecords = int(m.GetTopRecords())
	}
	for _, f := range m.GetHeader() {
		r.Header[string(f.GetName())] = decodeTexts(f.GetValues())
	}
	reply := s.gatherer.GatherShards(ctx, r)
	return &siblingpb.GatherReply{
		Declined: reply.Declined, Signatures: encodeTexts(reply.Signatures), Body: reply.Body, MayHaveRun: reply.MayHaveRun,
		RestLeftMs: reply.RestLeft.Milliseconds(),
	}, nil
}

// GatherShards asks the sibling at an address to gather parts. The error wraps sibling.ErrNotSent only if the sibling
// certainly did not receive the request.
func (c *Client) GatherShards(ctx context.Context, address string, r sibling.GatherRequest) (sibling.GatherReply, error) {
	m := &siblingpb.GatherRequest{
		RequestId: []byte(r.RequestID), Method: []byte(r.Method), RequestUri: []byte(r.RequestURI), Path: []byte(r.Path), Host: []byte(r.Host), Body: r.Body,
		Organisation: r.Organisation, KeyDigest: r.KeyDigest, Shards: r.Shards, MaxAttempts: uint32(max(r.MaxAttempts, 0)),
		TimeoutUs: r.Timeout.Microseconds(), SoftTimeoutUs: r.SoftTimeout.Microseconds(),
		Sender: r.Sender, SentAtUs: r.SentAt.Microseconds(),
	}
	if r.TopRecords != sibling.UnknownTopRecords {
		m.TopRecords = proto.Uint32(uint32(r.TopRecords))
	}
	for name, values := range r.Header {
		m.Header = append(m.Header, &siblingpb.HeaderField{Name: []byte(name), Values: encodeTexts(values)})
	}
	reply, err := callTracked(ctx, c, address, func(ctx context.Context, conn grpc.ClientConnInterface) (*siblingpb.GatherReply, error) {
		return siblingpb.NewGathererClient(conn).Gather(ctx, m)
	})
	if err != nil {
		return sibling.GatherReply{}, err
	}
	return sibling.GatherReply{
		Declined: reply.GetDeclined(), Signatures: decodeTexts(reply.GetSignatures()), Body: reply.GetBody(), MayHaveRun: reply.GetMayHaveRun(),
		RestLeft: time.Duration(reply.GetRestLeftMs()) * time.Millisecond,
	}, nil
}

func encodeTexts(texts []string) (out [][]byte) {
	for _, s := range texts {
		out = append(out, []byte(s))
	}
	return out
}

func decodeTexts(texts [][]byte) (out []string) {
	for _, b := range texts {
		out = append(out, string(b))
	}
	return out
}
