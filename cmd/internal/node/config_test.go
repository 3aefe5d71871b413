package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/document"
)

// fleet is a set of real entry instances in this process, each with its own proxy to the platform.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	nodes    map[string]*member
	// listRevision is the revision of the newest published instance list.
	listRevision document.Revision
}

type member struct {
	node *Node
	zone string
	// platformDown makes this instance's requests to the platform fail. stalePlatform, if set, answers them instead of the
	// fleet's platform.
	platformDown  atomic.Bool
	stalePlatform atomic.Pointer[standin.Platform]
	// newestRevision is the highest document revision that this instance has had in force.
	newestRevision document.Revision
	seeds          []string
	// stop ends the instance and waits for it.
	stop context.CancelFunc
	done chan struct{}
}

// proxyPlatform answers a request of the instance to the platform.
func (m *member) proxyPlatform(w http.ResponseWriter, r *http.Request, p *standin.Platform) {
	if m.platformDown.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if stale := m.stalePlatform.Load(); stale != nil {
		p = stale
	}
	p.ServeHTTP(w, r)
}

func (f *fleet) add(id, zone string, options ...func(*member)) *member {
	m := &member{zone: zone, done: make(chan struct{})}
	for _, option := range options {
		option(m)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.proxyPlatform(w, r, f.platform) }))
	s := settings.Default()
	s.ID, s.Zone, s.Platform = id, zone, server.URL
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Siblings: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Drain.Notice = 0
	s.Siblings = m.seeds
	n, err := New(s, zerolog.Nop())
	if err != nil {
		f.t.Fatal(err)
	}
	m.node = n
	ctx, cancel := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	var once sync.Once
	m.stop = func() { once.Do(func() { cancel(); cancelAbort(); <-m.done; server.Close() }) }
	f.nodes[id] = m
	f.t.Cleanup(m.stop)
	go func() {
		defer close(m.done)
		if err := n.Run(ctx, abort); err != nil {
			f.t.Errorf("%s: %v", id, err)
		}
	}()
	return m
}

// publishList publishes a new instance list of all instances of the fleet.
func (f *fleet) publishList() {
	f.listRevision++
	list := &document.InstanceList{Revision: f.listRevision}
	for id, m := range f.nodes {
		list.Instances = append(list.Instances, document.Instance{
			ID: id, Kind: document.KindEntry, Zone: m.zone, Address: m.node.CallersAddress(),
			PeerAddress: m.node.siblingsListener.Addr().String(), State: document.StateLive,
		})
	}
	if err := f.platform.PublishInstances(list); err != nil {
		f.t.Fatal(err)
	}
}

// fleetDocument returns a document with two services, of which "open" needs no key. limit is the isolation limit.
func fleetDocument(revision document.Revision, limit document.Seconds, keys ...string) *document.Document {
	d := &document.Document{
		Revision:      revision,
		Organisations: []document.Organisation{{Name: "host", IsHost: true, Rate: 1e5, Burst: 1e5, Weight: 1}},
		Services: []document.Service{
			{Name: "keyed", Sharded: true, Slots: 1, MaxConnections: 1},
			{Name: "open", Sharded: true, KeyOptional: true, Slots: 1, MaxConnections: 1},
		},
		Isolation:    document.Isolation{KeyedLimit: limit},
		ChangeWindow: 60,
	}
	for _, k := range keys {
		d.Organisations[0].Keys = append(d.Organisations[0].Keys, document.Key{ID: k, SHA256: caller.Digest(k)})
	}
	for _, z := range []string{"a", "b", "c"} {
		d.Zones = append(d.Zones, document.Zone{Name: z, RateFraction: 0.33})
	}
	return d
}

func (f *fleet) publish(d *document.Document) {
	if err := f.platform.PublishDocument(d); err != nil {
		f.t.Fatal(err)
	}
}

// await polls until done returns true. It fails the test after limit, or if an instance reverts to an older document.
func (f *fleet) await(limit time.Duration, what string, done func() bool) {
	f.t.Helper()
	start := time.Now()
	for !done() {
		if time.Since(start) > limit {
			f.t.Fatalf("%s: not within %v", what, limit)
		}
		f.requireNoRevert()
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Logf("%s: %v", what, time.Since(start).Round(time.Millisecond))
}

// requireNoRevert fails the test if an instance has an older document in force than before.
func (f *fleet) requireNoRevert() {
	f.t.Helper()
	for id, m := range f.nodes {
		r := m.node.loop.Snapshot().DocumentHistory.Revision
		if r < m.newestRevision {
			f.t.Fatalf("%s reverted from revision %d to %d", id, m.newestRevision, r)
		}
		m.newestRevision = r
	}
}

// inForceEverywhere returns a condition that is true if every instance has the document revision in force.
func (f *fleet) inForceEverywhere(revision document.Revision) func() bool {
	return func() bool {
		for _, m := range f.nodes {
			if m.node.loop.Snapshot().DocumentHistory.Revision != revision {
				return false
			}
		}
		return true
	}
}

// queryCode sends a query to the instance and returns the code of its refusal, empty if there is none.
func (m *member) queryCode(service, key string) string {
	body, _ := json.Marshal(map[string]string{"query": "x"})
	req, _ := http.NewRequest(http.MethodPost, "http://"+m.node.CallersAddress()+"/v1/services/"+service+"/query", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Code string `json:"code"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&reply)
	return reply.Code
}

// Guards, with real instances, against a document that is not in force everywhere in time, a withdrawn key that is still
// accepted, a new instance that starts with the old document of a stale platform, a lost reader of the platform that is
// not replaced, and an isolated instance that still serves requests with keys.
func TestConfigurationOfRealInstances(t *testing.T) {
	const inForce = 4 * time.Second
	const admitted = "no_target" // an admitted request is refused with this code, since there are no targets
	f := &fleet{t: t, platform: standin.NewPlatform(), nodes: map[string]*member{}}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 3 {
			f.add(fmt.Sprintf("%s-%d", zone, i), zone)
		}
	}
	f.publishList()
	f.publish(fleetDocument(1, 60, "k1", "k2"))
	f.await(10*time.Second, "ready", func() bool {
		for _, m := range f.nodes {
			if !m.node.tier.Ready() {
				return false
			}
		}
		return true
	})
	for id, m := range f.nodes {
		f.await(inForce, id+" serves k1", func() bool { return m.queryCode("keyed", "k1") == admitted })
	}

	for _, m := range f.nodes {
		m.platformDown.Store(m.zone != "b")
	}
	f.publish(fleetDocument(2, 60, "k2"))
	f.await(inForce, "in force with the platform down for two zones", f.inForceEverywhere(2))
	for id, m := range f.nodes {
		if got := m.queryCode("keyed", "k1"); got != string(caller.CodeUnauthenticated) {
			t.Errorf("%s: withdrawn key: code %q", id, got)
		}
	}

	stale := standin.NewPlatform()
	if err := stale.PublishDocument(fleetDocument(1, 60, "k1", "k2")); err != nil {
		t.Fatal(err)
	}
	entries := f.nodes["b-0"].node.loop.Snapshot().List.Instances
	if err := stale.PublishInstances(&document.InstanceList{Revision: 1, Instances: entries}); err != nil {
		t.Fatal(err)
	}
	late := f.add("a-9", "a", func(m *member) { m.stalePlatform.Store(stale) })
	f.publishList()
	f.await(10*time.Second, "new instance with a stale platform ready", late.node.tier.Ready)
	if got := late.node.loop.Snapshot().DocumentHistory.Revision; got != 2 {
		t.Errorf("new instance became ready with revision %d, want 2", got)
	}

	seeded := f.add("a-8", "a", func(m *member) {
		m.platformDown.Store(true)
		m.seeds = []string{"127.0.0.1:1", f.nodes["b-0"].node.siblingsListener.Addr().String()}
	})
	f.await(15*time.Second, "new instance with the platform down ready by its seeds", seeded.node.tier.Ready)
	f.publishList()

	for id, m := range f.nodes {
		m.platformDown.Store(false)
		if id == "a-0" || id == "b-1" || id == "c-2" {
			m.stop()
			delete(f.nodes, id)
		}
	}
	f.publish(fleetDocument(3, 2, "k2"))
	f.await(inForce, "in force with an instance of each zone lost", f.inForceEverywhere(3))

	var last *member
	for id, m := range f.nodes {
		m.platformDown.Store(true)
		if m.zone != "b" {
			m.stop()
			delete(f.nodes, id)
		} else {
			last = m
		}
	}
	f.await(10*time.Second, "keyed requests refused in the zone cut off", func() bool {
		return last.queryCode("keyed", "k2") == string(caller.CodeIsolated)
	})
	if got := last.queryCode("open", ""); got != admitted {
		t.Errorf("open route in the zone cut off: code %q", got)
	}
}
