package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// storeFleet is a fleet of instances that read a store, on a virtual clock. The store answers a read when it has changes or
// the wait of the read has passed.
type storeFleet struct {
	now     time.Time
	events  []fleetEvent // in no order
	members []*fleetMember
	changes []Change // of the store, in the order of their revisions
	reads   int
}

// fleetEvent is something that happens at a time.
type fleetEvent struct {
	at time.Time
	do func()
}

// fleetMember is one instance of a storeFleet.
type fleetMember struct {
	fleet *storeFleet
	state *State
	wake  time.Time
	// waiting is the read that the store holds open, nil if there is none.
	waiting *ReadStore
	// cut reports that the instance and the store do not reach each other.
	cut bool
}

const (
	storeLatency  = 4 * time.Millisecond
	gossipLatency = time.Millisecond
	// readTimeout is how long after the wait of a read its client gives up.
	readTimeout = 1200 * time.Millisecond
	fleetStep   = time.Millisecond
)

func newStoreFleet(n, zones int, b Bounds) *storeFleet {
	f := &storeFleet{now: time.Unix(1000, 0)}
	f.write(routes(1))
	for i := range n {
		id := fmt.Sprintf("i%03d", i)
		f.members = append(f.members, &fleetMember{fleet: f, wake: f.now, state: NewState(InstanceConfig{
			ID: id, Zone: fmt.Sprint("z", i%zones), Address: id, Seeds: []string{"i000", "i001", "i002"}, Bounds: b, FirstStart: true,
		}, rand.New(rand.NewPCG(uint64(n), uint64(i))), f.now)})
	}
	return f
}

func (f *storeFleet) after(d time.Duration, do func()) {
	f.events = append(f.events, fleetEvent{f.now.Add(d), do})
}

// run advances the clock by d.
func (f *storeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		due := slices.DeleteFunc(slices.Clone(f.events), func(e fleetEvent) bool { return e.at.After(f.now) })
		f.events = slices.DeleteFunc(f.events, func(e fleetEvent) bool { return !e.at.After(f.now) })
		for _, e := range due {
			e.do()
		}
		for _, m := range f.members {
			if !m.wake.After(f.now) {
				m.step(Tick{})
			}
		}
	}
}

func (f *storeFleet) revision() document.Revision { return document.Revision(len(f.changes)) }

// write writes a value to the store.
func (f *storeFleet) write(c Change) {
	c.Revision = f.revision() + 1
	if c.Routing != nil {
		if err := c.Routing.Index(); err != nil {
			panic(err)
		}
	}
	f.changes = append(f.changes, c)
	for _, m := range f.members {
		if r := m.waiting; r != nil {
			m.answer(*r)
		}
	}
}

func (m *fleetMember) step(e Event) {
	result := m.state.Step(e, m.fleet.now)
	m.wake = result.WakeAt
	for _, effect := range result.Effects {
		switch effect := effect.(type) {
		case ReadStore:
			m.fleet.reads++
			m.fleet.after(storeLatency/2, func() { m.read(effect) })
		case SendGossip:
			m.gossip(effect)
		}
	}
}

// read is the arrival of a read at the store.
func (m *fleetMember) read(r ReadStore) {
	switch {
	case m.cut:
		m.fleet.after(r.Wait+readTimeout, func() { m.step(StoreRead{Err: errors.New("no reply")}) })
	case r.Full || r.After < m.fleet.revision():
		m.answer(r)
	default:
		m.waiting = &r
		m.fleet.after(r.Wait, func() {
			if m.waiting == &r {
				m.answer(r)
			}
		})
	}
}

// answer sends the store's answer to a read. It is lost if the instance is cut off.
func (m *fleetMember) answer(r ReadStore) {
	m.waiting = nil
	u := Update{FromRevision: r.After, ToRevision: m.fleet.revision(), Full: r.Full, Changes: slices.Clone(m.fleet.changes[r.After:])}
	if r.Full {
		u.Changes = slices.Clone(m.fleet.changes)
	}
	if m.cut {
		m.fleet.after(r.Wait+readTimeout, func() { m.step(StoreRead{Err: errors.New("no reply")}) })
		return
	}
	m.fleet.after(storeLatency/2, func() { m.step(StoreRead{Update: u}) })
}

func (m *fleetMember) gossip(g SendGossip) {
	i := slices.IndexFunc(m.fleet.members, func(o *fleetMember) bool { return o.state.config.Address == g.Address })
	m.fleet.after(gossipLatency, func() {
		reply := make(chan GossipMessage, 1)
		m.fleet.members[i].step(GossipReceived{Message: g.Message, Reply: reply})
		m.fleet.after(gossipLatency, func() { m.step(GossipReceived{Message: <-reply}) })
	})
}

// Guards against instances that reach the store and learn of a change too late because the instances that read it for them
// lost it: they must notice in time to read themselves. The worst moment of the change is right after the last answer that
// the readers had.
func TestChangeIsInForceInTimeWithoutItsReaders(t *testing.T) {
	for _, c := range []struct {
		instances, zones, rounds int
		limit                    time.Duration
	}{{9, 3, 8, 3 * time.Second}, {7, 3, 8, 3 * time.Second}, {7, 3, 8, 2 * time.Second}, {80, 4, 2, 5 * time.Second}} {
		t.Run(fmt.Sprintf("%d instances in %d zones, %v", c.instances, c.zones, c.limit), func(t *testing.T) {
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
