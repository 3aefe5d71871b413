// Package soak runs real instances as processes on one machine, injects random faults from outside of them, and checks
// the promises by what callers and targets see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/deploy"
	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/document"
)

// Options of a soak.
type Options struct {
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Instances is the number of processes.
	Instances int
	// Command starts an instance, with "--settings FILE" added; Env is added to its environment.
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
	fleet     *standin.Fleet
	platform  *httptest.Server
	instances []*instance
	links     []namedLink
	closers   []func()
	own       []string // addresses of the instances themselves

	mu       sync.Mutex
	findings []string
}

// namedLink is a link that faults are injected into.
type namedLink struct {
	name string
	link *deploy.Link
}

// Run runs a soak and returns what broke a promise. The error says that the soak itself could not be run.
func Run(ctx context.Context, o Options) (findings []string, err error) {
	s := &soak{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 1))}
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
	c.checkChanges()
	for id, n := range s.fleet.Counters() {
		if n.KeysSeen > 0 {
			s.find("target %s saw a caller's key %d times", id, n.KeysSeen)
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

// deploy starts the stand-ins and the instances, each connection through a proxy.
func (s *soak) deploy() error {
	zones := []string{"a", "b", "c"}
	services := []standin.ServiceOptions{
		{Name: "search", Shards: 4, Replicas: 2, Slots: 16, Connections: 100, ServiceTime: 5 * time.Millisecond},
		{Name: "orders", Replicas: 3, Slots: 16, Connections: 100, ServiceTime: 5 * time.Millisecond},
	}
	var err error
	if s.fleet, err = standin.NewFleet(services, zones, standin.WithSeed(s.Seed), standin.WithSecrets(key)); err != nil {
		return err
	}
	s.closers = append(s.closers, s.fleet.Close)
	list := &document.InstanceList{Revision: 1}
	for _, t := range s.fleet.Instances {
		if t.Address, err = s.forward("target "+t.ID, t.Address); err != nil {
			return err
		}
		list.Instances = append(list.Instances, t)
	}
	doc := &document.Document{
		Revision: 1,
		Organisations: []document.Organisation{{
			Name: organisation, Host: true, Rate: 1e5, Burst: 1e5, Weight: 1, Keys: []document.Key{{ID: "k", SHA256: caller.Digest(key)}},
		}},
		Isolation: document.Isolation{KeyedLimit: 600}, ChangeWindow: 600,
	}
	for _, o := range services {
		doc.Services = append(doc.Services, document.Service{Name: o.Name, Sharded: o.Shards > 0, Slots: o.Slots, Connections: o.Connections})
	}
	for _, z := range zones {
		doc.Zones = append(doc.Zones, document.Zone{Name: z, RateFraction: 1 / float64(len(zones))})
	}
	platform := standin.NewPlatform()
	s.platform = httptest.NewServer(platform)
	s.closers = append(s.closers, s.platform.CloseClientConnections)
	if s.own, err = FreeAddresses(3 * s.Instances); err != nil {
		return err
	}
	for n := range s.Instances {
		i, entry, err := s.newInstance(n, zones[n%len(zones)])
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
		list.Instances = append(list.Instances, entry)
	}
	if err := platform.PublishDocument(doc); err != nil {
		return err
	}
	if err := platform.PublishInstances(list); err != nil {
		return err
	}
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// The ports of instances lie below the range from which the kernel takes those of outgoing connections, so that none is
// taken while its instance restarts. Processes that run at the same time begin at different ones.
const (
	firstPort    = 20000
	lastPort     = 32000
	processPorts = 1000
	portsApart   = 10
)

// FreeAddresses returns addresses on loopback that nobody listens on.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	for port := firstPort + os.Getpid()%processPorts*portsApart; len(out) < n; port++ {
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

// newInstance writes the settings of an instance and returns its entry in the platform's list.
func (s *soak) newInstance(n int, zone string) (*instance, document.Instance, error) {
	id := fmt.Sprintf("entry-%d", n)
	own := s.own[3*n : 3*n+3] // for callers, siblings and operators
	callers, err := s.forward(id+" callers", own[0])
	if err != nil {
		return nil, document.Instance{}, err
	}
	siblings, err := s.forward(id+" siblings", own[1])
	if err != nil {
		return nil, document.Instance{}, err
	}
	platform, err := s.forward(id+" platform", s.platform.Listener.Addr().String())
	if err != nil {
		return nil, document.Instance{}, err
	}
	settings := filepath.Join(s.Dir, id+".yaml")
	text := fmt.Sprintf("id: %s\nzone: %s\nplatform: http://%s\nlisten: {callers: %q, siblings: %q, operators: %q}\ndrain: {notice: 300ms, limit: 10s}\nlog: {failures: 1000}\n",
		id, zone, platform, own[0], own[1], own[2])
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, document.Instance{}, err
	}
	i := &instance{soak: s, id: id, settings: settings, callers: callers, direct: own[0]}
	return i, document.Instance{
		ID: id, Kind: document.KindEntry, Zone: zone, State: document.StateLive, Address: callers, PeerAddress: siblings,
	}, nil
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
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.direct+"/ready", nil)
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
