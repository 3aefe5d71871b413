package deploy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// readinessCheckInterval is the time between the balancer's readiness checks of the instances.
const readinessCheckInterval = 100 * time.Millisecond

// Balancer emulates the platform's load balancer: it distributes requests round-robin over the entry instances
// that were ready at the last check of /ready.
type Balancer struct {
	deployment   *Deployment
	client       *http.Client
	readyEntries atomic.Pointer[[]Entry]
	next         atomic.Uint64
	cancel       context.CancelFunc
	done         chan struct{}
}

// NewBalancer returns a balancer after a first readiness check of all instances. The caller must Close it.
func NewBalancer(d *Deployment) *Balancer {
	b := &Balancer{deployment: d, client: d.Client(PlaceClients), done: make(chan struct{})}
	var ctx context.Context
	ctx, b.cancel = context.WithCancel(context.Background())
	b.checkInstances(ctx)
	go func() {
		defer close(b.done)
		ticker := time.NewTicker(readinessCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				b.checkInstances(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return b
}

// checkInstances checks the readiness of all entry instances and stores those that are ready.
func (b *Balancer) checkInstances(ctx context.Context) {
	entries := b.deployment.Entries()
	ready := make([]bool, len(entries))
	var checks sync.WaitGroup
	for i, e := range entries {
		checks.Go(func() { ready[i] = isReady(ctx, b.client, e.Address) })
	}
	checks.Wait()
	var list []Entry
	for i, e := range entries {
		if ready[i] {
			list = append(list, e)
		}
	}
	b.readyEntries.Store(&list)
}

// Next returns the entry instance for the next request, or false if none is ready.
func (b *Balancer) Next() (Entry, bool) {
	list := *b.readyEntries.Load()
	if len(list) == 0 {
		return Entry{}, false
	}
	return list[b.next.Add(1)%uint64(len(list))], true
}

// Close stops the readiness checks.
func (b *Balancer) Close() {
	b.cancel()
	<-b.done
	b.client.CloseIdleConnections()
}
