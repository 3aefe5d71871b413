package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// callers sends requests and counts how they end.
type callers struct {
	soak   *soak
	client *http.Client

	mu   sync.Mutex
	ends map[string]int
}

const (
	// callerTimeout is how long a caller waits. Connections stay open until their process is gone.
	callerTimeout = 2 * time.Second
	// callerPause is the time between two requests of one caller.
	callerPause = 20 * time.Millisecond
	// maxSends is how often a caller sends a change that was not answered.
	maxSends = 4
)

func newCallers(s *soak) *callers {
	return &callers{
		soak: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}, ends: map[string]int{},
	}
}

// start runs the callers until the result is called.
func (c *callers) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for w := range workers {
		running.Go(func() {
			for n := 0; sleep(ctx, callerPause); n++ {
				if w%2 == 0 {
					c.soak.system.query(c, c.soak.instances[(w+n)%len(c.soak.instances)], fmt.Sprintf("q%d.%d", w, n))
					continue
				}
				c.soak.system.change(c, w+n, fmt.Sprintf("k%d.%d", w, n))
			}
		})
	}
	return func() { cancel(); running.Wait() }
}

func (c *callers) count(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[end]++
}

// checkRecovery sends requests to each instance until one of each kind is answered.
func (c *callers) checkRecovery(ctx context.Context) {
	end := time.Now().Add(recovery)
	for n, i := range c.soak.instances {
		for try := 0; !c.soak.system.query(c, i, fmt.Sprintf("after %s %d", i.id, try)); try++ {
			if time.Now().After(end) || !sleep(ctx, callerPause) {
				c.soak.find("%s answers no query %v after the last fault", i.id, recovery)
				break
			}
		}
		for try := 0; !c.soak.system.change(c, n, fmt.Sprintf("after %s %d", i.id, try)); try++ {
			if time.Now().After(end) || !sleep(ctx, callerPause) {
				c.soak.find("no change is answered %v after the last fault", recovery)
				break
			}
		}
	}
}

func (c *callers) report() {
	c.soak.Report("requests ended: %v", c.ends)
}
