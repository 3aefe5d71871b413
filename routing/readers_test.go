package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// Guards against instances that reach the store and learn of a change too late because the instances that read it for them
// lost it: they must notice in time to read themselves. The worst moment of the change is right after the last answer that
// the readers had.
func TestChangeIsInForceInTimeWithoutItsReaders(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		instances, zones, rounds int
		limit                    time.Duration
	}{{9, 3, 8, 3 * time.Second}, {7, 3, 8, 3 * time.Second}, {7, 3, 8, 2 * time.Second}, {80, 4, 2, 5 * time.Second}} {
		t.Run(fmt.Sprintf("%d instances in %d zones, %v", c.instances, c.zones, c.limit), func(t *testing.T) {
			t.Parallel()
			f := newStoreFleet(c.instances, c.zones, Bounds{RetryBudgetWindow: 10 * time.Second, ChangeLimit: c.limit})
			f.run(10 * time.Second)
			for round := range c.rounds {
				f.write(routes(document.Revision(2 + 2*round)))
				// At least one reader has the answer by now, and the others wait for the store.
				f.run(time.Duration(10+20*round) * time.Millisecond)
				lost := 0
				for _, m := range f.members {
					if m.state.gossip.ShouldReadPlatform(f.now, m.state.readerTimeout()) {
						m.cut = true
						lost++
					}
				}
				f.run(10 * time.Millisecond)
				f.write(routes(document.Revision(3 + 2*round)))
				acknowledged := f.now
				version := document.Revision(3 + 2*round)
				behind := func() (n int) {
					for _, m := range f.members {
						if r := m.state.Snapshot().Routing; !m.cut && (r == nil || r.Version != version) {
							n++
						}
					}
					return n
				}
				for behind() > 0 && f.now.Sub(acknowledged) < 2*c.limit {
					f.run(10 * time.Millisecond)
				}
				took := f.now.Sub(acknowledged)
				t.Logf("round %d: %d readers lost, in force at the others after %v", round, lost, took)
				if lost == 0 || lost > c.instances/2 {
					t.Errorf("%d instances read the store, want a few", lost)
				}
				if took > c.limit {
					t.Errorf("round %d: in force after %v, want %v", round, took, c.limit)
				}
				for _, m := range f.members {
					m.cut = false
				}
				f.run(8 * time.Second)
			}
		})
	}
}

// Guards against a configuration that is in force too late at instances on small cores, in zones with and without an instance that
// reads the store, because those that read it lose it together with many others right after an answer: the time until the others
// notice must leave enough of the limit for the way of the change through the fleet.
func TestChangeReachesBusyInstancesInTimeWithoutItsReaders(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		instances, zones int
		limit            time.Duration
		lost             float64 // fraction of the instances that lose the store beside the readers
	}{{67, 4, 5 * time.Second, 0.35}, {67, 4, 5 * time.Second, 0.85}, {9, 3, 3 * time.Second, 0.35}} {
		t.Run(fmt.Sprintf("%d instances in %d zones, %v lose the store", c.instances, c.zones, c.lost), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(1, uint64(c.instances)))
			f := newStoreFleet(c.instances, c.zones, Bounds{RetryBudgetWindow: 10 * time.Second, ChangeLimit: c.limit})
			f.handling = func() time.Duration { return time.Duration(random.Int64N(int64(busyHandling))) }
			f.run(8 * time.Second)
			worst := time.Duration(0)
			for round := range 3 {
				f.write(routes(document.Revision(2 + 2*round)))
				f.run(time.Duration(150+20*round) * time.Millisecond)
				for _, m := range f.members {
					m.cut = m.state.gossip.ShouldReadPlatform(f.now, m.state.readerTimeout()) || random.Float64() < c.lost
				}
				version := document.Revision(3 + 2*round)
				f.write(routes(version))
				worst = max(worst, f.timeInForce(version, 2*c.limit))
				for _, m := range f.members {
					m.cut = false
				}
				f.run(6 * time.Second)
			}
			t.Logf("in force at the others after %v at the most", worst)
			if worst > c.limit {
				t.Errorf("in force after %v, want %v", worst, c.limit)
			}
		})
	}
}

// Guards against a limit for changes that the waits of a large fleet exceed before any instance handles a message: the time until
// lost readers are noticed everywhere, the takeover and the way of the change must fit into it.
func TestWaitsFitIntoTheLimitForChanges(t *testing.T) {
	for _, c := range []struct {
		instances, zones int
		limit            time.Duration
	}{{7, 3, 3 * time.Second}, {9, 3, 3 * time.Second}, {25, 3, 5 * time.Second}, {86, 3, 5 * time.Second}, {67, 4, 5 * time.Second}, {295, 6, 5 * time.Second}, {300, 4, 5 * time.Second}} {
		s := newStateTest(t, Bounds{RetryBudgetWindow: time.Second, ChangeLimit: c.limit}).state
		s.config.Regions, s.memberCount = regionsOf(c.zones), c.instances
		worst := s.readerTimeout() + takeoverTime + s.spreadTime()
		if c.zones > sibling.ReaderZones {
			worst += sibling.FarContactDelay
		}
		t.Logf("%d instances in %d zones: wait %v, pause %v, worst %v", c.instances, c.zones, s.storeWait(), s.readPause(), worst)
		if worst > c.limit {
			t.Errorf("%d instances in %d zones: %v, want %v", c.instances, c.zones, worst, c.limit)
		}
	}
}

// Guards against a configuration that reaches the instances of a large fleet one round of gossip after the other: the goal of the
// design is a second.
func TestChangeReachesALargeFleetWithinTheGoal(t *testing.T) {
	t.Parallel()
	const goal = time.Second
	random := rand.New(rand.NewPCG(2, 2))
	f := newStoreFleet(67, 4, Bounds{RetryBudgetWindow: 10 * time.Second, ChangeLimit: 5 * time.Second})
	f.handling = func() time.Duration { return time.Duration(random.Int64N(int64(75 * time.Millisecond))) }
	f.run(12 * time.Second)
	worst := time.Duration(0)
	for round := range 8 {
		version := document.Revision(2 + round)
		f.write(routes(version))
		// A change is not noticed at once if all readers pause between two reads.
		worst = max(worst, f.timeInForce(version, 5*time.Second)-f.members[0].state.readPause())
		f.run(time.Duration(2000+100*round) * time.Millisecond)
	}
	t.Logf("in force at all instances %v after it could be read, at the most", worst)
	if worst > goal {
		t.Errorf("in force %v after it could be read, want %v", worst, goal)
	}
}

// Guards against instances that take the readers of the store for lost, or notice their loss late, since what they know of them is
// old: in a fleet whose messages hold only a part of the states, the contact of the readers must be known everywhere in time.
func TestContactOfReadersIsKnownInTime(t *testing.T) {
	t.Parallel()
	f := newStoreFleet(67, 4, Bounds{RetryBudgetWindow: 10 * time.Second, ChangeLimit: 5 * time.Second})
	f.run(15 * time.Second)
	late, reads := map[string]int{}, f.reads
	const checks = 40
	for range checks {
		f.run(250 * time.Millisecond)
		for _, m := range f.members {
			newest := map[string]time.Duration{} // age of the newest contact with the store by zone, as this instance knows it
			for _, l := range m.state.gossip.Live(f.now) {
				if age, known := newest[l.Zone]; l.PlatformAge >= 0 && (!known || l.PlatformAge < age) {
					newest[l.Zone] = l.PlatformAge
				}
			}
			for _, r := range f.members {
				zone := r.state.config.Zone
				limit := m.state.readerTimeout()
				if zone != m.state.config.Zone {
					limit += sibling.FarContactDelay
				}
				if r.state.reader && r != m && r.state.gossip.IsFirstReader(f.now) && newest[zone] > limit {
					late[m.address()]++
				}
			}
		}
	}
	if len(late) > 0 {
		t.Errorf("instances that took readers for lost: %v", late)
	}
	// Each of three readers reads again after the wait and the pause.
	m := f.members[0].state
	if most := 3 * int(checks*250*time.Millisecond/(m.storeWait()+m.readPause())+1); f.reads-reads > most {
		t.Errorf("%d reads, want %d at most", f.reads-reads, most)
	}
}

// busyHandling is the longest time until a busy instance on a fifth of a core handles what arrives: a routing of 50 KB takes some 5 ms
// of a core, and requests take their turn.
const busyHandling = 250 * time.Millisecond

// timeInForce advances the clock until a version is in force at all instances that reach the store, for at most limit.
func (f *storeFleet) timeInForce(version document.Revision, limit time.Duration) time.Duration {
	return f.timeUntil(func() bool {
		return !slices.ContainsFunc(f.members, func(m *fleetMember) bool { return !m.cut && !m.hasVersion(version) })
	}, limit)
}

// timeUntil advances the clock until reached returns true, for at most limit.
func (f *storeFleet) timeUntil(reached func() bool, limit time.Duration) time.Duration {
	start := f.now
	for !reached() && f.now.Sub(start) < limit {
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

// inForce returns the number of instances at which a version is in force.
func (f *storeFleet) inForce(version document.Revision) int {
	n := 0
	for _, m := range f.members {
		if m.hasVersion(version) {
			n++
		}
	}
	return n
}

// hasVersion reports whether a version of the routing is in force at the instance.
func (m *fleetMember) hasVersion(version document.Revision) bool {
	return m.state.confirmed && m.state.routing != nil && m.state.routing.Version == version
}

// Guards against a target that is used too long because it was removed just after a reader returned from a cut: the reader
// takes the removal for one that an outage of the store caused, and believes it later.
func TestRemovalIsInForceInTimeAfterAReaderReturns(t *testing.T) {
	t.Parallel()
	const limit = 3 * time.Second
	worst := time.Duration(0)
	for round := range 24 {
		f := newStoreFleet(9, 3, Bounds{RetryBudgetWindow: 10 * time.Second, ChangeLimit: limit})
		f.write(target("i1", "s", "z0"))
		f.run(6 * time.Second)
		var readers, others []*fleetMember
		for _, m := range f.members {
			if m.state.gossip.ShouldReadPlatform(f.now, m.state.readerTimeout()) {
				readers = append(readers, m)
				m.cut = true
			} else {
				others = append(others, m)
			}
		}
		f.run(5500 * time.Millisecond)
		for _, m := range readers {
			m.cut = false
		}
		f.run(time.Duration(round) * 150 * time.Millisecond)
		f.write(Change{Kind: KindTarget, Name: "i1", Removed: true})
		removed := f.now
		inUse := func(m *fleetMember) bool { return len(m.state.Snapshot().Candidates("s")) > 0 }
		for slices.ContainsFunc(others, inUse) && f.now.Sub(removed) < 2*limit {
			f.run(10 * time.Millisecond)
		}
		worst = max(worst, f.now.Sub(removed))
	}
	t.Logf("out of use at the instances in touch after %v at the most", worst)
	if worst > limit {
		t.Errorf("out of use after %v, want %v", worst, limit)
	}
}
