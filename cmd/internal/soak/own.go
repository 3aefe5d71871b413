package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/load"
	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/document"
)

// nativeEnvironment runs instances with the product's native interface and the emulated targets and platform of package
// standin.
type nativeEnvironment struct {
	fleet *standin.Fleet

	mu      sync.Mutex
	changes map[string]load.ChangeResult // by idempotency key
}

func (o *nativeEnvironment) deploy(s *soak) error {
	o.changes = map[string]load.ChangeResult{}
	services := []standin.ServiceOptions{
		{Name: "search", Shards: 4, Replicas: 2, Slots: 16, Connections: 100, ServiceTime: 5 * time.Millisecond},
		{Name: "orders", Replicas: 3, Slots: 16, Connections: 100, ServiceTime: 5 * time.Millisecond},
	}
	var err error
	if o.fleet, err = standin.NewFleet(services, zones, standin.WithSeed(s.Seed), standin.WithSecrets(callerKey)); err != nil {
		return err
	}
	s.closers = append(s.closers, o.fleet.Close)
	list := &document.InstanceList{Revision: 1}
	for _, t := range o.fleet.Instances {
		if t.Address, err = s.addProxy("target "+t.ID, t.Address); err != nil {
			return err
		}
		list.Instances = append(list.Instances, t)
	}
	doc := &document.Document{
		Revision: 1,
		Organisations: []document.Organisation{{
			Name: organisation, IsHost: true, Rate: 1e5, Burst: 1e5, Weight: 1, Keys: []document.Key{{ID: "k", SHA256: caller.Digest(callerKey)}},
		}},
		Isolation: document.Isolation{KeyedLimit: 600}, ChangeWindow: 600,
	}
	for _, v := range services {
		doc.Services = append(doc.Services, document.Service{Name: v.Name, Sharded: v.Shards > 0, Slots: v.Slots, MaxConnections: v.Connections})
	}
	for _, z := range zones {
		doc.Zones = append(doc.Zones, document.Zone{Name: z, RateFraction: 1 / float64(len(zones))})
	}
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform)
	s.closers = append(s.closers, server.CloseClientConnections)
	for n := range s.Instances {
		i, entry, err := s.newInstance(n, zones[n%len(zones)], server.Listener.Addr().String())
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
		list.Instances = append(list.Instances, entry)
	}
	if err := platform.PublishDocument(doc); err != nil {
		return err
	}
	return platform.PublishInstances(list)
}

// newInstance writes the settings file of instance n, adds its proxies, and returns the instance and its entry in the
// platform's instance list.
func (s *soak) newInstance(n int, zone, platformAddress string) (*instance, document.Instance, error) {
	id := fmt.Sprintf("entry-%d", n)
	addresses := s.instanceAddresses[3*n : 3*n+3] // for callers, siblings and operators
	callers, err := s.addProxy(id+" callers", addresses[0])
	if err != nil {
		return nil, document.Instance{}, err
	}
	siblings, err := s.addProxy(id+" siblings", addresses[1])
	if err != nil {
		return nil, document.Instance{}, err
	}
	platform, err := s.addProxy(id+" platform", platformAddress)
	if err != nil {
		return nil, document.Instance{}, err
	}
	settings := filepath.Join(s.Dir, id+".yaml")
	text := fmt.Sprintf("id: %s\nzone: %s\nplatform: http://%s\nlisten: {callers: %q, siblings: %q, operators: %q}\ndrain: {notice: 300ms, limit: 10s}\nlog: {failures: 1000}\n",
		id, zone, platform, addresses[0], addresses[1], addresses[2])
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, document.Instance{}, err
	}
	i := &instance{
		soak: s, id: id, logPath: settings + ".log", args: []string{"--settings", settings}, callersAddress: callers, boundAddress: addresses[0],
		readyURL: "http://" + addresses[0] + "/ready",
	}
	return i, document.Instance{
		ID: id, Kind: document.KindEntry, Zone: zone, State: document.StateLive, Address: callers, PeerAddress: siblings,
	}, nil
}

func (o *nativeEnvironment) fault(s *soak) fault {
	targets := o.fleet.Select("", "", "")
	t := targets[s.rng.IntN(len(targets))]
	kinds := []standin.Faults{
		{Straggle: 0.5, StraggleMS: 300}, {Shed: 0.5}, {Late: 0.3, LateMS: 200}, {Cross: 0.2}, {Duplicate: 0.3}, {ReportLagMS: 1000, ReportWarm: true},
	}
	if n := s.rng.IntN(len(kinds) + 2); n < len(kinds) {
		return fault{name: "target fault", begin: func() { t.SetFaults(kinds[n]) }, end: func() { t.SetFaults(standin.Faults{}) }}
	} else if n == len(kinds) {
		return fault{name: "target silent", begin: t.SilenceConnections, end: func() {}}
	}
	return fault{name: "target cold", begin: t.BeginColdStart, end: func() {}}
}

func (o *nativeEnvironment) clearTargetFaults() {
	for _, t := range o.fleet.Select("", "", "") {
		t.SetFaults(standin.Faults{})
	}
}

// The load is not varied, and nothing is checked on idle instances.
func (o *nativeEnvironment) varyLoad(context.Context, *soak, *callers, bool, time.Duration) {}
func (o *nativeEnvironment) calmTime(*soak) time.Duration                                   { return 0 }
func (o *nativeEnvironment) startOthers(context.Context, *callers) func()                   { return func() {} }
func (o *nativeEnvironment) checkIdle(context.Context, *soak)                               {}

func (o *nativeEnvironment) keysSeen() map[string]int {
	out := map[string]int{}
	for id, n := range o.fleet.Counters() {
		out[id] = n.KeysSeen
	}
	return out
}

func (o *nativeEnvironment) query(c *callers, to *instance, text string) bool {
	r := o.send(c, to, "search/query", map[string]string{"query": text}, "")
	if r == nil || r.Code != "" {
		return false
	}
	for _, wrong := range load.UntruthfulAnswer(text, r, o.fleet.Shards("search", r.Snapshot)) {
		c.soak.addFinding("query %q at %s: %s", text, to.id, wrong)
	}
	return true
}

func (o *nativeEnvironment) change(c *callers, n int, name string) bool {
	for attempt := range maxAttempts {
		to := c.soak.instances[(n+attempt)%len(c.soak.instances)]
		r := o.send(c, to, "orders/changes", map[string]string{"change": name}, name)
		o.mu.Lock()
		result := o.changes[name]
		result.Sent++
		answered := r != nil && r.Code == ""
		switch {
		case answered:
			result.Answered++
		case r != nil && r.Ran == string(caller.RanNo):
			result.NotRun++
		}
		o.changes[name] = result
		o.mu.Unlock()
		if answered {
			if want := standin.Outcome(name); r.Outcome != want {
				c.soak.addFinding("change %s at %s: outcome %q, want %q", name, to.id, r.Outcome, want)
			}
			return true
		}
		time.Sleep(callerPause)
	}
	return false
}

// send sends a request and returns the decoded response, nil if none arrived completely.
func (o *nativeEnvironment) send(c *callers, to *instance, path string, body map[string]string, idempotencyKey string) *load.Response {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+time.Second)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings always encode
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callersAddress+"/v1/services/"+path, bytes.NewReader(text))
	if err != nil {
		c.soak.addFinding("%v", err)
		return nil
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Drift-Timeout-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if idempotencyKey != "" {
		// net/http resends a request with an idempotency key by itself, but does not recognise the header in this spelling.
		r.Header["idempotency-key"] = []string{idempotencyKey}
	}
	response, err := c.client.Do(r)
	if err != nil {
		c.count("no response")
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	out := &load.Response{}
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		c.count("response cut off")
		return nil
	}
	if response.StatusCode != http.StatusOK && out.Code == "" {
		c.soak.addFinding("status %d without a code from %s", response.StatusCode, to.id)
	}
	c.count(strings.TrimSpace("answer " + out.Code))
	return out
}

func (o *nativeEnvironment) checkChanges(c *callers) {
	runs := o.fleet.ChangeRuns()
	for name, result := range o.changes {
		for _, wrong := range load.UntruthfulChange(name, result, runs[standin.ChangeKey(organisation, name)]) {
			c.soak.addFinding("%s", wrong)
		}
	}
}
