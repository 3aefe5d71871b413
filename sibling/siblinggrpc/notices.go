package siblinggrpc

//go:generate protoc -I siblingpb --go_out=siblingpb --go_opt=paths=source_relative --go-grpc_out=siblingpb --go-grpc_opt=paths=source_relative siblingpb/notices.proto

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
	"dogwooddrift.org/drift/targets"
)

// RegisterNotices adds the service for notices about targets to a gRPC server.
func RegisterNotices(s grpc.ServiceRegistrar, loop *control.Loop) {
	siblingpb.RegisterNoticeBoardServer(s, &noticesServer{loop: loop})
}

type noticesServer struct {
	siblingpb.UnimplementedNoticeBoardServer
	loop *control.Loop
}

// Tell accepts a sibling's notices.
func (n *noticesServer) Tell(_ context.Context, r *siblingpb.Notices) (*siblingpb.TellReply, error) {
	if !n.loop.Post(control.NoticesReceived{Notices: decodeNotices(r)}) {
		return nil, status.Error(codes.ResourceExhausted, "control queue is full")
	}
	return &siblingpb.TellReply{}, nil
}

// Ask returns the notices of this instance about the given targets.
func (n *noticesServer) Ask(ctx context.Context, r *siblingpb.AskRequest) (*siblingpb.Notices, error) {
	own, err := control.Ask(ctx, n.loop, func(reply chan<- targets.Notices) control.Event {
		return control.NoticesRequested{Targets: r.GetTargets(), Reply: reply}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return encodeNotices(own), nil
}

// SendNotices sends notices to a sibling.
func (c *Client) SendNotices(ctx context.Context, to sibling.Member, n targets.Notices) error {
	_, err := call(c, to.PeerAddress, func(conn grpc.ClientConnInterface) (*siblingpb.TellReply, error) {
		return siblingpb.NewNoticeBoardClient(conn).Tell(ctx, encodeNotices(n))
	})
	return err
}

// RequestNotices returns a sibling's notices about the given targets.
func (c *Client) RequestNotices(ctx context.Context, to sibling.Member, names []string) (targets.Notices, error) {
	reply, err := call(c, to.PeerAddress, func(conn grpc.ClientConnInterface) (*siblingpb.Notices, error) {
		return siblingpb.NewNoticeBoardClient(conn).Ask(ctx, &siblingpb.AskRequest{Targets: names})
	})
	if err != nil {
		return targets.Notices{}, err
	}
	return decodeNotices(reply), nil
}

func encodeNotices(n targets.Notices) *siblingpb.Notices {
	out := &siblingpb.Notices{}
	for _, w := range n.Warm {
		out.Warm = append(out.Warm, &siblingpb.WarmNotice{Target: w.Target, Incarnation: w.Incarnation})
	}
	for _, c := range n.Crashes {
		crash := &siblingpb.CrashNotice{Target: c.Target, Incarnation: c.Incarnation}
		for _, p := range c.Suspects {
			crash.Suspects = append(crash.Suspects, p[:])
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, q := range n.Quarantined {
		out.Quarantined = append(out.Quarantined, &siblingpb.QuarantineNotice{
			Fingerprint: q.Fingerprint[:], LeftMs: q.Remaining.Milliseconds(),
		})
	}
	for _, d := range n.Departures {
		out.Departures = append(out.Departures, &siblingpb.DepartureNotice{
			Target: d.Target, Incarnation: d.Incarnation, Address: d.Address, AgeMs: d.Age.Milliseconds(),
		})
	}
	return out
}

// decodeNotices skips fingerprints of the wrong length.
func decodeNotices(n *siblingpb.Notices) targets.Notices {
	var out targets.Notices
	for _, w := range n.GetWarm() {
		out.Warm = append(out.Warm, targets.WarmNotice{Target: w.GetTarget(), Incarnation: w.GetIncarnation()})
	}
	for _, c := range n.GetCrashes() {
		crash := targets.CrashNotice{Target: c.GetTarget(), Incarnation: c.GetIncarnation()}
		for _, b := range c.GetSuspects() {
			if len(b) == len(targets.Fingerprint{}) {
				crash.Suspects = append(crash.Suspects, targets.Fingerprint(b))
			}
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, q := range n.GetQuarantined() {
		if b := q.GetFingerprint(); len(b) == len(targets.Fingerprint{}) {
			out.Quarantined = append(out.Quarantined, targets.QuarantineNotice{
				Fingerprint: targets.Fingerprint(b), Remaining: time.Duration(q.GetLeftMs()) * time.Millisecond,
			})
		}
	}
	for _, d := range n.GetDepartures() {
		out.Departures = append(out.Departures, targets.DepartureNotice{
			Target: d.GetTarget(), Incarnation: d.GetIncarnation(), Address: d.GetAddress(), Age: time.Duration(d.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}
