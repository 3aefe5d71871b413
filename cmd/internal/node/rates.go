package node

import (
	"context"
	"time"

	"dogwooddrift.org/drift/control"
)

const (
	countTimeout   = 900 * time.Millisecond
	pullTimeout    = 250 * time.Millisecond
	confirmTimeout = time.Second
)

// count claims membership. The lease counts from before the claim was sent.
func (n *Node) count(ctx context.Context, e control.SendCount) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := n.siblings.ClaimMembership(ctx, e.SendCount)
	if err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("rates: no acknowledgement")
		return
	}
	n.loop.Post(control.CountReplyReceived{Reply: reply, Sent: sent})
}

// pull asks for tokens. Their life counts from before the request was sent.
func (n *Node) pull(ctx context.Context, e control.SendPull) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := n.siblings.PullTokens(ctx, e.SendPull)
	if err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("rates: no tokens")
		return
	}
	if len(reply.Grants) > 0 {
		n.loop.Post(control.PullReplyReceived{From: e.To.ID, Reply: reply, Sent: sent})
	}
}

// confirmInstances reads the instance list from the platform itself.
func (n *Node) confirmInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := time.Now()
	list, content, err := n.platform.ReadInstances(ctx, 0, 0, confirmTimeout)
	if err != nil {
		n.log.Debug().Err(err).Msg("rates: platform did not confirm the instance list")
		return
	}
	if list == nil {
		return
	}
	if n.loop.Post(control.InstancesRead{List: list, Source: n.source(n.loop.Snapshot().ListHistory, content, sent)}) {
		n.loop.Post(control.InstancesConfirmed{Revision: list.Revision, Sent: sent})
	}
}
