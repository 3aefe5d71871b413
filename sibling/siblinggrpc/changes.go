package siblinggrpc

//go:generate protoc -I siblingpb --go_out=siblingpb --go_opt=paths=source_relative --go-grpc_out=siblingpb --go-grpc_opt=paths=source_relative siblingpb/changes.proto

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// reconnectParams keeps the backoff for a restarted sibling short; with gRPC's defaults it starts at a second and
// rises to two minutes.
var reconnectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
	MinConnectTimeout: 500 * time.Millisecond,
}

// maxHandOverReplyBytes is large enough for a full change log; gRPC's default is 4 MB.
const maxHandOverReplyBytes = 32 << 20

// sendTracker records in a call's context that the call's headers were queued for sending. The message follows the
// headers, so a call without queued headers did not reach the sibling.
type sendTracker struct{}

// sentKey is the context key of the flag that sendTracker sets.
type sentKey struct{}

func (sendTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sendTracker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sendTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sendTracker) HandleConn(context.Context, stats.ConnStats) {}

// callChanges makes a call to a sibling. Its error wraps sibling.ErrNotSent only if the sibling certainly did not
// receive the message.
func callChanges[Q, R any](ctx context.Context, c *Client, to sibling.Member, request Q,
	method func(siblingpb.ChangesClient, context.Context, Q, ...grpc.CallOption) (R, error),
) (R, error) {
	return callTracked(ctx, c, to.PeerAddress, func(ctx context.Context, conn grpc.ClientConnInterface) (R, error) {
		return method(siblingpb.NewChangesClient(conn), ctx, request)
	})
}

// callTracked makes a call to the sibling at an address. Its error wraps sibling.ErrNotSent only if the sibling certainly did
// not receive the message.
func callTracked[R any](ctx context.Context, c *Client, address string, method func(context.Context, grpc.ClientConnInterface) (R, error)) (R, error) {
	var zero R
	conn, err := c.acquire(address)
	if err != nil {
		return zero, err
	}
	var sent atomic.Bool
	reply, err := method(context.WithValue(ctx, sentKey{}, &sent), conn)
	c.release(address, conn, err)
	switch {
	case err == nil:
		return reply, nil
	case !sent.Load():
		return zero, oops.In("sibling").Wrapf(sibling.ErrNotSent, "%v", err)
	default:
		return zero, translate(err)
	}
}

// RunChange forwards a change to its home instance.
func (c *Client) RunChange(ctx context.Context, to sibling.Member, r sibling.ChangeRequest) (sibling.ChangeReply, error) {
	reply, err := callChanges(ctx, c, to, &siblingpb.RunChangeRequest{
		RequestId: r.RequestID, Organisation: r.Organisation, Service: r.Service, IdempotencyKey: r.IdempotencyKey,
		KeyDigest: r.KeyDigest, Body: r.Body, TimeoutNs: int64(r.Timeout),
	}, siblingpb.ChangesClient.RunChange)
	if err != nil {
		return sibling.ChangeReply{}, err
	}
	out := sibling.ChangeReply{Moved: reply.GetMoved(), RequestID: reply.GetRequestId(), Reply: reply.GetReply()}
	if f := reply.GetRefused(); f != nil {
		out.Refused = &sibling.ChangeRefusal{
			Code: f.GetCode(), Ran: f.GetRan(), Message: f.GetMessage(), RetryAfter: time.Duration(f.GetRetryAfterNs()),
		}
	}
	return out, nil
}

// RecordChange asks a witness to record a change.
func (c *Client) RecordChange(ctx context.Context, to sibling.Member, home string, r sibling.ChangeRecord) (sibling.WitnessResult, error) {
	reply, err := callChanges(ctx, c, to, &siblingpb.RecordChangeRequest{Home: home, Record: encodeRecord(r)}, siblingpb.ChangesClient.RecordChange)
	if err != nil {
		return sibling.WitnessResult{}, err
	}
	out := sibling.WitnessResult{Verdict: sibling.Verdict(reply.GetVerdict())}
	if reply.GetRecord() != nil {
		if out.Record, err = decodeRecord(reply.GetRecord()); err != nil {
			return sibling.WitnessResult{}, oops.In("sibling").Wrapf(sibling.ErrNoReply, "%v", err)
		}
	}
	return out, nil
}

// HandOver sends records of changes and returns those in the reply.
func (c *Client) HandOver(ctx context.Context, h sibling.HandOver) ([]sibling.ChangeRecord, error) {
	request := &siblingpb.HandOverRequest{From: h.From, Leaving: h.Leaving, Arriving: h.Arriving}
	for _, r := range h.Records {
		request.Records = append(request.Records, encodeRecord(r))
	}
	handOver := func(client siblingpb.ChangesClient, ctx context.Context, r *siblingpb.HandOverRequest, _ ...grpc.CallOption) (*siblingpb.HandOverReply, error) {
		return client.HandOver(ctx, r, grpc.MaxCallRecvMsgSize(maxHandOverReplyBytes))
	}
	reply, err := callChanges(ctx, c, h.To, request, handOver)
	if err != nil {
		return nil, err
	}
	records, err := decodeRecords(reply.GetRecords())
	if err != nil {
		return nil, oops.In("sibling").Wrapf(sibling.ErrNoReply, "%v", err)
	}
	return records, nil
}

// ChangeRunner runs changes at their home instance.
type ChangeRunner interface {
	RunChange(ctx context.Context, r sibling.ChangeRequest) sibling.ChangeReply
}

// RegisterChanges adds the service for changes to a gRPC server.
func RegisterChanges(s grpc.ServiceRegistrar, loop *control.Loop, runner ChangeRunner) {
	siblingpb.RegisterChangesServer(s, &changesServer{loop: loop, runner: runner})
}

type changesServer struct {
	siblingpb.UnimplementedChangesServer
	loop   *control.Loop
	runner ChangeRunner
}

// RunChange runs a change, forwarded by a sibling, as its home instance.
func (s *changesServer) RunChange(ctx context.Context, r *siblingpb.RunChangeRequest) (*siblingpb.RunChangeReply, error) {
	reply := s.runner.RunChange(ctx, sibling.ChangeRequest{
		RequestID: r.GetRequestId(), Organisation: r.GetOrganisation(), Service: r.GetService(),
		IdempotencyKey: r.GetIdempotencyKey(), KeyDigest: r.GetKeyDigest(), Body: r.GetBody(),
		Timeout: time.Duration(r.GetTimeoutNs()),
	})
	out := &siblingpb.RunChangeReply{Moved: reply.Moved, RequestId: reply.RequestID, Reply: reply.Reply}
	if f := reply.Refused; f != nil {
		out.Refused = &siblingpb.ChangeRefusal{Code: f.Code, Ran: f.Ran, Message: f.Message, RetryAfterNs: int64(f.RetryAfter)}
	}
	return out, nil
}

// RecordChange records a change as its witness.
func (s *changesServer) RecordChange(ctx context.Context, r *siblingpb.RecordChangeRequest) (*siblingpb.RecordChangeReply, error) {
	record, err := decodeRecord(r.GetRecord())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	w, err := control.Ask(ctx, s.loop, func(reply chan<- sibling.WitnessResult) control.Event {
		return control.WitnessChange{Home: r.GetHome(), Record: record, Reply: reply}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &siblingpb.RecordChangeReply{Verdict: siblingpb.ChangeVerdict(w.Verdict)}
	if w.Verdict == sibling.VerdictKnown || w.Verdict == sibling.VerdictOtherBody {
		out.Record = encodeRecord(w.Record)
	}
	return out, nil
}

// HandOver merges a sibling's records and replies to an arriving sibling with the records that it must hold.
func (s *changesServer) HandOver(ctx context.Context, r *siblingpb.HandOverRequest) (*siblingpb.HandOverReply, error) {
	records, err := decodeRecords(r.GetRecords())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	message := sibling.HandOver{From: r.GetFrom(), Leaving: r.GetLeaving(), Arriving: r.GetArriving(), Records: records}
	replyRecords, err := control.Ask(ctx, s.loop, func(reply chan<- []sibling.ChangeRecord) control.Event {
		return control.HandOverReceived{Message: message, Reply: reply}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &siblingpb.HandOverReply{}
	for _, record := range replyRecords {
		out.Records = append(out.Records, encodeRecord(record))
	}
	return out, nil
}

func encodeRecord(r sibling.ChangeRecord) *siblingpb.ChangeRecord {
	return &siblingpb.ChangeRecord{
		Key: r.Key[:], Body: r.BodyDigest[:], Owner: r.Attempt.Owner, Attempt: r.Attempt.Number,
		Outcome: siblingpb.ChangeOutcome(r.Outcome), RequestId: r.RequestID, Reply: r.Reply,
		ReplyDropped: r.ReplyDropped, AgeNs: int64(r.Age),
	}
}

func decodeRecord(r *siblingpb.ChangeRecord) (sibling.ChangeRecord, error) {
	out := sibling.ChangeRecord{
		Attempt: sibling.Attempt{Owner: r.GetOwner(), Number: r.GetAttempt()},
		Outcome: sibling.ChangeOutcome(r.GetOutcome()), RequestID: r.GetRequestId(), Reply: r.GetReply(),
		ReplyDropped: r.GetReplyDropped(), Age: time.Duration(r.GetAgeNs()),
	}
	if copy(out.Key[:], r.GetKey()) != len(out.Key) || copy(out.BodyDigest[:], r.GetBody()) != len(out.BodyDigest) {
		return out, fmt.Errorf("change record has a key of %d bytes and a body digest of %d bytes", len(r.GetKey()), len(r.GetBody()))
	}
	return out, nil
}

func decodeRecords(in []*siblingpb.ChangeRecord) ([]sibling.ChangeRecord, error) {
	out := make([]sibling.ChangeRecord, 0, len(in))
	for _, r := range in {
		d, err := decodeRecord(r)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}
