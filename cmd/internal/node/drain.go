package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"dogwooddrift.org/drift/cmd/internal/shutdown"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/sibling"
)

const (
	handOverTimeout = 2 * time.Second
	// maxParallelHandOvers bounds the concurrent change-record messages of an instance that is shutting down.
	maxParallelHandOvers = 64
)

// drain shuts the instance down gracefully: it reports unready, serves on for the notice time, refuses new requests,
// hands its change records to the siblings, waits for the requests in flight and closes the listeners. It returns early
// when abort ends.
func (n *Node) drain(abort context.Context, callers *http.Server, peers *grpc.Server) {
	n.log.Info().Dur("notice", n.settings.Drain.Notice).Msg("node: draining")
	drainEvent := func(reply chan<- struct{}) control.Event { return control.Drain{Reply: reply} }
	_, _ = control.Ask(abort, n.loop, drainEvent)
	shutdown.Sleep(abort, n.settings.Drain.Notice)
	limitCtx, cancel := context.WithTimeout(abort, n.settings.Drain.Limit)
	defer cancel()
	finished := n.tier.Drain()
	n.leaveMembership(limitCtx)
	select {
	case <-finished:
	case <-limitCtx.Done():
		n.log.Warn().Msg("node: requests still in flight at the drain limit")
	}
	// The reply to this second event proves that the control loop has started the effects of all earlier events.
	_, _ = control.Ask(limitCtx, n.loop, drainEvent)
	n.handOversInFlight.wait(limitCtx)
	shutdown.AwaitQuiet(limitCtx, n.tier.LastArrival)
	if err := callers.Shutdown(limitCtx); err != nil {
		_ = callers.Close()
	}
	cancelStop := context.AfterFunc(limitCtx, peers.Stop)
	peers.GracefulStop()
	cancelStop()
}

// leaveMembership sends this instance's change records and the notice that it leaves to the siblings.
func (n *Node) leaveMembership(ctx context.Context) {
	messages, err := control.Ask(ctx, n.loop, func(reply chan<- []sibling.HandOver) control.Event {
		return control.LeaveMembership{Reply: reply}
	})
	if err != nil {
		n.log.Warn().Err(err).Msg("node: leaving the membership failed")
		return
	}
	var group errgroup.Group
	group.SetLimit(maxParallelHandOvers)
	for _, m := range messages {
		group.Go(func() error { n.sendHandOver(ctx, m); return nil })
	}
	_ = group.Wait()
}

// sendHandOver sends change records to a sibling, without retries: each record has a second holder, which still has the
// records that are not delivered.
func (n *Node) sendHandOver(ctx context.Context, h sibling.HandOver) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	records, err := n.siblings.HandOver(ctx, h)
	if err != nil {
		n.log.Debug().Str("sibling", h.To.ID).Int("records", len(h.Records)).Err(err).Msg("sibling: change records not delivered")
	}
	if h.Arriving {
		n.loop.Post(control.ArrivalReplyReceived{From: h.To.ID, Records: records})
	}
}

// inFlightCounter counts operations that have started and not ended. Its zero value is ready for use.
type inFlightCounter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when the count reaches zero; nil if nothing waits for that
}

func (p *inFlightCounter) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
}

func (p *inFlightCounter) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count--; p.count == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

// wait waits until the count is zero or ctx ends.
func (p *inFlightCounter) wait(ctx context.Context) {
	p.mu.Lock()
	if p.count == 0 {
		p.mu.Unlock()
		return
	}
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	idle := p.idle
	p.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
