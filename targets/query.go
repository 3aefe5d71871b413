package targets

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Views gives the newest view of a service, nil if there is none.
type Views interface {
	ServiceView(service string) *ServiceView
}

// QueryConfig is what a query starts from.
type QueryConfig struct {
	ID RequestID
	// View is the view of the service that the request was admitted on.
	View *ServiceView
	// Views is asked when the query has to be planned again.
	Views    Views
	Deadline time.Time
	// Rand is used by this query only.
	Rand *rand.Rand
}

const (
	// maxAttemptsPerShard bounds the legs of one shard in one plan.
	maxAttemptsPerShard = 3
	// minLegTime is the remaining time below which no leg is sent, since its reply could not arrive.
	minLegTime = time.Millisecond
	// busyWait bounds the time between two tries at a shard whose replicas have no room.
	minBusyWait = time.Millisecond
	maxBusyWait = 10 * time.Millisecond
	// stallFactor is the multiple of the hedging delay after which a leg counts as failed, so that it is retried
	// under the budget for retries when that for hedges is empty.
	stallFactor = 8
	// newSnapshotWait is the time between two looks for a snapshot that replaces one that is gone.
	newSnapshotWait = 10 * time.Millisecond
	// settleTime is how long a newer snapshot is awaited after a target said that the present one is gone.
	settleTime = time.Second
	// A new plan needs planTime times the latency quantile, at least minPlanTime.
	planTime    = 4
	minPlanTime = 10 * time.Millisecond
	// loadHint is the weight of a target's reported load, which lags or misleads: a target that reports full
	// load counts as a quarter slower.
	loadHint = 0.25
)

type shardState uint8

const (
	shardRunning  shardState = iota // a leg is open
	shardWaiting                    // for room at a replica
	shardUnserved                   // for a snapshot with a replica of it
	shardDone
)

type shardProgress struct {
	view    *ShardView
	payload []byte
	reason  Reason // empty once the reply is merged
	// hedgeAfter is when to hedge, counted from the start of the plan.
	hedgeAfter time.Duration
	sentAfter  time.Duration // of the last leg
	attempts   [maxAttemptsPerShard]int32
	tried      uint8
	open       uint8
	state      shardState
	// paid says that a waiting shard has taken its retry from the budget.
	paid bool
}

// Query is the state machine of one query. It belongs to one goroutine.
type Query struct {
	QueryConfig

	snapshot Snapshot
	started  time.Time // of this plan
	shards   []shardProgress
	legs     []legState // of this plan; attempt n is at n-base-1
	base     int
	attempt  int
	open     int // shards that are not done
	waiting  int // shards that wait for room or for a snapshot
	wake     time.Time
	previous *Answer  // the best of earlier plans
	gone     Snapshot // the newest snapshot that a target said is gone
	goneAt   time.Time
}

type legState struct {
	target *Target
	shard  int32
	open   bool
	gone   bool // the target said that the snapshot is gone
}

// NewQuery plans a query on the newest whole snapshot of the service and returns the legs to send.
func NewQuery(c QueryConfig, now time.Time) (*Query, Ready) {
	q := &Query{QueryConfig: c}
	return q, q.plan(c.View.Pick(0), now)
}

// Step takes one message and returns what to do. Replies that do not match an open leg in every part of their
// identity are dropped.
func (q *Query) Step(m Message, now time.Time) Ready {
	var ready Ready
	switch m := m.(type) {
	case Reply:
		q.reply(m, &ready)
	case Failure:
		if replanned := q.failure(m, now, &ready); replanned {
			return ready
		}
	default:
		if replanned := q.timeout(now, &ready); replanned {
			return ready
		}
	}
	if q.waiting > 0 && q.open > 0 {
		q.sendWaiting(now, &ready)
	}
	q.finish(&ready)
	return ready
}

func (q *Query) plan(s *SnapshotView, now time.Time) Ready {
	if s == nil {
		return Ready{Answer: &Answer{}}
	}
	n := len(s.Shards)
	q.snapshot = s.Snapshot
	q.shards = make([]shardProgress, n)
	q.legs = make([]legState, 0, n+n/8+1)
	q.base = q.attempt
	q.started = now
	q.open, q.waiting = n, 0
	q.wake = q.Deadline
	ready := Ready{Send: make([]Leg, 0, n)}
	for i := range s.Shards {
		q.shards[i].view = &s.Shards[i]
		q.shards[i].reason = ReasonNoReplica
		q.first(i, now, &ready)
	}
	q.View.Tail.legsSent(len(ready.Send))
	q.finish(&ready)
	return ready
}

// first sends the first leg of a shard, or has the shard wait for room.
func (q *Query) first(i int, now time.Time, ready *Ready) {
	p := &q.shards[i]
	t, busy := q.choose(p, false)
	switch {
	case t != nil:
		q.send(i, t, now, ready)
	case busy:
		p.reason = ReasonBusy
		q.wait(p, shardWaiting, now)
	case q.mayWaitForSnapshot(now):
		q.wait(p, shardUnserved, now)
	default:
		q.giveUp(p)
	}
}

func (q *Query) send(i int, t *Target, now time.Time, ready *Ready) {
	p := &q.shards[i]
	q.attempt++
	q.legs = append(q.legs, legState{target: t, shard: int32(i), open: true})
	p.attempts[p.tried] = int32(q.attempt)
	p.tried++
	p.open++
	p.paid = false
	p.state = shardRunning
	p.hedgeAfter, p.sentAfter = neverHedge, now.Sub(q.started)
	if d, ok := q.View.Tail.hedgeDelay(); ok && p.tried < maxAttemptsPerShard {
		q.hedgeIn(p, d, now)
	}
	ready.Send = append(ready.Send, q.leg(q.attempt))
}

// neverHedge is beyond every deadline.
const neverHedge = time.Duration(math.MaxInt64)

func (q *Query) hedgeIn(p *shardProgress, d time.Duration, now time.Time) {
	at := now.Add(d)
	p.hedgeAfter = at.Sub(q.started)
	q.wakeAt(at)
}

func (q *Query) state(attempt int) *legState { return &q.legs[attempt-q.base-1] }

func (q *Query) leg(attempt int) Leg {
	l := q.state(attempt)
	return Leg{
		Shard: q.shards[l.shard].view.Shard, Snapshot: q.snapshot, Attempt: attempt, Target: l.target, tail: q.View.Tail,
	}
}

func (q *Query) giveUp(p *shardProgress) {
	p.state = shardDone
	q.open--
}

// wait has a shard wait; sendWaiting takes it up again.
func (q *Query) wait(p *shardProgress, state shardState, now time.Time) {
	p.state = state
	q.waiting++
	if state == shardUnserved {
		q.wakeAt(now.Add(newSnapshotWait))
		return
	}
	q.wakeAt(now.Add(min(max(q.View.Tail.Quantile()/4, minBusyWait), maxBusyWait)))
}

func (q *Query) wakeAt(t time.Time) {
	if t.Before(q.wake) {
		q.wake = t
	}
}

// openLeg returns the leg of an attempt, nil if it is not open in this plan.
func (q *Query) openLeg(attempt int) *legState {
	if attempt <= q.base || attempt > q.attempt {
		return nil
	}
	if l := q.state(attempt); l.open {
		return l
	}
	return nil
}

func (q *Query) reply(r Reply, ready *Ready) {
	l := q.openLeg(r.Attempt)
	if l == nil || !q.leg(r.Attempt).Matches(q.ID, r) {
		return
	}
	l.open = false
	p := &q.shards[l.shard]
	p.open--
	if p.state == shardDone {
		return
	}
	p.payload, p.reason = r.Payload, ""
	for _, attempt := range p.attempts[:p.tried] {
		if other := q.state(int(attempt)); other.open {
			other.open = false
			p.open--
			ready.Cancel = append(ready.Cancel, q.leg(int(attempt)))
		}
	}
	q.giveUp(p)
}

// failure reports whether it planned the query again; ready is then complete.
func (q *Query) failure(f Failure, now time.Time, ready *Ready) bool {
	l := q.openLeg(f.Attempt)
	if l == nil {
		return false
	}
	l.open = false
	p := &q.shards[l.shard]
	p.open--
	if p.state == shardDone {
		return false
	}
	p.reason = f.Reason
	if f.Reason == ReasonSnapshotGone {
		l.gone = true
		q.gone, q.goneAt = max(q.gone, q.snapshot), now
		if s := q.replacement(); s.whole() && q.mayStillSend(now) {
			*ready = q.replan(s, now)
			return true
		}
	}
	if p.open == 0 {
		q.retry(int(l.shard), now, ready)
	}
	return false
}

// retry sends a shard whose legs all failed to another replica, or to one of the same again if there is none. A
// leg that was not sent, or whose snapshot is gone, put no load on a target, so its retry takes nothing from the
// budget.
func (q *Query) retry(i int, now time.Time, ready *Ready) {
	p := &q.shards[i]
	if !q.mayStillSend(now) {
		q.giveUp(p)
		return
	}
	if p.tried >= maxAttemptsPerShard {
		q.unserved(p, now)
		return
	}
	t, busy := q.choose(p, false)
	if t == nil && !busy {
		t, busy = q.choose(p, true)
	}
	if t == nil && !busy {
		q.unserved(p, now)
		return
	}
	free := p.paid || p.reason == ReasonUnreachable || p.reason == ReasonSnapshotGone
	if !free && !q.View.Tail.retries.take() {
		if t != nil {
			t.Stats.Finish(0)
		}
		q.giveUp(p)
		return
	}
	p.paid = true
	if t == nil {
		q.wait(p, shardWaiting, now)
		return
	}
	q.send(i, t, now, ready)
}

// unserved has a shard whose replicas have all moved on wait for another snapshot, and gives any other up.
func (q *Query) unserved(p *shardProgress, now time.Time) {
	if p.reason == ReasonSnapshotGone && q.mayWaitForSnapshot(now) {
		q.wait(p, shardUnserved, now)
		return
	}
	q.giveUp(p)
}

// mayWaitForSnapshot reports whether a whole snapshot is expected and time remains to run a plan on it.
func (q *Query) mayWaitForSnapshot(now time.Time) bool {
	expected := now.Before(q.View.SnapshotsSettleAt) || !q.goneAt.IsZero() && now.Before(q.goneAt.Add(settleTime))
	return expected && now.Add(max(planTime*q.View.Tail.Quantile(), minPlanTime)).Before(q.Deadline)
}

func (q *Query) mayStillSend(now time.Time) bool { return now.Add(minLegTime).Before(q.Deadline) }

// sendWaiting tries the shards that wait for room again.
func (q *Query) sendWaiting(now time.Time, ready *Ready) {
	if !q.mayStillSend(now) {
		return
	}
	for i := range q.shards {
		p := &q.shards[i]
		if p.state != shardWaiting {
			continue
		}
		q.waiting--
		if p.tried > 0 {
			q.retry(i, now, ready)
			continue
		}
		sent := len(ready.Send)
		q.first(i, now, ready)
		q.View.Tail.legsSent(len(ready.Send) - sent)
	}
}

// replacement returns the snapshot to plan on next, from the newest view: never one that is gone.
func (q *Query) replacement() *SnapshotView {
	if view := q.Views.ServiceView(q.View.Name); view != nil {
		q.View = view
	}
	return q.View.Pick(q.gone)
}

// replan starts again on a newer snapshot. An answer has one snapshot, so nothing merged so far goes into the
// new plan; it is kept apart for the case that the new plan covers less.
func (q *Query) replan(s *SnapshotView, now time.Time) Ready {
	if a := q.answer(); a.betterThan(q.previous) {
		q.previous = a
	}
	cancel := q.openLegs()
	ready := q.plan(s, now)
	ready.Cancel = cancel
	return ready
}

// timeout reports whether it planned the query again; ready is then complete.
func (q *Query) timeout(now time.Time, ready *Ready) bool {
	if !now.Before(q.Deadline) {
		q.end(ready)
		return false
	}
	q.wake = q.Deadline
	if !q.mayStillSend(now) {
		return false
	}
	// Planning again comes before hedging: it drops the legs of this step, whose places are taken already.
	if q.waitsForSnapshot() {
		s := q.replacement()
		waits := q.mayWaitForSnapshot(now)
		if s.whole() || !waits && s != nil && s.Snapshot != q.snapshot && s.Covered > q.merged() {
			*ready = q.replan(s, now)
			return true
		}
		if waits {
			q.wakeAt(now.Add(newSnapshotWait))
		} else {
			q.endWait()
		}
	}
	for i := range q.shards {
		if q.shards[i].state == shardRunning {
			q.hedge(i, now, ready)
		}
	}
	return false
}

func (q *Query) waitsForSnapshot() bool {
	if q.waiting == 0 {
		return false
	}
	return slices.ContainsFunc(q.shards, func(p shardProgress) bool { return p.state == shardUnserved })
}

// endWait gives up the shards that wait for a snapshot.
func (q *Query) endWait() {
	for i := range q.shards {
		if p := &q.shards[i]; p.state == shardUnserved {
			q.waiting--
			q.giveUp(p)
		}
	}
}

func (q *Query) merged() int {
	n := 0
	for i := range q.shards {
		if q.shards[i].reason == "" {
			n++
		}
	}
	return n
}

// hedge sends a second leg of a shard to another replica when the first has run long enough and the budget
// allows it.
func (q *Query) hedge(i int, now time.Time, ready *Ready) {
	p := &q.shards[i]
	if p.hedgeAfter == neverHedge { // nothing was known of the latency, or no attempt is left
		return
	}
	if at := q.started.Add(p.hedgeAfter); now.Before(at) {
		q.wakeAt(at)
		return
	}
	if p.open > 1 || p.tried >= maxAttemptsPerShard {
		return
	}
	tail := q.View.Tail
	delay, ok := tail.hedgeDelay()
	if !ok {
		return
	}
	stalled := now.Sub(q.started)-p.sentAfter >= stallFactor*delay
	if len(p.view.Replicas) < 2 && !stalled {
		q.hedgeIn(p, stallFactor*delay-(now.Sub(q.started)-p.sentAfter), now)
		return
	}
	budget := &tail.hedges
	paid := budget.take()
	if !paid && stalled {
		budget = &tail.retries
		paid = budget.take()
	}
	if !paid {
		q.hedgeIn(p, max(delay, minBusyWait), now)
		return
	}
	t, busy := q.choose(p, false)
	if t == nil && !busy && stalled {
		t = q.sameTarget(p, now)
	}
	if t != nil {
		q.send(i, t, now, ready)
		return
	}
	budget.giveBack()
	q.hedgeIn(p, max(delay, minBusyWait), now)
}

// sameTarget reserves a place at the target of the open leg, whose connection may be silent: the new leg takes
// another one, and if its reply comes first, cancelling the old leg closes the silent connection.
func (q *Query) sameTarget(p *shardProgress, now time.Time) *Target {
	for _, attempt := range p.attempts[:p.tried] {
		l := q.state(int(attempt))
		if l.open && l.target.Stats.TryStart(l.target.Limit) {
			if l.target.Stats.mayReplace(now) {
				return l.target
			}
			l.target.Stats.Finish(0)
		}
	}
	return nil
}

// end gives up all open shards.
func (q *Query) end(ready *Ready) {
	ready.Cancel = q.openLegs()
	for i := range q.shards {
		p := &q.shards[i]
		if p.state == shardRunning {
			p.reason = ReasonDeadline
		}
		p.state = shardDone
	}
	q.open, q.waiting = 0, 0
}

// openLegs returns the legs that are under way and closes them.
func (q *Query) openLegs() []Leg {
	var legs []Leg
	for i := range q.legs {
		if l := &q.legs[i]; l.open {
			l.open = false
			legs = append(legs, q.leg(q.base+1+i))
		}
	}
	return legs
}

// finish sets the wake-up time, or the answer when no shard is open.
func (q *Query) finish(ready *Ready) {
	ready.Wake = q.wake
	if q.open > 0 {
		return
	}
	ready.Answer = q.answer()
	if q.previous != nil && !ready.Answer.betterThan(q.previous) {
		ready.Answer = q.previous
	}
}

// answer returns what is merged of the present plan.
func (q *Query) answer() *Answer {
	a := &Answer{Snapshot: q.snapshot, Results: make([]ShardResult, 0, len(q.shards))}
	for i := range q.shards {
		p := &q.shards[i]
		if p.reason == "" {
			a.Results = append(a.Results, ShardResult{Shard: p.view.Shard, Payload: p.payload})
		} else {
			a.Missing = append(a.Missing, MissingShard{Shard: p.view.Shard, Reason: p.reason})
		}
	}
	return a
}
