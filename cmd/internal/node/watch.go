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

// readPlatform performs one read of the platform and posts its outcome. Control schedules the next read.
func (n *Node) readPlatform(ctx context.Context, e control.ReadPlatform) {
	sent := time.Now()
	event, err := n.readValue(ctx, e, sent)
	if err != nil {
		n.log.Debug().Stringer("value", e.Value).Err(err).Msg("platform: read failed")
		event = control.PlatformReadFailed{Value: e.Value}
	}
	n.loop.Post(event)
}

// readValue reads the document or the instance list and returns the event for control.
func (n *Node) readValue(ctx context.Context, e control.ReadPlatform, sent time.Time) (control.Event, error) {
	if e.Value == sibling.Document {
		document, content, err := n.platform.ReadDocument(ctx, e.After, e.Wait, e.ReplyTimeout)
		if err != nil {
			return nil, err
		}
		if document == nil || !document.Revision.Supersedes(e.After) {
			return control.PlatformUnchanged{Value: e.Value, Sent: sent, Stale: document != nil}, nil
		}
		return control.DocumentRead{Document: document, Source: n.newSource(n.loop.Snapshot().DocumentHistory, content, sent)}, nil
	}
	list, content, err := n.platform.ReadInstances(ctx, e.After, e.Wait, e.ReplyTimeout)
	if err != nil {
		return nil, err
	}
	if list == nil || !list.Revision.Supersedes(e.After) {
		return control.PlatformUnchanged{Value: e.Value, Sent: sent, Stale: list != nil}, nil
	}
	return control.InstancesRead{List: list, Source: n.newSource(n.loop.Snapshot().ListHistory, content, sent)}, nil
}

// newSource returns the source of a value that was read from the platform, with the difference from current for the
// siblings. Computing the difference takes some milliseconds, so it happens on the goroutine of the read and not on the
// control loop.
func (n *Node) newSource(current document.ContentHistory, content document.Content, sent time.Time) control.Source {
	source := control.Source{Content: content, Sent: sent}
	if current.Revision == 0 || !content.Revision.Supersedes(current.Revision) {
		return source
	}
	d, err := document.Diff(current.Content, content)
	if err != nil {
		n.log.Warn().Err(err).Msg("platform: computing the difference failed; siblings receive the whole value")
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

// fetch reads a newer document or instance list from a sibling.
func (n *Node) fetch(ctx context.Context, e control.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := n.receiver.Fetch(ctx, n.siblings, e.Fetch); err != nil {
		n.log.Debug().Str("sibling", e.From.ID).Err(err).Msg("sibling: fetching the configuration failed")
	}
	n.loop.Post(control.FetchEnded{Fetch: e})
}
