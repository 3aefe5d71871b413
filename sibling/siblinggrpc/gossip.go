package siblinggrpc

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dogwooddrift.org/drift/control/loop"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// RoutingLoop is the control loop of an instance that forwards requests.
type RoutingLoop = loop.Loop[routing.Event, routing.Effect, routing.Snapshot]

// RegisterGossip adds the gossip service to a gRPC server. Its handler communicates with the control goroutine
// through events.
func RegisterGossip(s grpc.ServiceRegistrar, l *RoutingLoop) {
	siblingpb.RegisterGossipServer(s, &gossipServer{loop: l})
}

type gossipServer struct {
	siblingpb.UnimplementedGossipServer
	loop *RoutingLoop
}

// Exchange applies a sibling's gossip message and returns this instance's own. The reply to an older process, which does not fetch
// values, also holds those that it lacks.
func (s *gossipServer) Exchange(ctx context.Context, m *siblingpb.GossipMessage) (*siblingpb.GossipMessage, error) {
	received := decodeGossipMessage(m)
	own, err := loop.Ask(ctx, s.loop, func(reply chan<- routing.GossipMessage) routing.Event {
		return routing.GossipReceived{Message: received, Reply: reply}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := encodeGossipMessage(own)
	if !m.GetNoValues() && len(received.MemberStates) > 0 {
		update, err := requestUpdate(ctx, s.loop, routing.ValuesRequested{After: received.MemberStates[0].CompleteTo})
		if err != nil {
			return nil, err
		}
		if reply.Update, err = encodeGossipUpdate(update); err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
	}
	return reply, nil
}

// ExchangeGossip sends this instance's gossip message to a sibling and returns the sibling's.
func (c *Client) ExchangeGossip(ctx context.Context, address string, message routing.GossipMessage) (routing.GossipMessage, error) {
	m := encodeGossipMessage(message)
	reply, err := call(c, address, func(conn grpc.ClientConnInterface) (*siblingpb.GossipMessage, error) {
		return siblingpb.NewGossipClient(conn).Exchange(ctx, m)
	})
	if err != nil {
		return routing.GossipMessage{}, err
	}
	return decodeGossipMessage(reply), nil
}

func encodeGossipMessage(message routing.GossipMessage) *siblingpb.GossipMessage {
	out := &siblingpb.GossipMessage{NoValues: true, LimitSharers: uint32(max(message.LimitSharers, 0)), Notices: encodeNotices(message.Notices)}
	out.Organisations = organisations(message.MemberStates)
	for _, state := range message.MemberStates {
		out.MemberStates = append(out.MemberStates, encodeMemberState(state, out.Organisations))
	}
	return out
}

// encodeGossipUpdate encodes the values in a reply to an older process.
func encodeGossipUpdate(u routing.Update) (*siblingpb.Update, error) {
	out := &siblingpb.Update{FromRevision: uint64(u.From.Revision), ToRevision: uint64(u.To.Revision), Full: u.Full}
	if len(u.Changes) == 0 {
		return out, nil
	}
	text, err := json.Marshal(u.Changes)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	out.Changes = text
	return out, nil
}

// organisations returns the names of all organisations for which the states contain a demand. The message holds this
// one list because most states name the same organisations: a separate list for each state would make up most of the
// message.
func organisations(states []sibling.MemberState) []string {
	names := map[string]bool{}
	for _, state := range states {
		for name := range state.Demand {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func encodeMemberState(state sibling.MemberState, organisations []string) *siblingpb.MemberState {
	out := &siblingpb.MemberState{
		Id: state.ID, Zone: state.Zone, Address: state.Address, Generation: state.Generation, Sequence: state.Sequence, Leaving: state.Leaving,
		Cores: float32(state.Cores), CompleteTo: uint64(state.CompleteTo.Revision), History: encodeHistory(state.CompleteTo.History),
		Retained: state.Retained, StoreAgeMs: encodeAge(state.PlatformAge),
		OutsideAgeMs: encodeAge(state.OutsideAge), SpendsForMs: uint64((max(state.SpendsFor, 0) + time.Millisecond - 1) / time.Millisecond),
	}
	for i, name := range organisations {
		if demand := state.Demand[name]; demand > 0 {
			out.DemandOf, out.Demand = append(out.DemandOf, uint32(i)), append(out.Demand, float32(demand))
		}
	}
	return out
}

// decodeGossipMessage decodes a message without its values.
func decodeGossipMessage(m *siblingpb.GossipMessage) routing.GossipMessage {
	out := routing.GossipMessage{LimitSharers: decodeSharers(m.GetLimitSharers()), Notices: decodeNotices(m.GetNotices())}
	for _, b := range m.GetMemberStates() {
		state := sibling.MemberState{
			ID: b.GetId(), Zone: b.GetZone(), Address: b.GetAddress(), Generation: b.GetGeneration(), Sequence: b.GetSequence(),
			Leaving: b.GetLeaving(), CompleteTo: decodePosition(b.GetHistory(), b.GetCompleteTo()), Retained: b.GetRetained(), PlatformAge: decodeAge(b.StoreAgeMs),
			OutsideAge: decodeAge(b.OutsideAgeMs), SpendsFor: decodeSpendsFor(b.GetSpendsForMs()), Cores: decodeCores(b.GetCores()), Demand: make(map[string]float64, len(b.GetDemand())),
		}
		for i, index := range b.GetDemandOf() {
			if int64(index) >= int64(len(m.GetOrganisations())) || i >= len(b.GetDemand()) {
				continue
			}
			// A demand that is negative or no number would spoil the division of the rate.
			if demand := float64(b.GetDemand()[i]); demand >= 0 && !math.IsInf(demand, 0) {
				state.Demand[m.GetOrganisations()[index]] = demand
			}
		}
		out.MemberStates = append(out.MemberStates, state)
	}
	return out
}

// decodeGossipUpdate decodes the values in the reply of an older process. A change that cannot be decoded or is invalid becomes a
// change without content, as it does for an instance that reads it from the platform: refusing all of them would keep this instance
// from following the others for as long as the odd one exists.
func decodeGossipUpdate(u *siblingpb.Update) (routing.Update, error) {
	out := routing.Update{
		From: decodePosition(nil, u.GetFromRevision()), To: decodePosition(nil, u.GetToRevision()), Full: u.GetFull(),
		EncodedBytes: len(u.GetChanges()),
	}
	if len(u.GetChanges()) == 0 {
		return out, nil
	}
	var changes []json.RawMessage
	if err := json.Unmarshal(u.GetChanges(), &changes); err != nil {
		return routing.Update{}, fmt.Errorf("decode changes: %w", err)
	}
	for _, raw := range changes {
		if c := decodeChange(raw); c.Kind != "" && c.Revision != 0 {
			out.Changes = append(out.Changes, c)
		}
	}
	return out, nil
}

// maxSharers and maxSpendsFor bound what an odd message can claim: the parts of this instance would shrink, or those of one
// that is gone stay unused.
const (
	maxSharers   = 10_000
	maxSpendsFor = time.Minute
)

func decodeSharers(n uint32) int { return int(min(n, maxSharers)) }

func decodeSpendsFor(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxSpendsFor/time.Millisecond))) * time.Millisecond
}

// decodeCores returns 0, unknown, for a value that is no part of a core.
func decodeCores(cores float32) float64 {
	if c := float64(cores); c >= 0 && !math.IsInf(c, 0) {
		return c
	}
	return 0
}

// decodeChange decodes a change. It leaves out the content if that cannot be decoded or is invalid.
func decodeChange(raw json.RawMessage) routing.Change {
	var c routing.Change
	err := json.Unmarshal(raw, &c)
	if c.Target != nil && (err != nil || c.Target.Validate() != nil) {
		c.Target = nil
	}
	if c.Routing != nil && (err != nil || c.Routing.Index() != nil) {
		c.Routing = nil
	}
	return c
}

// GossipTimeout bounds a gossip exchange. It allows a few round trips between regions; an exchange that takes longer
// is worth less than the next one.
const GossipTimeout = 600 * time.Millisecond
