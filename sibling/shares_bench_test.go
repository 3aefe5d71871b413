package sibling

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dogwooddrift.org/drift/platform"
)

// activeShares returns an instance that is alone in its zone and has joined, among others in a second zone.
func activeShares(organisations, instances int) (*Shares, time.Time) {
	now := time.Unix(1_000_000, 0)
	s := NewShares("a-0", "a", rand.New(rand.NewPCG(1, 1)), now)
	doc := &platform.Document{Revision: 1, Zones: []platform.Zone{{Name: "a", RateFraction: 0.5}, {Name: "b", RateFraction: 0.5}}}
	for i := range organisations {
		doc.Organisations = append(doc.Organisations, platform.Organisation{Name: fmt.Sprintf("organisation-%d", i), Rate: 100, Burst: 100})
	}
	members := Members{{ID: "a-0", Zone: "a"}}
	for i := range instances - 1 {
		members = append(members, Member{ID: fmt.Sprintf("b-%d", i), Zone: "b"})
	}
	s.SetMembers(members, now)
	s.Configure(doc, now)
	for range 60 {
		now = now.Add(roundInterval)
		s.InstancesConfirmed(now)
		s.Tick(now)
	}
	return s, now
}

// BenchmarkRound measures the settlement of every account and one round of pulls, with a tenth of the
// organisations busy. Its time, ten times a second, is the processor time of rate shares without the messages.
func BenchmarkRound(b *testing.B) {
	for _, instances := range []int{8, 171, 1200} {
		for _, organisations := range []int{10, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("instances=%d/organisations=%d", instances, organisations), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s, now := activeShares(organisations, instances)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(organisations), "B/organisation")
				wants := 0
				b.ResetTimer()
				for range b.N {
					now = now.Add(roundInterval)
					i := 0
					for _, a := range s.accounts {
						stock := Stock{Own: int64(a.deposited / nano), Elapsed: roundInterval}
						if i++; i%10 == 0 {
							stock.Demand = 10
						}
						s.Settle(a, stock, now)
					}
					for _, e := range s.Tick(now) {
						if p, ok := e.(SendPull); ok {
							wants += len(p.Request.Wants)
						}
					}
				}
				b.ReportMetric(float64(wants)/float64(b.N), "wants/round")
			})
		}
	}
}

// BenchmarkSetMembers measures the application of an instance list.
func BenchmarkSetMembers(b *testing.B) {
	for _, instances := range []int{8, 171, 1200} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			s, now := activeShares(10, instances)
			for range b.N {
				s.SetMembers(s.members, now)
			}
		})
	}
}
