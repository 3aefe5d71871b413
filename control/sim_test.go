package control

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// sim runs the control states and token pools of a fleet on a virtual clock. The clock of each instance drifts.
type sim struct {
	rng       *rand.Rand
	now       time.Duration // true time since the start
	queue     simQueue
	seq       int
	instances []*simInstance
	lists     []published[*document.InstanceList]
	documents []published[*document.Document]
	cut       func(a, b *simInstance) bool // the network between two instances is cut
	lossy     float64                      // fraction of the messages that are lost, and of the others that are late
	listLag   time.Duration
	static    bool
	ideal     *bucket
	admitted  map[string][]time.Duration
	refused   map[string]int
	messages  int
	pulls     int
}

type published[T any] struct {
	at    time.Duration
	value T
}

type simInstance struct {
	sim         *sim
	id, zone    string
	state       *State
	drift       float64
	offset      time.Duration
	lag         time.Duration // delay after which the instance reads a published list or document
	dead        bool
	frozenUntil time.Duration
	platformCut bool
	delisted    bool
	pending     []func() // messages that arrived while the process was frozen
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSim(seed uint64) *sim {
	return &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), cut: func(_, _ *simInstance) bool { return false },
		admitted: map[string][]time.Duration{}, refused: map[string]int{},
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, run: run})
}

// advance advances the clock by d and runs the events that are due.
func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) add(zone string) *simInstance {
	in := &simInstance{
		sim: s, zone: zone, id: fmt.Sprintf("%s-%d", zone, len(s.instances)),
		drift:  (s.rng.Float64()*2 - 1) * 0.01,
		offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		lag:    time.Duration(s.rng.Int64N(int64(s.listLag) + 1)),
	}
	in.state = NewState(Identity{ID: in.id, Zone: zone, StaticRates: s.static}, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	s.instances = append(s.instances, in)
	s.after(time.Duration(s.rng.Int64N(int64(refillInterval))), in.tick)
	s.after(time.Duration(s.rng.Int64N(int64(100*time.Millisecond))), in.watch)
	return in
}

// publish publishes a list of the instances that are not delisted.
func (s *sim) publish() {
	list := &document.InstanceList{Revision: document.Revision(len(s.lists) + 1)}
	for _, in := range s.instances {
		if !in.delisted {
			list.Instances = append(list.Instances, document.Instance{
				ID: in.id, Kind: document.KindEntry, Zone: in.zone, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2",
				State: document.StateLive,
			})
		}
	}
	s.lists = append(s.lists, published[*document.InstanceList]{s.now, list})
}

func (s *sim) publishDocument(d *document.Document) {
	d.Revision = document.Revision(len(s.documents) + 1)
	if err := d.Validate(); err != nil {
		panic(err)
	}
	s.documents = append(s.documents, published[*document.Document]{s.now, d})
}

func visible[T any](values []published[T], until time.Duration) (out T) {
	for _, v := range values {
		if v.at <= until {
			out = v.value
		}
	}
	return out
}

func (in *simInstance) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(in.offset + time.Duration(float64(in.sim.now)*(1+in.drift)))
}

func (in *simInstance) running() bool { return !in.dead && in.sim.now >= in.frozenUntil }

func (in *simInstance) step(e Event) {
	for _, effect := range in.state.Step(e, in.clock()).Effects {
		in.execute(effect)
	}
}

func (in *simInstance) tick() {
	s := in.sim
	if in.dead {
		return
	}
	if s.now < in.frozenUntil {
		s.after(in.frozenUntil-s.now, in.tick)
		return
	}
	for _, deliver := range in.pending {
		deliver()
	}
	in.pending = nil
	in.step(Tick{})
	s.after(refillInterval, in.tick)
}

// watch reads the newest list and document that were published at least the instance's lag ago.
func (in *simInstance) watch() {
	s := in.sim
	if in.dead {
		return
	}
	if in.running() {
		// Siblings distribute the document, so an instance that is cut off from the platform receives it too.
		if d := visible(s.documents, s.now-in.lag); d != nil {
			in.step(DocumentRead{Document: d})
		}
	}
	if in.running() && !in.platformCut {
		if l := visible(s.lists, s.now-in.lag); l != nil {
			in.step(InstancesRead{List: l})
		}
	}
	s.after(100*time.Millisecond, in.watch)
}

func (s *sim) find(id string) *simInstance {
	i := slices.IndexFunc(s.instances, func(in *simInstance) bool { return in.id == id })
	return s.instances[i]
}

// send delivers a message from a to b, unless it is lost.
func (s *sim) send(a, b *simInstance, deliver func()) {
	s.messages++
	delay := 200*time.Microsecond + time.Duration(s.rng.Int64N(int64(time.Millisecond)))
	if s.rng.Float64() < s.lossy {
		return
	}
	if s.rng.Float64() < s.lossy {
		delay += time.Duration(s.rng.Int64N(int64(8 * time.Second)))
	}
	if s.cut(a, b) {
		return
	}
	s.after(delay, func() {
		switch {
		case b.dead || s.cut(a, b):
		case !b.running():
			b.pending = append(b.pending, deliver)
		default:
			deliver()
		}
	})
}

func (in *simInstance) execute(effect Effect) {
	s := in.sim
	sent := in.clock()
	switch e := effect.(type) {
	case SendCount:
		to := s.find(e.To.ID)
		s.send(in, to, func() {
			reply := make(chan sibling.CountReply, 1)
			to.step(CountRequestReceived{Request: e.Request, Reply: reply})
			r := <-reply
			s.send(to, in, func() { in.step(CountReplyReceived{Reply: r, Sent: sent}) })
		})
	case SendPull:
		to := s.find(e.To.ID)
		s.pulls++
		s.send(in, to, func() {
			reply := make(chan sibling.PullReply, 1)
			to.step(PullRequestReceived{Request: e.Request, Reply: reply})
			r := <-reply
			s.send(to, in, func() { in.step(PullReplyReceived{From: to.id, Reply: r, Sent: sent}) })
		})
	case ConfirmInstances:
		if l := visible(s.lists, s.now-in.lag); l != nil && !in.platformCut {
			s.after(time.Millisecond, func() {
				if in.running() {
					in.step(InstancesRead{List: l})
					in.step(InstancesConfirmed{Revision: l.Revision, Sent: sent})
				}
			})
		}
	}
}

// request offers one request of the organisation to the instance and reports whether it was admitted.
func (in *simInstance) request(organisation string) bool {
	if !in.running() {
		return false
	}
	pool := in.state.Snapshot().TokenPools[organisation]
	if pool == nil || !pool.Take(in.clock) {
		in.sim.refused[organisation]++
		return false
	}
	in.sim.admitted[organisation] = append(in.sim.admitted[organisation], in.sim.now)
	return true
}

// excess returns the largest number of requests by which a window that begins in [from, to) exceeds rate x w + burst,
// where w is the length of the window.
func excess(admitted []time.Duration, rate, burst float64, from, to time.Duration) float64 {
	worst, lowest, began := -burst, 0.0, false
	for i, at := range admitted {
		v := float64(i) - rate*at.Seconds()
		if at >= from && at < to && (!began || v < lowest) {
			lowest, began = v, true
		}
		if began {
			worst = max(worst, v+1-lowest-burst)
		}
	}
	return worst
}

func simDocument(rate, burst float64, fractions map[string]float64) *document.Document {
	d := &document.Document{
		Organisations: []document.Organisation{
			{Name: "host", IsHost: true, Rate: rate, Burst: burst, Weight: 1},
			{Name: "guest", Rate: rate / 3, Burst: burst / 2, Weight: 1},
		},
		Isolation: document.Isolation{KeyedLimit: 60}, ChangeWindow: 60,
	}
	for _, z := range simZones {
		d.Zones = append(d.Zones, document.Zone{Name: z, RateFraction: fractions[z]})
	}
	return d
}

var simZones = []string{"a", "b", "c"}

func equalFractions() map[string]float64 {
	return map[string]float64{"a": 1.0 / 3, "b": 1.0 / 3, "c": 1.0 / 3}
}
