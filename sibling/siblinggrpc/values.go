package siblinggrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"dogwooddrift.org/drift/control/loop"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
	"dogwooddrift.org/drift/targets"
)

const (
	// valuesStallLimit is how long a transfer of values may bring nothing before it is given up. One that goes on is not: a sibling on a
	// small part of a core may need seconds for a large configuration.
	valuesStallLimit = 3 * time.Second
	// maxTransferTime is how long a sibling keeps a transfer whose receiver is gone.
	maxTransferTime = time.Minute
	// maxMessageElements bounds the values, or routes, services and organisations, in one message of a transfer, so that a slow
	// transfer shows that it goes on.
	maxMessageElements = 128
	// maxTransferBytes bounds a transfer. A full fleet has about 2 MB of values.
	maxTransferBytes = 32 << 20
)

// RegisterValues adds the service that hands values to siblings to a gRPC server. Its handler asks the control goroutine for the
// values and encodes them itself.
func RegisterValues(s grpc.ServiceRegistrar, l *RoutingLoop) {
	siblingpb.RegisterValuesServer(s, &valuesServer{loop: l})
}

type valuesServer struct {
	siblingpb.UnimplementedValuesServer
	loop  *RoutingLoop
	parts partCache
}

// Fetch sends the changes that the sibling lacks.
func (s *valuesServer) Fetch(r *siblingpb.FetchValuesRequest, stream grpc.ServerStreamingServer[siblingpb.ValuesMessage]) error {
	update, err := requestUpdate(stream.Context(), s.loop, routing.ValuesRequested{
		After: decodePosition(r.GetHistory(), r.GetAfter()), RoutingVersion: document.Revision(r.GetRoutingVersion()),
		Retained: r.GetRetained(), AcceptsUnchanged: r.GetAcceptsUnchanged(),
	})
	if err != nil {
		return err
	}
	messages, err := encodeUpdate(update, &s.parts)
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	for _, m := range messages {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// requestUpdate asks the control goroutine for the changes that a sibling lacks. The error is a gRPC status.
func requestUpdate(ctx context.Context, l *RoutingLoop, request routing.ValuesRequested) (routing.Update, error) {
	update, err := loop.Ask(ctx, l, func(reply chan<- routing.Update) routing.Event {
		request.Reply = reply
		return request
	})
	if err != nil {
		return routing.Update{}, status.Error(codes.Unavailable, err.Error())
	}
	return update, nil
}

// FetchValues fetches the values that this instance lacks from a sibling. It goes on as long as the sibling sends something, and
// calls progressed each time. Errors wrap sibling.ErrNoReply or sibling.ErrNotSent.
func (c *Client) FetchValues(ctx context.Context, f routing.FetchValues, progressed func()) (routing.Update, error) {
	update, err := c.fetchOnce(ctx, f, progressed)
	if errors.Is(err, document.ErrMismatch) && f.Routing != nil {
		f.Routing = nil
		update, err = c.fetchOnce(ctx, f, progressed)
	}
	if errors.Is(err, document.ErrMismatch) {
		err = fmt.Errorf("%w: %w", sibling.ErrNoReply, err)
	}
	return update, err
}

func (c *Client) fetchOnce(ctx context.Context, f routing.FetchValues, progressed func()) (routing.Update, error) {
	received, err := call(c, f.Address, func(conn grpc.ClientConnInterface) (*receivedValues, error) {
		received, err := receiveValues(ctx, conn, f, progressed)
		if status.Code(err) == codes.Unimplemented {
			return exchangeForValues(ctx, conn, f)
		}
		return received, err
	})
	if err != nil {
		return routing.Update{}, err
	}
	return received.finish(f.Routing)
}

// receiveValues receives a transfer.
func receiveValues(ctx context.Context, conn grpc.ClientConnInterface, f routing.FetchValues, progressed func()) (*receivedValues, error) {
	ctx, end := context.WithTimeout(ctx, maxTransferTime)
	defer end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(valuesStallLimit, func() { cancel(errStalled) })
	defer stall.Stop()
	stream, err := siblingpb.NewValuesClient(conn).Fetch(ctx, &siblingpb.FetchValuesRequest{
		After: uint64(f.After.Revision), History: encodeHistory(f.After.History), RoutingVersion: uint64(versionOf(f.Routing)),
		Retained: f.Retained, AcceptsUnchanged: true,
	})
	if err != nil {
		return nil, err
	}
	received := &receivedValues{}
	for {
		m, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return received, nil
		case errors.Is(context.Cause(ctx), errStalled):
			return nil, status.Error(codes.DeadlineExceeded, errStalled.Error())
		case err != nil:
			return nil, err
		}
		stall.Reset(valuesStallLimit)
		progressed()
		if received.add(m); received.update.EncodedBytes > maxTransferBytes {
			return nil, status.Error(codes.ResourceExhausted, "transfer of values is too large")
		}
	}
}

// errStalled means that a transfer brought nothing for valuesStallLimit.
var errStalled = errors.New("transfer of values stalled")

func versionOf(r *document.Routing) document.Revision {
	if r == nil {
		return 0
	}
	return r.Version
}

// exchangeForValues gets the values from an older process, which sends them whole in its replies to gossip.
func exchangeForValues(ctx context.Context, conn grpc.ClientConnInterface, f routing.FetchValues) (*receivedValues, error) {
	ctx, cancel := context.WithTimeout(ctx, valuesStallLimit)
	defer cancel()
	m := encodeGossipMessage(routing.GossipMessage{MemberStates: []sibling.MemberState{f.Self}})
	m.NoValues = false
	reply, err := siblingpb.NewGossipClient(conn).Exchange(ctx, m)
	if err != nil {
		return nil, err
	}
	update, err := decodeGossipUpdate(reply.GetUpdate())
	if err != nil {
		return nil, err
	}
	return &receivedValues{update: update}, nil
}

// receivedValues collects the messages of a transfer.
type receivedValues struct {
	update routing.Update
	// routing holds the differences of the last change of the routing, whose index in the update is routingAt.
	routing   []document.RoutingDifference
	routingAt int
	// err is set if a part of a difference cannot be decoded: without it, the others lead to another routing.
	err error
}

// add adds the content of a message. Odd changes are left out, and those with odd content become changes without content, as they do
// for an instance that reads them from the platform.
func (r *receivedValues) add(m *siblingpb.ValuesMessage) {
	r.update.EncodedBytes += proto.Size(m)
	if e := m.GetExtent(); e != nil {
		r.update.From, r.update.To = decodePosition(e.GetFromHistory(), e.GetFromRevision()), decodePosition(e.GetToHistory(), e.GetToRevision())
		if e.GetKnownRevision() > 0 {
			r.update.Known = decodePosition(e.GetFromHistory(), e.GetKnownRevision())
		}
		r.update.Full, r.update.Lapsed = e.GetFull(), e.GetLapsed()
	}
	for _, x := range m.GetUnchanged() {
		for i, name := range x.GetNames() {
			r.update.Unchanged = append(r.update.Unchanged, routing.ValueID{Kind: routing.Kind(x.GetKind()), Name: name})
			if i < len(x.GetRevisions()) {
				r.update.UnchangedAt = append(r.update.UnchangedAt, decodePosition(x.GetHistory(), x.GetRevisions()[i]))
			}
		}
	}
	for _, x := range m.GetChanges() {
		c := routing.Change{
			Kind: routing.Kind(x.GetKind()), Name: x.GetName(), Revision: document.Revision(x.GetRevision()), History: decodeHistory(x.GetHistory()),
			Removed: x.GetRemoved(), Lapsed: x.GetLapsed(), Retained: x.GetRetained(),
			Origin: decodePosition(x.GetOriginHistory(), x.GetOriginRevision()),
		}
		if c.Kind == "" || c.Revision == 0 {
			continue
		}
		if x.GetRegistration() != nil {
			if t := decodeRegistration(c.Name, x.GetRegistration()); t.Validate() == nil {
				c.Target = t
			}
		}
		if len(x.GetRouting()) == 0 {
			r.update.Changes = append(r.update.Changes, c)
			continue
		}
		d, err := decodeRoutingDifference(x.GetRouting())
		if err != nil {
			r.err = fmt.Errorf("%w: %w", document.ErrMismatch, err)
			return
		}
		r.addRouting(c, d)
	}
}

// addRouting adds a part of the differences that lead to a routing.
func (r *receivedValues) addRouting(c routing.Change, d document.RoutingDifference) {
	if len(r.routing) == 0 || r.update.Changes[r.routingAt].At() != c.At() {
		r.routing, r.routingAt = nil, len(r.update.Changes)
		r.update.Changes = append(r.update.Changes, c)
	}
	if last := len(r.routing) - 1; last >= 0 && r.routing[last].From == d.From && r.routing[last].To == d.To {
		whole := &r.routing[last]
		whole.Routes, whole.Services, whole.Accounts = append(whole.Routes, d.Routes...), append(whole.Services, d.Services...), append(whole.Accounts, d.Accounts...)
		return
	}
	r.routing = append(r.routing, d)
}

// finish returns the update. base is the routing that the differences were requested for. The error is document.ErrMismatch if they
// do not apply to it, or if it is not known which positions the unchanged values have.
func (r *receivedValues) finish(base *document.Routing) (routing.Update, error) {
	if r.err != nil {
		return routing.Update{}, r.err
	}
	if n := len(r.update.UnchangedAt); n > 0 && n != len(r.update.Unchanged) {
		return routing.Update{}, fmt.Errorf("%w: %d positions of %d unchanged values", document.ErrMismatch, n, len(r.update.Unchanged))
	}
	if len(r.routing) == 0 {
		return r.update, nil
	}
	next, err := document.ApplyRouting(base, r.routing)
	switch {
	case errors.Is(err, document.ErrInvalidRouting):
		// A change without content: the earlier routing stays in force.
	case err != nil:
		return routing.Update{}, err
	default:
		c := &r.update.Changes[r.routingAt]
		c.Routing, c.Differences = next, r.routing
	}
	return r.update, nil
}

// encodeUpdate returns the messages of a transfer.
func encodeUpdate(u routing.Update, parts *partCache) ([]*siblingpb.ValuesMessage, error) {
	out := []*siblingpb.ValuesMessage{{
		Extent: &siblingpb.ValuesExtent{
			FromRevision: uint64(u.From.Revision), FromHistory: encodeHistory(u.From.History), ToRevision: uint64(u.To.Revision),
			ToHistory: encodeHistory(u.To.History), KnownRevision: uint64(u.Known.Revision), Full: u.Full, Lapsed: u.Lapsed,
		},
	}}
	elements := 0 // in the last message
	// last returns the message that n more elements go into.
	last := func(n int) *siblingpb.ValuesMessage {
		if elements > 0 && elements+n > maxMessageElements {
			out, elements = append(out, &siblingpb.ValuesMessage{}), 0
		}
		elements += n
		return out[len(out)-1]
	}
	add := func(c *siblingpb.ValueChange, n int) {
		m := last(n)
		m.Changes = append(m.Changes, c)
	}
	for i := range u.Changes {
		c := &u.Changes[i]
		if c.Routing == nil {
			add(encodeChange(c), 1)
			continue
		}
		chain := c.Differences
		if len(chain) == 0 {
			chain = []document.RoutingDifference{document.DiffRouting(nil, c.Routing)}
		}
		for j := range chain {
			encoded, err := parts.encode(&chain[j])
			if err != nil {
				return nil, fmt.Errorf("encode routing version %d: %w", chain[j].To, err)
			}
			for _, part := range encoded {
				x := encodeChange(c)
				x.Routing = part.text
				add(x, part.elements)
			}
		}
	}
	for _, x := range encodeUnchanged(&u) {
		m := last(len(x.Names))
		m.Unchanged = append(m.Unchanged, x)
	}
	return out, nil
}

// encodeUnchanged encodes the names of the unchanged values of an update, and their positions if it has them.
func encodeUnchanged(u *routing.Update) []*siblingpb.UnchangedValues {
	type group struct {
		kind    routing.Kind
		history document.History
	}
	var out []*siblingpb.UnchangedValues
	open := map[group]*siblingpb.UnchangedValues{} // with room for more names
	for i, id := range u.Unchanged {
		at := document.Position{}
		if i < len(u.UnchangedAt) {
			at = u.UnchangedAt[i]
		}
		g := group{id.Kind, at.History}
		x := open[g]
		if x == nil || len(x.Names) == maxMessageElements {
			x = &siblingpb.UnchangedValues{Kind: string(id.Kind), History: encodeHistory(at.History)}
			open[g], out = x, append(out, x)
		}
		x.Names = append(x.Names, id.Name)
		if len(u.UnchangedAt) > 0 {
			x.Revisions = append(x.Revisions, uint64(at.Revision))
		}
	}
	return out
}

// encodeHistory returns nil for the first history.
func encodeHistory(h document.History) *siblingpb.History {
	if h == (document.History{}) {
		return nil
	}
	return &siblingpb.History{Era: h.Era, Rewind: h.Rewind}
}

func decodeHistory(h *siblingpb.History) document.History {
	return document.History{Era: h.GetEra(), Rewind: h.GetRewind()}
}

func decodePosition(h *siblingpb.History, revision uint64) document.Position {
	return document.Position{History: decodeHistory(h), Revision: document.Revision(revision)}
}

// encodeChange encodes a change without its routing.
func encodeChange(c *routing.Change) *siblingpb.ValueChange {
	out := &siblingpb.ValueChange{
		Kind: string(c.Kind), Name: c.Name, Revision: uint64(c.Revision), History: encodeHistory(c.History), Removed: c.Removed, Lapsed: c.Lapsed,
		Retained: c.Retained, OriginHistory: encodeHistory(c.Origin.History), OriginRevision: uint64(c.Origin.Revision),
	}
	if c.Target != nil {
		out.Registration = encodeRegistration(c.Target)
	}
	return out
}

func encodeRegistration(t *targets.Registration) *siblingpb.Registration {
	return &siblingpb.Registration{
		Service: t.Service, Zone: t.Zone, Address: t.Address, Slots: int32(t.Slots), Draining: t.Draining, Incarnation: t.Incarnation,
		Sequence: t.Sequence, ColdForNs: int64(t.ColdFor),
	}
}

func decodeRegistration(id string, t *siblingpb.Registration) *targets.Registration {
	return &targets.Registration{
		ID: id, Service: t.GetService(), Zone: t.GetZone(), Address: t.GetAddress(), Slots: int(t.GetSlots()), Draining: t.GetDraining(),
		Incarnation: t.GetIncarnation(), Sequence: t.GetSequence(), ColdFor: time.Duration(t.GetColdForNs()),
	}
}
