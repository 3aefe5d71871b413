package siblinggrpc

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// Guards against a field that is lost in encoding: each decides whether tokens are counted twice.
func TestTokenMessagesSurviveEncoding(t *testing.T) {
	from := sibling.Member{ID: "a-1", Zone: "a", PeerAddress: "127.0.0.1:1"}
	dropped := []sibling.MembershipEpoch{{ID: "a-2", Epoch: 7}}
	request := sibling.CountRequest{From: from, Sequence: 3, Claims: []sibling.Claim{
		{Group: 2, Epoch: 9, Phase: sibling.PhaseActive, Dropped: dropped},
	}}
	if got := decodeCountRequest(encodeCountRequest(request)); !reflect.DeepEqual(got, request) {
		t.Errorf("request became %+v, want %+v", got, request)
	}
	reply := sibling.CountReply{From: from, Sequence: 4, Fraction: 0.25, DocumentRevision: 6, Acknowledgements: []sibling.Acknowledgement{
		{Group: 2, Epoch: 9, Counted: true, Void: true, ReplierPhase: sibling.PhaseJoining, ReplierEpoch: 5, Members: []sibling.Member{from}, Dropped: dropped},
	}}
	if got := decodeCountReply(encodeCountReply(reply)); !reflect.DeepEqual(got, reply) {
		t.Errorf("reply became %+v, want %+v", got, reply)
	}
	wants := []sibling.TokenTransfer{{
		Organisation: "host", Amount: 5, Lifetime: 300 * time.Millisecond, LoanID: 8, Settlements: []sibling.Settlement{{LoanID: 1, ReturnedTokens: 2}},
	}}
	if got := decodeAmounts(encodeAmounts(wants)); !reflect.DeepEqual(got, wants) {
		t.Errorf("wants became %+v, want %+v", got, wants)
	}
}

// BenchmarkMessageSize reports the encoded bytes of one exchange, without those of gRPC.
func BenchmarkMessageSize(b *testing.B) {
	from := sibling.Member{ID: "instance-0001", Zone: "zone-a", PeerAddress: "10.0.0.1:7000"}
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			request, reply := sibling.CountRequest{From: from, Sequence: 1 << 60}, sibling.CountReply{From: from, Sequence: 1 << 60, Fraction: 0.5, DocumentRevision: 9}
			for g := range n {
				request.Claims = append(request.Claims, sibling.Claim{Group: g, Epoch: 1 << 60, Phase: sibling.PhaseActive})
				reply.Acknowledgements = append(reply.Acknowledgements, sibling.Acknowledgement{
					Group: g, Epoch: 1 << 60, Counted: true, ReplierPhase: sibling.PhaseActive, ReplierEpoch: 1 << 60,
				})
			}
			for range b.N {
				b.ReportMetric(float64(proto.Size(encodeCountRequest(request))+proto.Size(encodeCountReply(reply))), "B/exchange")
			}
		})
	}
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			var wants, grants []sibling.TokenTransfer
			for i := range n {
				w := sibling.TokenTransfer{Organisation: fmt.Sprintf("organisation-%d", i), Amount: 20 * 1e9, Lifetime: 400 * time.Millisecond}
				grants = append(grants, w)
				grants[i].LoanID = 1 << 60
				w.Settlements = []sibling.Settlement{{LoanID: 1 << 60}}
				wants = append(wants, w)
			}
			for range b.N {
				size := proto.Size(&siblingpb.PullRequest{Wants: encodeAmounts(wants)}) + proto.Size(&siblingpb.PullReply{Grants: encodeAmounts(grants)})
				b.ReportMetric(float64(size), "B/exchange")
			}
		})
	}
}
