package traffic

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/targets"
)

// evaluate determines and records the outcome of an attempt. A sharded request accepts only successful replies with a
// signature that was not received before.
func (d *dispatchRun) evaluate(e *attemptEnd) targets.LegEnded {
	reply := &e.reply
	if cancel := d.cancels[e.attempt]; cancel != nil {
		cancel()
		delete(d.cancels, e.attempt)
	}
	outcome := reply.Outcome
	if outcome == targets.LegReplied && d.route.Sharded() {
		switch {
		case !reply.Success():
			outcome = targets.LegFailed
		case reply.Signature == "" || d.signatures[reply.Signature]:
			outcome, reply.Reason = targets.LegNoReply, "duplicate or missing signature"
		default:
			d.signatures[reply.Signature] = true
			if n := d.topRecords; n > 0 && len(reply.Body) > trimFactor*n*targets.RecordSize {
				// The rest of the part cannot be in the answer, so its memory is given back at once.
				reply.Body = targets.GreatestRecords([][]byte{reply.Body}, n)
				reply.Held.shrink(len(reply.Body))
			}
		}
	}
	if outcome == targets.LegNotRun {
		d.anyNotRun = true
		d.shed++
	}
	if reply.Reason == reasonNoBodyRoom {
		d.bodyRefused = true
	}
	d.replies[e.attempt] = reply
	d.record.endWithOutcome(e.attempt, outcome, reply.Reason, time.Now())
	return targets.LegEnded{Attempt: e.attempt, Outcome: outcome}
}

// trimFactor is how many times the records of an answer a part may hold before it is cut to those that can be in the
// answer.
const trimFactor = 2

func (d *dispatchRun) cancel(attempt int) {
	if cancel := d.cancels[attempt]; cancel != nil {
		cancel()
		if q := d.turns[attempt]; q.turn.abandon() {
			q.target.Stats.Finish(0) // nothing was sent
			d.forwarder.places.Freed(q.target, time.Now())
		}
		delete(d.cancels, attempt)
		d.record.endWithOutcome(attempt, cancelledOutcome, "", time.Now())
	}
}

func (d *dispatchRun) cancelAll() {
	for attempt := range d.cancels {
		d.cancel(attempt)
	}
}

func (d *dispatchRun) send(s targets.Send) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancels[s.Attempt] = cancel
	now := time.Now()
	d.record.startSend(s, now)
	if d.turns == nil {
		go d.runAttempt(ctx, s, now, nil)
		return
	}
	turn := d.forwarder.starts.enter(d.key, func(t *StartTurn) { d.runAttempt(ctx, s, now, t) })
	d.turns[s.Attempt] = queuedSend{target: s.Target, turn: turn}
}

// queuedSend is an attempt whose start is ordered.
type queuedSend struct {
	target *targets.Target
	turn   *StartTurn
}

// withdrawWaiting withdraws the attempts that have not started, so that the answer says truly that they did not run.
func (d *dispatchRun) withdrawWaiting() []targets.LegEnded {
	var ended []targets.LegEnded
	now := time.Now()
	for attempt, q := range d.turns {
		cancel := d.cancels[attempt]
		if cancel == nil || !q.turn.abandon() {
			continue
		}
		cancel()
		delete(d.cancels, attempt)
		q.target.Stats.Finish(0)
		d.forwarder.places.Freed(q.target, now)
		d.anyNotRun = true
		d.record.endWithOutcome(attempt, targets.LegNotSent, reasonAbandoned, now)
		ended = append(ended, targets.LegEnded{Attempt: attempt, Outcome: targets.LegNotSent})
	}
	return ended
}

// reasonAbandoned is the reason of an attempt that was cancelled before anything was sent.
const reasonAbandoned = "cancelled before it was sent"

// runAttempt sends the request to one target, updates the statistics of the target and reports the end of the attempt. turn is
// the permit to start, which it gives back; nil if starts are not ordered.
func (d *dispatchRun) runAttempt(ctx context.Context, s targets.Send, decidedAt time.Time, turn *StartTurn) {
	targetStats := s.Target.Stats
	sentAt := time.Now()
	if turn != nil && ctx.Err() != nil {
		d.endUnsent(s, turn, reasonAbandoned, sentAt)
		return
	}
	if !d.holdBody(s.Target) {
		d.endUnsent(s, turn, reasonNoBodyRoom, sentAt)
		return
	}
	d.routeStats.observeDispatchLag(sentAt.Sub(decidedAt))
	d.firstLag.CompareAndSwap(0, max(int64(sentAt.Sub(decidedAt)), 1))
	targetStats.RecordSend(sentAt)
	reply := d.prepared.Send(ctx, TargetRequest{Target: s.Target, Deadline: d.deadline, MaySend: d.maySend(s), Turn: turn})
	turn.Done()
	targetStats.ReleaseBody(len(d.request.Body))
	now := time.Now()
	d.recordWish(s.Target, &reply, now)
	d.recordLoad(s.Target, &reply, now)
	if reply.Outcome != targets.LegNotSent {
		targetStats.RecordConnection(reply.Connecting, reply.ReusableUntil, now)
	}
	if reply.Reason != ReasonNotPermitted {
		s.Target.RecordPace(reply.Outcome, ctx.Err() != nil, sentAt, now)
	}
	d.recordOutcome(s, &reply, ctx.Err() != nil, sentAt, now)
	d.forwarder.places.Freed(s.Target, now)
	d.reportTargetState(s, &reply)
	d.ends.put(&attemptEnd{attempt: s.Attempt, reply: reply})
}

// endUnsent ends an attempt that has reserved a place at its target and is not sent.
func (d *dispatchRun) endUnsent(s targets.Send, turn *StartTurn, reason string, now time.Time) {
	turn.Done()
	s.Target.Stats.Finish(0)
	d.forwarder.places.Freed(s.Target, now)
	d.ends.put(&attemptEnd{attempt: s.Attempt, reply: TargetReply{Outcome: targets.LegNotSent, Reason: reason}})
}

// recordLoad records the load report of a reply.
func (d *dispatchRun) recordLoad(t *targets.Target, reply *TargetReply, now time.Time) {
	if reply.Load != nil && reply.Outcome != targets.LegNoReply {
		t.Stats.RecordLoad(*reply.Load, now)
	}
	if reply.InvalidLoad {
		d.forwarder.invalidLoads.Add(1)
		if t.Stats.RecordInvalidLoad() {
			d.forwarder.loop.Post(routing.TargetLoadInvalid{TargetID: t.ID})
		}
	}
}

// recordOutcome updates the statistics of the target and the route by the outcome of an attempt, and gives back its place at
// the target.
func (d *dispatchRun) recordOutcome(s targets.Send, reply *TargetReply, cancelled bool, sentAt, now time.Time) {
	targetStats, elapsed := s.Target.Stats, now.Sub(sentAt)
	replyTime := targets.ReplyTime{
		Elapsed: elapsed - reply.Connecting, Reported: s.Reported, Work: d.routeStats.serviceTime.Usual(),
		OwnDelay: time.Duration(d.routeStats.meanDispatchLag.Load()), Cancelled: reply.Outcome != targets.LegReplied,
	}
	switch {
	case reply.Outcome == targets.LegReplied:
		targetStats.RecordResponse(elapsed, now)
		targetStats.RecordOutcome(false)
		d.routeStats.serviceTime.Observe(replyTime.Elapsed, targetStats, reply.Load)
		targetStats.RecordReplyTime(replyTime, now)
		targetStats.Finish(elapsed)
		d.routeStats.tail.Observe(elapsed, false)
	case reply.Outcome == targets.LegFailed || reply.Outcome == targets.LegNotRun:
		targetStats.RecordResponse(0, now)
		targetStats.RecordOutcome(true)
		targetStats.Finish(0)
	case cancelled:
		targetStats.RecordNoResponse(sentAt, now, false)
		targetStats.RecordReplyTime(replyTime, now)
		targetStats.FinishCancelled(elapsed)
		d.routeStats.tail.Observe(elapsed, true)
	case reply.Reason == ReasonNotPermitted:
		targetStats.Finish(0)
	default:
		targetStats.RecordOutcome(true)
		targetStats.RecordNoResponse(sentAt, now, true)
		targetStats.Finish(0)
	}
}

// recordWish records that a target wants no new requests, because it is leaving or needs a rest. The statistics that all
// further choices ask are updated at once; control learns it for the siblings and the log.
func (d *dispatchRun) recordWish(t *targets.Target, reply *TargetReply, now time.Time) {
	if reply.Leaving && t.Stats.RecordLeaving() {
		d.forwarder.loop.Post(routing.TargetLeaving{Target: t})
	}
	if reply.Rest > 0 {
		rest := t.Stats.RecordRest(reply.Rest, rand.Float64(), now)
		d.forwarder.loop.Post(routing.TargetResting{TargetID: t.ID, Rest: rest})
	}
}

// reportTargetState posts to control what the reply indicates about the state of the target.
func (d *dispatchRun) reportTargetState(s targets.Send, reply *TargetReply) {
	switch {
	case reply.ConnectionRefused:
		d.forwarder.loop.Post(routing.TargetConnectionRefused{TargetID: s.Target.ID})
	case reply.ConnectionLost:
		d.forwarder.loop.Post(routing.TargetConnectionBroken{TargetID: s.Target.ID, Fingerprint: d.fingerprint})
	case reply.Misdirected:
		d.forwarder.loop.Post(routing.TargetMisdirected{TargetID: s.Target.ID})
	}
	if reply.ColdFor > 0 {
		d.forwarder.loop.Post(routing.TargetCold{TargetID: s.Target.ID, Remaining: reply.ColdFor})
	}
}

// ReasonNotPermitted is the reason of an attempt that TargetRequest.MaySend rejected.
const ReasonNotPermitted = "not permitted any more"

// staleRoutingGrace is the time after the arrival of a request in which it may be sent according to a routing that was
// replaced meanwhile.
const staleRoutingGrace = time.Second

// maySend returns the check immediately before a send: the deadline has not passed, the target still accepts requests,
// and the routing still allows the request of this organisation at the service.
func (d *dispatchRun) maySend(s targets.Send) func(time.Time) bool {
	return func(now time.Time) bool {
		if !now.Before(d.deadline) || !s.Target.Stats.AcceptsRequests(now) {
			return false
		}
		newest := d.forwarder.loop.Snapshot()
		if newest == d.snapshot {
			return true
		}
		usable := slices.ContainsFunc(newest.Candidates(s.Target.Service), func(t *targets.Target) bool {
			return t.SameIncarnation(s.Target)
		})
		if now.Sub(d.request.Received) < staleRoutingGrace {
			return usable || newest.Services[s.Target.Service] == nil
		}
		route := newest.Routing.Match(d.request.Host, d.request.Path)
		if !usable || route == nil || !route.AllowsService(s.Target.Service) {
			return false
		}
		account, refusal := identify(newest.Routing, route, d.keyDigest)
		return refusal == nil && (account == nil) == (d.organisation == "") && (account == nil || account.Name == d.organisation)
	}
}
