package node

import (
	"context"
	"time"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

const (
	announceTimeout = 2 * time.Second
	fetchTimeout    = 2 * time.Second
)

// readPlatform performs one read of the platform and posts its outcome. Control decides when the next one is due.
func (n *Node) readPlatform(ctx context.Context, e control.ReadPlatform) {
	sent := time.Now()
	event, err := n.readValue(ctx, e, sent)
	if err != nil {
		n.log.Debug().Stringer("value", e.Value).Err(err).Msg("platform: read failed")
		event = control.PlatformReadFailed{Value: e.Value}
	}
	n.loop.Post(event)
}

func (n *Node) readValue(ctx context.Context, e control.ReadPlatform, sent time.Time) (control.Event, error) {
	if e.Value == sibling.Document {
		document, content, err := n.platform.ReadDocument(ctx, e.After, e.Wait, e.ReplyTimeout)
		if err != nil {
			return nil, err
		}
		if document == nil || !document.Revision.Supersedes(e.After) {
			return control.PlatformUnchanged{Value: e.Value, Sent: sent, Stale: document != nil}, nil
		}
		return control.DocumentRead{Document: document, Source: n.source(n.loop.Snapshot().DocumentHistory, content, sent)}, nil
	}
	list, content, err := n.platform.ReadInstances(ctx, e.After, e.Wait, e.ReplyTimeout)
	if err != nil {
		return nil, err
	}
	if list == nil || !list.Revision.Supersedes(e.After) {
		return control.PlatformUnchanged{Value: e.Value, Sent: sent, Stale: list != nil}, nil
	}
	return control.InstancesRead{List: list, Source: n.source(n.loop.Snapshot().ListHistory, content, sent)}, nil
}

// source makes the difference that siblings get, on the goroutine of the read: it takes some milliseconds.
func (n *Node) source(held document.ContentHistory, content document.Content, sent time.Time) control.Source {
	source := control.Source{Content: content, Sent: sent}
	if held.Revision == 0 || !content.Revision.Supersedes(held.Revision) {
		return source
	}
	d, err := document.Diff(held.Content, content)
	if err != nil {
		n.log.Warn().Err(err).Msg("platform: no difference made, siblings get the whole value")
		return source
	}
	source.Differences = []document.Difference{d}
	return source
}

func (n *Node) announce(ctx context.Context, e control.Announce) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := n.siblings.Announce(ctx, n.settings.ID, e.Announce); err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("sibling: announcement failed")
	}
}

// fetch brings a newer value from a sibling.
func (n *Node) fetch(ctx context.Context, e control.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := n.receiver.Fetch(ctx, n.siblings, e.Fetch); err != nil {
		n.log.Debug().Str("sibling", e.From.ID).Err(err).Msg("sibling: no configuration")
	}
	n.loop.Post(control.FetchEnded{Fetch: e})
}
