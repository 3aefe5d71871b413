package siblinggrpc

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/document/documentjson"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
)

// Announce announces the revision of a value in force here to a sibling.
func (c *Client) Announce(ctx context.Context, self string, a sibling.Announce) error {
	request := &siblingpb.AnnounceRequest{Id: self, Value: encodeValue(a.Value), Revision: uint64(a.Revision)}
	if a.Difference != nil {
		request.Difference = encodeDifference(*a.Difference)
	}
	_, err := call(c, a.To.PeerAddress, func(conn grpc.ClientConnInterface) (*siblingpb.AnnounceReply, error) {
		return siblingpb.NewConfigurationClient(conn).Announce(ctx, request)
	})
	return err
}

// Fetch returns the differences from a revision to the one in force at the sibling.
func (c *Client) Fetch(ctx context.Context, f sibling.Fetch) ([]document.Difference, error) {
	reply, err := call(c, f.From.PeerAddress, func(conn grpc.ClientConnInterface) (*siblingpb.FetchReply, error) {
		return siblingpb.NewConfigurationClient(conn).Fetch(ctx, &siblingpb.FetchRequest{
			Value: encodeValue(f.Value), After: uint64(f.After),
		})
	})
	if err != nil {
		return nil, err
	}
	out := make([]document.Difference, 0, len(reply.GetDifferences()))
	for _, d := range reply.GetDifferences() {
		out = append(out, decodeDifference(d))
	}
	return out, nil
}

// Receiver turns differences from siblings into events of the control goroutine. It applies one set of differences at
// a time, since several siblings push the same difference at nearly the same time and a value can have a megabyte.
type Receiver struct {
	loop *control.Loop

	mu     sync.Mutex
	posted map[sibling.ValueKind]document.Revision // newest revision posted to the control goroutine
}

// NewReceiver returns a receiver that posts to loop.
func NewReceiver(loop *control.Loop) *Receiver {
	return &Receiver{loop: loop, posted: map[sibling.ValueKind]document.Revision{}}
}

// Receive applies differences to the value in force and posts the result. The error is document.ErrMismatch if the
// differences do not start from that value.
func (r *Receiver) Receive(from string, value sibling.ValueKind, differences []document.Difference) error {
	if len(differences) == 0 {
		return nil
	}
	last := differences[len(differences)-1]
	r.mu.Lock()
	defer r.mu.Unlock()
	current := currentValue(r.loop.Snapshot(), value)
	if !last.To.Supersedes(max(current.Revision, r.posted[value])) {
		return nil
	}
	content, err := current.ApplyAll(differences)
	if err != nil {
		return err
	}
	source := control.Source{Content: content, Differences: differences, SiblingID: from}
	event, err := decodeEvent(value, content, source)
	if err != nil {
		return err
	}
	if r.loop.Post(event) {
		r.posted[value] = last.To
	}
	return nil
}

// Fetch fetches a newer value from a sibling and posts it. If the differences do not match the value in force here,
// it fetches the whole value.
func (r *Receiver) Fetch(ctx context.Context, c *Client, f sibling.Fetch) error {
	err := r.fetchOnce(ctx, c, f)
	if errors.Is(err, document.ErrMismatch) && f.After != 0 {
		f.After = 0
		err = r.fetchOnce(ctx, c, f)
	}
	return err
}

func (r *Receiver) fetchOnce(ctx context.Context, c *Client, f sibling.Fetch) error {
	differences, err := c.Fetch(ctx, f)
	if err != nil {
		return err
	}
	return r.Receive(f.From.ID, f.Value, differences)
}

func currentValue(s *control.Snapshot, value sibling.ValueKind) document.ContentHistory {
	if value == sibling.Document {
		return s.DocumentHistory
	}
	return s.ListHistory
}

func decodeEvent(value sibling.ValueKind, content document.Content, source control.Source) (control.Event, error) {
	if value == sibling.Document {
		doc, err := documentjson.Document(content.Bytes)
		if err != nil {
			return nil, err
		}
		if doc.Revision != content.Revision {
			return nil, fmt.Errorf("%w: content encodes revision %d, expected %d", document.ErrMismatch, doc.Revision, content.Revision)
		}
		return control.DocumentRead{Document: doc, Source: source}, nil
	}
	list, err := documentjson.InstanceList(content.Bytes)
	if err != nil {
		return nil, err
	}
	if list.Revision != content.Revision {
		return nil, fmt.Errorf("%w: content encodes revision %d, expected %d", document.ErrMismatch, list.Revision, content.Revision)
	}
	return control.InstancesRead{List: list, Source: source}, nil
}

type configServer struct {
	siblingpb.UnimplementedConfigurationServer
	loop     *control.Loop
	receiver *Receiver
}

// Announce applies the difference if it matches the value in force. Otherwise the control goroutine fetches the
// announced revision.
func (s *configServer) Announce(_ context.Context, r *siblingpb.AnnounceRequest) (*siblingpb.AnnounceReply, error) {
	value, ok := decodeValue(r.GetValue())
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "unknown value")
	}
	if d := r.GetDifference(); d != nil {
		// The error can be ignored: if the difference does not apply, the control goroutine fetches the value.
		_ = s.receiver.Receive(r.GetId(), value, []document.Difference{decodeDifference(d)})
	}
	s.loop.Post(control.RevisionAnnounced{From: r.GetId(), Value: value, Revision: document.Revision(r.GetRevision())})
	return &siblingpb.AnnounceReply{}, nil
}

// Fetch answers from the published snapshot.
func (s *configServer) Fetch(_ context.Context, r *siblingpb.FetchRequest) (*siblingpb.FetchReply, error) {
	value, ok := decodeValue(r.GetValue())
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "unknown value")
	}
	differences, err := currentValue(s.loop.Snapshot(), value).DifferencesSince(document.Revision(r.GetAfter()))
	if err != nil {
		return nil, status.Error(codes.Internal, oops.In("sibling").Wrap(err).Error())
	}
	reply := &siblingpb.FetchReply{}
	for _, d := range differences {
		reply.Differences = append(reply.Differences, encodeDifference(d))
	}
	return reply, nil
}

func encodeValue(v sibling.ValueKind) siblingpb.Value {
	if v == sibling.Document {
		return siblingpb.Value_VALUE_DOCUMENT
	}
	return siblingpb.Value_VALUE_INSTANCE_LIST
}

func decodeValue(v siblingpb.Value) (sibling.ValueKind, bool) {
	switch v {
	case siblingpb.Value_VALUE_DOCUMENT:
		return sibling.Document, true
	case siblingpb.Value_VALUE_INSTANCE_LIST:
		return sibling.InstanceList, true
	default:
		return 0, false
	}
}

func encodeDifference(d document.Difference) *siblingpb.Difference {
	return &siblingpb.Difference{From: uint64(d.From), To: uint64(d.To), Sum: d.Checksum, Patch: d.Patch}
}

func decodeDifference(d *siblingpb.Difference) document.Difference {
	return document.Difference{
		From: document.Revision(d.GetFrom()), To: document.Revision(d.GetTo()), Checksum: d.GetSum(), Patch: d.GetPatch(),
	}
}
