package sibling

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// The simulation carries messages between Disseminator state machines on a virtual clock. Latencies follow
// docs/design.md 1.5; message sizes follow what siblinggrpc and documenthttp put on the wire.
const (
	zoneLatency     = 500 * time.Microsecond
	crossLatency    = 2 * time.Millisecond
	platformLatency = 3 * time.Millisecond
	applyTime       = 25 * time.Millisecond // decode, validate and index a document of a megabyte
	callTimeout     = 500 * time.Millisecond
	fetchTimeout    = 2 * time.Second

	// Sizes follow BenchmarkWire, plus 52 bytes of TCP and IP headers per packet: an exchange takes 221 bytes in 4
	// packets, an announcement 327, and a new connection 203 more in 6 packets.
	exchangeBytes = (221 + 4*52) / 2 // request or reply
	announceBytes = 327 + 4*52
	connectBytes  = 203 + 6*52
	wholeBytes    = 353 << 10
	pollBytes     = 200 + 2*52
	idleLimit     = 20 * time.Second // of siblinggrpc.Client
)

// scheduled is a function that runs at a time of the virtual clock.
type scheduled struct {
	at  time.Time
	seq int
	run func()
}

type queue []scheduled

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simulation is a fleet of instances and a platform on a virtual clock.
type simulation struct {
	t     testing.TB
	now   time.Time
	seq   int
	queue queue
	rng   *rand.Rand
	nodes map[string]*simNode
	order []*simNode
	lists map[document.Revision]Members
	// served is the revision that the platform serves; waiters are the pending long polls.
	served      [valueCount]document.Revision
	waiters     map[int]*waiter
	down        bool
	calls       int
	loss        float64
	partitioned func(a, b *simNode) bool
}

type waiter struct {
	node *simNode
	read ReadPlatform
	sent time.Time
}

// simNode is one simulated instance.
type simNode struct {
	disseminator    *Disseminator
	member          Member
	alive           bool
	frozen          bool
	cutFromPlatform bool // cannot reach the platform
	servedStale     bool // the platform serves it staleRevisions
	staleRevisions  [valueCount]document.Revision
	pending         []func()
	tick            time.Time
	lastRead        time.Time // when it last sent a read to the platform
	joined          time.Time
	joinRevision    document.Revision
	lastSent        map[*simNode]time.Time
	bytes           int
	sent            int
}

func newSimulation(t testing.TB, zones, perZone int, seed uint64) *simulation {
	p := &simulation{
		t: t, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{},
		lists: map[document.Revision]Members{}, waiters: map[int]*waiter{},
	}
	for z := range zones {
		for i := range perZone {
			p.add(fmt.Sprintf("%c-%04d", 'a'+z, i), fmt.Sprintf("%c", 'a'+z))
		}
	}
	p.publishList()
	p.publish(Document)
	return p
}

func (p *simulation) add(id, zone string) *simNode {
	n := &simNode{member: Member{ID: id, Zone: zone, PeerAddress: id}, alive: true, lastSent: map[*simNode]time.Time{}}
	n.disseminator = NewDisseminator(id, zone, nil, rand.New(rand.NewPCG(p.rng.Uint64(), 2)))
	p.nodes[id] = n
	p.order = append(p.order, n)
	p.after(time.Duration(p.rng.Int64N(int64(time.Second))), func() { p.step(n, Tick{}) })
	return n
}

func (p *simulation) publishList() {
	var list Members
	for _, n := range p.order {
		if n.alive {
			list = append(list, n.member)
		}
	}
	p.lists[p.served[InstanceList]+1] = MembersOf(listOf(list))
	p.publish(InstanceList)
}

func listOf(members Members) *document.InstanceList {
	l := &document.InstanceList{}
	for _, m := range members {
		l.Instances = append(l.Instances, document.Instance{
			ID: m.ID, Kind: document.KindEntry, Zone: m.Zone, PeerAddress: m.PeerAddress, State: document.StateLive,
		})
	}
	return l
}

func (p *simulation) publish(v ValueKind) {
	p.served[v]++
	for _, id := range slices.Sorted(maps.Keys(p.waiters)) { // in order, for the same run each time
		w := p.waiters[id]
		if w.read.Value == v && p.reachesPlatform(w.node) && p.servedRevision(w.node, v) > w.read.After {
			delete(p.waiters, id)
			p.answer(w)
		}
	}
}

func (p *simulation) servedRevision(n *simNode, v ValueKind) document.Revision {
	if n.servedStale {
		return n.staleRevisions[v]
	}
	return p.served[v]
}

func (p *simulation) reachesPlatform(n *simNode) bool { return !p.down && !n.cutFromPlatform }

func (p *simulation) after(d time.Duration, f func()) {
	p.seq++
	heap.Push(&p.queue, scheduled{at: p.now.Add(d), seq: p.seq, run: f})
}

// run advances the clock by d, or until done reports true. It returns the last result of done.
func (p *simulation) run(d time.Duration, done func() bool) bool {
	end := p.now.Add(d)
	for len(p.queue) > 0 && !p.queue[0].at.After(end) {
		next := heap.Pop(&p.queue).(scheduled)
		p.now = next.at
		next.run()
		if done != nil && done() {
			return true
		}
	}
	p.now = end
	return done != nil && done()
}

// on runs f at a node: later if the node is frozen, never if it is dead.
func (n *simNode) on(f func()) {
	switch {
	case !n.alive:
	case n.frozen:
		n.pending = append(n.pending, f)
	default:
		f()
	}
}

func (p *simulation) resume(n *simNode) {
	n.frozen = false
	pending := n.pending
	n.pending = nil
	for _, f := range pending {
		f()
	}
}

func (p *simulation) step(n *simNode, m Event) {
	before := n.disseminator.Revision(Document)
	ready := n.disseminator.Step(m, p.now)
	if n.disseminator.Revision(Document) < before {
		p.t.Fatalf("%s reverted from revision %d to %d", n.member.ID, before, n.disseminator.Revision(Document))
	}
	if n.joined.IsZero() && n.disseminator.Joined() {
		n.joined, n.joinRevision = p.now, n.disseminator.Revision(Document)
	}
	for _, to := range ready.Exchange {
		p.exchange(n, p.nodes[to.ID])
	}
	for _, a := range ready.Announce {
		p.announce(n, p.nodes[a.To.ID], a)
	}
	for _, f := range ready.Fetch {
		p.fetch(n, p.nodes[f.From.ID], f)
	}
	for _, r := range ready.Read {
		p.read(n, r)
	}
	if n.tick.Before(p.now) || ready.NextTick.Before(n.tick) || n.tick.Equal(p.now) {
		n.tick = ready.NextTick
		at := n.tick
		p.after(at.Sub(p.now), func() {
			n.on(func() {
				if n.tick.Equal(at) {
					p.step(n, Tick{})
				}
			})
		})
	}
}

// send delivers one message after its latency and counts its bytes.
func (p *simulation) send(from, to *simNode, bytes int, f func()) {
	if last, ok := from.lastSent[to]; !ok || p.now.Sub(last) > idleLimit {
		if last, ok := to.lastSent[from]; !ok || p.now.Sub(last) > callTimeout { // not a reply
			bytes += connectBytes
		}
	}
	from.lastSent[to] = p.now
	from.bytes += bytes
	from.sent++
	if p.partitioned != nil && p.partitioned(from, to) || p.rng.Float64() < p.loss {
		return
	}
	latency := zoneLatency
	if from.member.Zone != to.member.Zone {
		latency = crossLatency
	}
	p.after(latency, func() { to.on(func() { to.bytes += bytes; f() }) })
}

func (p *simulation) exchange(n, to *simNode) {
	h, sent := n.disseminator.Heartbeat(p.now), p.now
	p.send(n, to, exchangeBytes, func() {
		p.step(to, HeartbeatReceived{Heartbeat: h})
		reply := to.disseminator.Heartbeat(p.now)
		p.send(to, n, exchangeBytes, func() {
			if p.now.Sub(sent) < callTimeout {
				p.step(n, HeartbeatReplied{Heartbeat: reply, Sent: sent})
			}
		})
	})
}

func (p *simulation) announce(n, to *simNode, a Announce) {
	p.send(n, to, announceBytes, func() {
		if a.Difference != nil && a.Difference.From == to.disseminator.Revision(a.Value) {
			p.after(applyTime, func() {
				to.on(func() { p.adopt(to, a.Value, a.Revision, []document.Difference{*a.Difference}) })
			})
			return
		}
		p.step(to, RevisionAnnounced{From: n.member.ID, Value: a.Value, Revision: a.Revision})
	})
}

func (p *simulation) fetch(n, from *simNode, f Fetch) {
	ended := FetchEnded{From: f.From.ID, Value: f.Value}
	done := false
	finish := func() {
		if !done {
			done = true
			p.step(n, ended)
		}
	}
	p.after(fetchTimeout, func() { n.on(finish) })
	p.send(n, from, exchangeBytes, func() {
		held := from.disseminator.Current(f.Value)
		var chain []document.Difference
		bytes := wholeBytes
		for i, d := range held.Differences {
			if d.From == f.After && f.After != 0 {
				chain, bytes = held.Differences[i:], exchangeBytes+(len(held.Differences)-i)*announceBytes
				break
			}
		}
		p.send(from, n, bytes, func() {
			p.after(applyTime, func() {
				n.on(func() {
					p.adopt(n, f.Value, held.Revision, chain)
					finish()
				})
			})
		})
	})
}

func (p *simulation) read(n *simNode, r ReadPlatform) {
	p.calls++
	n.lastRead = p.now
	n.bytes += pollBytes
	w := &waiter{node: n, read: r, sent: p.now}
	fail := func() { n.on(func() { p.step(n, PlatformFailed{Value: r.Value}) }) }
	if p.down {
		p.after(platformLatency, fail) // connections are refused
		return
	}
	if !n.cutFromPlatform && p.servedRevision(n, r.Value) > r.After {
		p.answer(w)
		return
	}
	p.seq++
	id := p.seq
	p.waiters[id] = w
	p.after(r.Wait+platformLatency, func() {
		if p.waiters[id] == nil {
			return
		}
		delete(p.waiters, id)
		if p.reachesPlatform(n) {
			n.on(func() { p.step(n, PlatformAnswered{Value: r.Value, Sent: w.sent}) })
			return
		}
		p.after(r.ReplyTimeout-r.Wait, fail)
	})
}

func (p *simulation) answer(w *waiter) {
	n, v, revision := w.node, w.read.Value, p.servedRevision(w.node, w.read.Value)
	p.after(platformLatency+applyTime, func() {
		n.on(func() {
			var chain []document.Difference
			if from := n.disseminator.Revision(v); from != 0 {
				chain = []document.Difference{{From: from, To: revision}}
			}
			n.disseminator.Apply(PlatformAnswered{Value: v, Sent: w.sent}, p.now)
			p.adopt(n, v, revision, chain)
			p.step(n, Tick{})
		})
	})
}

// adopt applies a value as package control does.
func (p *simulation) adopt(n *simNode, v ValueKind, revision document.Revision, chain []document.Difference) {
	if !revision.Supersedes(n.disseminator.Revision(v)) {
		return
	}
	if v == InstanceList {
		p.step(n, MembersUpdated{Members: p.lists[revision]})
	}
	p.step(n, ValueAdopted{Value: v, Content: document.Content{Revision: revision}, Differences: chain})
}

// inForceEverywhere returns a condition: the newest document is in force at all live nodes that pass the filter.
func (p *simulation) inForceEverywhere(filter func(*simNode) bool) func() bool {
	return func() bool {
		for _, n := range p.order {
			if n.alive && !n.frozen && (filter == nil || filter(n)) && n.disseminator.Revision(Document) != p.served[Document] {
				return false
			}
		}
		return true
	}
}

// settle runs until all nodes are ready, and 2 s more.
func (p *simulation) settle() {
	if !p.run(20*time.Second, func() bool {
		for _, n := range p.order {
			if n.alive && !n.disseminator.Joined() {
				return false
			}
		}
		return true
	}) {
		p.t.Fatal("not all instances became ready")
	}
	p.run(2*time.Second, nil)
}

// change publishes a document and returns the time until it is in force at the live nodes that pass the filter.
func (p *simulation) change(filter func(*simNode) bool) time.Duration {
	start := p.now
	p.publish(Document)
	if !p.run(inForceLimit, p.inForceEverywhere(filter)) {
		missing := 0
		for _, n := range p.order {
			if n.alive && n.disseminator.Revision(Document) != p.served[Document] && (filter == nil || filter(n)) {
				missing++
			}
		}
		p.t.Fatalf("revision %d is not in force at %d instances after %v", p.served[Document], missing, inForceLimit)
	}
	return p.now.Sub(start)
}

// inForceLimit is requirement P12: the time within which a change is in force everywhere.
const inForceLimit = 4 * time.Second
