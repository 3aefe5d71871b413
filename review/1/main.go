// Command case1 sends changes, which may run once, to a small deployment at capacity. With the disruption, one of the two
// searchers sends a second copy of some of its answers late.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddrift.org/drift/review/harness"
)

const (
	clients = 240
	length  = 95 * time.Second
	// The disruption: spells of garbleFor after pauses of garblePause, in which one of the two searchers sends a second
	// copy of copyShare of its answers late, where the next answer on the connection is expected.
	garbleFor   = 5 * time.Second
	garblePause = time.Second
	copyShare   = 0.04

	host     = "registers.example"
	key      = "key-of-o"
	workTime = 40 * time.Millisecond
)

func main() { harness.Run(110*time.Second, run) }

func run(d *harness.Deployment) (bool, error) {
	var garbling atomic.Bool
	var searchers []*harness.Searcher
	for n, zone := range []string{"a", "b"} {
		s := &harness.Searcher{ID: fmt.Sprintf("i-desk-%d", n), Service: "desk", Zone: zone, Slots: 16 - 14*n, Queue: 2 - 2*n}
		s.Work = func() time.Duration { return workTime/2 + time.Duration(rand.Int64N(int64(workTime))) }
		if n == 0 {
			s.Copy = func() bool { return garbling.Load() && rand.Float64() < copyShare }
		}
		if err := d.AddSearcher(s); err != nil {
			return false, err
		}
		searchers = append(searchers, s)
	}
	d.Store.Put("op/config", harness.Configuration(1, []harness.Route{{
		Name: "change", Host: host, Prefix: "/change/", Type: "non_idempotent", Service: "desk", TimeoutMs: 2000, TargetLatencyMs: 400, MaxAttempts: 2,
	}}, []string{"desk"}, []harness.Tenant{{Name: "o", ApiKeys: []string{key}}}))
	if err := d.AddEdges([]string{"a", "b"}, 2); err != nil {
		return false, err
	}
	if err := d.StartEdges(); err != nil {
		return false, err
	}

	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	if harness.Trouble() {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(garblePause)
				garbling.Store(true)
				d.Record.Line("garble begins at i-desk-0")
				time.Sleep(garbleFor)
				garbling.Store(false)
				d.Record.Line("garble ends")
			}
		}()
	}
	var mu sync.Mutex
	statuses := map[string]int{}
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			var c *harness.Conn
			for k := 0; ctx.Err() == nil; k++ {
				if c == nil {
					edge := d.Edges[n%2] // in zone a
					if n%6 == 5 {
						edge = d.Edges[2+n/6%2] // in zone b
					}
					var err error
					if c, err = harness.Dial(edge); err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", n, k)
				a := c.Do(harness.Request{ID: id, Method: "POST", Host: host, Path: "/change/x", Key: key, Body: "change", Deadline: 2 * time.Second})
				d.Record.LineAt(a.Sent, "client sends %s to %s", id, c.Edge.Name)
				d.Record.LineAt(a.Ended, "client gets %d for %s", a.Status, id)
				mu.Lock()
				statuses[id] = a.Status
				mu.Unlock()
				if !a.Kept {
					c.Close()
					c = nil
				}
				time.Sleep(time.Duration(520+rand.IntN(300)) * time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second) // what the answers 429 and 503 promise not to run may run later

	twice, refused, byStatus := 0, 0, map[int]int{}
	for id, status := range statuses {
		byStatus[status]++
		runs := 0
		for _, s := range searchers {
			runs += len(s.Runs(id))
		}
		if runs > 1 {
			twice++
			d.Record.Summary("TWICE: %s ran %d times, its client got %d", id, runs, status)
		}
		if runs > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
			refused++
			d.Record.Summary("REFUSED: %s ran %d times, and its client got %d", id, runs, status)
		}
	}
	d.Record.Summary("%d requests, statuses %v; %d ran twice, %d ran and were refused", len(statuses), byStatus, twice, refused)
	if byStatus[200] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return twice > 0, nil
}
