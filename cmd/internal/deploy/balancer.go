package deploy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// balancerInterval is how often the balancer asks instances whether they are ready.
const balancerInterval = 100 * time.Millisecond

// Balancer emulates the platform's load balancer: it gives requests in turn to the entry instances that
// answered /ready lately.
type Balancer struct {
	deployment *Deployment
	client     *http.Client
	usable     atomic.Pointer[[]Entry]
	next       atomic.Uint64
	cancel     context.CancelFunc
	done       chan struct{}
}

// NewBalancer returns a balancer that has looked at all instances once.
func NewBalancer(d *Deployment) *Balancer {
	b := &Balancer{deployment: d, client: d.Client(PlaceClients), done: make(chan struct{})}
	var ctx context.Context
	ctx, b.cancel = context.WithCancel(context.Background())
	b.look(ctx)
	go func() {
		defer close(b.done)
		ticker := time.NewTicker(balancerInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				b.look(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return b
}

func (b *Balancer) look(ctx context.Context) {
	entries := b.deployment.Entries()
	usable := make([]bool, len(entries))
	var checks sync.WaitGroup
	for i, e := range entries {
		checks.Go(func() { usable[i] = ready(ctx, b.client, e.Address) })
	}
	checks.Wait()
	var list []Entry
	for i, e := range entries {
		if usable[i] {
			list = append(list, e)
		}
	}
	b.usable.Store(&list)
}

// Next returns the instance for the next request, false when none is ready.
func (b *Balancer) Next() (Entry, bool) {
	list := *b.usable.Load()
	if len(list) == 0 {
		return Entry{}, false
	}
	return list[b.next.Add(1)%uint64(len(list))], true
}

// Close ends the checks.
func (b *Balancer) Close() {
	b.cancel()
	<-b.done
	b.client.CloseIdleConnections()
}
