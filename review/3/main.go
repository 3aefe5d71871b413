// Command case3 takes a key away in a deployment of nine edges in three zones. With the disruption, the three edges that
// read the platform's list, one in each zone, are cut off from the store just before.
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
	rounds   = 4
	settle   = 8 * time.Second
	cutFor   = 5500 * time.Millisecond
	watchFor = 8 * time.Second
	// lead is the time from the change before the cut to the cut, and lag that from the cut to the change that takes the key
	// away.
	lead = 100 * time.Millisecond
	lag  = 50 * time.Millisecond

	host     = "registers.example"
	deadline = time.Second
)

// sent is a request with a key that was taken away.
type sent struct {
	id   string
	edge *harness.Edge
	harness.Answer
}

func main() { harness.Run(115*time.Second, run) }

// config returns version v of the configuration. Of the keys, those in gone are missing.
func config(v int, gone map[string]bool) map[string]any {
	keys := []string{"key-kept"}
	for n := range rounds {
		if k := roundKey(n); !gone[k] {
			keys = append(keys, k)
		}
	}
	return harness.Configuration(v, []harness.Route{{
		Name: "lookup", Host: host, Prefix: "/lookup/", Type: "idempotent", Service: "desk", TimeoutMs: 1000, TargetLatencyMs: 300, MaxAttempts: 2,
	}}, []string{"desk"}, []harness.Tenant{{Name: "o", ApiKeys: keys}})
}

func roundKey(n int) string { return fmt.Sprintf("key-of-round-%d", n) }

func run(d *harness.Deployment) (bool, error) {
	zones := []string{"a", "b", "c"}
	var searchers []*harness.Searcher
	for n := range 6 {
		s := &harness.Searcher{ID: fmt.Sprintf("i-desk-%d", n), Service: "desk", Zone: zones[n%3], Slots: 16, Queue: 16}
		s.Work = func() time.Duration { return 5 * time.Millisecond }
		if err := d.AddSearcher(s); err != nil {
			return false, err
		}
		searchers = append(searchers, s)
	}
	gone, version := map[string]bool{}, 1
	d.Store.Put("op/config", config(version, gone))
	if err := d.AddEdges(zones, 3); err != nil {
		return false, err
	}
	if err := d.StartEdges(); err != nil {
		return false, err
	}
	broken := 0
	for n := range rounds {
		time.Sleep(settle)
		key := roundKey(n)
		var cut []*harness.Edge
		touched := map[*harness.Edge]bool{}
		for _, e := range d.Edges {
			if e.StoreLink.Watching() {
				cut = append(cut, e)
				d.Record.Line("%s reads the platform's list", e.Name)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		var all []sent
		var group sync.WaitGroup
		for _, e := range d.Edges {
			group.Go(func() {
				var c *harness.Conn
				for k := 0; ctx.Err() == nil; k++ {
					time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
					if c == nil {
						var err error
						if c, err = harness.Dial(e); err != nil {
							continue
						}
					}
					id := fmt.Sprintf("r%d-%s-%d", n, e.Name, k)
					a := c.Do(harness.Request{ID: id, Method: "GET", Host: host, Path: "/lookup/x", Key: key, Deadline: deadline})
					d.Record.LineAt(a.Ended, "client sent %s with %s at %.3f s before, gets %d", id, key, a.Ended.Sub(a.Sent).Seconds(), a.Status)
					mu.Lock()
					all = append(all, sent{id, e, a})
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
		time.Sleep(time.Second)
		version += 3
		d.Store.Put("op/config", config(version, gone))
		d.Record.Line("version %d, with the same keys, is acknowledged", version)
		time.Sleep(lead)
		if harness.Trouble() {
			for _, e := range cut {
				e.StoreLink.Cut()
				touched[e] = true
				d.Record.Line("%s is cut off from the store", e.Name)
			}
		}
		time.Sleep(lag)
		gone[key] = true
		version += 4
		at := d.Store.Put("op/config", config(version, gone))
		d.Record.LineAt(at, "version %d, without %s, is acknowledged", version, key)
		time.Sleep(cutFor)
		if harness.Trouble() {
			for _, e := range cut {
				e.StoreLink.Heal()
				d.Record.Line("the cut of %s ends", e.Name)
			}
		}
		time.Sleep(watchFor - cutFor)
		cancel()
		group.Wait()

		served, late, last := 0, 0, time.Duration(0)
		edges := map[string]int{}
		for _, s := range all {
			if s.Status == 200 {
				served++
			}
			ran := false
			for _, x := range searchers {
				ran = ran || len(x.Runs(s.id)) > 0
			}
			after := s.Sent.Sub(at)
			if !ran || touched[s.edge] || after <= harness.ConfigApplyMs*time.Millisecond {
				continue
			}
			late++
			last = max(last, after)
			edges[s.edge.Name]++
			d.Record.Line("CONFIG: %s was sent with %s %v after the acknowledgement of its removal, and ran", s.id, key, after.Round(time.Millisecond))
		}
		d.Record.Summary("round %d: %d edges cut off, %d of %d requests served, %d sent to edges in touch over %d ms after the acknowledgement ran, the last %v after it: %v",
			n, len(touched), served, len(all), late, harness.ConfigApplyMs, last.Round(time.Millisecond), edges)
		if served == 0 {
			return false, fmt.Errorf("no request was served")
		}
		broken += late
	}
	return broken > 0, nil
}
