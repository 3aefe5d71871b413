// Command case5 sends a request that crashes the searchers that run it again and again, as its client does. Each searcher is
// back two seconds later under its old ID. Without the disruption the request is harmless.
package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"dogwooddrift.org/drift/review/harness"
)

const (
	repeats = 14
	every   = 6 * time.Second
	// backAfter is the time that a searcher is down. Its entry would expire after three intervals of 1.2 s.
	backAfter = 2 * time.Second
	// allowed is the number of retries that may reach searchers after the third crash and the time to notice it.
	allowed = 3

	host     = "registers.example"
	key      = "key-of-o"
	deadline = 2 * time.Second
)

func main() { harness.Run(115*time.Second, run) }

func run(d *harness.Deployment) (bool, error) {
	var mu sync.Mutex
	var crashes []time.Time
	var searchers []*harness.Searcher
	for n, zone := range []string{"a", "b", "c"} {
		s := &harness.Searcher{
			ID: fmt.Sprintf("i-report-%d", n), Service: "report", Zone: zone, Slots: 6, Queue: 6, Work: func() time.Duration { return 20 * time.Millisecond },
		}
		s.Crashes = func(r *http.Request) bool {
			if !harness.Trouble() || r.URL.Path != "/report/yearly" {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			d.Record.Line("%s crashes searcher %s", r.Header.Get("Attempt-Id"), s.ID)
			time.AfterFunc(backAfter, func() {
				if err := s.Restart(d.Store); err != nil {
					d.Record.Line("searcher %s cannot start again: %v", s.ID, err)
					return
				}
				d.Record.Line("searcher %s is back with its ID and a new start time", s.ID)
			})
			return true
		}
		if err := d.AddSearcher(s); err != nil {
			return false, err
		}
		searchers = append(searchers, s)
	}
	d.Store.Put("op/config", harness.Configuration(1, []harness.Route{{
		Name: "report", Host: host, Prefix: "/report/", Type: "non_idempotent", Service: "report", TimeoutMs: 2000, TargetLatencyMs: 400, MaxAttempts: 2,
	}}, []string{"report"}, []harness.Tenant{{Name: "o", ApiKeys: []string{key}}}))
	if err := d.AddEdges([]string{"a", "b", "c"}, 1); err != nil {
		return false, err
	}
	if err := d.StartEdges(); err != nil {
		return false, err
	}
	served := 0
	send := func(id, path string, e *harness.Edge) (harness.Answer, error) {
		c, err := harness.Dial(e)
		if err != nil {
			return harness.Answer{}, err
		}
		defer c.Close()
		a := c.Do(harness.Request{ID: id, Method: "POST", Host: host, Path: path, Key: key, Body: "year", Deadline: deadline})
		d.Record.LineAt(a.Sent, "client sends %s %s to %s", id, path, e.Name)
		d.Record.LineAt(a.Ended, "client gets %d for %s: %.80q", a.Status, id, a.Body)
		if a.Status == 200 {
			served++
		}
		return a, nil
	}
	sent := map[string]time.Time{}
	for n := range repeats {
		time.Sleep(every / 2)
		if _, err := send(fmt.Sprintf("other-%d", n), "/report/daily", d.Edges[n%len(d.Edges)]); err != nil {
			return false, err
		}
		time.Sleep(every / 2)
		id := fmt.Sprintf("yearly-%d", n)
		a, err := send(id, "/report/yearly", d.Edges[n%len(d.Edges)])
		if err != nil {
			return false, err
		}
		sent[id] = a.Sent
	}
	time.Sleep(backAfter)

	mu.Lock()
	defer mu.Unlock()
	sort.Slice(crashes, func(a, b int) bool { return crashes[a].Before(crashes[b]) })
	retries := 0
	if len(crashes) >= 3 {
		from := crashes[2].Add(harness.ContactMs * time.Millisecond)
		for id, at := range sent {
			reached := 0
			for _, s := range searchers {
				reached += len(s.Runs(id))
			}
			if at.After(from) && reached > 0 {
				retries++
				d.Record.LineAt(at, "BUDGET: %s was sent %v after the third crash and reached %d searchers", id, at.Sub(crashes[2]).Round(time.Millisecond), reached)
			}
		}
	}
	d.Record.Summary("%d repeats, %d crashes, %d other requests served; %d repeats reached searchers later than %d ms after the third crash, %d may",
		len(sent), len(crashes), served, retries, harness.ContactMs, allowed)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return retries > allowed, nil
}
