package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/sibling"
)

const (
	handOverTimeout = 2 * time.Second
	// handOverParallel bounds the messages that a leaving instance sends at a time.
	handOverParallel = 64
	// quietPeriod without a request must pass before the listener closes: closing it resets the connections that
	// the kernel accepted and the process did not, so a request on one of them would be cut off.
	quietPeriod = 200 * time.Millisecond
	// quietLimit ends the wait for callers that go on sending although they are refused.
	quietLimit = 2 * time.Second
)

// drain performs the planned stop: unready, notice time, no new work, the siblings told, running requests
// finished, and the listeners closed. It returns early when abort ends.
func (n *Node) drain(abort context.Context, callers *http.Server, peers *grpc.Server) {
	n.log.Info().Dur("notice", n.settings.Drain.Notice).Msg("node: draining")
	ready := func(reply chan<- struct{}) control.Event { return control.Drain{Reply: reply} }
	_, _ = control.Ask(abort, n.loop, ready)
	pause(abort, n.settings.Drain.Notice)
	limit, cancel := context.WithTimeout(abort, n.settings.Drain.Limit)
	defer cancel()
	idle := n.tier.Drain()
	n.leave(limit)
	select {
	case <-idle:
	case <-limit.Done():
		n.log.Warn().Msg("node: requests still running at the limit")
	}
	// Effects of the last events are started once control has answered again.
	_, _ = control.Ask(limit, n.loop, ready)
	n.handOvers.wait(limit)
	n.awaitQuiet(limit)
	if err := callers.Shutdown(limit); err != nil {
		_ = callers.Close()
	}
	stopped := context.AfterFunc(limit, peers.Stop)
	peers.GracefulStop()
	stopped()
}

// leave hands the records of changes to the siblings and tells them that this instance leaves.
func (n *Node) leave(ctx context.Context) {
	messages, err := control.Ask(ctx, n.loop, func(reply chan<- []sibling.HandOver) control.Event {
		return control.LeaveMembership{Reply: reply}
	})
	if err != nil {
		n.log.Warn().Err(err).Msg("node: siblings not told of the departure")
		return
	}
	var group errgroup.Group
	group.SetLimit(handOverParallel)
	for _, m := range messages {
		group.Go(func() error { n.handOver(ctx, m); return nil })
	}
	_ = group.Wait()
}

// awaitQuiet waits until no request has come for the quiet period.
func (n *Node) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	for ctx.Err() == nil {
		left := quietPeriod - time.Since(n.tier.LastArrival())
		if left <= 0 {
			return
		}
		pause(ctx, left)
	}
}

// handOver sends records of changes to a sibling. Records that are not delivered are still at the other holder.
func (n *Node) handOver(ctx context.Context, h sibling.HandOver) {
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

// pending counts what has started and not ended. Its zero value is ready for use.
type pending struct {
	mu   sync.Mutex
	n    int
	zero chan struct{} // not nil while somebody waits
}

func (p *pending) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n++
}

func (p *pending) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.n--; p.n == 0 && p.zero != nil {
		close(p.zero)
		p.zero = nil
	}
}

// wait returns when the count is zero or ctx ends.
func (p *pending) wait(ctx context.Context) {
	p.mu.Lock()
	if p.n == 0 {
		p.mu.Unlock()
		return
	}
	if p.zero == nil {
		p.zero = make(chan struct{})
	}
	zero := p.zero
	p.mu.Unlock()
	select {
	case <-zero:
	case <-ctx.Done():
	}
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
