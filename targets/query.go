package targets

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Views provides the newest view of a service, nil if there is none.
type Views interface {
	ServiceView(service string) *ServiceView
}

// QueryConfig holds the inputs of a query.
type QueryConfig struct {
	ID RequestID
	// View is the view of the service at admission of the request.
	View *ServiceView
	// Views provides newer views when the query is planned again.
	Views    Views
	Deadline time.Time
	// Rand is used by this query only, since it is not safe for concurrent use.
	Rand *rand.Rand
}

const (
	// maxAttemptsPerShard bounds the legs for one shard within one plan.
	maxAttemptsPerShard = 3
	// minLegTime is the remaining time below which no leg is sent, since its reply would arrive too late.
	minLegTime = time.Millisecond
	// The interval between attempts to find a replica with free capacity is bounded by minCapacityWait and
	// maxCapacityWait.
	minCapacityWait = time.Millisecond
	maxCapacityWait = 10 * time.Millisecond
	// A leg counts as stalled after stallFactor times the hedging delay. It is then retried on the budget for retries
	// if the budget for hedges is empty.
	stallFactor = 8
	// snapshotPollInterval is the interval between checks for a snapshot that replaces an unavailable one.
	snapshotPollInterval = 10 * time.Millisecond
	// snapshotSettleTime is how long a query waits for a newer snapshot after a target reported that it no longer
	// serves the current one.
	snapshotSettleTime = time.Second
	// A new plan needs planQuantiles times the latency quantile, at least minPlanTime.
	planQuantiles = 4
	minPlanTime   = 10 * time.Millisecond
	// reportedLoadWeight is the weight of the load that a target reports, which may be outdated or wrong: full load
	// counts as 25% more latency.
	reportedLoadWeight = 0.25
)

type shardState uint8

const (
	shardRunning          shardState = iota // a leg is open
	shardAwaitingCapacity                   // waits until a replica has free capacity
	shardAwaitingSnapshot                   // waits for a snapshot with a usable replica
	shardDone
)

type shardProgress struct {
	view    *ShardView
	payload []byte
	reason  Reason // why the shard is missing; empty once its reply is merged
	// hedgeAfter is when to send a hedge, relative to the start of the plan.
	hedgeAfter    time.Duration
	lastSentAfter time.Duration // send time of the latest leg, relative to the start of the plan
	attempts      [maxAttemptsPerShard]int32
	attemptCount  uint8
	openLegs      uint8
	state         shardState
	// retryPaid is set while a waiting shard has taken its retry from the budget but has not sent it.
	retryPaid bool
}

// Query is the state machine of one query. It is not safe for concurrent use.
type Query struct {
	QueryConfig

	snapshot      Snapshot
	started       time.Time // start of the current plan
	shards        []shardProgress
	legs          []legState // of the current plan; attempt n is at index n-attemptBase-1
	attemptBase   int
	lastAttempt   int
	openShards    int // shards without a final result
	waitingShards int // shards that wait for capacity or for a snapshot
	wake          time.Time
	bestEarlier   *Answer  // the answer of an earlier plan with the most coverage
	goneSnapshot  Snapshot // the newest snapshot that a target reported as no longer served
	goneAt        time.Time
}

type legState struct {
	target       *Target
	shard        int32
	open         bool
	snapshotGone bool // the target reported that it no longer serves the snapshot
}

// NewQuery plans a query on the snapshot that ServiceView.Pick returns, and returns the legs to send.
func NewQuery(c QueryConfig, now time.Time) (*Query, Ready) {
	q := &Query{QueryConfig: c}
	return q, q.plan(c.View.Pick(0), now)
}

// Step processes one message and returns the next actions. It drops replies that do not match an open leg in every part
// of their identity.
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
	if q.waitingShards > 0 && q.openShards > 0 {
		q.sendWaiting(now, &ready)
	}
	q.finish(&ready)
	return ready
}

// plan starts the query on snapshot s. If s is nil, it returns an empty answer.
func (q *Query) plan(s *SnapshotView, now time.Time) Ready {
	if s == nil {
		return Ready{Answer: &Answer{}}
	}
	n := len(s.Shards)
	q.snapshot = s.Snapshot
	q.shards = make([]shardProgress, n)
	q.legs = make([]legState, 0, n+n/8+1)
	q.attemptBase = q.lastAttempt
	q.started = now
	q.openShards, q.waitingShards = n, 0
	q.wake = q.Deadline
	ready := Ready{Send: make([]Leg, 0, n)}
	for i := range s.Shards {
		q.shards[i].view = &s.Shards[i]
		q.shards[i].reason = ReasonNoReplica
		q.startShard(i, now, &ready)
	}
	q.View.Tail.legsSent(len(ready.Send))
	q.finish(&ready)
	return ready
}

// startShard sends the first leg for a shard, or makes the shard wait for capacity or for a snapshot. If neither is
// possible, the shard is closed.
func (q *Query) startShard(i int, now time.Time, ready *Ready) {
	p := &q.shards[i]
	t, busy := q.choose(p, false)
	switch {
	case t != nil:
		q.send(i, t, now, ready)
	case busy:
		p.reason = ReasonBusy
		q.suspendShard(p, shardAwaitingCapacity, now)
	case q.mayWaitForSnapshot(now):
		q.suspendShard(p, shardAwaitingSnapshot, now)
	default:
		q.closeShard(p)
	}
}

func (q *Query) send(i int, t *Target, now time.Time, ready *Ready) {
	p := &q.shards[i]
	q.lastAttempt++
	q.legs = append(q.legs, legState{target: t, shard: int32(i), open: true})
	p.attempts[p.attemptCount] = int32(q.lastAttempt)
	p.attemptCount++
	p.openLegs++
	p.retryPaid = false
	p.state = shardRunning
	p.hedgeAfter, p.lastSentAfter = neverHedge, now.Sub(q.started)
	if d, ok := q.View.Tail.hedgeDelay(); ok && p.attemptCount < maxAttemptsPerShard {
		q.hedgeIn(p, d, now)
	}
	ready.Send = append(ready.Send, q.leg(q.lastAttempt))
}

// neverHedge is later than every deadline.
const neverHedge = time.Duration(math.MaxInt64)

// hedgeIn schedules the next hedging decision for a shard at d from now.
func (q *Query) hedgeIn(p *shardProgress, d time.Duration, now time.Time) {
	at := now.Add(d)
	p.hedgeAfter = at.Sub(q.started)
	q.wakeAt(at)
}

func (q *Query) legState(attempt int) *legState { return &q.legs[attempt-q.attemptBase-1] }

func (q *Query) leg(attempt int) Leg {
	l := q.legState(attempt)
	return Leg{
		Shard: q.shards[l.shard].view.Shard, Snapshot: q.snapshot, Attempt: attempt, Target: l.target, tail: q.View.Tail,
	}
}

// closeShard ends the work on a shard, with or without a result.
func (q *Query) closeShard(p *shardProgress) {
	p.state = shardDone
	q.openShards--
}

// suspendShard makes a shard wait. It resumes in sendWaiting or with a new plan.
func (q *Query) suspendShard(p *shardProgress, state shardState, now time.Time) {
	p.state = state
	q.waitingShards++
	if state == shardAwaitingSnapshot {
		q.wakeAt(now.Add(snapshotPollInterval))
		return
	}
	q.wakeAt(now.Add(min(max(q.View.Tail.Quantile()/4, minCapacityWait), maxCapacityWait)))
}

func (q *Query) wakeAt(t time.Time) {
	if t.Before(q.wake) {
		q.wake = t
	}
}

// openLeg returns the leg with the attempt number, nil if it is not open in the current plan.
func (q *Query) openLeg(attempt int) *legState {
	if attempt <= q.attemptBase || attempt > q.lastAttempt {
		return nil
	}
	if l := q.legState(attempt); l.open {
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
	p.openLegs--
	if p.state == shardDone {
		return
	}
	p.payload, p.reason = r.Payload, ""
	for _, attempt := range p.attempts[:p.attemptCount] {
		if other := q.legState(int(attempt)); other.open {
			other.open = false
			p.openLegs--
			ready.Cancel = append(ready.Cancel, q.leg(int(attempt)))
		}
	}
	q.closeShard(p)
}

// failure processes the end of a leg without a reply. It reports whether it planned the query again; ready is then
// complete.
func (q *Query) failure(f Failure, now time.Time, ready *Ready) bool {
	l := q.openLeg(f.Attempt)
	if l == nil {
		return false
	}
	l.open = false
	p := &q.shards[l.shard]
	p.openLegs--
	if p.state == shardDone {
		return false
	}
	p.reason = f.Reason
	if f.Reason == ReasonSnapshotGone {
		l.snapshotGone = true
		q.goneSnapshot, q.goneAt = max(q.goneSnapshot, q.snapshot), now
		if s := q.newerSnapshot(); s.complete() && q.hasTimeToSend(now) {
			*ready = q.replan(s, now)
			return true
		}
	}
	if p.openLegs == 0 {
		q.retry(int(l.shard), now, ready)
	}
	return false
}

// retry sends another leg for a shard whose legs have all failed. It prefers a replica that was not tried yet. A leg
// that was not sent, or whose snapshot is no longer served, put no load on a target, so its retry takes nothing from
// the budget.
func (q *Query) retry(i int, now time.Time, ready *Ready) {
	p := &q.shards[i]
	if !q.hasTimeToSend(now) {
		q.closeShard(p)
		return
	}
	if p.attemptCount >= maxAttemptsPerShard {
		q.awaitSnapshotOrClose(p, now)
		return
	}
	t, busy := q.choose(p, false)
	if t == nil && !busy {
		t, busy = q.choose(p, true)
	}
	if t == nil && !busy {
		q.awaitSnapshotOrClose(p, now)
		return
	}
	free := p.retryPaid || p.reason == ReasonUnreachable || p.reason == ReasonSnapshotGone
	if !free && !q.View.Tail.retries.take() {
		if t != nil {
			t.Stats.Finish(0)
		}
		q.closeShard(p)
		return
	}
	p.retryPaid = true
	if t == nil {
		q.suspendShard(p, shardAwaitingCapacity, now)
		return
	}
	q.send(i, t, now, ready)
}

// awaitSnapshotOrClose makes a shard wait for another snapshot if its last target no longer serves the current one and
// a newer one is expected in time. Otherwise it closes the shard.
func (q *Query) awaitSnapshotOrClose(p *shardProgress, now time.Time) {
	if p.reason == ReasonSnapshotGone && q.mayWaitForSnapshot(now) {
		q.suspendShard(p, shardAwaitingSnapshot, now)
		return
	}
	q.closeShard(p)
}

// mayWaitForSnapshot reports whether a complete snapshot is expected and enough time remains to run a plan on it.
func (q *Query) mayWaitForSnapshot(now time.Time) bool {
	expected := now.Before(q.View.SnapshotsSettleAt) || !q.goneAt.IsZero() && now.Before(q.goneAt.Add(snapshotSettleTime))
	return expected && now.Add(max(planQuantiles*q.View.Tail.Quantile(), minPlanTime)).Before(q.Deadline)
}

func (q *Query) hasTimeToSend(now time.Time) bool { return now.Add(minLegTime).Before(q.Deadline) }

// sendWaiting tries again to send legs for the shards that wait for capacity.
func (q *Query) sendWaiting(now time.Time, ready *Ready) {
	if !q.hasTimeToSend(now) {
		return
	}
	for i := range q.shards {
		p := &q.shards[i]
		if p.state != shardAwaitingCapacity {
			continue
		}
		q.waitingShards--
		if p.attemptCount > 0 {
			q.retry(i, now, ready)
			continue
		}
		sent := len(ready.Send)
		q.startShard(i, now, ready)
		q.View.Tail.legsSent(len(ready.Send) - sent)
	}
}

// newerSnapshot switches to the newest view and returns the snapshot for the next plan. It never returns a snapshot
// that a target reported as no longer served.
func (q *Query) newerSnapshot() *SnapshotView {
	if view := q.Views.ServiceView(q.View.Name); view != nil {
		q.View = view
	}
	return q.View.Pick(q.goneSnapshot)
}

// replan starts the query again on snapshot s. All results of an answer belong to one snapshot, so no result merged so
// far enters the new plan. The earlier answer is kept in case the new plan covers less.
func (q *Query) replan(s *SnapshotView, now time.Time) Ready {
	if a := q.answer(); a.coversMoreThan(q.bestEarlier) {
		q.bestEarlier = a
	}
	cancel := q.openLegs()
	ready := q.plan(s, now)
	ready.Cancel = cancel
	return ready
}

// timeout does what is due at now. It reports whether it planned the query again; ready is then complete.
func (q *Query) timeout(now time.Time, ready *Ready) bool {
	if !now.Before(q.Deadline) {
		q.expire(ready)
		return false
	}
	q.wake = q.Deadline
	if !q.hasTimeToSend(now) {
		return false
	}
	// A new plan is decided before any hedge: it discards the legs of this step, for which places at targets would
	// already be reserved.
	if q.waitsForSnapshot() {
		s := q.newerSnapshot()
		waits := q.mayWaitForSnapshot(now)
		if s.complete() || !waits && s != nil && s.Snapshot != q.snapshot && s.Covered > q.mergedShards() {
			*ready = q.replan(s, now)
			return true
		}
		if waits {
			q.wakeAt(now.Add(snapshotPollInterval))
		} else {
			q.closeAwaitingSnapshot()
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
	if q.waitingShards == 0 {
		return false
	}
	return slices.ContainsFunc(q.shards, func(p shardProgress) bool { return p.state == shardAwaitingSnapshot })
}

// closeAwaitingSnapshot closes the shards that wait for a snapshot.
func (q *Query) closeAwaitingSnapshot() {
	for i := range q.shards {
		if p := &q.shards[i]; p.state == shardAwaitingSnapshot {
			q.waitingShards--
			q.closeShard(p)
		}
	}
}

// mergedShards returns the number of shards with a result.
func (q *Query) mergedShards() int {
	n := 0
	for i := range q.shards {
		if q.shards[i].reason == "" {
			n++
		}
	}
	return n
}

// hedge sends a second leg for a shard to another replica when the first has run for longer than the hedging delay and
// a budget allows it.
func (q *Query) hedge(i int, now time.Time, ready *Ready) {
	p := &q.shards[i]
	if p.hedgeAfter == neverHedge { // no latency estimate yet, hedging is off, or no attempt is left
		return
	}
	if at := q.started.Add(p.hedgeAfter); now.Before(at) {
		q.wakeAt(at)
		return
	}
	if p.openLegs > 1 || p.attemptCount >= maxAttemptsPerShard {
		return
	}
	tail := q.View.Tail
	delay, ok := tail.hedgeDelay()
	if !ok {
		return
	}
	stalled := now.Sub(q.started)-p.lastSentAfter >= stallFactor*delay
	if len(p.view.Replicas) < 2 && !stalled {
		q.hedgeIn(p, stallFactor*delay-(now.Sub(q.started)-p.lastSentAfter), now)
		return
	}
	budget := &tail.hedges
	paid := budget.take()
	if !paid && stalled {
		budget = &tail.retries
		paid = budget.take()
	}
	if !paid {
		q.hedgeIn(p, max(delay, minCapacityWait), now)
		return
	}
	t, busy := q.choose(p, false)
	if t == nil && !busy && stalled {
		t = q.reserveSameTarget(p, now)
	}
	if t != nil {
		q.send(i, t, now, ready)
		return
	}
	budget.giveBack()
	q.hedgeIn(p, max(delay, minCapacityWait), now)
}

// reserveSameTarget reserves a place at the target of the open leg, whose connection may be broken without notice: the
// new leg takes another connection. If its reply comes first, the old leg is cancelled, which closes the broken
// connection.
func (q *Query) reserveSameTarget(p *shardProgress, now time.Time) *Target {
	for _, attempt := range p.attempts[:p.attemptCount] {
		l := q.legState(int(attempt))
		if l.open && l.target.Stats.TryStart(l.target.Limit) {
			if l.target.Stats.tryReplace(now) {
				return l.target
			}
			l.target.Stats.Finish(0)
		}
	}
	return nil
}

// expire ends the query at its deadline: it cancels the open legs and closes all shards.
func (q *Query) expire(ready *Ready) {
	ready.Cancel = q.openLegs()
	for i := range q.shards {
		p := &q.shards[i]
		if p.state == shardRunning {
			p.reason = ReasonDeadline
		}
		p.state = shardDone
	}
	q.openShards, q.waitingShards = 0, 0
}

// openLegs returns the open legs and marks them as closed.
func (q *Query) openLegs() []Leg {
	var legs []Leg
	for i := range q.legs {
		if l := &q.legs[i]; l.open {
			l.open = false
			legs = append(legs, q.leg(q.attemptBase+1+i))
		}
	}
	return legs
}

// finish sets the wake-up time and, when no shard is open, the answer.
func (q *Query) finish(ready *Ready) {
	ready.Wake = q.wake
	if q.openShards > 0 {
		return
	}
	ready.Answer = q.answer()
	if q.bestEarlier != nil && !ready.Answer.coversMoreThan(q.bestEarlier) {
		ready.Answer = q.bestEarlier
	}
}

// answer returns the results merged in the current plan.
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
