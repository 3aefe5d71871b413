// Package soak runs instances as processes on one machine, injects random faults from outside the processes, and checks
// the guarantees against the responses that callers receive and the requests that targets receive.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"dogwooddrift.org/drift/cmd/internal/deploy"
)

// Options configure a soak run.
type Options struct {
	// Seed selects the random faults.
	Seed uint64
	// For is the length of the phase that injects faults.
	For time.Duration
	// Instances is the number of instance processes.
	Instances int
	// Edge runs `dogwooddrift edge` with an emulation of the users' platform instead of the product's native interface.
	Edge bool
	// Planned injects planned work only, and targets that are slow or full: stops and starts, in series and overlapping. The
	// rules on it are lenient beside any unplanned fault.
	Planned bool
	// Command is the executable of an instance; Env is appended to the environment variables of its process.
	Command string
	Env     []string
	// Dir is the directory for the settings and log files of the instances.
	Dir string
	// Report is called with each injected fault and with a summary of request outcomes.
	Report func(format string, args ...any)
}

const (
	callerKey    = "soak-key"
	organisation = "o"
	// callerCount is the number of concurrent callers. The HTTP client keeps as many idle connections to each instance.
	callerCount = 8
	// recoveryLimit is the time after the last fault within which every instance must serve again. The longest time for
	// which a part of the product holds back after a fault is 10 s, for rate shares.
	recoveryLimit = 20 * time.Second
	// startLimit bounds the time from start until all instances are ready.
	startLimit = 30 * time.Second
	// baseLinkDelay is the one-way delay of links without a fault.
	baseLinkDelay = 200 * time.Microsecond
)

// soak is the state of one soak run.
type soak struct {
	Options
	rng               *rand.Rand
	environment       environment
	instances         []*instance
	links             []namedLink
	closers           []func()
	instanceAddresses []string // addresses that the instances bind, three for each, and then one for each
	recording         *recording

	mu       sync.Mutex
	findings []string
}

// environment defines how the instances are run and which emulated targets and platform they use.
type environment interface {
	// deploy starts the emulated targets and platform and adds the instances to the run, with proxies on the connections.
	deploy(s *soak) error
	// fault returns a random target fault; clearTargetFaults clears the faults of all targets.
	fault(s *soak) fault
	clearTargetFaults()
	// varyLoad changes the load for a time, calmly without disturbing instances and links. calmTime returns how long the run is
	// calm at its beginning.
	varyLoad(ctx context.Context, s *soak, c *callers, calm bool, length time.Duration)
	calmTime(s *soak) time.Duration
	// startOthers starts callers of special requests.
	startOthers(ctx context.Context, c *callers) (stop func())
	// checkIdle adds a finding for each instance that holds something after all requests have ended.
	checkIdle(ctx context.Context, s *soak)
	// keysSeen returns the number of requests with a caller's key at each target, by target ID.
	keysSeen() map[string]int
	// query sends a query and reports whether it was answered. It adds a finding for each error in the answer.
	query(c *callers, to *instance, name string) bool
	// change sends a change to successive instances, starting with instance n modulo their number, and reports whether it
	// was answered. It gives up after maxAttempts.
	change(c *callers, n int, name string) bool
	// checkChanges compares the responses to changes with the executions that the targets recorded.
	checkChanges(c *callers)
}

// namedLink is a network link that faults are injected into, with its name in the report.
type namedLink struct {
	name string
	link *deploy.Link
}

// Run runs a soak and returns the guarantee violations that it found. It returns an error only if the soak itself could
// not be run.
func Run(ctx context.Context, o Options) (findings []string, err error) {
	s := &soak{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), recording: newRecording()}
	s.environment = &nativeEnvironment{}
	if o.Edge {
		s.environment = &edgeEnvironment{}
	}
	defer s.close()
	if err := s.deploy(); err != nil {
		return nil, err
	}
	c := newCallers(s)
	if err := s.awaitReady(ctx, startLimit); err != nil {
		return nil, err
	}
	stopCallers := c.start(ctx)
	stopOthers := s.environment.startOthers(ctx, c)
	calm := s.environment.calmTime(s)
	s.environment.varyLoad(ctx, s, c, true, calm)
	var load sync.WaitGroup
	load.Go(func() { s.environment.varyLoad(ctx, s, c, false, s.For-calm) })
	s.injectFaults(ctx, s.For-calm)
	load.Wait()
	stopOthers()
	s.clearFaults()
	if err := s.awaitReady(ctx, recoveryLimit); err != nil {
		s.addFinding("no recovery: %v", err)
	}
	stopCallers()
	c.checkRecovery(ctx)
	s.environment.checkIdle(ctx, s)
	s.environment.checkChanges(c)
	for id, n := range s.environment.keysSeen() {
		if n > 0 {
			s.addFinding("target %s saw a caller's key %d times", id, n)
		}
	}
	c.report()
	return s.findings, nil
}

func (s *soak) addFinding(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

// addProxy starts a proxy for the address, with a separate link for faults, and returns the proxy's address.
func (s *soak) addProxy(name, address string) (string, error) {
	link := deploy.NewLink(baseLinkDelay)
	f, err := deploy.NewForwarder(address, link)
	if err != nil {
		return "", err
	}
	s.links = append(s.links, namedLink{name, link})
	s.closers = append(s.closers, f.Close)
	return f.Address(), nil
}

// deploy starts the emulated targets and platform, the proxies and the instances.
func (s *soak) deploy() error {
	var err error
	if s.instanceAddresses, err = FreeAddresses(4 * s.Instances); err != nil {
		return err
	}
	if err := s.environment.deploy(s); err != nil {
		return err
	}
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

var zones = []string{"a", "b", "c"}

// Instances listen on ports below the kernel's range of ephemeral ports, so that no outgoing connection occupies the port
// of an instance that is restarting. The process ID selects one of several port ranges, so that concurrent test processes
// don't bind the port of each other's stopped instances.
const (
	firstPort = 20000
	lastPort  = 32000
	// The ports from firstPort to lastPort form portRanges ranges of portsPerRange ports, enough for 30 instances each.
	portRanges    = 100
	portsPerRange = 120
)

// FreeAddresses returns n loopback addresses on which no process listens.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	for port := firstPort + os.Getpid()%portRanges*portsPerRange; len(out) < n; port++ {
		if port > lastPort {
			return nil, fmt.Errorf("only %d of %d ports are free", len(out), n)
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			out = append(out, address)
		}
	}
	return out, nil
}

// awaitReady waits until all instances are ready, at most for limit.
func (s *soak) awaitReady(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, i := range s.instances {
		for !i.ready(ctx) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", i.id, limit)
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

func (s *soak) close() {
	for _, i := range s.instances {
		i.terminate()
	}
	for k := len(s.closers) - 1; k >= 0; k-- {
		s.closers[k]()
	}
}

// ready reports whether the instance's readiness endpoint returns 200. The request bypasses the proxies.
func (i *instance) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, i.readyURL, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sleep waits for d and returns true, or returns false once ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
