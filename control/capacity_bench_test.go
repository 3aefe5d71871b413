package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/targets"
)

const (
	capacityShards  = 70
	capacityService = "s"
)

// capacityFleet returns a document, a list of entry instances and targets, and the status of each target.
func capacityFleet(entries, targetCount int) (*document.Document, *document.InstanceList, map[string]targets.Status) {
	d := testDocument(1)
	d.Services = []document.Service{{Name: capacityService, Slots: 2, MaxConnections: 25}}
	list := configList(entries)
	manifest := targets.Manifest{Snapshot: 1}
	for i := range capacityShards {
		manifest.Shards = append(manifest.Shards, targets.Shard(fmt.Sprintf("s%02d", i)))
	}
	status := map[string]targets.Status{}
	for i := range targetCount {
		id := fmt.Sprintf("target-%04d", i)
		list.Instances = append(list.Instances, document.Instance{
			ID: id, Kind: document.KindTarget, Service: capacityService, Zone: string(rune('a' + i%7)),
			Address: fmt.Sprintf("127.0.0.1:%d", 10000+i), State: document.StateLive,
		})
		m := targets.Manifest{Snapshot: manifest.Snapshot, Shards: append([]targets.Shard(nil), manifest.Shards...)}
		status[id] = targets.Status{
			Incarnation: id + "/1", State: targets.StateWarm, Slots: 2, Connections: 25, MaxColdRequests: 1,
			Replicas:  []targets.Replica{{Shard: manifest.Shards[i/7%capacityShards], Snapshots: []targets.Snapshot{1}}},
			Manifests: []targets.Manifest{m},
		}
	}
	return d, list, status
}

// BenchmarkCapacity measures the slopes in docs/CAPACITY.md: the longest steps of the control goroutine and its heap,
// after one status read of every target. Every other new list lacks one entry instance, as after a replacement.
func BenchmarkCapacity(b *testing.B) {
	for _, size := range []struct{ entries, targets int }{{8, 60}, {64, 400}, {256, 1700}, {1200, 6700}} {
		name := fmt.Sprintf("entries=%d/targets=%d", size.entries, size.targets)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d, list, status := capacityFleet(size.entries, size.targets)
		s := NewState(Identity{ID: "entry-0000", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1000, 0)
		s.Step(DocumentRead{Document: d}, now)
		s.Step(InstancesRead{List: list}, now)
		for id, st := range status {
			s.Step(TargetStatusRead{ID: id, Status: st}, now)
		}
		// The assignment of connections is due a second after the shards are known, and after 15 s the steps of joining the
		// rate shares are over.
		for range 15 * 50 {
			now = now.Add(refillInterval)
			s.Step(Tick{}, now)
		}
		snapshot := s.Snapshot()
		first := fmt.Sprintf("target-%04d", 0)
		st := status[first]
		status = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		runtime.KeepAlive(snapshot)

		run := func(what string, f func()) {
			b.Run(name+"/"+what, func(b *testing.B) {
				b.ReportAllocs()
				var longest time.Duration
				for b.Loop() {
					start := time.Now()
					f()
					longest = max(longest, time.Since(start))
				}
				b.ReportMetric(float64(longest.Nanoseconds()), "longest-ns")
				b.ReportMetric(float64(heap), "live-bytes")
			})
		}
		reads := 0
		run("tick", func() {
			now = now.Add(refillInterval)
			for _, e := range s.Step(Tick{}, now).Effects {
				if _, ok := e.(ReadTargetStatus); ok {
					reads++
				}
			}
		})
		run("status", func() { s.Step(TargetStatusRead{ID: first, Status: st}, now) })
		run("snapshot", func() { runtime.KeepAlive(s.Snapshot()) })
		revision := list.Revision
		run("list", func() {
			now = now.Add(time.Second)
			revision++
			next := &document.InstanceList{Revision: revision, Instances: list.Instances}
			if revision%2 == 0 {
				next.Instances = append(append([]document.Instance(nil), list.Instances[:1]...), list.Instances[2:]...)
			}
			s.Step(InstancesRead{List: next}, now)
		})
		run("document", func() {
			now = now.Add(time.Second)
			next := *d
			d = &next
			d.Revision++
			s.Step(DocumentRead{Document: d}, now)
		})
	}
}

// BenchmarkCapacityStart measures the start of an instance: the step of the first list, when no shards are known, and the
// steps of the status of each target with the snapshot that the loop publishes after each change.
func BenchmarkCapacityStart(b *testing.B) {
	for _, size := range []struct{ entries, targets int }{{8, 60}, {64, 400}, {256, 1700}, {1200, 6700}} {
		b.Run(fmt.Sprintf("entries=%d/targets=%d", size.entries, size.targets), func(b *testing.B) {
			d, list, status := capacityFleet(size.entries, size.targets)
			text, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			report, err := json.Marshal(status["target-0000"])
			if err != nil {
				b.Fatal(err)
			}
			var first, statuses time.Duration
			reads, snapshots := 0, 0
			for b.Loop() {
				s := NewState(Identity{ID: "entry-0000", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
				now := time.Unix(1000, 0)
				s.Step(DocumentRead{Document: d}, now)
				start := time.Now()
				ready := s.Step(InstancesRead{List: list}, now)
				first += time.Since(start)
				for _, e := range ready.Effects {
					if _, ok := e.(ReadTargetStatus); ok {
						reads++
					}
				}
				start = time.Now()
				for id, st := range status {
					if s.Step(TargetStatusRead{ID: id, Status: st}, now).SnapshotChanged {
						snapshots++
						runtime.KeepAlive(s.Snapshot())
					}
				}
				statuses += time.Since(start)
			}
			n := float64(b.N)
			b.ReportMetric(float64(first.Milliseconds())/n, "first-list-ms")
			b.ReportMetric(float64(statuses.Milliseconds())/n, "statuses-ms")
			b.ReportMetric(float64(reads)/n, "reads-at-once")
			b.ReportMetric(float64(snapshots)/n, "snapshots")
			b.ReportMetric(float64(len(text)), "list-bytes")
			b.ReportMetric(float64(len(report)), "status-bytes")
		})
	}
}

// BenchmarkCapacityPulls counts the pulls of tokens in one zone in which each instance gets 150 requests a second, spread
// over the organisations. Together this is 90% of the rates.
func BenchmarkCapacityPulls(b *testing.B) {
	const perTick, ticks = 3, 150
	for _, n := range []int{9, 48, 171} {
		for _, organisations := range []int{3, 30} {
			b.Run(fmt.Sprintf("instances=%d/organisations=%d", n, organisations), func(b *testing.B) {
				for b.Loop() {
					s := newSim(1)
					rate := 150 * float64(n) / 0.9 / float64(organisations)
					d := simDocument(rate, rate, map[string]float64{"a": 1})
					d.Organisations = d.Organisations[:1]
					for i := range organisations - 1 {
						d.Organisations = append(d.Organisations, document.Organisation{
							Name: fmt.Sprintf("o-%d", i), Rate: rate, Burst: rate, Weight: 1,
						})
					}
					s.publishDocument(d)
					for range n {
						s.add("a")
					}
					s.publish()
					s.advance(12 * time.Second)
					received := map[string]int{}
					offer := func() (refused int) {
						for tick := range ticks {
							s.advance(refillInterval)
							for i, in := range s.instances {
								pools := in.state.rates
								for k := range perTick {
									o := d.Organisations[(tick*perTick+k+i)%organisations].Name
									if !pools.pool(o).Take(in.clock) {
										refused++
									}
								}
							}
						}
						return refused
					}
					offer()
					// The simulation calls cut twice for each message: when it is sent and when it arrives.
					s.cut = func(_, to *simInstance) bool { received[to.id]++; return false }
					pulls, messages := s.pulls, s.messages
					refused := offer()
					seconds := (ticks * refillInterval).Seconds()
					busiest := 0
					for _, r := range received {
						busiest = max(busiest, r/2)
					}
					b.ReportMetric(float64(s.pulls-pulls)/seconds/float64(n), "pulls/s/instance")
					b.ReportMetric(2*float64(s.messages-messages)/seconds/float64(n), "messages/s/instance")
					b.ReportMetric(2*float64(busiest)/seconds, "messages/s-at-busiest")
					b.ReportMetric(100*float64(refused)/float64(n*ticks*perTick), "%refused")
				}
			})
		}
	}
}
