package targets

import (
	"testing"
	"time"
)

// Guards against a target that leaves and still gets requests: from then on choice, hedges, retries and tests of targets
// without a response all go elsewhere, and a shard without another target is left out at once.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	sim := newDispatchSim(10, 2)
	sim.plan.MinCoverage = 0.9
	sim.reply = func(*Target, time.Time) (LegOutcome, time.Duration) { return LegReplied, 5 * time.Millisecond }
	leaving := sim.services["s00"][0]
	if !leaving.Stats.RecordLeaving() || leaving.Stats.RecordLeaving() {
		t.Error("the departure is news once")
	}
	for _, r := range sim.run(200, 10*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond) {
		if r.covered != 10 {
			t.Fatalf("%d parts, want all: the shard has another target", r.covered)
		}
	}
	if n := sim.sends[leaving.ID]; n != 0 {
		t.Errorf("%d sends to a target that is leaving", n)
	}
	sim.services["s00"][1].Stats.RecordLeaving()
	for _, r := range sim.run(50, 10*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond) {
		if r.covered != 9 || r.took > 50*time.Millisecond {
			t.Fatalf("%d parts after %v, want 9 at once", r.covered, r.took)
		}
	}
	leaving.Stats.ClearLeaving()
	sim.run(50, 10*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond)
	if sim.sends[leaving.ID] == 0 {
		t.Error("no send to the target after its departure was called off")
	}
}

// Guards against losing the only target of a shard to hearsay: a target that a sibling heard to be leaving gets requests
// only if no other is left.
func TestLeavingHintMakesTargetTheLastChoice(t *testing.T) {
	sim := newDispatchSim(1, 2)
	sim.reply = func(*Target, time.Time) (LegOutcome, time.Duration) { return LegReplied, 5 * time.Millisecond }
	hinted, other := sim.services["s00"][0], sim.services["s00"][1]
	hinted.Stats.RecordLeavingHint()
	sim.run(100, 10*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond)
	if n := sim.sends[hinted.ID]; n != 0 {
		t.Errorf("%d sends to the hinted target beside another one", n)
	}
	other.Stats.RecordLeaving()
	for _, r := range sim.run(20, 10*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond) {
		if r.covered != 1 {
			t.Error("the hinted target was not used although no other is left")
		}
	}
}

// Guards against requests to a target during the rest that it asked for, against requests that wait for the end of the
// rest, and against all instances returning in the same instant.
func TestRestingTargetsGetNothing(t *testing.T) {
	sim := newDispatchSim(1, 2)
	sim.reply = func(*Target, time.Time) (LegOutcome, time.Duration) { return LegReplied, 5 * time.Millisecond }
	a, b := sim.services["s00"][0], sim.services["s00"][1]
	a.Stats.RecordRest(3*time.Second, 0, sim.now)
	sim.run(100, 10*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond)
	if n := sim.sends[a.ID]; n != 0 || sim.sends[b.ID] == 0 {
		t.Errorf("%d sends to the resting target, %d to the other", n, sim.sends[b.ID])
	}
	b.Stats.RecordRest(800*time.Millisecond, 0, sim.now)
	requests := sim.run(1, time.Millisecond, 100*time.Millisecond, 500*time.Millisecond)
	if r := requests[0]; r.covered != 0 || r.took > time.Millisecond {
		t.Errorf("all targets rest: %d parts after %v, want the end at once", r.covered, r.took)
	}
	if left := requests[0].machine.RestLeft(); left <= 700*time.Millisecond || left > 800*time.Millisecond {
		t.Errorf("rest left is %v, want the shortest one, 0.8 s less the time since", left)
	}
	sim.now = sim.now.Add(5 * time.Second)
	sim.run(100, 10*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond)
	if sim.sends[a.ID] == 0 {
		t.Error("no send after the rest")
	}
}

// Guards against rests that overwrite each other, are unbounded, or end in the same instant at all instances.
func TestRestIsBoundedAndSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &TargetStats{}
	if s.RestLeft(now) != 0 || !s.AcceptsRequests(now) {
		t.Error("a target rests that never asked for it")
	}
	s.RecordRest(10*time.Second, 0, now)
	s.RecordRest(time.Second, 0, now)
	if left := s.RestLeft(now); left != 10*time.Second {
		t.Errorf("rest left after a shorter one is %v, want 10 s", left)
	}
	s.RecordRest(365*24*time.Hour, 1, now)
	if left := s.RestLeft(now); left > maxRest+maxRestSpread {
		t.Errorf("rest left after a year was asked for is %v", left)
	}
	early, late := &TargetStats{}, &TargetStats{}
	early.RecordRest(2*time.Second, 0, now)
	late.RecordRest(2*time.Second, 1, now)
	if d := late.RestLeft(now) - early.RestLeft(now); d < 400*time.Millisecond {
		t.Errorf("two instances return within %v of each other", d)
	}
	if early.RestLeft(now) < 2*time.Second {
		t.Error("the rest is shorter than the target asked for")
	}
}

// Guards against a gathered request that waits, or is refused with too early a return, when the shards that it lacks rest.
func TestGatheredRequestKnowsWhenEnoughShardsHaveRested(t *testing.T) {
	sim := newDispatchSim(10, 1)
	sim.plan.MinCoverage = 0.9
	sim.reply = func(*Target, time.Time) (LegOutcome, time.Duration) { return LegReplied, 5 * time.Millisecond }
	for i, rest := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		sim.services[[]string{"s00", "s01", "s02"}[i]][0].Stats.RecordRest(rest, 0, sim.now)
	}
	r := sim.run(1, time.Millisecond, 100*time.Millisecond, 500*time.Millisecond)[0]
	if r.took > time.Millisecond {
		t.Errorf("ended after %v, want at once: 7 of 10 parts are too few", r.took)
	}
	if left := r.machine.RestLeft(); left <= time.Second || left > 2*time.Second {
		t.Errorf("rest left is %v, want that of the second shard: with it nine parts can be had", left)
	}
}

// Guards against a departure that is forgotten when the entry of the target is removed and comes back, that is held against
// another incarnation, or that stays after the entry has shown that it was called off; and against old hearsay.
func TestDeparturesOutliveEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	newTarget := func(incarnation string) *Target {
		return &Target{ID: "i-1", Address: "10.0.0.1:80", Incarnation: incarnation, Stats: &TargetStats{}}
	}
	d := NewDepartures()
	d.Record(newTarget("1"), now)
	again, other := newTarget("1"), newTarget("2")
	d.Apply(again)
	d.Apply(other)
	if !again.Stats.Leaving() || other.Stats.Leaving() {
		t.Errorf("leaving: same incarnation %v, another one %v", again.Stats.Leaving(), other.Stats.Leaving())
	}
	notices := d.Notices(now.Add(time.Second))
	if len(notices) != 1 || notices[0].Age != time.Second {
		t.Fatalf("notices %+v", notices)
	}
	sibling := NewDepartures()
	if news := sibling.Receive(notices, now); len(news) != 1 || len(sibling.Receive(notices, now)) != 0 {
		t.Errorf("a notice is news once, got %v", news)
	}
	hinted := newTarget("1")
	sibling.Apply(hinted)
	if hinted.Stats.Leaving() || !hinted.Stats.LeavingHint() {
		t.Error("hearsay must be a hint only")
	}
	if relayed := sibling.Notices(now.Add(time.Second)); len(relayed) != 1 || relayed[0].Age != 2*time.Second {
		t.Errorf("relayed notices %+v, want the age since the target said so", relayed)
	}
	notices[0].Age = time.Hour
	if news := NewDepartures().Receive(notices, now); len(news) != 0 {
		t.Errorf("old hearsay is news: %v", news)
	}
	d.Cancel(again)
	fresh := newTarget("1")
	d.Apply(fresh)
	if again.Stats.Leaving() || fresh.Stats.Leaving() {
		t.Error("the departure was called off and still counts")
	}
	d.Record(newTarget("1"), now)
	d.Tick(now.Add(departureRetention + time.Second))
	if len(d.heard) != 0 {
		t.Error("departures are kept for ever")
	}
}
