package sibling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// Guards against a change that does not reach every instance in time, also when messages are lost.
func TestInForceEverywhere(t *testing.T) {
	for _, size := range [][2]int{{1, 8}, {3, 3}, {7, 9}, {7, 36}} {
		t.Run(fmt.Sprintf("%d zones of %d", size[0], size[1]), func(t *testing.T) {
			p := newSimulation(t, size[0], size[1], 1)
			p.settle()
			p.loss = 0.05
			for range 10 {
				p.change(nil)
				p.run(time.Duration(p.rng.Int64N(int64(2*time.Second))), nil)
			}
		})
	}
}

// Guards against instances that receive changes only while they can reach the platform themselves.
func TestInForceWhilePlatformIsDownForSome(t *testing.T) {
	p := newSimulation(t, 3, 8, 2)
	p.settle()
	for _, n := range p.order {
		n.cutFromPlatform = n.member.Zone != "b"
	}
	for range 10 {
		p.run(time.Second, nil)
		p.change(nil)
	}
}

// Guards against a zone that keeps the old document after a partition heals, or that receives the new one only by a
// chance exchange.
func TestZoneCutOffAndHealed(t *testing.T) {
	p := newSimulation(t, 4, 6, 3)
	p.settle()
	inA := func(n *simNode) bool { return n.member.Zone == "a" }
	p.partitioned = func(a, b *simNode) bool { return inA(a) != inA(b) }
	for _, n := range p.order {
		n.cutFromPlatform = inA(n)
	}
	p.change(func(n *simNode) bool { return !inA(n) })
	p.run(30*time.Second, nil)
	for _, n := range p.order {
		if age := p.now.Sub(n.disseminator.LastOutsideContact()); inA(n) && age < 29*time.Second || !inA(n) && age > 5*time.Second {
			t.Errorf("last outside contact of %s is %v old after 30 s", n.member.ID, age)
		}
	}
	p.partitioned = nil
	if !p.run(inForceLimit, p.inForceEverywhere(nil)) {
		t.Error("zone a is still out of date after siblings of other zones became reachable again")
	}
}

// Guards against a resumed process that reverts to the revisions in old messages, or stays behind.
func TestFrozenInstancesCatchUp(t *testing.T) {
	p := newSimulation(t, 3, 6, 12)
	p.settle()
	frozen := []*simNode{p.ranked("a", 0), p.ranked("a", 4), p.ranked("b", 1)}
	p.publish(Document)
	p.run(5*time.Millisecond, nil) // announcements are under way
	for _, n := range frozen {
		n.frozen = true
	}
	for range 5 {
		p.run(5*time.Second, nil)
		p.change(nil)
	}
	for _, n := range frozen {
		if age := p.now.Sub(n.disseminator.LastOutsideContact()); age < 20*time.Second {
			t.Errorf("%s was frozen for 25 s, its last outside contact is %v old", n.member.ID, age)
		}
		p.resume(n)
	}
	if !p.run(inForceLimit, p.inForceEverywhere(nil)) {
		t.Error("an instance is out of date after it resumed")
	}
}

// Guards against a new instance that becomes ready with the old document of a platform that serves stale values.
func TestReplacedInstancesWithStalePlatform(t *testing.T) {
	p := newSimulation(t, 3, 8, 4)
	p.settle()
	stale := p.served
	for i := range 40 {
		p.change(nil)
		old := p.order[i]
		old.alive = false
		n := p.add(fmt.Sprintf("%s-r%03d", old.member.Zone, i), old.member.Zone)
		n.servedStale, n.staleRevisions = true, [valueCount]document.Revision{Document: stale[Document], InstanceList: p.served[InstanceList]}
		p.publishList()
		published := p.served[Document]
		if !p.run(8*time.Second, func() bool { return n.disseminator.Joined() }) {
			t.Fatalf("replacement %d did not become ready", i)
		}
		if n.joinRevision != published {
			t.Fatalf("replacement %d became ready with revision %d, in force is %d", i, n.joinRevision, published)
		}
		n.servedStale = false
		p.run(300*time.Millisecond, nil)
	}
}

// Guards against a new instance that never becomes ready because its siblings are unreachable.
func TestNewInstanceWithoutSiblingsBecomesReady(t *testing.T) {
	p := newSimulation(t, 2, 4, 5)
	p.settle()
	n := p.add("a-new", "a")
	p.partitioned = func(a, b *simNode) bool { return a == n || b == n }
	p.run(2*time.Second, nil)
	if n.disseminator.Joined() {
		t.Error("ready without a reply from a sibling, before joinLimit")
	}
	p.run(joinLimit+time.Second, nil)
	if !n.disseminator.Joined() {
		t.Error("not ready after joinLimit")
	}
}

// Guards against a zone with too few readers of the platform for longer than a second after readers were lost.
func TestLostReaderIsReplaced(t *testing.T) {
	lose := map[string]func(n *simNode){
		"killed":                func(n *simNode) { n.alive = false },
		"frozen":                func(n *simNode) { n.frozen = true },
		"cut from the platform": func(n *simNode) { n.cutFromPlatform = true },
	}
	for name, f := range lose {
		for _, ranks := range [][]int{{0}, {1}, {0, 1}, {0, 2}} {
			t.Run(fmt.Sprintf("%s/%v", name, ranks), func(t *testing.T) {
				for seed := range uint64(20) {
					p := newSimulation(t, 3, 6, seed)
					p.settle()
					p.run(time.Duration(p.rng.Int64N(int64(time.Second))), nil)
					lost := p.now
					for _, r := range ranks {
						f(p.ranked("a", r))
					}
					p.run(time.Second, nil)
					readers := 0
					for _, n := range p.order {
						if n.member.Zone == "a" && n.alive && !n.frozen && !n.cutFromPlatform && n.lastRead.After(lost) && n.disseminator.ShouldReadPlatform(p.now) {
							readers++
						}
					}
					if readers < readersPerZone {
						t.Fatalf("seed %d: %d readers 1 s after the loss, want %d", seed, readers, readersPerZone)
					}
				}
			})
		}
	}
}

func (p *simulation) ranked(zone string, rank int) *simNode {
	m := p.lists[p.served[InstanceList]].InZone(zone).Rank("platform readers", rank+1)
	return p.nodes[m[rank].ID]
}

// Guards against a zone that stops reading when all ranks that probe each other are lost at once.
func TestLowerRanksReadAfterSilence(t *testing.T) {
	p := newSimulation(t, 1, 12, 6)
	p.settle()
	for r := range probingRanks {
		p.ranked("a", r).alive = false
	}
	p.run(silenceLimit+2*time.Second, nil)
	p.change(nil)
}

// Guards against a call rate at the platform that grows with the fleet, above all while the platform is down.
func TestPlatformCallsAreBounded(t *testing.T) {
	const budget = 500.0 // a quarter of what the platform allows
	p := newSimulation(t, 7, 172, 7)
	p.settle()
	for _, down := range []bool{false, true} {
		p.down = down
		p.run(10*time.Second, nil)
		p.calls = 0
		p.run(10*time.Second, nil)
		if rate := float64(p.calls) / 10; rate > budget {
			t.Errorf("platform down %v: %.0f calls a second, budget %.0f", down, rate, budget)
		}
	}
	p.down = false
	p.change(nil)
}

// Guards against an instance that counts itself as cut off although its zone reaches the platform or another zone.
func TestContactIsPassedOn(t *testing.T) {
	const fresh = 30 * time.Second // half of the limit in the demo's document
	check := func(name string, p *simulation) {
		oldest := time.Duration(0)
		for range 60 {
			p.run(time.Second, nil)
			for _, n := range p.order {
				oldest = max(oldest, p.now.Sub(n.disseminator.LastOutsideContact()))
			}
		}
		if oldest > fresh {
			t.Errorf("%s: a contact was %v old", name, oldest)
		}
		t.Logf("%s: oldest contact %v", name, oldest)
	}
	p := newSimulation(t, 1, 172, 8)
	p.settle()
	check("one zone", p)
	p = newSimulation(t, 2, 10, 9)
	p.settle()
	p.down = true
	check("platform down", p)
	for _, n := range p.order[1:10] {
		n := n
		before := p.partitioned
		p.partitioned = func(a, b *simNode) bool {
			return before != nil && before(a, b) || (a == n || b == n) && a.member.Zone != b.member.Zone
		}
	}
	check("one instance of zone a reaches zone b", p)
}

func newListed(zones ...string) (*Disseminator, Members, time.Time) {
	s := NewDisseminator("self", "a", nil, rand.New(rand.NewPCG(1, 1)))
	members := Members{{ID: "self", Zone: "a"}}
	for i, z := range zones {
		members = append(members, Member{ID: fmt.Sprintf("sib-%d", i), Zone: z})
	}
	members = MembersOf(listOf(members))
	now := time.Unix(1000, 0)
	s.Step(MembersUpdated{Members: members}, now)
	s.Step(ValueAdopted{Value: Document, Content: document.Content{Revision: 5}}, now)
	return s, members, now
}

// Guards against contact that is counted before the named revision is in force, from a message that may have been in
// transit for a long time, or from the arrival time of a late reply.
func TestContactNeedsProof(t *testing.T) {
	s, _, now := newListed("b")
	h := Heartbeat{ID: "sib-0", Zone: "b", DocumentRevision: 6}
	s.Step(HeartbeatReplied{Heartbeat: h, Sent: now}, now)
	if !s.LastOutsideContact().IsZero() {
		t.Error("a reply that names a newer revision counted as contact")
	}
	h.DocumentRevision = 5
	s.Step(HeartbeatReceived{Heartbeat: h}, now)
	if !s.LastOutsideContact().IsZero() {
		t.Error("a received heartbeat counted as contact")
	}
	s.Step(HeartbeatReplied{Heartbeat: h, Sent: now}, now.Add(time.Hour))
	if !s.LastOutsideContact().Equal(now) {
		t.Errorf("contact is %v after a late reply, want the time of sending %v", s.LastOutsideContact(), now)
	}
	h = Heartbeat{ID: "sib-1", Zone: "a", DocumentRevision: 5, OutsideAge: 3 * time.Second, ZoneAge: NoContact}
	later := now.Add(10 * time.Second)
	s.Step(HeartbeatReplied{Heartbeat: h, Sent: later}, later)
	if want := later.Add(-3 * time.Second); !s.LastOutsideContact().Equal(want) {
		t.Errorf("contact passed on by a sibling is %v, want %v", s.LastOutsideContact(), want)
	}
}

// Guards against a value that reverts because a lower revision is adopted after a higher one.
func TestRevisionsOnlyRise(t *testing.T) {
	s, _, now := newListed("a")
	for _, r := range []document.Revision{4, 5} {
		s.Step(ValueAdopted{Value: Document, Content: document.Content{Revision: r, Bytes: []byte("old")}}, now)
		if held := s.Current(Document); held.Revision != 5 || len(held.Bytes) != 0 {
			t.Errorf("revision %d replaced revision 5", r)
		}
	}
}

// Guards against a value that failed validation and is fetched again at every heartbeat.
func TestRefusedValueIsNotFetchedAgain(t *testing.T) {
	s, _, now := newListed("a")
	h := Heartbeat{ID: "sib-0", Zone: "a", DocumentRevision: 6}
	if ready := s.Step(HeartbeatReceived{Heartbeat: h}, now); len(ready.Fetch) != 1 || ready.Fetch[0].After != 5 {
		t.Fatalf("fetches are %v, want one after revision 5", ready.Fetch)
	}
	s.Step(ValueRejected{Value: Document, Revision: 6}, now)
	now = now.Add(time.Minute)
	if ready := s.Step(HeartbeatReceived{Heartbeat: h}, now); len(ready.Fetch) != 0 {
		t.Errorf("a refused revision is fetched again: %v", ready.Fetch)
	}
	h.DocumentRevision = 7
	if ready := s.Step(HeartbeatReceived{Heartbeat: h}, now); len(ready.Fetch) != 1 {
		t.Errorf("the revision after a refused one is not fetched")
	}
}

// Guards against a busy loop at a platform that answers long polls at once, or that serves an old value.
func TestReadsArePaced(t *testing.T) {
	for name, answer := range map[string]func(sent time.Time) Event{
		"at once": func(sent time.Time) Event { return PlatformAnswered{Value: Document, Sent: sent} },
		"stale":   func(sent time.Time) Event { return PlatformStale{Value: Document, Sent: sent} },
	} {
		s, _, now := newListed()
		reads, end := 0, now.Add(10*time.Second)
		// newListed began a read, which this answers.
		for m := answer(now); now.Before(end) && reads < 1000; {
			ready := s.Step(m, now)
			m = Tick{}
			for _, r := range ready.Read {
				if r.Value == Document {
					reads++
					m = answer(now)
				}
			}
			if _, idle := m.(Tick); idle {
				now = ready.NextTick
			}
		}
		limit := int(10*time.Second/minReadInterval) + 1
		if name == "stale" {
			limit = int(10*time.Second/staleReadPause) + 1
		}
		if reads > limit || reads < limit/2 {
			t.Errorf("%s: %d reads in 10 s, limit %d", name, reads, limit)
		}
	}
}

// Guards against a fetch that waits forever for a sibling that does not reply.
func TestFetchMovesToAnotherSibling(t *testing.T) {
	s, _, now := newListed("a", "a")
	first := s.Step(RevisionAnnounced{From: "sib-0", Value: Document, Revision: 6}, now).Fetch
	s.Step(RevisionAnnounced{From: "sib-1", Value: Document, Revision: 6}, now)
	second := s.Step(FetchEnded{From: "sib-0", Value: Document}, now.Add(time.Second)).Fetch
	if len(first) != 1 || len(second) != 1 || second[0].From.ID != "sib-1" {
		t.Fatalf("fetches are %v, then %v; want sib-0, then sib-1", first, second)
	}
}

// BenchmarkSpread measures, on the virtual clock, the time until a change is in force everywhere and the cost of
// disseminating 3,800 changes a day.
func BenchmarkSpread(b *testing.B) {
	for _, size := range [][2]int{{2, 4}, {4, 16}, {4, 64}, {7, 172}} {
		b.Run(fmt.Sprint(size[0]*size[1]), func(b *testing.B) {
			for b.Loop() {
				p := newSimulation(b, size[0], size[1], 11)
				p.settle()
				p.resetCounts()
				start, worst, sum := p.now, time.Duration(0), time.Duration(0)
				const changes = 10
				for range changes {
					d := p.change(nil)
					worst, sum = max(worst, d), sum+d
					p.run(86400*time.Second/3800-d, nil)
				}
				seconds := p.now.Sub(start).Seconds()
				mean, most, sent := p.counts()
				b.ReportMetric(sum.Seconds()/changes, "mean-s")
				b.ReportMetric(worst.Seconds(), "worst-s")
				b.ReportMetric(mean/seconds, "B/s-instance")
				b.ReportMetric(most/seconds, "B/s-reader")
				b.ReportMetric(sent/seconds, "msg/s-instance")
				b.ReportMetric(float64(p.calls)/seconds, "calls/s")
			}
		})
	}
}

// BenchmarkInForceTail measures the slowest of many changes.
func BenchmarkInForceTail(b *testing.B) {
	for b.Loop() {
		p := newSimulation(b, 7, 172, 13)
		p.settle()
		const changes = 200
		worst, late := time.Duration(0), 0
		for range changes {
			d := p.change(nil)
			worst = max(worst, d)
			if d > time.Second {
				late++
			}
			p.run(time.Duration(p.rng.Int64N(int64(2*time.Second))), nil)
		}
		b.ReportMetric(worst.Seconds(), "worst-s")
		b.ReportMetric(float64(late)/changes, "above-1s")
	}
}

func (p *simulation) resetCounts() {
	p.calls = 0
	for _, n := range p.order {
		n.bytes, n.sent = 0, 0
	}
}

func (p *simulation) counts() (mean, most, sent float64) {
	for _, n := range p.order {
		mean += float64(n.bytes)
		most = max(most, float64(n.bytes))
		sent += float64(n.sent)
	}
	return mean / float64(len(p.order)), most, sent / float64(len(p.order))
}
