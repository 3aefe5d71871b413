// Package soak runs real instances as processes on one machine, injects random faults from outside of them, and checks
// the promises by what callers and targets see.
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

// Options of a soak.
type Options struct {
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Instances is the number of processes.
	Instances int
	// Edge runs `dogwooddrift edge` before stand-ins of the users' platform, in place of the product's own interface.
	Edge bool
	// Command is the program of an instance; Env is added to its environment.
	Command string
	Env     []string
	// Dir holds settings and logs.
	Dir string
	// Report is told what happens.
	Report func(format string, args ...any)
}

const (
	key          = "soak-key"
	organisation = "o"
	// workers is the number of callers, each with a connection of its own to each instance.
	workers = 8
	// recovery is how long after the last fault every instance must serve again: the longest hold of a part of the
	// product is 10 s, for rate shares.
	recovery = 20 * time.Second
	// startTime bounds the time until all instances are ready.
	startTime = 30 * time.Second
	// oneWay is the delay of links without a fault.
	oneWay = 200 * time.Microsecond
)

// soak is one run.
type soak struct {
	Options
	rng       *rand.Rand
	system    system
	instances []*instance
	links     []namedLink
	closers   []func()
	own       []string // addresses of the instances themselves

	mu       sync.Mutex
	findings []string
}

// system is what the instances are and what stands around them.
type system interface {
	// deploy starts the stand-ins and adds the instances, each connection through a proxy.
	deploy(s *soak) error
	// fault returns a random fault of a target, healTargets ends those of all.
	fault(s *soak) fault
	healTargets()
	// keysSeen returns how often each target saw a caller's key.
	keysSeen() map[string]int
	// query sends a query and reports whether it was answered; wrong answers are findings.
	query(c *callers, to *instance, name string) bool
	// change sends a change until it is answered, to one instance after the other from the n-th on.
	change(c *callers, n int, name string) bool
	// checkChanges compares what callers learned with what ran.
	checkChanges(c *callers)
}

// namedLink is a link that faults are injected into.
type namedLink struct {
	name string
	link *deploy.Link
}

// Run runs a soak and returns what broke a promise. The error says that the soak itself could not be run.
func Run(ctx context.Context, o Options) (findings []string, err error) {
	s := &soak{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	s.system = &ownSystem{}
	if o.Edge {
		s.system = &edgeSystem{}
	}
	defer s.close()
	if err := s.deploy(); err != nil {
		return nil, err
	}
	c := newCallers(s)
	if err := s.awaitReady(ctx, startTime); err != nil {
		return nil, err
	}
	stopCallers := c.start(ctx)
	s.injectFaults(ctx)
	s.heal()
	if err := s.awaitReady(ctx, recovery); err != nil {
		s.find("no recovery: %v", err)
	}
	stopCallers()
	c.checkRecovery(ctx)
	s.system.checkChanges(c)
	for id, n := range s.system.keysSeen() {
		if n > 0 {
			s.find("target %s saw a caller's key %d times", id, n)
		}
	}
	c.report()
	return s.findings, nil
}

func (s *soak) find(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

// forward returns the address of a proxy before another address, with a link of its own.
func (s *soak) forward(name, address string) (string, error) {
	link := deploy.NewLink(oneWay)
	f, err := deploy.NewForwarder(address, link)
	if err != nil {
		return "", err
	}
	s.links = append(s.links, namedLink{name, link})
	s.closers = append(s.closers, f.Close)
	return f.Address(), nil
}

// deploy starts everything.
func (s *soak) deploy() error {
	var err error
	if s.own, err = FreeAddresses(3 * s.Instances); err != nil {
		return err
	}
	if err := s.system.deploy(s); err != nil {
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

// The ports of instances lie below the range from which the kernel takes those of outgoing connections, so that none is
// taken while its instance restarts. Processes that run at the same time take them from ranges of their own, so that none takes
// the port of an instance of another that is down.
const (
	firstPort = 20000
	lastPort  = 32000
	// portRanges of portsApart each lie between them: 40 instances.
	portRanges = 100
	portsApart = 120
)

// FreeAddresses returns addresses on loopback that nobody listens on.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	for port := firstPort + os.Getpid()%portRanges*portsApart; len(out) < n; port++ {
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

func (s *soak) awaitReady(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, i := range s.instances {
		for !i.ready(ctx) {
			if time.Now().After(end) {
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
		i.end()
	}
	for k := len(s.closers) - 1; k >= 0; k-- {
		s.closers[k]()
	}
}

// ready asks an instance past its proxy.
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

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
