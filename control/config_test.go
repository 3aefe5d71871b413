package control

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

func configList(entries int) *document.InstanceList {
	l := &document.InstanceList{Revision: 1}
	for i := range entries {
		l.Instances = append(l.Instances, document.Instance{
			ID: fmt.Sprintf("entry-%04d", i), Kind: document.KindEntry, Zone: string(rune('a' + i%7)),
			Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:1", State: document.StateLive,
		})
	}
	return l
}

// Guards against a stale read of the platform that reverts the instance list.
func TestListRevisionsOnlyRise(t *testing.T) {
	s := NewState(Identity{ID: "i", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	newer := configList(3)
	newer.Revision = 2
	s.Step(InstancesRead{List: newer}, now)
	s.Step(InstancesRead{List: configList(8)}, now)
	if got := s.Snapshot(); got.List.Revision != 2 || len(got.Members) != 3 {
		t.Fatalf("list of revision %d with %d members is in force, want 2 with 3", got.List.Revision, len(got.Members))
	}
}

// Guards against targets and zones that operators took out of service and that are still usable in the next snapshot.
func TestTakenOutWithTheNextSnapshot(t *testing.T) {
	for name, take := range map[string]func(*document.Document){
		"target": func(d *document.Document) { d.InstancesOutOfService = []string{"t"} },
		"zone":   func(d *document.Document) { d.Zones[0].OutOfService = true },
	} {
		s := NewState(Identity{ID: "i", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1000, 0)
		newDocument := func(r document.Revision) *document.Document {
			d := testDocument(r)
			d.Services = []document.Service{{Name: "s", Slots: 1, MaxConnections: 1}}
			return d
		}
		list := &document.InstanceList{Revision: 1, Instances: []document.Instance{{
			ID: "t", Kind: document.KindTarget, Service: "s", Zone: "a", Address: "127.0.0.1:1", State: document.StateLive,
		}}}
		s.Step(DocumentRead{Document: newDocument(1)}, now)
		s.Step(InstancesRead{List: list}, now)
		s.Step(TargetStatusRead{ID: "t", Status: targets.Status{Incarnation: "t/1", State: targets.StateWarm, Slots: 1}}, now)
		if v := s.Snapshot().Targets["s"]; v == nil || len(v.Targets) != 1 {
			t.Fatalf("%s: the target is not usable before it is taken out of service", name)
		}
		next := newDocument(2)
		take(next)
		if ready := s.Step(DocumentRead{Document: next}, now); !ready.SnapshotChanged {
			t.Errorf("%s: no new snapshot", name)
		}
		if v := s.Snapshot().Targets["s"]; v != nil && len(v.Targets) != 0 {
			t.Errorf("%s: still usable in the next snapshot", name)
		}
	}
}

// Guards against an instance that is configured before a sibling has replied, and against a time limit for keyed requests
// that does not move with proofs of contact, or is missing or lies in the future without any proof.
func TestConfiguredAndKeyedUntilFollowSiblings(t *testing.T) {
	s := NewState(Identity{ID: "entry-0000", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	s.Step(InstancesRead{List: configList(2), Source: Source{SiblingID: "entry-0001"}}, now)
	s.Step(DocumentRead{Document: testDocument(5), Source: Source{SiblingID: "entry-0001"}}, now)
	if s.Snapshot().Configured {
		t.Error("configured before a sibling replied")
	}
	if until := s.Snapshot().KeyedRequestsUntil; until.IsZero() || until.After(now) {
		t.Errorf("keyed requests are served until %v without proof of contact", until)
	}
	reply := HeartbeatReplyReceived{Sent: now, Heartbeat: sibling.Heartbeat{ID: "entry-0001", Zone: "b", DocumentRevision: 5}}
	if ready := s.Step(reply, now); !ready.SnapshotChanged || !s.Snapshot().Configured {
		t.Error("not configured after the sibling replied")
	}
	limit := testDocument(5).Isolation.KeyedLimit.Duration()
	if until := s.Snapshot().KeyedRequestsUntil; !until.Equal(now.Add(limit)) {
		t.Errorf("keyed requests are served until %v, want %v", until, now.Add(limit))
	}
	reply.Sent = now.Add(limit / 2)
	if ready := s.Step(reply, reply.Sent); !ready.SnapshotChanged {
		t.Error("no new snapshot after the time limit of keyed requests moved")
	}
}

// BenchmarkConfigurationMemory measures the live heap of the configuration: the state with its document, its list
// and the index of keys.
func BenchmarkConfigurationMemory(b *testing.B) {
	for _, size := range []struct{ entries, keys int }{{8, 0}, {64, 0}, {256, 0}, {1200, 0}, {8, 100}, {8, 1000}, {8, 10000}} {
		b.Run(fmt.Sprintf("%d instances, %d keys", size.entries, size.keys), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := NewState(Identity{ID: "entry-0000", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
				d := testDocument(1)
				for i := range size.keys {
					d.Organisations[0].Keys = append(d.Organisations[0].Keys, document.Key{ID: fmt.Sprint(i), SHA256: fmt.Sprintf("%064x", i)})
				}
				text := make([]byte, 94*size.keys)
				now := time.Unix(1000, 0)
				list := configList(size.entries)
				s.Step(InstancesRead{List: list, Source: Source{Content: document.Content{Bytes: make([]byte, 160*size.entries)}}}, now)
				s.Step(DocumentRead{Document: d, Source: Source{Content: document.Content{Bytes: text}}}, now)
				for _, m := range s.members {
					s.Step(HeartbeatReceived{Heartbeat: sibling.Heartbeat{ID: m.ID, Zone: m.Zone, DocumentRevision: 1, ListRevision: 1}}, now)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "live-bytes")
		})
	}
}
