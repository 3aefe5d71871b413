package sibling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// newBenchShares returns the shares of an instance that is alone in its zone, with the other instances in a second
// zone.
func newBenchShares(organisations, instances int) (*Shares, time.Time) {
	now := time.Unix(1_000_000, 0)
	s := NewShares("a-0", "a", rand.New(rand.NewPCG(1, 1)), now)
	doc := &document.Document{Revision: 1, Zones: []document.Zone{{Name: "a", RateFraction: 0.5}, {Name: "b", RateFraction: 0.5}}}
	for i := range organisations {
		doc.Organisations = append(doc.Organisations, document.Organisation{Name: fmt.Sprintf("organisation-%d", i), Rate: 100, Burst: 100})
	}
	members := Members{{ID: "a-0", Zone: "a"}}
	for i := range instances - 1 {
		members = append(members, Member{ID: fmt.Sprintf("b-%d", i), Zone: "b"})
	}
	s.SetMembers(members, now)
	s.Configure(doc, now)
	return s, now
}

// BenchmarkSetMembers measures how long it takes to apply an instance list.
func BenchmarkSetMembers(b *testing.B) {
	for _, instances := range []int{8, 171, 1200} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			s, now := newBenchShares(10, instances)
			for range b.N {
				s.SetMembers(s.members, now)
			}
		})
	}
}
