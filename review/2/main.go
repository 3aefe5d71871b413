// Command case2 adds and removes a route to the shards of an index while clients query it, in a deployment of six edges whose
// machines have a part of a core, so that siblings gather groups of shards for each other.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dogwooddrift.org/drift/review/harness"
)

const (
	changes     = 16
	changePause = 5 * time.Second
	settle      = 3 * time.Second
	// cpuShare and shards are those of the smallest machines and of the index of andedrift-grown.
	cpuShare       = 0.192
	shards         = 90
	perShard       = 2
	clientsPerEdge = 2

	host        = "shop.example"
	key         = "key-of-o"
	deadline    = 800 * time.Millisecond
	minCoverage = 0.95
	longList    = 20
	shortList   = 5

	recordSize     = 16
	recordsPerPart = 25
)

func main() { harness.Run(115*time.Second, run) }

func service(n int) string { return fmt.Sprintf("shard-%02d", n) }

// config returns a version of the configuration. The route for short lists is there or not; without it, its requests
// belong to the route for long lists.
func config(version int, withShort bool) map[string]any {
	var names []string
	for n := range shards {
		names = append(names, service(n))
	}
	route := func(name, prefix string, topK int) harness.Route {
		return harness.Route{
			Name: name, Host: host, Prefix: prefix, Type: "idempotent", Fanout: names, TopK: topK, MinCoverage: minCoverage,
			TimeoutMs: 800, TargetLatencyMs: 120, MaxAttempts: 2,
		}
	}
	routes := []harness.Route{route("farm-search", "/farms/", longList)}
	if withShort {
		routes = append(routes, route("quick-pick", "/farms/quick/", shortList))
	}
	return harness.Configuration(version, routes, names, []harness.Tenant{{Name: "o", ApiKeys: []string{key}}})
}

// part returns the records of a shard for a path. All searchers of a shard have the same.
func part(service, path string) []byte {
	var out []byte
	for n := range recordsPerPart {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", service, path, n))
		out = append(out, sum[:recordSize]...)
	}
	return out
}

// greatest returns the greatest records of parts, falling.
func greatest(parts [][]byte, n int) []byte {
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= recordSize; p = p[recordSize:] {
			records = append(records, p[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(n, len(records))], nil)
}

func run(d *harness.Deployment) (bool, error) {
	d.CPUShare = cpuShare
	zones := []string{"a", "b", "c"}
	services := map[string]string{} // by ID of the searcher
	for n := range shards {
		for k := range perShard {
			s := &harness.Searcher{
				ID: fmt.Sprintf("i-%02d-%d", n, k), Service: service(n), Zone: zones[(n+k)%len(zones)], Slots: 4, Queue: 16, Quiet: true,
				Work: func() time.Duration { return time.Duration(2+rand.IntN(6)) * time.Millisecond },
				Body: func(r *http.Request) []byte { return part(service(n), r.URL.Path) },
			}
			services[s.ID] = s.Service
			if err := d.AddSearcher(s); err != nil {
				return false, err
			}
		}
	}
	version := 1
	d.Store.Put("op/config", config(version, false))
	if err := d.AddEdges(zones, 2); err != nil {
		return false, err
	}
	if err := d.StartEdges(); err != nil {
		return false, err
	}
	time.Sleep(settle)

	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers, wrong, statuses := 0, 0, map[int]int{}
	for _, e := range d.Edges {
		for n := range clientsPerEdge {
			clients.Go(func() {
				query(ctx, d, e, n, func(id, path string, a harness.Answer) {
					fault := ""
					if a.Status == http.StatusOK {
						fault = check(a, id, path, services)
					}
					text := fmt.Sprintf("%s answers %s %s: %d, %d records, missing %s", e.Name, id, path, a.Status, len(a.Body)/recordSize, a.Header.Get("Missing-Parts"))
					if fault != "" {
						text += "; MIXED: " + fault
					}
					d.Record.LineAt(a.Ended, "%s", text)
					mu.Lock()
					defer mu.Unlock()
					statuses[a.Status]++
					if a.Status == http.StatusOK {
						answers++
					}
					if fault != "" {
						wrong++
					}
				})
			})
		}
	}
	for n := range changes {
		time.Sleep(changePause)
		if !harness.Trouble() {
			continue
		}
		version += 2
		withShort := n%2 == 0
		at := d.Store.Put("op/config", config(version, withShort))
		d.Record.LineAt(at, "version %d is acknowledged: the route /farms/quick/ is there: %v", version, withShort)
	}
	time.Sleep(changePause)
	stop()
	clients.Wait()
	d.Record.Summary("%d successes, %d of them with a wrong body; statuses %v", answers, wrong, statuses)
	if answers == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return wrong > 0, nil
}

// check returns what is wrong with a success, "" if nothing is. The body may be that of either route.
func check(a harness.Answer, id, path string, services map[string]string) string {
	var parts [][]byte
	seen := map[string]bool{}
	for _, header := range a.Header.Values("Part-Stamps") {
		for _, stamp := range strings.Split(header, ",") {
			searcher, of, _ := strings.Cut(strings.TrimSpace(stamp), ".")
			name := services[searcher]
			if name == "" || of != id || seen[name] {
				return fmt.Sprintf("signature %q", stamp)
			}
			seen[name] = true
			parts = append(parts, part(name, path))
		}
	}
	missing, _ := strconv.Atoi(a.Header.Get("Missing-Parts"))
	if len(parts)+missing != shards || float64(len(parts)) < minCoverage*shards {
		return fmt.Sprintf("%d parts and %d missing", len(parts), missing)
	}
	for _, n := range []int{longList, shortList} {
		if bytes.Equal(a.Body, greatest(parts, n)) {
			return ""
		}
	}
	best, lacking := greatest(parts, longList), 0
	for r := best; len(r) > 0; r = r[recordSize:] {
		if !bytes.Contains(a.Body, r[:recordSize]) {
			lacking++
		}
	}
	return fmt.Sprintf("%d of the greatest %d records of the %d parts named are left out", lacking, longList, len(parts))
}

// query sends requests to an edge until ctx ends.
func query(ctx context.Context, d *harness.Deployment, e *harness.Edge, n int, answered func(id, path string, a harness.Answer)) {
	var c *harness.Conn
	for k := 0; ctx.Err() == nil; k++ {
		time.Sleep(time.Duration(80+rand.IntN(80)) * time.Millisecond)
		if c == nil {
			var err error
			if c, err = harness.Dial(e); err != nil {
				continue
			}
		}
		id, path := fmt.Sprintf("%s-%d-%d", e.Name, n, k), fmt.Sprintf("/farms/quick/%d", k)
		a := c.Do(harness.Request{ID: id, Method: "GET", Host: host, Path: path, Key: key, Deadline: deadline})
		d.Record.LineAt(a.Sent, "client sends %s %s to %s", id, path, e.Name)
		answered(id, path, a)
		if a.Status == 0 || !a.Kept {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
