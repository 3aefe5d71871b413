package node

import (
	"context"
	"time"

	"dogwooddrift.org/drift/control"
)

const (
	claimTimeout   = 900 * time.Millisecond
	pullTimeout    = 250 * time.Millisecond
	confirmTimeout = time.Second
)

// claimMembership sends a membership claim to a sibling. The lease runs from the time before the claim was sent.
func (n *Node) claimMembership(ctx context.Context, e control.SendCount) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := n.siblings.ClaimMembership(ctx, e.SendCount)
	if err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("rates: membership claim failed")
		return
	}
	n.loop.Post(control.CountReplyReceived{Reply: reply, Sent: sent})
}

// pullTokens requests rate tokens from a sibling. Their lifetime runs from the time before the request was sent.
func (n *Node) pullTokens(ctx context.Context, e control.SendPull) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := n.siblings.PullTokens(ctx, e.SendPull)
	if err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("rates: token request failed")
		return
	}
	if len(reply.Grants) > 0 {
		n.loop.Post(control.PullReplyReceived{From: e.To.ID, Reply: reply, Sent: sent})
	}
}

// confirmInstances reads the instance list from the platform, not from a sibling, and posts the confirmation after the
// list itself.
func (n *Node) confirmInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := time.Now()
	list, content, err := n.platform.ReadInstances(ctx, 0, 0, confirmTimeout)
	if err != nil {
		n.log.Debug().Err(err).Msg("rates: reading the instance list from the platform failed")
		return
	}
	if list == nil {
		return
	}
	if n.loop.Post(control.InstancesRead{List: list, Source: n.newSource(n.loop.Snapshot().ListHistory, content, sent)}) {
		n.loop.Post(control.InstancesConfirmed{Revision: list.Revision, Sent: sent})
	}
}
