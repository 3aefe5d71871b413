package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// Guards against a body that is handed to a sibling outside of the regions of its route, against splitting where a whole core
// sends by itself, and against owners that have left.
func TestGroupsOfTheSnapshot(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &document.Routing{Version: 1}
	everywhere := document.Route{Name: "everywhere", Host: "h", Prefix: "/a/", MinCoverage: 0.9}
	var changes []Change
	for i := range 60 {
		name := fmt.Sprint("s", i)
		everywhere.Shards = append(everywhere.Shards, name)
		r.Services = append(r.Services, document.RoutedService{Name: name})
		c := target(fmt.Sprint("i", 1000+i), name, "z")
		c.Revision = 2
		changes = append(changes, c)
	}
	bound := everywhere
	bound.Name, bound.Prefix, bound.Regions = "bound", "/b/", []string{"north"}
	r.Routes = []document.Route{everywhere, bound}
	if err := r.Index(); err != nil {
		t.Fatal(err)
	}
	changes = append(changes, Change{Kind: KindRouting, Revision: 3, Routing: r})
	groups := func(cores float64, leaving bool) map[string][]sibling.GatherGroup {
		s := NewState(InstanceConfig{ID: "a", Zone: "z", Address: "a:1", Cores: cores, Bounds: Bounds{RetryBudgetWindow: time.Second}}, rand.New(rand.NewPCG(1, 1)), now)
		s.Step(GossipReceived{Message: GossipMessage{MemberStates: []sibling.MemberState{
			{ID: "b", Zone: "z", Address: "b:1", Sequence: 1, Leaving: leaving, Cores: 0.8, PlatformAge: sibling.NoContact},
		}}}, now)
		s.Step(StoreRead{Update: Update{Full: true, ToRevision: 5, Changes: changes}}, now)
		return s.Snapshot().GatherGroups
	}
	if g := groups(1, false); len(g) != 0 {
		t.Errorf("a whole core splits: %v", g)
	}
	split := groups(0.1, false)
	if len(split["everywhere"]) != 3 || split["bound"] != nil {
		t.Errorf("%d groups of the route without regions, %d of the one that is bound to one", len(split["everywhere"]), len(split["bound"]))
	}
	for _, g := range groups(0.1, true)["everywhere"] {
		for _, o := range g.Owners {
			if o.ID == "b" {
				t.Error("an instance that leaves owns a group")
			}
		}
	}
}
