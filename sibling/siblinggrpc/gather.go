package siblinggrpc

//go:generate protoc -I siblingpb --go_out=siblingpb --go_opt=paths=source_relative --go-grpc_out=siblingpb --go-grpc_opt=paths=source_relative siblingpb/gather.proto

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// ShardGatherer gathers the parts of some shards for a sibling.
type ShardGatherer interface {
	GatherShards(ctx context.Context, r sibling.GatherRequest, p sibling.GatherProgress) sibling.GatherReply
}

// headerConfirmed is the name of the metadata with which the receiver of a request confirms that it begins.
const headerConfirmed = "drift-confirmed"

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
	return encodeReply(s.gatherer.GatherShards(ctx, decodeRequest(m), sibling.GatherProgress{}), false), nil
}

// GatherParts gathers the parts of the shards in the request and sends those that have arrived ahead of late ones.
func (s *gathererServer) GatherParts(stream grpc.BidiStreamingServer[siblingpb.GatherMessage, siblingpb.GatherReply]) error {
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	r := decodeRequest(m.GetRequest())
	proceed := make(chan struct{})
	if r.StartWithin > 0 {
		go func() {
			// The stream ends without the message if the sender has asked another instance.
			if m, err := stream.Recv(); err == nil && m.GetProceed() {
				close(proceed)
			}
		}()
	}
	reply := s.gatherer.GatherShards(stream.Context(), r, sibling.GatherProgress{
		Proceed: proceed,
		Confirm: func() {
			// A confirmation that cannot be sent is one that the sender misses.
			_ = stream.SendHeader(metadata.Pairs(headerConfirmed, "1"))
		},
		Partial: func(r sibling.GatherReply) {
			// If this fails, the stream has ended, and so does its context.
			_ = stream.Send(encodeReply(r, true))
		},
	})
	return stream.Send(encodeReply(reply, false))
}

func decodeRequest(m *siblingpb.GatherRequest) sibling.GatherRequest {
	r := sibling.GatherRequest{
		RequestID: string(m.GetRequestId()), Method: string(m.GetMethod()), RequestURI: string(m.GetRequestUri()), Path: string(m.GetPath()),
		Host:   string(m.GetHost()),
		Header: make(map[string][]string, len(m.GetHeader())), Body: m.GetBody(), Organisation: m.GetOrganisation(), KeyDigest: m.GetKeyDigest(),
		Shards: m.GetShards(), MaxAttempts: int(m.GetMaxAttempts()),
		Timeout: time.Duration(m.GetTimeoutUs()) * time.Microsecond, SoftTimeout: time.Duration(m.GetSoftTimeoutUs()) * time.Microsecond,
		Sender: m.GetSender(), SentAt: time.Duration(m.GetSentAtUs()) * time.Microsecond, TopRecords: sibling.UnknownTopRecords,
		StartWithin: time.Duration(m.GetStartWithinUs()) * time.Microsecond, Repeated: m.GetRepeated(), MaxMissing: sibling.UnknownMaxMissing,
	}
	if m.TopRecords != nil {
		r.TopRecords = int(m.GetTopRecords())
	}
	if m.MaxMissing != nil {
		r.MaxMissing = int(m.GetMaxMissing())
	}
	if risk := m.GetLateRisk(); risk >= 0 && risk <= 1 {
		r.LateRisk = risk
	}
	for _, f := range m.GetHeader() {
		r.Header[string(f.GetName())] = decodeTexts(f.GetValues())
	}
	return r
}

func encodeRequest(r sibling.GatherRequest) *siblingpb.GatherRequest {
	m := &siblingpb.GatherRequest{
		RequestId: []byte(r.RequestID), Method: []byte(r.Method), RequestUri: []byte(r.RequestURI), Path: []byte(r.Path), Host: []byte(r.Host), Body: r.Body,
		Organisation: r.Organisation, KeyDigest: r.KeyDigest, Shards: r.Shards, MaxAttempts: uint32(max(r.MaxAttempts, 0)),
		TimeoutUs: r.Timeout.Microseconds(), SoftTimeoutUs: r.SoftTimeout.Microseconds(),
		Sender: r.Sender, SentAtUs: r.SentAt.Microseconds(), StartWithinUs: r.StartWithin.Microseconds(), Repeated: r.Repeated,
		LateRisk: proto.Float64(r.LateRisk),
	}
	if r.TopRecords != sibling.UnknownTopRecords {
		m.TopRecords = proto.Uint32(uint32(r.TopRecords))
	}
	if r.MaxMissing != sibling.UnknownMaxMissing {
		m.MaxMissing = proto.Uint32(uint32(r.MaxMissing))
	}
	for name, values := range r.Header {
		m.Header = append(m.Header, &siblingpb.HeaderField{Name: []byte(name), Values: encodeTexts(values)})
	}
	return m
}

func encodeReply(r sibling.GatherReply, partial bool) *siblingpb.GatherReply {
	return &siblingpb.GatherReply{
		Declined: r.Declined, Signatures: encodeTexts(r.Signatures), Body: r.Body, MayHaveRun: r.MayHaveRun,
		RestLeftMs: r.RestLeft.Milliseconds(), Partial: partial,
	}
}

func decodeReply(m *siblingpb.GatherReply) sibling.GatherReply {
	return sibling.GatherReply{
		Declined: m.GetDeclined(), Signatures: decodeTexts(m.GetSignatures()), Body: m.GetBody(), MayHaveRun: m.GetMayHaveRun(),
		RestLeft: time.Duration(m.GetRestLeftMs()) * time.Millisecond,
	}
}

// GatherShards asks the sibling at an address to gather parts. partial gets the parts that the sibling sends ahead of its
// reply. The error wraps sibling.ErrNotSent only if the sibling certainly did not receive the request, and
// sibling.ErrNotConfirmed if r.StartWithin is set and the sibling did not confirm within it that it began.
func (c *Client) GatherShards(ctx context.Context, address string, r sibling.GatherRequest, partial func(sibling.GatherReply)) (sibling.GatherReply, error) {
	return callTracked(ctx, c, address, func(ctx context.Context, conn grpc.ClientConnInterface) (sibling.GatherReply, error) {
		return gather(ctx, conn, encodeRequest(r), r.StartWithin, partial)
	})
}

// gather makes the call. It cancels the call if it is neither confirmed nor answered within a time above 0.
func gather(ctx context.Context, conn grpc.ClientConnInterface, m *siblingpb.GatherRequest, startWithin time.Duration, partial func(sibling.GatherReply)) (sibling.GatherReply, error) {
	sentAt := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := func() bool { return true }
	if startWithin > 0 {
		stop = afterFunc(startWithin, cancel)
	}
	defer stop()
	confirmedAfter := time.Duration(0)
	failed := func(err error) (sibling.GatherReply, error) {
		if startWithin > 0 && confirmedAfter == 0 {
			err = fmt.Errorf("%w: %w", sibling.ErrNotConfirmed, err)
		}
		return sibling.GatherReply{}, err
	}
	stream, err := siblingpb.NewGathererClient(conn).GatherParts(ctx)
	if err != nil {
		return failed(err)
	}
	// If the stream has broken, Recv returns the cause.
	_ = stream.Send(&siblingpb.GatherMessage{Request: m})
	header, err := stream.Header()
	if !stop() {
		// What has arrived must not be used: the group is asked for again.
		return failed(context.Cause(ctx))
	}
	if err == nil && len(header.Get(headerConfirmed)) > 0 {
		confirmedAfter = time.Since(sentAt)
		if startWithin > 0 {
			_ = stream.Send(&siblingpb.GatherMessage{Proceed: true})
		}
	}
	_ = stream.CloseSend()
	for {
		reply, err := stream.Recv()
		if status.Code(err) == codes.Unimplemented && !m.GetRepeated() {
			return gatherWhole(ctx, conn, m)
		}
		if err != nil {
			return failed(err)
		}
		out := decodeReply(reply)
		out.ConfirmedAfter = confirmedAfter
		if reply.GetPartial() {
			partial(out)
			continue
		}
		end := time.AfterFunc(maxEndWait, cancel)
		_, _ = stream.Recv() // takes the end of the stream in, so that the call is not cancelled
		end.Stop()
		return out, nil
	}
}

// gatherWhole makes the call to a sibling of an older version, which sends no parts ahead and confirms nothing. It would not
// pay the sends of a repeated request from the retry budget, so it is not to be asked for such a one.
func gatherWhole(ctx context.Context, conn grpc.ClientConnInterface, m *siblingpb.GatherRequest) (sibling.GatherReply, error) {
	reply, err := siblingpb.NewGathererClient(conn).Gather(ctx, m)
	if err != nil {
		return sibling.GatherReply{}, err
	}
	return decodeReply(reply), nil
}

// maxEndWait bounds the wait for the end of a call whose reply is there. It usually arrives in the same packet; a sibling with a
// part of a core may be stopped in between for 80 ms.
const maxEndWait = 2 * time.Millisecond

// ownLag is how late a timer may fire before the delay counts as this process's own: then what it waits for may have arrived
// without having been read.
const ownLag = 5 * time.Millisecond

// afterFunc calls f after d, and later by d if the timer itself fired late. stop prevents the call and reports whether it did; f is
// not called after stop has returned. f must not block.
func afterFunc(d time.Duration, f func()) (stop func() bool) {
	var mu sync.Mutex
	due := time.Now().Add(d)
	ended, extended := false, false
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(d, func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ended:
		case !extended && time.Since(due) > ownLag:
			extended = true
			timer.Reset(d)
		default:
			ended = true
			f()
		}
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		prevented := !ended
		ended = true
		timer.Stop()
		return prevented
	}
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
