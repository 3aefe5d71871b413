// Command case3 sends changes that take two seconds to a small deployment whose clients use kept connections now and then.
// With the disruption, the edges are stopped with SIGTERM and started again, one after the other.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dogwooddrift.org/drift/review/harness"
)

const (
	clientsPerEdge = 14
	warmUp         = 8 * time.Second
	// gap is the time between the start of an edge and the SIGTERM of the next.
	gap = 14 * time.Second

	workTime = 2 * time.Second
	deadline = 3 * time.Second
	host     = "registers.example"
	key      = "key-of-o"
	// lateAfter is the time after SIGTERM up to which a request may be cut in the last sixth of the grace time.
	lateAfter = 3 * time.Second
)

// sent is a request that a client sent.
type sent struct {
	id   string
	edge *harness.Edge
	harness.Answer
}

func main() { harness.Run(115*time.Second, run) }

func run(d *harness.Deployment) (bool, error) {
	zones := []string{"a", "b", "c"}
	var searchers []*harness.Searcher
	for n := range 6 {
		s := &harness.Searcher{ID: fmt.Sprintf("i-desk-%d", n), Service: "desk", Zone: zones[n%3], Slots: 16, Queue: 8}
		s.Work = func() time.Duration {
			return workTime - 200*time.Millisecond + time.Duration(rand.IntN(400))*time.Millisecond
		}
		if err := d.AddSearcher(s); err != nil {
			return false, err
		}
		searchers = append(searchers, s)
	}
	d.Store.Put("op/config", harness.Configuration(1, []harness.Route{{
		Name: "change", Host: host, Prefix: "/change/", Type: "non_idempotent", Service: "desk", TimeoutMs: 3000, TargetLatencyMs: 2500, MaxAttempts: 2,
	}}, []string{"desk"}, []harness.Tenant{{Name: "o", ApiKeys: []string{key}}}))
	if err := d.AddEdges(zones, 1); err != nil {
		return false, err
	}
	if err := d.StartEdges(); err != nil {
		return false, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	balancer := harness.NewBalancer(ctx, d.Edges)
	var mu sync.Mutex
	var all []sent
	var group sync.WaitGroup
	for n := range clientsPerEdge * len(d.Edges) {
		home := d.Edges[n%len(d.Edges)]
		group.Go(func() {
			var c *harness.Conn
			time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
			for k := 0; ctx.Err() == nil; k++ {
				if c == nil {
					edge := home
					for !balancer.Takes(edge) {
						edge = d.Edges[rand.IntN(len(d.Edges))]
					}
					var err error
					if c, err = harness.Dial(edge); err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", n, k)
				a := c.Do(harness.Request{ID: id, Method: "POST", Host: host, Path: "/change/x", Key: key, Body: "change", Deadline: deadline})
				d.Record.LineAt(a.Sent, "client sends %s to %s, reused connection %v", id, c.Edge.Name, a.Reused)
				d.Record.LineAt(a.Ended, "client gets %d for %s", a.Status, id)
				mu.Lock()
				all = append(all, sent{id, c.Edge, a})
				mu.Unlock()
				if !a.Kept {
					c.Close()
					c = nil
				}
				// Within four fifths of the idle limit of 15 s.
				time.Sleep(time.Duration(1000+rand.IntN(6000)) * time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	time.Sleep(warmUp)
	terminated := map[*harness.Edge]time.Time{}
	for _, e := range d.Edges {
		if harness.Trouble() {
			terminated[e] = time.Now()
			d.Record.Line("SIGTERM to %s", e.Name)
			e.Terminate()
			if err := e.Start(); err != nil {
				return false, err
			}
		}
		time.Sleep(gap)
	}
	cancel()
	group.Wait()

	lost, excused, statuses := 0, 0, map[int]int{}
	for _, s := range all {
		statuses[s.Status]++
		at, stopped := terminated[s.edge]
		if s.Status != 0 || s.TimedOut {
			continue
		}
		ran := false
		for _, x := range searchers {
			ran = ran || len(x.Runs(s.id)) > 0
		}
		switch {
		case !stopped || !ran || s.Sent.Before(at) && s.Ended.Before(at) || s.Sent.After(at.Add((harness.GraceS+1)*time.Second)):
			d.Record.Line("%s ended without an answer, not counted: ran %v", s.id, ran)
		case s.Sent.Before(at.Add(lateAfter)):
			excused++
			d.Record.Line("%s ended without an answer, excused: sent %v after SIGTERM, cut %v after it", s.id, s.Sent.Sub(at), s.Ended.Sub(at))
		default:
			lost++
			d.Record.Summary("LOST: %s was sent to %s %v after SIGTERM on a kept connection (%v), passed on to a searcher, and cut %v after SIGTERM, %v after it was sent (deadline and timeout %v)",
				s.id, s.edge.Name, s.Sent.Sub(at).Round(time.Millisecond), s.Reused, s.Ended.Sub(at).Round(time.Millisecond), s.Ended.Sub(s.Sent).Round(time.Millisecond), deadline)
		}
	}
	d.Record.Summary("%d requests, statuses %v; %d lost, %d cut and excused", len(all), statuses, lost, excused)
	if statuses[200] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return lost > 0, nil
}
