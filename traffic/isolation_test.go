package traffic

import (
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
)

// publishedControl serves the snapshots of a control state that the test advances.
type publishedControl struct {
	Control
	state *control.State
}

func (p publishedControl) Snapshot() *control.Snapshot { return p.state.Snapshot() }

func isolationDocument(revision document.Revision, keys ...string) *document.Document {
	d := &document.Document{
		Revision: revision,
		Organisations: []document.Organisation{
			{Name: "host", IsHost: true, Rate: 1000, Burst: 1000, Weight: 1},
			{Name: "tenant", Rate: 1000, Burst: 1000, Weight: 1},
		},
		Services: []document.Service{
			{Name: "keyed", Sharded: true, Slots: 1, MaxConnections: 1},
			{Name: "open", Sharded: true, KeyOptional: true, Slots: 1, MaxConnections: 1},
		},
		Zones:        []document.Zone{{Name: "a", RateFraction: 1}},
		Isolation:    document.Isolation{KeyedLimit: 10},
		ChangeWindow: 60,
	}
	for _, k := range keys {
		d.Organisations[1].Keys = append(d.Organisations[1].Keys, document.Key{ID: k, SHA256: caller.Digest(k)})
	}
	return d
}

func newTier(c Control) *QueryTier { return New(c, nil, nil, caller.QueueLimits{MaxRunning: 1}) }

func newPublishedControl(read time.Time) publishedControl {
	p := publishedControl{state: control.NewState(control.Identity{ID: "i", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))}
	source := control.Source{Sent: read}
	p.state.Step(control.InstancesRead{List: &document.InstanceList{Revision: 1}, Source: source}, time.Now())
	p.state.Step(control.DocumentRead{Document: isolationDocument(1, "k1", "k2"), Source: source}, time.Now())
	return p
}

// Guards against an isolated instance, or a process that was suspended, accepting keys that may have been withdrawn.
func TestIsolatedInstanceServesOpenRoutesOnly(t *testing.T) {
	tier := newTier(newPublishedControl(time.Now().Add(-11 * time.Second)))
	if _, refusal := tier.authorize("keyed", caller.Digest("k1")); refusal == nil || refusal.Code != caller.CodeIsolated || refusal.Ran != caller.RanNo {
		t.Fatalf("keyed request 11 s after the last contact, limit 10 s: refusal %v, want isolated", refusal)
	}
	for _, key := range []string{"", "k1"} {
		a, refusal := tier.authorize("open", digestOf(key))
		if refusal != nil || a.organisation.Name != "host" {
			t.Fatalf("open route with key %q: refusal %v", key, refusal)
		}
	}
	if _, refusal := newTier(newPublishedControl(time.Now())).authorize("keyed", caller.Digest("k1")); refusal != nil {
		t.Fatalf("keyed request with a fresh contact: refusal %v", refusal)
	}
}

// Guards against accepting a withdrawn key for a new request or for one that waited.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	p := newPublishedControl(time.Now())
	tier := newTier(p)
	waiting, refusal := tier.authorize("keyed", caller.Digest("k1"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	if _, refusal := tier.reauthorize(waiting); refusal != nil {
		t.Fatalf("recheck with a valid key: %v", refusal)
	}
	p.state.Step(control.DocumentRead{Document: isolationDocument(2, "k2")}, time.Now())
	if _, refusal := tier.reauthorize(waiting); refusal == nil || refusal.Code != caller.CodeUnauthenticated {
		t.Errorf("waiting request with a withdrawn key: refusal %v, want unauthenticated", refusal)
	}
	if _, refusal := tier.authorize("keyed", caller.Digest("k1")); refusal == nil || refusal.Code != caller.CodeUnauthenticated {
		t.Errorf("new request with a withdrawn key: refusal %v, want unauthenticated", refusal)
	}
}

// Guards against new work at an instance that operators took out of service, against refusals before the load balancer
// can detect that, and against refusing changes that are already running.
func TestInstanceOutOfServiceTakesNoNewWork(t *testing.T) {
	for name, takeOut := range map[string]func(*document.Document){
		"zone":     func(d *document.Document) { d.Zones[0].OutOfService = true },
		"instance": func(d *document.Document) { d.InstancesOutOfService = []string{"i"} },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPublishedControl(time.Now())
			tier := newTier(p)
			publish := func(revision document.Revision, out bool, age time.Duration) {
				d := isolationDocument(revision, "k1")
				if out {
					takeOut(d)
				}
				p.state.Step(control.DocumentRead{Document: d}, time.Now().Add(-age))
			}
			key := caller.Digest("k1")
			publish(2, true, outOfServiceGrace/2)
			if _, refusal := tier.authorizeNew("keyed", key); refusal != nil || !tier.Leaving() {
				t.Errorf("within the grace period: refusal %v, leaving %t", refusal, tier.Leaving())
			}
			publish(3, false, 0)
			if s := p.Snapshot(); !s.OutOfServiceSince.IsZero() || tier.Leaving() {
				t.Errorf("back in service: out since %v, leaving %t", s.OutOfServiceSince, tier.Leaving())
			}
			publish(4, true, outOfServiceGrace)
			publish(5, true, 0) // a further document must not restart the grace period
			_, refusal := tier.authorizeNew("keyed", key)
			if refusal == nil || refusal.Code != caller.CodeDraining || refusal.Ran != caller.RanNo {
				t.Errorf("after the grace period: refusal %v, want draining and ran no", refusal)
			}
			if _, refusal := tier.authorize("keyed", key); refusal != nil {
				t.Errorf("change that is already running: refusal %v", refusal)
			}
		})
	}
}

// Guards against an instance out of service that reports ready, so that the load balancer keeps sending requests to it.
func TestInstanceOutOfServiceIsNotReady(t *testing.T) {
	s := &control.Snapshot{Configured: true, RateSharesJoined: true, TargetsPolled: true}
	tier := newTier(fixedControl{snapshot: s})
	if !tier.Ready() {
		t.Fatal("not ready while in service")
	}
	s.OutOfServiceSince = time.Now()
	if tier.Ready() {
		t.Fatal("ready while out of service")
	}
}

// fixedControl always publishes the same snapshot.
type fixedControl struct {
	Control
	snapshot *control.Snapshot
}

func (f fixedControl) Snapshot() *control.Snapshot { return f.snapshot }
