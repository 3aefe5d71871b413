package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddrift.org/drift/cmd/internal/rules"
	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/platform/nodefile"
	"dogwooddrift.org/drift/platform/platformtest"
	"dogwooddrift.org/drift/targets"
)

// edgeEnvironment runs `dogwooddrift edge` with an emulation of the users' platform. A change is a request that may run at
// most once there; each time it is sent counts as a separate attempt.
type edgeEnvironment struct {
	targets []*platformtest.Target
	shards  int
	cores   []float64
	// quiet runs have no faults of links and processes.
	quiet bool
	// limited runs have an organisation that is over its rate.
	limited bool
	// returns are runs in which the store returns from older copies of itself, drawn by returnsRNG.
	returns    bool
	returnsRNG *rand.Rand
	entries    *entries
	// rng draws the load, and reports is how each target reports its own.
	rng          *rand.Rand
	reports      map[string]platformtest.Report
	shortageLock sync.Mutex
	queries      atomic.Uint64 // number of queries, which are divided evenly among the routes

	mu       sync.Mutex
	statuses map[string]int // HTTP status of each attempt of a change by attempt ID, 0 without a response
}

const (
	edgeHost        = "shop.example"
	edgeReplicas    = 2
	edgeDrainNotice = 300 * time.Millisecond
	edgeServiceTime = 5 * time.Millisecond
	// targetBodyMemoryMB is the least limit on bodies in flight to one target, so that bursts of bodies reach it.
	targetBodyMemoryMB = 1
	// statedDrainMs is the limit that the instances are given for targets that leave, 1 s shorter than the one by which they
	// are judged, for a busy machine.
	statedDrainMs = 2000
	// plannedNotice is the notice time of instances in runs of planned work, the default of the product. maxPlannedSlow bounds the
	// additional time that a target of changes takes then.
	plannedNotice  = 2500 * time.Millisecond
	maxPlannedSlow = 1800 * time.Millisecond
	// The names of the routes in the recorded history.
	routeOne, routeMany = "one", "many"
	// changeService is the service that runs changes.
	changeService = "one"
	// oddBytes is the value of a header field that is no UTF-8.
	oddBytes = "M\xfcller"
)

// edgeBounds are the bounds of the emulated deployment.
var edgeBounds = rules.Bounds{
	Contact: 4 * time.Second, Drain: 3 * time.Second, ConfigApply: 3 * time.Second, Rollback: 250 * time.Millisecond, Grace: 6 * time.Second, LossSlack: 200 * time.Millisecond,
	RateWindow: 5 * time.Second, RateOverage: 0.25, RateSlack: 20, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryConstant: 58,
	EachRefusal: true,
}

func (e *edgeEnvironment) deploy(s *soak) error {
	e.statuses = map[string]int{}
	store := platformtest.NewStore()
	e.drawReturns(s, store)
	server := store.Serve()
	s.closers = append(s.closers, server.CloseClientConnections)
	var shards []string
	e.shards, e.cores = e.drawDeployment(s)
	for n := range e.shards {
		shards = append(shards, fmt.Sprint("s", n))
	}
	services := append([]string{changeService}, shards...)
	if !s.Planned {
		services = append(services, crashingService)
	}
	e.targets = platformtest.StartTargets(services, edgeReplicas, zones, edgeServiceTime)
	e.entries = &entries{
		store: store, shards: shards, planned: s.Planned, versioned: e.returns, addresses: map[string]string{}, sequences: map[string]int{},
		starts: map[string]int{}, states: map[string]string{}, leaving: map[string]bool{},
	}
	e.reports = map[string]platformtest.Report{}
	for _, t := range e.targets {
		s.closers = append(s.closers, t.Close)
		t.Observe = s.recording.observe
		if t.Service == crashingService {
			t.Crashed = func() { e.entries.crashed(t, s.recording) }
		}
		var err error
		if e.entries.addresses[t.ID], err = s.addProxy("target "+t.ID, t.Address()); err != nil {
			return err
		}
		e.entries.write(t, stateReady, 0, s.recording)
		if !s.Planned {
			e.reports[t.ID] = platformtest.Report(e.rng.IntN(int(platformtest.OddReport)))
			t.SetLoad(e.usualLoad(t))
		}
	}
	e.entries.writeConfiguration(s.recording)
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
			Cores: e.cores[n], DrainMs: statedDrainMs,
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
	for n, node := range nodes {
		node.Seeds = seeds[:min(len(seeds), maxSeeds)]
		callers, err := s.addProxy(node.Name+" callers", node.CallersAddress)
		if err != nil {
			return err
		}
		file := filepath.Join(s.Dir, node.Name+".toml")
		if err := os.WriteFile(file, []byte(platformtest.NodeFile(node)), 0o600); err != nil {
			return err
		}
		metrics := s.instanceAddresses[3*s.Instances+n]
		_, port, err := net.SplitHostPort(metrics)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, &instance{
			soak: s, id: node.Name, logPath: file + ".log", metricsAddress: metrics,
			args: []string{"edge", "--metrics-port", port, "--notice", s.notice().String(), "--target-body-memory", fmt.Sprint(targetBodyMemoryMB)},
			env:  []string{nodefile.PathVariable + "=" + file}, callersAddress: callers, boundAddress: node.CallersAddress,
			readyURL: "http://" + node.ReadinessAddress + platformtest.ReadyPath,
		})
	}
	return nil
}

// notice returns how long instances serve on after SIGTERM.
func (s *soak) notice() time.Duration {
	if s.Planned {
		return plannedNotice
	}
	return edgeDrainNotice
}

func (e *edgeEnvironment) fault(s *soak) fault {
	t := e.targets[s.rng.IntN(len(e.targets))]
	if s.Planned {
		f := platformtest.Faults{Shed: 0.3 * s.rng.Float64()}
		if t.Service == changeService {
			f.Slow = time.Duration(s.rng.Float64() * float64(maxPlannedSlow))
		}
		return fault{name: fmt.Sprintf("target %s %+v", t.ID, f), begin: func() { t.SetFaults(f) }, end: func() {}}
	}
	kinds := []platformtest.Faults{{Slow: 300 * time.Millisecond}, {Shed: 0.5}, {Fail: 0.3}, {Break: 0.2}, {Foreign: 0.2}}
	f := kinds[s.rng.IntN(len(kinds))]
	return fault{
		name: fmt.Sprintf("target %s %+v", t.ID, f), begin: func() { t.SetFaults(f) }, end: func() { t.SetFaults(platformtest.Faults{}) },
	}
}

func (e *edgeEnvironment) clearTargetFaults() {
	for _, t := range e.targets {
		t.SetFaults(platformtest.Faults{})
		if len(e.reports) > 0 {
			t.SetLoad(e.usualLoad(t))
		}
	}
}

func (e *edgeEnvironment) calmTime(s *soak) time.Duration {
	if s.Planned {
		return 0
	}
	if e.quiet {
		return s.For
	}
	return s.For / calmFraction
}

func (e *edgeEnvironment) keysSeen() map[string]int {
	out := map[string]int{}
	for _, t := range e.targets {
		out[t.ID] = t.RequestsWithKey()
	}
	return out
}

// send sends a request, records it and returns the status of the response, 0 if none arrived completely. sent describes the
// request.
func (e *edgeEnvironment) send(c *callers, to *instance, method, attempt, body string, request rules.RequestSent) int {
	r, err := platformtest.CallerRequest(method, to.callersAddress, edgeHost, "/"+request.Route+"/x", attempt, callerKey, callerTimeout, body)
	if err != nil {
		c.soak.addFinding("%v", err)
		return 0
	}
	if request.Key == "" {
		request.Key = callerKey
	}
	r.Header.Set(platform.HeaderKey, request.Key)
	if request.Variant != "" {
		r.Header.Set("X-Name", request.Variant)
	}
	r.GetBody = nil // net/http would send some requests again by itself
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+time.Second)
	defer cancel()
	recording := c.soak.recording
	request.Request, request.Instance, request.Deadline, request.Timeout = attempt, to.id, callerTimeout, callerTimeout
	var kept, sent atomic.Bool // net/http calls the trace on its own goroutines
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { kept.Store(info.Reused) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err != nil {
				return
			}
			request.At, request.Kept = recording.now(), kept.Load()
			recording.add(request)
			sent.Store(true)
		},
	})
	ended := func(e rules.RequestEnded) {
		if sent.Load() {
			e.At, e.Request, e.Abandoned = recording.now(), attempt, ctx.Err() != nil
			recording.add(e)
		}
	}
	response, err := c.client.Do(r.WithContext(ctx))
	if err != nil {
		c.count("no response")
		ended(rules.RequestEnded{})
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		c.count("response cut off")
		ended(rules.RequestEnded{})
		return 0
	}
	c.count(fmt.Sprint("status ", response.StatusCode))
	end := rules.RequestEnded{Status: response.StatusCode}
	if response.StatusCode == http.StatusOK && request.MinParts > 0 {
		end.Parts, end.Wrong = e.checkGathered(request.Route, attempt, response.Header, answer)
	}
	ended(end)
	return response.StatusCode
}

// checkGathered returns the parts of a gathered answer and what is wrong with it, empty if nothing is.
func (e *edgeEnvironment) checkGathered(route, attempt string, header http.Header, answer []byte) (parts []rules.Part, wrong string) {
	records := fewRecords
	if route == recordsRoute && len(answer) > fewRecords*targets.RecordSize {
		records = manyRecords // an earlier or later version of the configuration was in force
	}
	_, wrong = platformtest.CheckGathered(header, answer, attempt, e.shards, records)
	for _, signature := range strings.Split(header.Get(platform.HeaderPartSignatures), ", ") {
		target, of, _ := strings.Cut(signature, platformtest.Signature("", ""))
		parts = append(parts, rules.Part{Target: target, Request: of})
	}
	return parts, wrong
}

func (e *edgeEnvironment) query(c *callers, to *instance, name string) bool {
	routes := queryRoutes
	if c.soak.Planned {
		routes = []queryRoute{{name: routeMany, coverage: 1, maxAttempts: 2}}
	}
	n, variant := e.queries.Add(1), ""
	if n/uint64(len(routes))%4 == 0 {
		variant = oddBytes
	}
	return e.sendQuery(c, to, routes[n%uint64(len(routes))], name, "text", variant) == http.StatusOK
}

// sendQuery sends a query and returns its status.
func (e *edgeEnvironment) sendQuery(c *callers, to *instance, q queryRoute, name, body, variant string) int {
	return e.send(c, to, http.MethodGet, name, body, rules.RequestSent{
		Variant: variant, Route: q.name, Idempotent: true, MaxAttempts: q.maxAttempts, Priority: q.priority, MinParts: int(math.Ceil(q.coverage * float64(e.shards))),
	})
}

func (e *edgeEnvironment) change(c *callers, n int, name string) bool {
	for k := range maxAttempts {
		to, attempt := c.soak.instances[(n+k)%len(c.soak.instances)], fmt.Sprintf("%s.%d", name, k)
		status := e.send(c, to, http.MethodPost, attempt, "text", rules.RequestSent{Route: routeOne, MaxAttempts: 2})
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

// checkChanges judges the history of the run and writes it to a file.
func (e *edgeEnvironment) checkChanges(c *callers) {
	r := c.soak.recording
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.save(c.soak.Dir, edgeBounds); err != nil {
		c.soak.addFinding("the history cannot be written: %v", err)
	}
	for _, finding := range judge(edgeBounds, r.events) {
		c.soak.addFinding("%s", finding)
	}
	for attempt, status := range e.statuses {
		runs := 0
		for _, t := range e.targets {
			runs += t.Runs(attempt)
		}
		// The history lacks attempts of which net/http did not report the sending.
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
