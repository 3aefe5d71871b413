// Command case4 empties and takes away a searcher in a deployment of nine edges in three zones. With the disruption, the
// three edges that read the platform's list, one in each zone, are cut off from the store just before.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/review/harness"
)

const (
	rounds = 4
	settle = 8 * time.Second
	cutFor = 5500 * time.Millisecond
	// serveOn is how long the searcher serves on after its report.
	serveOn = 8 * time.Second
	// lead is the time from the change before the cut to the cut, and lag that from the cut to the searcher's report.
	lead = 100 * time.Millisecond
	lag  = 50 * time.Millisecond

	host     = "registers.example"
	key      = "key-of-o"
	deadline = time.Second
	drain    = harness.DrainMs * time.Millisecond
)

func main() { harness.Run(115*time.Second, run) }

func config(v int) map[string]any {
	return harness.Configuration(v, []harness.Route{{
		Name: "lookup", Host: host, Prefix: "/lookup/", Type: "idempotent", Service: "desk", TimeoutMs: 1000, TargetLatencyMs: 300, MaxAttempts: 2,
	}}, []string{"desk"}, []harness.Tenant{{Name: "o", ApiKeys: []string{key}}})
}

func searcher(id, zone string) *harness.Searcher {
	return &harness.Searcher{
		ID: id, Service: "desk", Zone: zone, Slots: 16, Queue: 16, Work: func() time.Duration { return 5 * time.Millisecond },
	}
}

func run(d *harness.Deployment) (bool, error) {
	for _, zone := range []string{"b", "c"} {
		if err := d.AddSearcher(searcher("i-stays-"+zone, zone)); err != nil {
			return false, err
		}
	}
	version := 1
	d.Store.Put("op/config", config(version))
	if err := d.AddEdges([]string{"a", "b", "c"}, 3); err != nil {
		return false, err
	}
	if err := d.StartEdges(); err != nil {
		return false, err
	}
	broken := 0
	for n := range rounds {
		leaver := searcher(fmt.Sprintf("i-leaves-%d", n), "a")
		if err := d.AddSearcher(leaver); err != nil {
			return false, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		requests := make(chan sent, 1<<16)
		for _, e := range d.Edges {
			go client(ctx, d, e, n, requests)
		}
		time.Sleep(settle)
		var readers []*harness.Edge
		for _, e := range d.Edges {
			if e.StoreLink.Watching() {
				readers = append(readers, e)
				d.Record.Line("%s reads the platform's list", e.Name)
			}
		}
		version += 3
		d.Store.Put("op/config", config(version))
		d.Record.Line("version %d is acknowledged", version)
		time.Sleep(lead)
		cut := map[*harness.Edge]bool{}
		if harness.Trouble() {
			for _, e := range readers {
				e.StoreLink.Cut()
				cut[e] = true
				d.Record.Line("%s is cut off from the store", e.Name)
			}
		}
		time.Sleep(lag)
		at := leaver.Register(d.Store, "draining")
		d.Record.LineAt(at, "the report of %s that it is draining is acknowledged", leaver.ID)
		time.Sleep(cutFor)
		for e := range cut {
			e.StoreLink.Heal()
			d.Record.Line("the cut of %s ends", e.Name)
		}
		time.Sleep(serveOn - cutFor)
		cancel()
		time.Sleep(2 * deadline) // until all requests have ended
		d.Store.Remove("servers/" + leaver.ID)
		leaver.Stop()

		late, served, last, by := 0, 0, time.Duration(0), map[string]int{}
		for len(requests) > 0 {
			r := <-requests
			if r.Status == 200 {
				served++
			}
			for _, ran := range leaver.Runs(r.id) {
				after := ran.Sub(at)
				if after <= drain || cut[r.edge] {
					continue
				}
				late++
				last = max(last, after)
				by[r.edge.Name]++
				d.Record.LineAt(ran, "DRAIN: %s reaches %s from %s %v after the acknowledgement", r.id, leaver.ID, r.edge.Name, after.Round(time.Millisecond))
			}
		}
		d.Record.Summary("round %d: %d of 9 edges cut off; %d served; %d requests that edges in touch took and sent reached %s over %v after the acknowledgement, the last %v after it: %v",
			n, len(cut), served, late, leaver.ID, drain, last.Round(time.Millisecond), by)
		if served == 0 || harness.Trouble() && len(cut) == 0 {
			return false, fmt.Errorf("no request was served, or no edge reads the platform's list")
		}
		broken += late
	}
	return broken > 0, nil
}

// sent is a request that a client sent.
type sent struct {
	id   string
	edge *harness.Edge
	harness.Answer
}

// client sends requests to an edge until ctx ends.
func client(ctx context.Context, d *harness.Deployment, e *harness.Edge, round int, out chan<- sent) {
	var c *harness.Conn
	for k := 0; ctx.Err() == nil; k++ {
		time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
		if c == nil {
			var err error
			if c, err = harness.Dial(e); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("r%d-%s-%d", round, e.Name, k)
		a := c.Do(harness.Request{ID: id, Method: "GET", Host: host, Path: "/lookup/x", Key: key, Deadline: deadline})
		d.Record.LineAt(a.Sent, "client sends %s", id)
		d.Record.LineAt(a.Ended, "client gets %d for %s", a.Status, id)
		out <- sent{id, e, a}
		if !a.Kept {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
