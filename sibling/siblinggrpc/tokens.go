package siblinggrpc

//go:generate protoc -I siblingpb --go_out=siblingpb --go_opt=paths=source_relative --go-grpc_out=siblingpb --go-grpc_opt=paths=source_relative siblingpb/tokens.proto

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

// RegisterTokens adds the service for rate shares to a gRPC server.
func RegisterTokens(s grpc.ServiceRegistrar, loop *control.Loop) {
	siblingpb.RegisterTokensServer(s, &tokensServer{loop: loop})
}

type tokensServer struct {
	siblingpb.UnimplementedTokensServer
	loop *control.Loop
}

// Count passes a sibling's claims to the control goroutine.
func (s *tokensServer) Count(ctx context.Context, r *siblingpb.CountRequest) (*siblingpb.CountReply, error) {
	request := decodeCountRequest(r)
	reply, err := control.Ask(ctx, s.loop, func(reply chan<- sibling.CountReply) control.Event {
		return control.CountRequestReceived{Request: request, Reply: reply}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return encodeCountReply(reply), nil
}

// Pull passes a request for tokens to the control goroutine.
func (s *tokensServer) Pull(ctx context.Context, r *siblingpb.PullRequest) (*siblingpb.PullReply, error) {
	request := sibling.PullRequest{Wants: decodeAmounts(r.GetWants())}
	reply, err := control.Ask(ctx, s.loop, func(reply chan<- sibling.PullReply) control.Event {
		return control.PullRequestReceived{Request: request, Reply: reply}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &siblingpb.PullReply{Grants: encodeAmounts(reply.Grants)}, nil
}

// ClaimMembership sends claims of membership and returns the reply.
func (c *Client) ClaimMembership(ctx context.Context, e sibling.SendCount) (sibling.CountReply, error) {
	reply, err := call(c, e.To.PeerAddress, func(conn grpc.ClientConnInterface) (*siblingpb.CountReply, error) {
		return siblingpb.NewTokensClient(conn).Count(ctx, encodeCountRequest(e.Request))
	})
	if err != nil {
		return sibling.CountReply{}, err
	}
	return decodeCountReply(reply), nil
}

// PullTokens sends a request for tokens and returns the reply.
func (c *Client) PullTokens(ctx context.Context, e sibling.SendPull) (sibling.PullReply, error) {
	reply, err := call(c, e.To.PeerAddress, func(conn grpc.ClientConnInterface) (*siblingpb.PullReply, error) {
		return siblingpb.NewTokensClient(conn).Pull(ctx, &siblingpb.PullRequest{Wants: encodeAmounts(e.Request.Wants)})
	})
	if err != nil {
		return sibling.PullReply{}, err
	}
	return sibling.PullReply{Grants: decodeAmounts(reply.GetGrants())}, nil
}

func encodeAmounts(in []sibling.TokenTransfer) []*siblingpb.Amount {
	out := make([]*siblingpb.Amount, len(in))
	for i, w := range in {
		out[i] = &siblingpb.Amount{
			Organisation: w.Organisation, Nano: int64(w.Amount), LifeMs: uint32(w.Lifetime.Milliseconds()), Loan: w.LoanID,
		}
		for _, s := range w.Settlements {
			out[i].Settled = append(out[i].Settled, &siblingpb.Settlement{Loan: s.LoanID, Returned: s.ReturnedTokens})
		}
	}
	return out
}

func decodeAmounts(in []*siblingpb.Amount) []sibling.TokenTransfer {
	out := make([]sibling.TokenTransfer, len(in))
	for i, a := range in {
		out[i] = sibling.TokenTransfer{
			Organisation: a.GetOrganisation(), Amount: sibling.Amount(a.GetNano()),
			Lifetime: time.Duration(a.GetLifeMs()) * time.Millisecond, LoanID: a.GetLoan(),
		}
		for _, s := range a.GetSettled() {
			out[i].Settlements = append(out[i].Settlements, sibling.Settlement{LoanID: s.GetLoan(), ReturnedTokens: s.GetReturned()})
		}
	}
	return out
}

func encodeMember(m sibling.Member) *siblingpb.TokenMember {
	return &siblingpb.TokenMember{Id: m.ID, Zone: m.Zone, PeerAddress: m.PeerAddress}
}

func decodeMember(m *siblingpb.TokenMember) sibling.Member {
	return sibling.Member{ID: m.GetId(), Zone: m.GetZone(), PeerAddress: m.GetPeerAddress()}
}

func encodeEpochs(in []sibling.MembershipEpoch) []*siblingpb.TokenEpoch {
	var out []*siblingpb.TokenEpoch
	for _, e := range in {
		out = append(out, &siblingpb.TokenEpoch{Id: e.ID, Epoch: e.Epoch})
	}
	return out
}

func decodeEpochs(in []*siblingpb.TokenEpoch) []sibling.MembershipEpoch {
	var out []sibling.MembershipEpoch
	for _, e := range in {
		out = append(out, sibling.MembershipEpoch{ID: e.GetId(), Epoch: e.GetEpoch()})
	}
	return out
}

func encodeCountRequest(r sibling.CountRequest) *siblingpb.CountRequest {
	out := &siblingpb.CountRequest{From: encodeMember(r.From), Order: r.Sequence}
	for _, c := range r.Claims {
		out.Claims = append(out.Claims, &siblingpb.Claim{
			Group: uint32(c.Group), Epoch: c.Epoch, Phase: uint32(c.Phase), Dropped: encodeEpochs(c.Dropped),
		})
	}
	return out
}

func decodeCountRequest(r *siblingpb.CountRequest) sibling.CountRequest {
	out := sibling.CountRequest{From: decodeMember(r.GetFrom()), Sequence: r.GetOrder()}
	for _, c := range r.GetClaims() {
		out.Claims = append(out.Claims, sibling.Claim{
			Group: int(c.GetGroup()), Epoch: c.GetEpoch(), Phase: sibling.Phase(c.GetPhase()), Dropped: decodeEpochs(c.GetDropped()),
		})
	}
	return out
}

func encodeCountReply(r sibling.CountReply) *siblingpb.CountReply {
	out := &siblingpb.CountReply{From: encodeMember(r.From), Order: r.Sequence, Fraction: r.Fraction, DocumentRevision: uint64(r.DocumentRevision)}
	for _, a := range r.Acknowledgements {
		ack := &siblingpb.Acknowledgement{
			Group: uint32(a.Group), Epoch: a.Epoch, Counted: a.Counted, Void: a.Void, Phase: uint32(a.ReplierPhase),
			Own: a.ReplierEpoch, Dropped: encodeEpochs(a.Dropped),
		}
		for _, m := range a.Members {
			ack.Members = append(ack.Members, encodeMember(m))
		}
		out.Acknowledgements = append(out.Acknowledgements, ack)
	}
	return out
}

func decodeCountReply(r *siblingpb.CountReply) sibling.CountReply {
	out := sibling.CountReply{From: decodeMember(r.GetFrom()), Sequence: r.GetOrder(), Fraction: r.GetFraction(), DocumentRevision: document.Revision(r.GetDocumentRevision())}
	for _, a := range r.GetAcknowledgements() {
		ack := sibling.Acknowledgement{
			Group: int(a.GetGroup()), Epoch: a.GetEpoch(), Counted: a.GetCounted(), Void: a.GetVoid(),
			ReplierPhase: sibling.Phase(a.GetPhase()), ReplierEpoch: a.GetOwn(), Dropped: decodeEpochs(a.GetDropped()),
		}
		for _, m := range a.GetMembers() {
			ack.Members = append(ack.Members, decodeMember(m))
		}
		out.Acknowledgements = append(out.Acknowledgements, ack)
	}
	return out
}
