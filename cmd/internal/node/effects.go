package node

import (
	"context"
	"sync"
	"time"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/targets"
)

const (
	statusTimeout = time.Second
	// siblingTimeout bounds a heartbeat and a message about notices.
	siblingTimeout = 500 * time.Millisecond
)

// executor carries out control's effects. Those that wait for I/O each run on their own goroutine.
type executor struct {
	ctx     context.Context
	node    *Node
	running sync.WaitGroup
}

func newExecutor(ctx context.Context, n *Node) *executor {
	return &executor{ctx: ctx, node: n}
}

func (x *executor) start(f func()) { x.running.Go(f) }

func (x *executor) wait() { x.running.Wait() }

// Execute starts the effect and returns without waiting for its outcome.
func (x *executor) Execute(effect control.Effect) {
	n := x.node
	switch e := effect.(type) {
	case control.ReadTargetStatus:
		x.start(func() { n.readTargetStatus(x.ctx, e) })
	case control.LimitTargetConnections:
		n.transport.Limit(e.Address, e.Connections)
	case control.SendNotices:
		x.start(func() { n.sendNotices(x.ctx, e) })
	case control.RequestNotices:
		x.start(func() { n.requestNotices(x.ctx, e) })
	case control.SendHeartbeat:
		x.start(func() { n.sendHeartbeat(x.ctx, e) })
	case control.Announce:
		x.start(func() { n.announce(x.ctx, e) })
	case control.Fetch:
		x.start(func() { n.fetch(x.ctx, e) })
	case control.SendCount:
		x.start(func() { n.claimMembership(x.ctx, e) })
	case control.SendPull:
		x.start(func() { n.pullTokens(x.ctx, e) })
	case control.ConfirmInstances:
		x.start(func() { n.confirmInstances(x.ctx) })
	case control.HandOver:
		n.handOversInFlight.start()
		x.start(func() { defer n.handOversInFlight.end(); n.sendHandOver(x.ctx, e.HandOver) })
	case control.ReadPlatform:
		x.start(func() { n.readPlatform(x.ctx, e) })
	case control.LogStateChange:
		n.requestLog.LogStateChange(e.Subject, e.Name, "", e.Old, e.New, e.Source)
	case control.ValueRejected:
		n.log.Warn().Err(e.Err).Msg("platform: value refused")
	}
}

func (n *Node) sendNotices(ctx context.Context, e control.SendNotices) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	if err := n.siblings.SendNotices(ctx, e.To, e.Notices); err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("sibling: notices not delivered")
	}
}

func (n *Node) requestNotices(ctx context.Context, e control.RequestNotices) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	notices, err := n.siblings.RequestNotices(ctx, e.To, e.Targets)
	if err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("sibling: request for notices failed")
		return
	}
	n.loop.Post(control.NoticesReceived{Notices: notices})
}

// ReportLeg posts the outcome of a leg to the control loop. The report is dropped if the event queue is full.
func (n *Node) ReportLeg(r targets.LegReport) { n.loop.Post(control.LegReported{Report: r}) }

func (n *Node) readTargetStatus(ctx context.Context, e control.ReadTargetStatus) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := n.targets.Status(ctx, e.Address)
	if err != nil {
		n.loop.Post(control.TargetStatusFailed{ID: e.ID})
		return
	}
	n.loop.Post(control.TargetStatusRead{ID: e.ID, Status: status})
}

func (n *Node) sendHeartbeat(ctx context.Context, e control.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	sent := time.Now()
	h, err := n.siblings.Exchange(ctx, e.To, e.Heartbeat)
	if err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("sibling: heartbeat failed")
		return
	}
	n.loop.Post(control.HeartbeatReplyReceived{Heartbeat: h, Sent: sent})
}
