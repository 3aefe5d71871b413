package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

type stateTest struct {
	*testing.T
	state *State
	now   time.Time
	rev   document.Revision
	reads int
	// published is the newest snapshot that traffic would see.
	published *Snapshot
}

func newStateTest(t *testing.T, b Bounds) *stateTest {
	now := time.Unix(1000, 0)
	return &stateTest{T: t, now: now, state: NewState(InstanceConfig{ID: "a", Zone: "z", Address: "a:1", Bounds: b}, rand.New(rand.NewPCG(1, 1)), now)}
}

func (t *stateTest) step(e Event) []Effect {
	ready := t.state.Step(e, t.now)
	if ready.SnapshotChanged {
		t.published = t.state.Snapshot()
	}
	for _, effect := range ready.Effects {
		if _, ok := effect.(ReadStore); ok {
			t.reads++
		}
	}
	return ready.Effects
}

// run lets time pass with ticks.
func (t *stateTest) run(d time.Duration) {
	for end := t.now.Add(d); t.now.Before(end); {
		t.now = t.now.Add(50 * time.Millisecond)
		t.step(Tick{})
	}
}

// read delivers changes from the platform, each with the next revision.
func (t *stateTest) read(full bool, changes ...Change) {
	t.Helper()
	since := t.rev
	for i := range changes {
		t.rev++
		changes[i].Revision = t.rev
		if r := changes[i].Routing; r != nil {
			if err := r.Index(); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.step(StoreRead{Update: Update{FromRevision: since, ToRevision: t.rev, Full: full, Changes: changes}})
}

func target(id, service, zone string) Change {
	return Change{Kind: KindTarget, Name: id, Target: &targets.Registration{ID: id, Service: service, Zone: zone, Address: "10.0.0.1:" + id[1:], Slots: 2}}
}

func routes(version document.Revision) Change {
	return Change{Kind: KindRouting, Routing: &document.Routing{
		Version:  version,
		Routes:   []document.Route{{Name: fmt.Sprint("r", version), Host: "h", Prefix: "/", Shards: []string{"s", "t"}, MinCoverage: 0.9}},
		Services: []document.RoutedService{{Name: "s", MaxConnections: 26}, {Name: "t", MaxConnections: 26, ColdRate: 10}},
	}}
}

func (t *stateTest) usable(service string) int { return len(t.state.Snapshot().Candidates(service)) }

// Guards against a configuration or a target that goes back to an older value, in whatever order values arrive.
func TestOlderValuesNeverReplaceNewerOnes(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	x.read(true, routes(9), target("i1", "s", "z"))
	old := routes(5)
	old.Revision = 50
	if err := old.Routing.Index(); err != nil {
		t.Fatal(err)
	}
	x.step(GossipReceived{Message: GossipMessage{Update: Update{FromRevision: 0, ToRevision: 50, Changes: []Change{old}}}})
	if v := x.state.Snapshot().Routing.Version; v != 9 {
		t.Errorf("version %d in force, want 9", v)
	}
	draining := target("i1", "s", "z")
	draining.Target.Draining, draining.Revision = true, 60
	x.step(GossipReceived{Message: GossipMessage{Update: Update{FromRevision: 50, ToRevision: 60, Changes: []Change{draining}}}})
	late := target("i1", "s", "z")
	late.Revision = 40
	x.step(GossipReceived{Message: GossipMessage{Update: Update{FromRevision: 0, ToRevision: 45, Changes: []Change{late}}}})
	if n := x.usable("s"); n != 0 {
		t.Errorf("%d usable targets after an old value of a draining one", n)
	}
}

// Guards against new work for targets that drain, are gone, are malformed, or lie in a zone out of service.
func TestTargetsThatGetNoNewWork(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	draining, malformed := target("i2", "s", "z"), Change{Kind: KindTarget, Name: "i3"}
	draining.Target.Draining = true
	x.read(true, routes(1), target("i1", "s", "z"), draining, malformed, target("i4", "s", "y"), target("i5", "other", "z"))
	if n := x.usable("s"); n != 2 {
		t.Errorf("%d usable, want 2", n)
	}
	x.read(false, Change{Kind: KindZoneOut, Name: "y"})
	if n := x.usable("s"); n != 1 {
		t.Errorf("%d usable with a zone out, want 1", n)
	}
	x.read(false, Change{Kind: KindZoneOut, Name: "y", Removed: true}, Change{Kind: KindTarget, Name: "i1", Removed: true})
	if n := x.usable("s"); n != 1 {
		t.Errorf("%d usable after the zone returned and a target went, want 1", n)
	}
}

// Guards against targets that are dropped because their entries lapsed while the platform was away, and against ones
// that stay although they did not come back in time.
func TestLapsedEntriesHaveTimeToReturn(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	x.read(true, routes(1), target("i1", "s", "z"), target("i2", "s", "z"))
	for range 10 {
		x.run(500 * time.Millisecond)
		x.step(StoreRead{Err: ErrStoreRead})
	}
	x.read(false, Change{Kind: KindTarget, Name: "i1", Removed: true}, Change{Kind: KindTarget, Name: "i2", Removed: true})
	if n := x.usable("s"); n != 2 {
		t.Errorf("%d usable right after the platform's return, want 2", n)
	}
	x.run(time.Second)
	x.read(false, target("i1", "s", "z"))
	x.run(1500 * time.Millisecond)
	if n := x.usable("s"); n != 1 {
		t.Errorf("%d usable 2.5 s after the platform's return, want the one that is back", n)
	}
	x.run(5 * time.Second)
	x.read(false, Change{Kind: KindTarget, Name: "i1", Removed: true})
	if n := x.usable("s"); n != 0 {
		t.Errorf("%d usable after a removal in steady state, want 0", n)
	}
}

// Guards against targets that vanished while the history was lost and stay for good.
func TestFullReadRemovesWhatItDoesNotName(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	x.read(true, routes(1), target("i1", "s", "z"), target("i2", "s", "z"))
	x.step(StoreRead{Err: ErrHistoryGone})
	x.run(200 * time.Millisecond)
	x.rev += 5
	x.read(true, routes(2), target("i2", "s", "z"))
	x.run(lapseTime + 100*time.Millisecond)
	if n := x.usable("s"); n != 1 {
		t.Errorf("%d usable, want 1", n)
	}
}

// Guards against a sibling that lacks changes and does not get them, or gets a removal as if it were complete.
func TestSiblingsGetWhatTheyLack(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	x.read(true, routes(1), target("i1", "s", "z"))
	have := x.rev
	x.read(false, Change{Kind: KindTarget, Name: "i1", Removed: true}, target("i2", "s", "z"))
	reply := make(chan GossipMessage, 1)
	x.step(GossipReceived{Message: GossipMessage{MemberStates: []sibling.MemberState{{ID: "b", Zone: "z", Address: "b:1", CompleteTo: have, PlatformAge: sibling.NoContact}}}, Reply: reply})
	u := (<-reply).Update
	if u.Full || u.FromRevision != have || u.ToRevision != x.rev || len(u.Changes) != 2 {
		t.Errorf("update %+v", u)
	}
	other := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	other.step(GossipReceived{Message: GossipMessage{Update: x.state.values.updateAfter(0)}})
	if n := other.usable("s"); n != 1 || other.state.values.completeTo != x.rev {
		t.Errorf("a new sibling knows %d targets and is complete to %d", n, other.state.values.completeTo)
	}
}

// Guards against a sibling that comes or goes without a line in the log.
func TestMembersAreNoted(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	x.read(true, routes(1))
	var notes []string
	collect := func(effects []Effect) {
		for _, e := range effects {
			if n, ok := e.(LogStateChange); ok && n.Subject == "member" {
				notes = append(notes, n.Name+" "+n.New)
			}
		}
	}
	collect(x.step(GossipReceived{Message: GossipMessage{MemberStates: []sibling.MemberState{{ID: "b", Zone: "z", Address: "b:1", Sequence: 1, PlatformAge: sibling.NoContact}}}}))
	for range 60 {
		x.now = x.now.Add(50 * time.Millisecond)
		collect(x.step(Tick{}))
		collect(x.step(GossipFailed{Address: "b:1", Err: sibling.ErrNoReply}))
	}
	if want := []string{"b live", "b unreachable or leaving"}; !slices.Equal(notes, want) {
		t.Errorf("notes %q, want %q", notes, want)
	}
}

// Guards against a cold target that gets requests from every instance.
func TestColdTargetHasOneOwner(t *testing.T) {
	owners := 0
	for i := range 6 {
		now := time.Unix(1000, 0)
		s := NewState(InstanceConfig{ID: fmt.Sprint("n", i), Zone: "z", Address: fmt.Sprint("n", i), Bounds: Bounds{RetryBudgetWindow: time.Second}}, rand.New(rand.NewPCG(1, 1)), now)
		x := &stateTest{T: t, state: s, now: now}
		for j := range 6 {
			if i != j {
				s.gossip.Merge([]sibling.MemberState{{ID: fmt.Sprint("n", j), Zone: "z", Address: fmt.Sprint("n", j), Sequence: 1, PlatformAge: sibling.NoContact}}, now)
			}
		}
		cold := target("i1", "t", "z")
		cold.Target.ColdFor = 2 * time.Second
		x.read(true, routes(1), cold)
		c := s.Snapshot().Candidates("t")
		if len(c) == 1 {
			owners++
			if c[0].ColdRate <= 0 || c[0].ColdRate > 10 {
				t.Errorf("the owner may send %v requests a second, the target tolerates 10", c[0].ColdRate)
			}
		}
		x.now = now.Add(2100 * time.Millisecond)
		x.step(Tick{})
		if n := x.usable("t"); n != 1 {
			t.Errorf("instance %d has %d usable targets after the cold start", i, n)
		}
	}
	if owners != 1 {
		t.Errorf("%d instances send to the cold target, want 1", owners)
	}
}

// Guards against instances that share a target's connections or the constant part of a budget as if they were alone.
func TestLimitsAreDividedAmongInstances(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second, RetryBudgetRatio: 0.2, RetryBudgetConstant: 60})
	for i := range 8 {
		x.state.gossip.Merge([]sibling.MemberState{{ID: fmt.Sprint("n", i), Zone: "z", Address: fmt.Sprint("n", i), Sequence: 1, PlatformAge: sibling.NoContact}}, x.now)
	}
	x.read(true, routes(1), target("i1", "s", "z"))
	if l := x.state.Snapshot().Candidates("s")[0].Limit; l*9 > 26 {
		t.Errorf("nine instances may open %d connections each, the target accepts 26", l)
	}
	if l := x.state.retryBudgetLimits(x.now.Add(2 * time.Second)); l.Constant*9 > 60 || l.Ratio > 0.2 {
		t.Errorf("limits %+v at each of nine instances", l)
	}
	// All instances restart twice in a window: the constant parts of three runs fit into the fleet's, with what the
	// ratio leaves of 900 requests.
	steady, restarted := x.state.retryBudgetLimits(x.now.Add(2*time.Second)), x.state.retryBudgetLimits(x.now.Add(500*time.Millisecond))
	if total := 9*(steady.Constant+2*restarted.Constant) + 900*steady.Ratio; total > 60+900*0.2 {
		t.Errorf("three runs of nine instances in a window send %v extra, want at most %v", total, 60+900*0.2)
	}
	alone := newStateTest(t, Bounds{RetryBudgetWindow: time.Second, RetryBudgetRatio: 0.2, RetryBudgetConstant: 60})
	if l := alone.state.retryBudgetLimits(alone.now); l.Constant > 60/4 {
		t.Errorf("an instance that knows no other yet spends %v of 60", l.Constant)
	}
}

// The load pattern "zone cut off". Guards against an instance that stays ready although it is cut off and cannot
// serve, and against one that is unready although only its targets or only its siblings are away.
func TestUnreadyOnlyWhenCutOffAndUnableToServe(t *testing.T) {
	for name, c := range map[string]struct{ siblings, targets, want bool }{
		"all well":      {true, true, true},
		"targets dark":  {true, false, true},
		"siblings away": {false, true, true},
		"cut off":       {false, false, false},
	} {
		x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
		x.read(true, routes(1), target("i1", "s", "y"), target("i2", "t", "y"))
		count := uint64(0)
		hear := func() {
			count++
			x.step(GossipReceived{Message: GossipMessage{MemberStates: []sibling.MemberState{{ID: "b", Zone: "y", Address: "b:1", Sequence: count, PlatformAge: sibling.NoContact}}}})
		}
		hear()
		for range 20 {
			x.run(50 * time.Millisecond)
			if c.siblings {
				hear()
			}
			for _, s := range []string{"s", "t"} {
				for _, g := range x.state.Snapshot().Candidates(s) {
					if c.targets {
						g.Stats.RecordResponse(time.Millisecond, x.now)
					} else {
						g.Stats.RecordNoResponse(x.now.Add(-time.Second), x.now, false)
					}
				}
			}
		}
		if got := x.state.Snapshot().Ready; got != c.want {
			t.Errorf("%s: ready %v, want %v", name, got, c.want)
		}
		hear()
		x.run(50 * time.Millisecond)
		if !x.state.Snapshot().Ready {
			t.Errorf("%s: not ready after contact", name)
		}
	}
}

// Guards against a request that is refused because one of many shards' targets crashed while it ran, and against one
// that crashes targets again and again.
func TestQuarantine(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	var changes []Change
	for i := range 8 {
		changes = append(changes, target(fmt.Sprint("i", i), "s", "z"))
	}
	x.read(true, append(changes, routes(1))...)
	poison, other := targets.FingerprintOf("r", "poison"), targets.FingerprintOf("r", "other")
	for i := range 4 { // one gathered request on four targets that crash together
		x.step(TargetConnectionBroken{TargetID: fmt.Sprint("i", i), Fingerprint: other})
		x.step(TargetConnectionRefused{TargetID: fmt.Sprint("i", i)})
	}
	for i := range 3 {
		x.run(2 * time.Second)
		x.step(TargetConnectionBroken{TargetID: fmt.Sprint("i", 4+i), Fingerprint: poison})
		x.step(TargetConnectionRefused{TargetID: fmt.Sprint("i", 4+i)})
	}
	refused := x.published.Quarantined
	if _, ok := refused[other]; ok {
		t.Error("a request is refused that ran on targets which crashed together")
	}
	if _, ok := refused[poison]; !ok {
		t.Error("a request that crashed three targets one after the other is not refused")
	}
}

// exchanges returns the messages to siblings among effects.
func exchanges(effects []Effect) (out []SendGossip) {
	for _, e := range effects {
		if x, ok := e.(SendGossip); ok {
			out = append(out, x)
		}
	}
	return out
}

func beatOf(id, zone string, count uint64, have document.Revision) sibling.MemberState {
	return sibling.MemberState{ID: id, Zone: zone, Address: id + ":1", Sequence: count, CompleteTo: have, PlatformAge: sibling.NoContact}
}

// Guards against values that are sent unasked, or asked from several siblings at a time: in a fleet that starts each
// instance would get all of them many times over.
func TestValuesAreAskedFromOneSiblingAtATime(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	effects := x.step(GossipReceived{Message: GossipMessage{MemberStates: []sibling.MemberState{beatOf("b", "z", 1, 50), beatOf("c", "z", 1, 50), beatOf("d", "y", 1, 50)}}})
	asked := 0
	for range 4 {
		for _, e := range exchanges(effects) {
			if len(e.Message.Update.Changes) != 0 {
				t.Error("a request carries values")
			}
			if !e.Message.OmitValues {
				asked++
			}
		}
		x.now = x.now.Add(90 * time.Millisecond)
		effects = x.step(Tick{})
	}
	if asked != 1 {
		t.Errorf("%d siblings were asked within %v, want 1", asked, pullTimeout)
	}
	x.run(2 * pullTimeout)
	if x.state.pullDeadline.Before(x.now) {
		t.Error("no other sibling is asked after the first has not answered")
	}
}

// Guards against an instance that waits for its turn although a sibling that has newer values talks to it.
func TestSiblingThatIsAheadIsAskedAtOnce(t *testing.T) {
	x := newStateTest(t, Bounds{RetryBudgetWindow: time.Second})
	x.read(true, routes(1))
	x.run(time.Second)
	reply := make(chan GossipMessage, 1)
	effects := exchanges(x.step(GossipReceived{Message: GossipMessage{MemberStates: []sibling.MemberState{beatOf("b", "y", 1, x.rev+1)}}, Reply: reply}))
	if len(effects) != 1 || effects[0].Address != "b:1" || effects[0].Message.OmitValues {
		t.Errorf("messages %+v, want one to b that asks for values", effects)
	}
}

// Guards against reads of the platform by every instance of a fleet that starts.
func TestFirstInRankReadsThePlatformAtTheStart(t *testing.T) {
	const instances = 9
	reads, first := 0, 0
	for i := range instances {
		now := time.Unix(1000, 0)
		id := fmt.Sprint("n", i)
		s := NewState(InstanceConfig{ID: id, Zone: "z", Address: id + ":1", Bounds: Bounds{RetryBudgetWindow: time.Second}, FirstStart: true}, rand.New(rand.NewPCG(1, 1)), now)
		x := &stateTest{T: t, state: s, now: now}
		for count := range uint64(23) {
			for j := range instances {
				if j != i {
					s.gossip.Merge([]sibling.MemberState{beatOf(fmt.Sprint("n", j), "z", count+1, 0)}, x.now)
				}
			}
			x.run(100 * time.Millisecond)
		}
		if x.reads > 0 {
			first++
		}
		x.run(400 * time.Millisecond)
		reads += min(x.reads, 1)
	}
	if first != 1 || reads != instances {
		t.Errorf("%d instances read at once, want 1; %d did without values, want all %d", first, reads, instances)
	}
}
