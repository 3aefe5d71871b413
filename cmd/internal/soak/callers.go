package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callers sends requests from concurrent callers and counts their outcomes.
type callers struct {
	soak   *soak
	client *http.Client
	extra  atomic.Int64 // number of calls of startQueries

	mu       sync.Mutex
	outcomes map[string]int
}

const (
	// callerTimeout is the time limit that a request states; the client waits a second longer. Connections stay open until
	// their process exits.
	callerTimeout = 2 * time.Second
	// callerPause is the pause of a caller between two requests, and between two attempts of a change.
	callerPause = 20 * time.Millisecond
	// plannedCallerCount and maxPlannedPause replace the two above for planned work: more callers, whose connections idle.
	plannedCallerCount = 40
	maxPlannedPause    = time.Second
	// maxAttempts bounds how many times a caller sends one change.
	maxAttempts = 4
)

func newCallers(s *soak) *callers {
	return &callers{
		soak: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: plannedCallerCount}}, outcomes: map[string]int{},
	}
}

// start starts the callers: even ones send queries, odd ones changes. The returned function stops them and waits until
// they have ended.
func (c *callers) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	count, pause := callerCount, func() time.Duration { return callerPause }
	if c.soak.Planned {
		count, pause = plannedCallerCount, func() time.Duration { return rand.N(maxPlannedPause) }
	}
	for w := range count {
		running.Go(func() {
			for n := 0; sleep(ctx, pause()); n++ {
				if w%2 == 0 {
					c.soak.environment.query(c, c.soak.instances[(w+n)%len(c.soak.instances)], fmt.Sprintf("q%d.%d", w, n))
					continue
				}
				c.soak.environment.change(c, w+n, fmt.Sprintf("k%d.%d", w, n))
			}
		})
	}
	return func() { cancel(); running.Wait() }
}

// startQueries starts callers that send queries only.
func (c *callers) startQueries(ctx context.Context, count int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	id := c.extra.Add(1)
	for w := range count {
		running.Go(func() {
			for n := 0; sleep(ctx, callerPause); n++ {
				c.soak.environment.query(c, c.soak.instances[(w+n)%len(c.soak.instances)], fmt.Sprintf("x%d.%d.%d", id, w, n))
			}
		})
	}
	return func() { cancel(); running.Wait() }
}

func (c *callers) count(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}

// checkRecovery sends queries and changes to each instance until one of each is answered, and adds a finding if that takes
// longer than recoveryLimit.
func (c *callers) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryLimit)
	for n, i := range c.soak.instances {
		for try := 0; !c.soak.environment.query(c, i, fmt.Sprintf("after %s %d", i.id, try)); try++ {
			if time.Now().After(deadline) || !sleep(ctx, callerPause) {
				c.soak.addFinding("%s answers no query %v after the last fault", i.id, recoveryLimit)
				break
			}
		}
		for try := 0; !c.soak.environment.change(c, n, fmt.Sprintf("after %s %d", i.id, try)); try++ {
			if time.Now().After(deadline) || !sleep(ctx, callerPause) {
				c.soak.addFinding("no change is answered %v after the last fault", recoveryLimit)
				break
			}
		}
	}
}

func (c *callers) report() {
	c.soak.Report("requests ended: %v", c.outcomes)
}
