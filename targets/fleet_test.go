package targets

import (
	"fmt"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// fleetTest drives the Fleet of one instance with a service "s" that has one shard.
type fleetTest struct {
	*Fleet
	doc     *document.Document
	list    *document.InstanceList
	now     time.Time
	effects []Effect
}

func newFleetTest(self string, entries, targets int) *fleetTest {
	f := &fleetTest{
		Fleet: NewFleet(EntryInstance{ID: self, Zone: "a"}, DefaultPolicy()),
		doc: &document.Document{
			Services: []document.Service{{Name: "s", Sharded: true, Slots: 8, MaxConnections: 100}},
			Zones:    []document.Zone{{Name: "a"}},
		},
		list: &document.InstanceList{},
		now:  time.Unix(1000, 0),
	}
	for i := range entries {
		f.list.Instances = append(f.list.Instances, document.Instance{
			ID: fmt.Sprintf("e%d", i), Kind: document.KindEntry, Zone: "a", State: document.StateLive,
		})
	}
	for i := range targets {
		f.list.Instances = append(f.list.Instances, document.Instance{
			ID: fmt.Sprintf("t%d", i), Kind: document.KindTarget, Service: "s", Zone: "a", Address: fmt.Sprintf("t%d:1", i), State: document.StateLive,
		})
	}
	f.configure()
	return f
}

func (f *fleetTest) configure() {
	f.Configure(f.doc, f.list, f.now)
	f.collect()
}

func (f *fleetTest) collect() {
	effects, _ := f.TakeEffects()
	f.effects = append(f.effects, effects...)
}

func (f *fleetTest) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.Tick(f.now)
	f.collect()
}

func (f *fleetTest) reportStatus(id, incarnation string, state State) {
	f.RecordStatus(id, Status{
		Incarnation: incarnation, State: state, Slots: 8, MaxColdRequests: 4,
		Replicas: []Replica{{"a", []Snapshot{1}}}, Manifests: []Manifest{{1, []Shard{"a"}}},
	}, f.now)
	f.collect()
}

// limit returns how many requests may be outstanding at a target, zero if it is not in the view.
func (f *fleetTest) limit(id string) int {
	if v := f.View(f.now)["s"]; v != nil {
		for _, t := range v.Targets {
			if t.ID == id {
				return t.Limit
			}
		}
	}
	return 0
}

func (f *fleetTest) reportLeg(id, incarnation string, o Outcome, r Reason) {
	f.RecordLeg(LegReport{Target: id, Incarnation: incarnation, State: StateWarm, Outcome: o, Reason: r, Elapsed: time.Millisecond}, f.now)
	f.collect()
}

func (f *fleetTest) warmUp(id, incarnation string) {
	for range 200 {
		f.reportLeg(id, incarnation, Replied, "")
	}
}

// Guards against a starting instance that sends no requests to long-running targets, or too many at once.
func TestTargetsAtStartAreOnProbation(t *testing.T) {
	f := newFleetTest("e0", 3, 1)
	f.reportStatus("t0", "i1", StateWarm)
	if got := f.limit("t0"); got != 1 {
		t.Fatalf("limit of a warm target at start is %d, want 1", got)
	}
	f.warmUp("t0", "i1")
	if got := f.limit("t0"); got != 8 {
		t.Fatalf("limit after fast replies is %d, want all 8 slots", got)
	}
}

// owners returns a fleet for each of the entry instances, the owner of t0 first.
func owners(t *testing.T, entries int) []*fleetTest {
	t.Helper()
	var out []*fleetTest
	for i := range entries {
		f := newFleetTest(fmt.Sprintf("e%d", i), entries, 1)
		f.advance(startupTime) // targets seen from now on count as just started
		if f.targets["t0"].role == RoleOwner {
			out = append([]*fleetTest{f}, out...)
		} else {
			out = append(out, f)
		}
	}
	if out[0].targets["t0"].role != RoleOwner {
		t.Fatal("no instance owns the target")
	}
	return out
}

// Guards against requests to a cold target from an instance other than its owner, from the owner beyond half of what
// the target tolerates, and from others before the owner announced it as warm.
func TestColdTargetGetsWorkFromOwnerOnly(t *testing.T) {
	coldSigns := map[string]func(f *fleetTest){
		"first status":             func(f *fleetTest) { f.reportStatus("t0", "i2", StateCold) },
		"first status, warm":       func(f *fleetTest) { f.reportStatus("t0", "i2", StateWarm) },
		"incarnation in a status":  func(f *fleetTest) { f.makeWarm(); f.reportStatus("t0", "i2", StateWarm) },
		"incarnation in a reply":   func(f *fleetTest) { f.makeWarm(); f.reportLeg("t0", "i2", Replied, "") },
		"reported cold":            func(f *fleetTest) { f.makeWarm(); f.reportStatus("t0", "i1", StateCold) },
		"out of service and back":  func(f *fleetTest) { f.makeWarm(); f.takeZoneOutAndBack() },
		"shed by next incarnation": func(f *fleetTest) { f.makeWarm(); f.reportLeg("t0", "i2", Failed, ReasonShed) },
	}
	for name, sign := range coldSigns {
		fleets := owners(t, 3)
		for i, f := range fleets {
			sign(f)
			most := 0
			if i == 0 {
				most = 2 // half of 4
			}
			if got := f.limit("t0"); got > most || got == 0 && i == 0 {
				t.Errorf("%s: limit at instance %d is %d, want at most %d and some at the owner", name, i, got, most)
			}
		}
		owner, other := fleets[0], fleets[1]
		owner.effects = nil
		owner.warmUp("t0", owner.targets["t0"].incarnation)
		if got := owner.limit("t0"); got != 8 {
			t.Errorf("%s: limit at the owner after fast replies is %d, want 8", name, got)
		}
		notified := false
		for _, e := range owner.effects {
			if send, ok := e.(SendNotices); ok {
				notified = len(send.To) == 2
				other.ReceiveNotices(send.Notices, other.now)
			}
		}
		if !notified || other.limit("t0") != 8 {
			t.Errorf("%s: owner notified both others: %v, limit there %d, want 8", name, notified, other.limit("t0"))
		}
	}
}

func (f *fleetTest) makeWarm() {
	f.reportStatus("t0", "i1", StateWarm)
	f.ReceiveNotices(Notices{Warm: []WarmNotice{{"t0", "i1"}}}, f.now)
}

// takeZoneOutAndBack takes the zone out of service and back in.
func (f *fleetTest) takeZoneOutAndBack() {
	f.doc.Zones[0].OutOfService = true
	f.configure()
	f.doc.Zones[0].OutOfService = false
	f.configure()
}

// Guards against a limit that grows while replies are slow.
func TestSlowRepliesHoldTheRampBack(t *testing.T) {
	f := owners(t, 1)[0]
	f.reportStatus("t0", "i1", StateCold)
	f.tail("s").observe(time.Millisecond, false)
	for range 200 {
		f.RecordLeg(LegReport{Target: "t0", Incarnation: "i1", State: StateWarm, Elapsed: 10 * time.Millisecond}, f.now)
	}
	if got := f.limit("t0"); got > 2 {
		t.Fatalf("limit after slow replies is %d, want at most 2", got)
	}
}

// Guards against a target that stays cold indefinitely because an announcement was lost or its owner died.
func TestColdTargetDoesNotStayUnused(t *testing.T) {
	fleets := owners(t, 3)
	for _, f := range fleets {
		f.reportStatus("t0", "i1", StateCold)
	}
	owner, other := fleets[0], fleets[1]
	other.effects = nil
	other.advance(noticeRequestInterval)
	var request *RequestWarmNotices
	for _, e := range other.effects {
		if a, ok := e.(RequestWarmNotices); ok {
			request = &a
		}
	}
	if request == nil || request.To != owner.self.ID {
		t.Fatalf("request for notices is %v, want one to the owner", request)
	}
	if n := owner.NoticesFor(request.Targets, owner.now); len(n.Warm) != 0 {
		t.Fatalf("owner announces the cold target as warm")
	}
	owner.warmUp("t0", "i1")
	other.ReceiveNotices(owner.NoticesFor(request.Targets, owner.now), other.now)
	if got := other.limit("t0"); got != 8 {
		t.Errorf("limit after the owner's answer is %d, want 8", got)
	}

	// The owner sends no announcement: one other instance sends requests, within half of what the target tolerates.
	fleets = owners(t, 3)
	sending := 0
	for _, f := range fleets[1:] {
		f.reportStatus("t0", "i1", StateCold)
		f.advance(takeoverDelay)
		if n := f.limit("t0"); n > 0 {
			sending++
			if n > 2 {
				t.Errorf("limit at the second instance is %d, want at most 2", n)
			}
		}
	}
	if sending != 1 {
		t.Errorf("%d instances took over from the owner, want 1", sending)
	}
}

// Guards against new legs to targets that are leaving, that are out of service, or that report to be draining.
func TestLeavingTargetsGetNoLegs(t *testing.T) {
	cases := map[string]func(f *fleetTest){
		"leaving":  func(f *fleetTest) { f.list.Instances[1].State = document.StateLeaving; f.configure() },
		"instance": func(f *fleetTest) { f.doc.InstancesOutOfService = []string{"t0"}; f.configure() },
		"zone":     func(f *fleetTest) { f.doc.Zones[0].OutOfService = true; f.configure() },
		"draining": func(f *fleetTest) { f.reportStatus("t0", "i1", StateDraining) },
		"draining in a reply": func(f *fleetTest) {
			f.RecordLeg(LegReport{Target: "t0", Incarnation: "i1", State: StateDraining}, f.now)
		},
	}
	for name, do := range cases {
		f := newFleetTest("e0", 1, 1)
		f.makeWarm()
		if f.limit("t0") != 8 {
			t.Fatalf("%s: target is not in use before", name)
		}
		if do(f); f.limit("t0") != 0 {
			t.Errorf("%s: target still gets legs", name)
		}
	}
}

// Guards against removing targets whose status cannot be read, and against keeping those whose requests fail.
func TestFailingTargetIsPutAsideAndProbed(t *testing.T) {
	f := newFleetTest("e0", 1, 1)
	f.makeWarm()
	for range 10 {
		f.RecordStatusFailure("t0", f.now)
		f.advance(time.Second)
	}
	if got := f.limit("t0"); got != 8 {
		t.Fatalf("limit after failed status reads is %d, want 8", got)
	}
	for range suspectFailures {
		f.reportLeg("t0", "", Failed, ReasonUnreachable)
	}
	if got := f.limit("t0"); got != 0 {
		t.Fatalf("limit after refused connections is %d, want 0", got)
	}
	f.advance(minBackoff)
	if got := f.limit("t0"); got != 1 {
		t.Fatalf("limit of the probe is %d, want 1", got)
	}
	for range suspectFailures {
		f.reportLeg("t0", "", Failed, ReasonUnreachable)
	}
	f.advance(maxSuspectTime)
	if got := f.limit("t0"); got != 0 {
		t.Fatalf("limit %v after the probe failed too is %d, want 0", maxSuspectTime, got)
	}
	f.advance(2*minBackoff - maxSuspectTime)
	f.warmUp("t0", "i1")
	if got := f.limit("t0"); got != 8 {
		t.Fatalf("limit after fast replies is %d, want 8", got)
	}
}

// Guards against a rate of status reads that grows with the number of targets.
func TestStatusReadsAreBounded(t *testing.T) {
	f := newFleetTest("e0", 1, 140)
	for i := range 140 {
		f.reportStatus(fmt.Sprintf("t%d", i), "i1", StateWarm)
	}
	f.advance(fastReadTime)
	f.effects = nil
	const seconds = 60
	for range seconds * 10 {
		f.advance(tickInterval)
	}
	reads := 0
	for _, e := range f.effects {
		if _, ok := e.(ReadStatus); ok {
			reads++
		}
	}
	if reads > seconds*readsPerSecond+140 || reads < 140 {
		t.Fatalf("%d status reads of 140 targets in %d s, want at most %d a second", reads, seconds, readsPerSecond)
	}
}

// Guards against failing the requests that an instance receives while it is leaving, out of service or not listed yet.
func TestInstanceServesWhileNotListedAsLive(t *testing.T) {
	cases := map[string]func(f *fleetTest){
		"leaving":      func(f *fleetTest) { f.list.Instances[0].State = document.StateLeaving },
		"out":          func(f *fleetTest) { f.doc.InstancesOutOfService = []string{"e0"} },
		"not listed":   func(f *fleetTest) { f.list.Instances[0].ID = "another" },
		"other's zone": func(f *fleetTest) { f.list.Instances[0].Zone = "b" },
	}
	for name, do := range cases {
		f := newFleetTest("e0", 1, 1)
		f.makeWarm()
		do(f)
		f.configure()
		if f.limit("t0") == 0 {
			t.Errorf("%s: no target is usable", name)
		}
	}
}

// Guards against two owners of a cold target, which instances with different lists can be, that together send more than it
// tolerates while each of them raises its limit.
func TestTwoOwnersStayWithinAColdTargetsLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	const tolerated, warmLimit = 8, 64
	var owners [2]warmup
	for i := range owners {
		owners[i].enterCold(tolerated, now)
	}
	for replies := 0; owners[0].phase == PhaseCold; replies++ {
		together := 0
		for i := range owners {
			together += owners[i].requestLimit(RoleOwner, warmLimit, now)
			owners[i].recordReply(time.Millisecond, 10*time.Millisecond, warmLimit, now)
		}
		if together > tolerated {
			t.Fatalf("two owners send up to %d requests after %d replies each, the target tolerates %d", together, replies, tolerated)
		}
		if replies > 10_000 {
			t.Fatal("the target never becomes warm")
		}
	}
	if n := owners[0].requestLimit(RoleOwner, warmLimit, now); n != warmLimit {
		t.Errorf("limit of the warm target is %d, want %d", n, warmLimit)
	}
}
