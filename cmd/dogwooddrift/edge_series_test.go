package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"dogwooddrift.org/drift/platform/platformtest"
)

const (
	seriesEdges = 9
	// seriesNotice is the default of the product.
	seriesNotice = 2500 * time.Millisecond
	// seriesGap is the time between the stops of two instances.
	seriesGap = time.Second
	// seriesStopsInZone instances of each zone are stopped in each round, zone by zone: more than half of the zone.
	seriesStopsInZone = 2
	seriesRounds      = 2
	// balancerInterval is the period of the balancer's readiness checks.
	balancerInterval  = time.Second
	seriesCallers     = 60
	seriesDeadline    = 3 * time.Second
	seriesSlow        = 900 * time.Millisecond
	seriesCallerPause = 600 * time.Millisecond
)

// balancer sends new connections to the instances of a caller's zone that are in rotation, to all of them if fewer than half
// are. Two failed readiness checks take an instance out of rotation.
type balancer struct {
	fleet []*edgeProcess

	mu     sync.Mutex
	missed map[*edgeProcess]int
}

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range b.fleet {
			e.checkReadiness()
			b.mu.Lock()
			b.missed[e]++
			if e.ready.Load() {
				b.missed[e] = 0
			}
			b.mu.Unlock()
		}
		time.Sleep(balancerInterval)
	}
}

// choose returns the instance for the n-th connection of a caller in a zone.
func (b *balancer) choose(zone string, n int) *edgeProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all, inRotation []*edgeProcess
	for _, e := range b.fleet {
		if e.zone != zone {
			continue
		}
		all = append(all, e)
		if b.missed[e] < 2 {
			inRotation = append(inRotation, e)
		}
	}
	if 2*len(inRotation) < len(all) {
		inRotation = all
	}
	return inRotation[n%len(inRotation)]
}

// Guards against stops of instances in series, more than the balancer can work around, that cut off idempotent requests: the
// balancer then sends callers to instances that are about to end.
func TestEdgeStopsInSeriesCutOffNoRequest(t *testing.T) {
	zones := []string{"a", "b", "c"}
	fleet, targets := startEdges(t, seriesEdges, zones, 0, seriesNotice)
	ctx, stop := context.WithCancel(t.Context())
	var background sync.WaitGroup
	b := &balancer{fleet: fleet, missed: map[*edgeProcess]int{}}
	background.Go(func() { b.run(ctx) })
	for _, e := range fleet {
		e.awaitReady(t)
	}
	for n, x := range targets {
		if x.Service == "one" {
			x.SetFaults(platformtest.Faults{Slow: seriesSlow * time.Duration(1+n%2)})
		}
	}
	var mu sync.Mutex
	statuses := map[int]int{}
	for w := range seriesCallers {
		background.Go(func() {
			var c *keptConnection
			defer func() {
				if c != nil {
					_ = c.Close()
				}
			}()
			for n := 0; ctx.Err() == nil; n++ {
				if c == nil {
					var err error
					if c, err = dialKept(b.choose(zones[w%len(zones)], w+n).callersAddress); err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				attempt := fmt.Sprintf("w%d-%d", w, n)
				status, closing, err := c.send(http.MethodGet, "/read/x", attempt, seriesDeadline)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				ran := 0
				for _, x := range targets {
					ran += x.Runs(attempt)
				}
				if err != nil && ran > 0 {
					t.Errorf("%s to %s was passed on and its connection ended without an answer: %v", attempt, c.RemoteAddr(), err)
				}
				if err != nil || closing {
					_ = c.Close()
					c = nil
				}
				time.Sleep(time.Duration(rand.Int64N(int64(seriesCallerPause))))
			}
		})
	}
	time.Sleep(time.Second)
	for range seriesRounds {
		var stopping sync.WaitGroup
		for n := range seriesStopsInZone * len(zones) {
			e := fleet[n%seriesStopsInZone*len(zones)+n/seriesStopsInZone]
			stopping.Go(func() {
				if err := e.process.Process.Signal(syscall.SIGTERM); err != nil {
					t.Error(err)
				}
				signalled := time.Now()
				if err := e.process.Wait(); err != nil {
					t.Errorf("an instance ended with %v, want exit code 0", err)
				}
				if took := time.Since(signalled); took > stopGrace {
					t.Errorf("an instance ended after %v, its grace time is %v", took, stopGrace)
				}
				e.start(t)
			})
			time.Sleep(seriesGap)
		}
		stopping.Wait()
		time.Sleep(time.Second)
	}
	stop()
	background.Wait()
	t.Logf("requests by status, 0 without an answer: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		t.Error("no request was answered")
	}
}
