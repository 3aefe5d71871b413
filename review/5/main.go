// Command case5 lets one tenant send many times its rate to nine edges in three zones. With the disruption, the edges are
// stopped with SIGTERM and started again in turn.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"dogwooddrift.org/drift/review/harness"
)

const (
	edgesPerZone = 3

	clients = 75
	// pause is the time between the sending of two requests of a client: 300 requests a second in all.
	pause  = 250 * time.Millisecond
	warmUp = 8 * time.Second
	rolls  = 5
	// gap is the time between the SIGTERM of one edge and the next, rollEvery that between the starts of two rolls.
	gap       = time.Second
	rollEvery = 17 * time.Second

	rate, burst = 64.0, 64.0
	// The rule's window, and the requests that it allows in one, with the overage and slack of the settings file.
	window  = 5 * time.Second
	allowed = (rate*5+burst)*(1+0.25) + 20

	host     = "registers.example"
	key      = "key-of-o"
	deadline = time.Second
)

func main() { harness.Run(115*time.Second, run) }

func run(d *harness.Deployment) (bool, error) {
	zones := []string{"a", "b", "c"}
	var searchers []*harness.Searcher
	for n := range 6 {
		s := &harness.Searcher{
			ID: fmt.Sprintf("i-desk-%d", n), Service: "desk", Zone: zones[n%3], Slots: 16, Queue: 16, Work: func() time.Duration { return 5 * time.Millisecond },
		}
		if err := d.AddSearcher(s); err != nil {
			return false, err
		}
		searchers = append(searchers, s)
	}
	d.Store.Put("op/config", harness.Configuration(1, []harness.Route{{
		Name: "lookup", Host: host, Prefix: "/lookup/", Type: "idempotent", Service: "desk", TimeoutMs: 1000, TargetLatencyMs: 300, MaxAttempts: 2,
	}}, []string{"desk"}, []harness.Tenant{{Name: "o", ApiKeys: []string{key}, RatePerS: rate, Burst: burst}}))
	if err := d.AddEdges(zones, edgesPerZone); err != nil {
		return false, err
	}
	if err := d.StartEdges(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	balancer := harness.NewBalancer(ctx, d.Edges)
	var mu sync.Mutex
	statuses := map[int]int{}
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(pause))))
			var c *harness.Conn
			next := time.Now()
			for k := 0; ctx.Err() == nil; k++ {
				next = next.Add(pause)
				time.Sleep(time.Until(next))
				if c == nil {
					var err error
					if c, err = harness.Dial(balancer.Choose(n/3, zones[n%3])); err != nil {
						c = nil
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", n, k)
				a := c.Do(harness.Request{ID: id, Method: "GET", Host: host, Path: "/lookup/x", Key: key, Deadline: deadline})
				d.Record.LineAt(a.Ended, "client sent %s to %s, gets %d", id, c.Edge.Name, a.Status)
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
				if !a.Kept {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		})
	}
	start := time.Now()
	time.Sleep(warmUp)
	var stopping sync.WaitGroup
	for range rolls {
		next := time.Now().Add(rollEvery)
		for _, i := range rand.Perm(len(d.Edges)) {
			if harness.Trouble() {
				e := d.Edges[i]
				d.Record.Line("SIGTERM to %s", e.Name)
				stopping.Go(func() {
					e.Terminate()
					if err := e.Start(); err != nil {
						d.Record.Line("%s cannot start: %v", e.Name, err)
					}
				})
			}
			time.Sleep(gap)
		}
		time.Sleep(time.Until(next))
	}
	stopping.Wait()
	cancel()
	group.Wait()

	var runs []time.Time
	for _, s := range searchers {
		for _, at := range s.AllRuns() {
			runs = append(runs, at...)
		}
	}
	sort.Slice(runs, func(a, b int) bool { return runs[a].Before(runs[b]) })
	most, windows, first := 0, 0, 0
	for last := range runs {
		for runs[last].Sub(runs[first]) >= window {
			first++
		}
		n := last - first + 1
		if float64(n) > allowed {
			windows++
		}
		if n > most {
			most = n
			d.Record.LineAt(runs[first], "%d requests of the tenant run within %v from here, %v after the start", n, window, runs[first].Sub(start).Round(time.Millisecond))
		}
	}
	d.Record.Summary("%d runs, statuses %v; at most %d requests of the tenant ran within %v, %.0f may; %d windows with more", len(runs), statuses, most, window, allowed, windows)
	if len(runs) == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return windows > 0, nil
}
