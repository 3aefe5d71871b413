package node

import (
	"context"
	"sync"
	"time"

	"dogwooddrift.org/drift/control"
)

const (
	statusInterval  = 250 * time.Millisecond
	statusTimeout   = time.Second
	exchangeTimeout = 500 * time.Millisecond
)

// executor carries out control's effects on goroutines of their own.
type executor struct {
	ctx     context.Context
	node    *Node
	running sync.WaitGroup
	polls   map[string]context.CancelFunc // used by the control goroutine only
}

func newExecutor(ctx context.Context, n *Node) *executor {
	return &executor{ctx: ctx, node: n, polls: map[string]context.CancelFunc{}}
}

func (x *executor) start(f func()) { x.running.Go(f) }

func (x *executor) wait() { x.running.Wait() }

// Execute starts the effect and returns at once.
func (x *executor) Execute(effect control.Effect) {
	n := x.node
	switch e := effect.(type) {
	case control.PollTarget:
		x.forget(e.ID)
		ctx, cancel := context.WithCancel(x.ctx)
		x.polls[e.ID] = cancel
		x.start(func() { n.pollTarget(ctx, e) })
	case control.ForgetTarget:
		x.forget(e.ID)
	case control.Exchange:
		x.start(func() { n.exchange(x.ctx, e) })
	case control.Announce:
		x.start(func() { n.announce(x.ctx, e) })
	case control.Fetch:
		x.start(func() { n.fetch(x.ctx, e) })
	case control.SendCount:
		x.start(func() { n.count(x.ctx, e) })
	case control.SendPull:
		x.start(func() { n.pull(x.ctx, e) })
	case control.ConfirmInstances:
		x.start(func() { n.confirmInstances(x.ctx) })
	case control.HandOver:
		n.handOvers.start()
		x.start(func() { defer n.handOvers.end(); n.handOver(x.ctx, e.HandOver) })
	case control.ReadPlatform:
		x.start(func() { n.readPlatform(x.ctx, e) })
	case control.Refused:
		n.log.Warn().Err(e.Err).Msg("platform: value refused")
	}
}

func (x *executor) forget(id string) {
	if cancel := x.polls[id]; cancel != nil {
		cancel()
		delete(x.polls, id)
	}
}

// pollTarget reads a target's status until ctx ends.
func (n *Node) pollTarget(ctx context.Context, e control.PollTarget) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		n.readStatus(ctx, e)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) readStatus(ctx context.Context, e control.PollTarget) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := n.targets.Status(ctx, e.Address)
	if err != nil {
		n.loop.Post(control.TargetLost{ID: e.ID})
		return
	}
	n.loop.Post(control.TargetStatus{ID: e.ID, Status: status})
}

func (n *Node) exchange(ctx context.Context, e control.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	h, err := n.siblings.Exchange(ctx, e.To, e.Heartbeat)
	if err != nil {
		n.log.Debug().Str("sibling", e.To.ID).Err(err).Msg("sibling: no heartbeat")
		return
	}
	n.loop.Post(control.HeartbeatAnswered{Heartbeat: h, Sent: sent})
}
