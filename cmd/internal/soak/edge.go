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

// edgeEnvironment runs `dogwooddrift edge` with an emulation of the users' platform. A change is a request that may run at
// most once there; each time it is sent counts as a separate attempt.
type edgeEnvironment struct {
	targets []*platformtest.Target

	mu       sync.Mutex
	statuses map[string]int // HTTP status of each attempt of a change by attempt ID, 0 without a response
}

const (
	edgeHost            = "shop.example"
	edgeShards          = 4
	edgeReplicas        = 2
	edgeRecordsPerShard = 2
	edgeDrainNotice     = 300 * time.Millisecond
	edgeServiceTime     = 5 * time.Millisecond
)

func (e *edgeEnvironment) deploy(s *soak) error {
	e.statuses = map[string]int{}
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	s.closers = append(s.closers, server.CloseClientConnections)
	var shards []string
	for n := range edgeShards {
		shards = append(shards, fmt.Sprint("s", n))
	}
	e.targets = platformtest.StartTargets(append([]string{"one"}, shards...), edgeReplicas, zones, edgeServiceTime)
	for _, t := range e.targets {
		s.closers = append(s.closers, t.Close)
	}
	for _, t := range e.targets {
		address, err := s.addProxy("target "+t.ID, t.Address())
		if err != nil {
			return err
		}
		t.Register(store, address)
	}
	store.Put("op/config", platformtest.Configuration(1, edgeHost, callerKey, shards, "one"))
	return e.addInstances(s, server.Listener.Addr().String())
}

// maxSeeds is the number of siblings that the platform lists for each instance as first contacts.
const maxSeeds = 3

// addInstances writes the settings files of the instances and adds the instances to the run. The seeds are proxy addresses,
// but gossip states contain the addresses that instances bind, so that only the first contact between siblings passes
// through a proxy.
func (e *edgeEnvironment) addInstances(s *soak, storeAddress string) error {
	var nodes []platformtest.Node
	var seeds []string
	for n := range s.Instances {
		addresses := s.instanceAddresses[3*n : 3*n+3] // for callers, readiness and siblings
		node := platformtest.Node{
			Name: fmt.Sprintf("edge-%d", n), Zone: zones[n%len(zones)], CallersAddress: addresses[0], ReadinessAddress: addresses[1], SiblingsAddress: addresses[2],
		}
		var err error
		if node.StoreAddress, err = s.addProxy(node.Name+" store", storeAddress); err != nil {
			return err
		}
		seed, err := s.addProxy(node.Name+" siblings", node.SiblingsAddress)
		if err != nil {
			return err
		}
		nodes, seeds = append(nodes, node), append(seeds, seed)
	}
	for _, node := range nodes {
		node.Seeds = seeds[:min(len(seeds), maxSeeds)]
		callers, err := s.addProxy(node.Name+" callers", node.CallersAddress)
		if err != nil {
			return err
		}
		file := filepath.Join(s.Dir, node.Name+".toml")
		if err := os.WriteFile(file, []byte(platformtest.NodeFile(node)), 0o600); err != nil {
			return err
		}
		s.instances = append(s.instances, &instance{
			soak: s, id: node.Name, logPath: file + ".log", args: []string{"edge", "--metrics-port", "0", "--notice", edgeDrainNotice.String()},
			env: []string{nodefile.PathVariable + "=" + file}, callersAddress: callers, boundAddress: node.CallersAddress,
			readyURL: "http://" + node.ReadinessAddress + platformtest.ReadyPath,
		})
	}
	return nil
}

func (e *edgeEnvironment) fault(s *soak) fault {
	t := e.targets[s.rng.IntN(len(e.targets))]
	kinds := []platformtest.Faults{{Slow: 300 * time.Millisecond}, {Shed: 0.5}, {Fail: 0.3}, {Break: 0.2}, {Foreign: 0.2}}
	f := kinds[s.rng.IntN(len(kinds))]
	return fault{
		name: fmt.Sprintf("target %s %+v", t.ID, f), begin: func() { t.SetFaults(f) }, end: func() { t.SetFaults(platformtest.Faults{}) },
	}
}

func (e *edgeEnvironment) clearTargetFaults() {
	for _, t := range e.targets {
		t.SetFaults(platformtest.Faults{})
	}
}

func (e *edgeEnvironment) keysSeen() map[string]int {
	out := map[string]int{}
	for _, t := range e.targets {
		out[t.ID] = t.RequestsWithKey()
	}
	return out
}

// send sends a request and returns the status, header and body of the response; the status is 0 if no response arrived
// completely.
func (e *edgeEnvironment) send(c *callers, to *instance, method, path, attempt string) (int, http.Header, []byte) {
	r, err := platformtest.CallerRequest(method, to.callersAddress, edgeHost, path, attempt, callerKey, callerTimeout, "text")
	if err != nil {
		c.soak.addFinding("%v", err)
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

func (e *edgeEnvironment) query(c *callers, to *instance, name string) bool {
	status, header, body := e.send(c, to, http.MethodGet, "/many/x", name)
	if status != http.StatusOK {
		return false
	}
	if _, wrong := platformtest.CheckGathered(header, body, name, edgeShards, edgeRecordsPerShard); wrong != "" {
		c.soak.addFinding("query %s at %s: %s", name, to.id, wrong)
	}
	return true
}

func (e *edgeEnvironment) change(c *callers, n int, name string) bool {
	for k := range maxAttempts {
		to, attempt := c.soak.instances[(n+k)%len(c.soak.instances)], fmt.Sprintf("%s.%d", name, k)
		status, _, _ := e.send(c, to, http.MethodPost, "/one/x", attempt)
		e.mu.Lock()
		e.statuses[attempt] = status
		e.mu.Unlock()
		if status == http.StatusOK {
			return true
		}
		if !platformtest.PromisesNotRun(status) {
			return false // the change may have run, so the caller does not resend it
		}
		time.Sleep(callerPause)
	}
	return false
}

func (e *edgeEnvironment) checkChanges(c *callers) {
	for attempt, status := range e.statuses {
		runs := 0
		for _, t := range e.targets {
			runs += t.Runs(attempt)
		}
		switch {
		case runs > 1:
			c.soak.addFinding("attempt %s ran %d times", attempt, runs)
		case runs > 0 && platformtest.PromisesNotRun(status):
			c.soak.addFinding("attempt %s ran although status %d promised that it had not", attempt, status)
		case runs == 0 && status == http.StatusOK:
			c.soak.addFinding("attempt %s was answered and did not run", attempt)
		}
	}
}
