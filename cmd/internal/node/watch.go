package node

import (
	"context"
	"time"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/platform"
)

const (
	watchWait       = 10 * time.Second
	watchRetry      = 200 * time.Millisecond
	watchCallMargin = 2 * time.Second
)

func (n *Node) watchDocument(ctx context.Context) error {
	return watch(ctx, n, "document", n.platform.Document, func(d *platform.Document) platform.Revision {
		n.loop.Post(control.DocumentRead{Document: d})
		return d.Revision
	})
}

func (n *Node) watchInstances(ctx context.Context) error {
	return watch(ctx, n, "instances", n.platform.Instances, func(l *platform.InstanceList) platform.Revision {
		n.loop.Post(control.InstancesRead{List: l})
		return l.Revision
	})
}

type read[T any] func(ctx context.Context, after platform.Revision, wait time.Duration) (*T, error)

// watch reads a value of the platform again and again, each time waiting for a newer revision.
func watch[T any](ctx context.Context, n *Node, what string, read read[T], deliver func(*T) platform.Revision) error {
	var seen platform.Revision
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchCallMargin)
		value, err := read(callCtx, seen, watchWait)
		cancel()
		if err != nil {
			n.log.Debug().Str("value", what).Err(err).Msg("platform: read failed")
			pause(ctx, watchRetry)
			continue
		}
		if value == nil {
			continue
		}
		if revision := deliver(value); revision.Supersedes(seen) {
			seen = revision
		} else {
			pause(ctx, watchRetry)
		}
	}
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
