package target

import (
	"math/rand/v2"
	"time"
)

// RequestID identifies one request of a caller.
type RequestID string

// Leg is one attempt at one shard of a query.
type Leg struct {
	Shard    Shard
	Snapshot Snapshot
	// Attempt is unique in the query.
	Attempt int
	Target  *Target
}

// Reason says why a shard is missing from an answer.
type Reason string

// The reasons for a missing shard.
const (
	ReasonNoReplica    Reason = "no_replica"
	ReasonBusy         Reason = "busy"
	ReasonDeadline     Reason = "deadline"
	ReasonFailed       Reason = "target_failed"
	ReasonShed         Reason = "shed"
	ReasonSnapshotGone Reason = "snapshot_gone"
)

// Message is an input of Query.Step.
type Message interface{ message() }

// Reply is a target's reply to a leg, with the identity that the target repeated.
type Reply struct {
	RequestID RequestID
	Attempt   int
	Shard     Shard
	Snapshot  Snapshot
	Payload   []byte
}

// Failure is the end of a leg without a reply.
type Failure struct {
	Attempt int
	Reason  Reason
}

// Timeout tells the query that its wake-up time came.
type Timeout struct{}

func (Reply) message()   {}
func (Failure) message() {}
func (Timeout) message() {}

// Ready is what the caller of Step must do before the next Step.
type Ready struct {
	// Send lists legs to start. The gauge of each leg's target has counted it already.
	Send []Leg
	// Cancel lists legs whose replies are no longer wanted.
	Cancel []Leg
	// Wake is when to deliver a Timeout.
	Wake time.Time
	// Answer is set once, when the query is over.
	Answer *Answer
}

// ShardResult is the merged reply of one shard.
type ShardResult struct {
	Shard   Shard
	Payload []byte
}

// MissingShard is a shard without a result.
type MissingShard struct {
	Shard  Shard
	Reason Reason
}

// Answer is the outcome of a query. Results and Missing together name each shard of the snapshot's manifest
// exactly once.
type Answer struct {
	Snapshot Snapshot
	Results  []ShardResult
	Missing  []MissingShard
}

// Whole reports whether every shard answered.
func (a *Answer) Whole() bool { return len(a.Missing) == 0 }

// Total counts the shards of the snapshot.
func (a *Answer) Total() int { return len(a.Results) + len(a.Missing) }

type shardProgress struct {
	view    ShardView
	done    bool
	payload []byte
	reason  Reason
	tried   int
}

// maxAttemptsPerShard bounds the legs of one shard in one plan.
const maxAttemptsPerShard = 3

// Query is the state machine of one query. It belongs to one goroutine.
type Query struct {
	id       RequestID
	service  *ServiceView
	deadline time.Time
	rng      *rand.Rand

	snapshot Snapshot
	shards   []shardProgress
	legs     map[int]legState
	attempt  int
	open     int
}

type legState struct {
	leg   Leg
	index int
}

// NewQuery plans a query on the newest whole snapshot of the service and returns the legs to send. rng is used
// by this query only.
func NewQuery(id RequestID, service *ServiceView, deadline time.Time, rng *rand.Rand, now time.Time) (*Query, Ready) {
	q := &Query{id: id, service: service, deadline: deadline, rng: rng}
	return q, q.plan(service.Pick(0), now)
}

// Step takes one message and returns what to do. Replies that do not match an open leg in every part of their
// identity are dropped.
func (q *Query) Step(m Message, now time.Time) Ready {
	switch m := m.(type) {
	case Reply:
		return q.reply(m, now)
	case Failure:
		return q.failure(m, now)
	default:
		return q.timeout(now)
	}
}

func (q *Query) plan(s *SnapshotView, now time.Time) Ready {
	if s == nil {
		return Ready{Answer: &Answer{}}
	}
	q.snapshot = s.Snapshot
	q.shards = make([]shardProgress, len(s.Shards))
	q.legs = make(map[int]legState, len(s.Shards))
	q.open = len(s.Shards)
	ready := Ready{Wake: q.deadline}
	for i := range s.Shards {
		q.shards[i] = shardProgress{view: s.Shards[i], reason: ReasonNoReplica}
		q.send(i, nil, &ready)
	}
	q.finish(&ready)
	return ready
}

// send starts a leg of shard i on a replica other than avoid, or gives the shard up.
func (q *Query) send(i int, avoid *Target, ready *Ready) {
	p := &q.shards[i]
	t := q.choose(p.view.Replicas, avoid)
	if t == nil {
		if p.tried == 0 && len(p.view.Replicas) > 0 {
			p.reason = ReasonBusy
		}
		p.done = true
		q.open--
		return
	}
	q.attempt++
	p.tried++
	leg := Leg{Shard: p.view.Shard, Snapshot: q.snapshot, Attempt: q.attempt, Target: t}
	q.legs[leg.Attempt] = legState{leg: leg, index: i}
	ready.Send = append(ready.Send, leg)
}

// choose reserves a place at the least loaded of two random replicas, or at any other that has room.
func (q *Query) choose(replicas []*Target, avoid *Target) *Target {
	n := len(replicas)
	if n == 0 {
		return nil
	}
	first := q.rng.IntN(n)
	a, b := replicas[first], replicas[(first+1)%n]
	if b.Gauge.Outstanding() < a.Gauge.Outstanding() {
		a, b = b, a
	}
	for _, t := range []*Target{a, b} {
		if t != avoid && t.Gauge.TryStart(t.Limit) {
			return t
		}
	}
	for _, t := range replicas {
		if t != avoid && t != a && t != b && t.Gauge.TryStart(t.Limit) {
			return t
		}
	}
	return nil
}

func (q *Query) reply(r Reply, now time.Time) Ready {
	l, ok := q.legs[r.Attempt]
	if !ok || r.RequestID != q.id || r.Shard != l.leg.Shard || r.Snapshot != q.snapshot {
		return Ready{Wake: q.deadline}
	}
	delete(q.legs, r.Attempt)
	p := &q.shards[l.index]
	ready := Ready{Wake: q.deadline}
	if p.done {
		return ready
	}
	p.done, p.payload, p.reason = true, r.Payload, ""
	q.open--
	q.finish(&ready)
	return ready
}

func (q *Query) failure(f Failure, now time.Time) Ready {
	l, ok := q.legs[f.Attempt]
	if !ok {
		return Ready{Wake: q.deadline}
	}
	delete(q.legs, f.Attempt)
	p := &q.shards[l.index]
	ready := Ready{Wake: q.deadline}
	if p.done {
		return ready
	}
	p.reason = f.Reason
	if f.Reason == ReasonSnapshotGone {
		if newer := q.service.Pick(q.snapshot); newer != nil {
			return q.replan(newer, now)
		}
	}
	if p.tried < maxAttemptsPerShard && now.Before(q.deadline) {
		q.send(l.index, l.leg.Target, &ready)
	} else {
		p.done = true
		q.open--
	}
	q.finish(&ready)
	return ready
}

// replan starts again on a newer snapshot. Nothing merged so far is kept, since an answer has one snapshot.
func (q *Query) replan(s *SnapshotView, now time.Time) Ready {
	cancel := q.openLegs()
	ready := q.plan(s, now)
	ready.Cancel = cancel
	return ready
}

func (q *Query) timeout(now time.Time) Ready {
	ready := Ready{Wake: q.deadline}
	if now.Before(q.deadline) {
		return ready
	}
	for i := range q.shards {
		if p := &q.shards[i]; !p.done {
			p.done, p.reason = true, ReasonDeadline
		}
	}
	q.open = 0
	ready.Cancel = q.openLegs()
	q.finish(&ready)
	return ready
}

func (q *Query) openLegs() []Leg {
	legs := make([]Leg, 0, len(q.legs))
	for _, l := range q.legs {
		legs = append(legs, l.leg)
	}
	return legs
}

// finish sets the answer when no shard is open.
func (q *Query) finish(ready *Ready) {
	if q.open > 0 {
		return
	}
	a := &Answer{Snapshot: q.snapshot}
	for i := range q.shards {
		p := &q.shards[i]
		if p.reason == "" {
			a.Results = append(a.Results, ShardResult{Shard: p.view.Shard, Payload: p.payload})
		} else {
			a.Missing = append(a.Missing, MissingShard{Shard: p.view.Shard, Reason: p.reason})
		}
	}
	ready.Answer = a
}
