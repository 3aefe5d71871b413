package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dogwooddrift.org/drift/platform/nodefile"
	"dogwooddrift.org/drift/platform/platformtest"
)

// edgeSystem is `dogwooddrift edge` before stand-ins of the users' platform. A change there is a request that may run
// once; each sending is an attempt of its own.
type edgeSystem struct {
	targets []*platformtest.Target

	mu       sync.Mutex
	attempts map[string]int // status of each sending of a change, 0 if there was no answer
}

const (
	edgeHost     = "shop.example"
	edgeShards   = 4
	edgeReplicas = 2
	edgeRecords  = 2
	edgeNotice   = 300 * time.Millisecond
	edgeWork     = 5 * time.Millisecond
)

func (e *edgeSystem) deploy(s *soak) error {
	e.attempts = map[string]int{}
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	s.closers = append(s.closers, server.CloseClientConnections)
	var shards []string
	for n := range edgeShards {
		shards = append(shards, fmt.Sprint("s", n))
	}
	e.targets = platformtest.StartTargets(append([]string{"one"}, shards...), edgeReplicas, zones, edgeWork)
	for _, t := range e.targets {
		s.closers = append(s.closers, t.Close)
	}
	for _, t := range e.targets {
		address, err := s.forward("target "+t.ID, t.Address())
		if err != nil {
			return err
		}
		t.Register(store, address)
	}
	store.Put("op/config", platformtest.Configuration(1, edgeHost, key, shards, "one"))
	return e.addInstances(s, server.Listener.Addr().String())
}

// maxSeeds is how many instances the platform names to each.
const maxSeeds = 3

// addInstances adds the instances with their settings. The seeds are proxies; member states name the addresses that
// instances bind, so that only the first contact of siblings meets the proxies.
func (e *edgeSystem) addInstances(s *soak, storeAddress string) error {
	var nodes []platformtest.Node
	var seeds []string
	for n := range s.Instances {
		own := s.own[3*n : 3*n+3] // for callers, readiness and siblings
		node := platformtest.Node{
			Name: fmt.Sprintf("edge-%d", n), Zone: zones[n%len(zones)], CallersAddress: own[0], ReadinessAddress: own[1], SiblingsAddress: own[2],
		}
		var err error
		if node.StoreAddress, err = s.forward(node.Name+" store", storeAddress); err != nil {
			return err
		}
		seed, err := s.forward(node.Name+" siblings", node.SiblingsAddress)
		if err != nil {
			return err
		}
		nodes, seeds = append(nodes, node), append(seeds, seed)
	}
	for _, node := range nodes {
		node.Seeds = seeds[:min(len(seeds), maxSeeds)]
		callers, err := s.forward(node.Name+" callers", node.CallersAddress)
		if err != nil {
			return err
		}
		file := filepath.Join(s.Dir, node.Name+".toml")
		if err := os.WriteFile(file, []byte(platformtest.NodeFile(node)), 0o600); err != nil {
			return err
		}
		s.instances = append(s.instances, &instance{
			soak: s, id: node.Name, log: file + ".log", args: []string{"edge", "--metrics-port", "0", "--notice", edgeNotice.String()},
			env: []string{nodefile.PathVariable + "=" + file}, callers: callers, direct: node.CallersAddress,
			readyURL: "http://" + node.ReadinessAddress + platformtest.ReadyPath,
		})
	}
	return nil
}

func (e *edgeSystem) fault(s *soak) fault {
	t := e.targets[s.rng.IntN(len(e.targets))]
	kinds := []platformtest.Faults{{Slow: 300 * time.Millisecond}, {Shed: 0.5}, {Fail: 0.3}, {Break: 0.2}, {Foreign: 0.2}}
	f := kinds[s.rng.IntN(len(kinds))]
	return fault{
		name: fmt.Sprintf("target %s %+v", t.ID, f), begin: func() { t.SetFaults(f) }, end: func() { t.SetFaults(platformtest.Faults{}) },
	}
}

func (e *edgeSystem) healTargets() {
	for _, t := range e.targets {
		t.SetFaults(platformtest.Faults{})
	}
}

func (e *edgeSystem) keysSeen() map[string]int {
	out := map[string]int{}
	for _, t := range e.targets {
		out[t.ID] = t.RequestsWithKey()
	}
	return out
}

// send returns the status of the response, 0 if there was none.
func (e *edgeSystem) send(c *callers, to *instance, method, path, attempt string) (int, http.Header, []byte) {
	r, err := platformtest.CallerRequest(method, to.callers, edgeHost, path, attempt, key, callerTimeout, "text")
	if err != nil {
		c.soak.find("%v", err)
		return 0, nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+time.Second)
	defer cancel()
	response, err := c.client.Do(r.WithContext(ctx))
	if err != nil {
		c.count("no response")
		return 0, nil, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.count("response cut off")
		return 0, nil, nil
	}
	c.count(fmt.Sprint("status ", response.StatusCode))
	return response.StatusCode, response.Header, body
}

func (e *edgeSystem) query(c *callers, to *instance, name string) bool {
	status, header, body := e.send(c, to, http.MethodGet, "/many/x", name)
	if status != http.StatusOK {
		return false
	}
	if _, wrong := platformtest.CheckGathered(header, body, name, edgeShards, edgeRecords); wrong != "" {
		c.soak.find("query %s at %s: %s", name, to.id, wrong)
	}
	return true
}

func (e *edgeSystem) change(c *callers, n int, name string) bool {
	for k := range maxSends {
		to, attempt := c.soak.instances[(n+k)%len(c.soak.instances)], fmt.Sprintf("%s.%d", name, k)
		status, _, _ := e.send(c, to, http.MethodPost, "/one/x", attempt)
		e.mu.Lock()
		e.attempts[attempt] = status
		e.mu.Unlock()
		if status == http.StatusOK {
			return true
		}
		if !platformtest.PromisesNotRun(status) {
			return false // it may have run, so that its caller does not send it again
		}
		time.Sleep(callerPause)
	}
	return false
}

func (e *edgeSystem) checkChanges(c *callers) {
	for attempt, status := range e.attempts {
		runs := 0
		for _, t := range e.targets {
			runs += t.Runs(attempt)
		}
		switch {
		case runs > 1:
			c.soak.find("attempt %s ran %d times", attempt, runs)
		case runs > 0 && platformtest.PromisesNotRun(status):
			c.soak.find("attempt %s ran although status %d promised that it had not", attempt, status)
		case runs == 0 && status == http.StatusOK:
			c.soak.find("attempt %s was answered and did not run", attempt)
		}
	}
}
