package traffic

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/targets/targetshttp"
)

// witnessTimeout bounds the wait for the witness. An entry instance answers within milliseconds.
const witnessTimeout = 250 * time.Millisecond

const (
	// maxTargetWait is how long a change waits for a target with room. Targets are passed over for moments after a
	// broken connection or while they shed, and a change that needs no more than that is not refused.
	maxTargetWait      = 300 * time.Millisecond
	initialTargetPause = 5 * time.Millisecond
)

// RunChange runs a change that a sibling forwarded to this instance as its home.
func (t *QueryTier) RunChange(ctx context.Context, r sibling.ChangeRequest) sibling.ChangeReply {
	if refusal := t.begin(); refusal != nil {
		return sibling.ChangeReply{Moved: true}
	}
	defer t.end()
	record := t.newRecord(r.RequestID, r.Service)
	record.Organisation = r.Organisation
	reply := t.runAsHome(ctx, r, record)
	if !reply.Moved {
		t.report(ctx, record, refusalOf(reply))
	}
	return reply
}

// runAsHome runs a change at this instance as its home.
func (t *QueryTier) runAsHome(ctx context.Context, r sibling.ChangeRequest, log *Record) sibling.ChangeReply {
	deadline := time.Now().Add(r.Timeout)
	machine := caller.NewChange(deadline)
	machine.Admit()
	t.stepHook("begin")
	key := sibling.NewChangeKey(r.Organisation, r.Service, r.IdempotencyKey)
	begun, err := t.control.BeginChange(key, sha256.Sum256(r.Body))
	switch {
	case err != nil || begun.Verdict == sibling.VerdictMoved:
		return sibling.ChangeReply{Moved: true}
	case begun.Verdict == sibling.VerdictFull:
		return refusalReply(machine.Refuse(caller.CodeOverloaded, longRetry, "no further change can be remembered"))
	case begun.Verdict == sibling.VerdictOtherBody:
		return refusalReply(machine.Refuse(caller.CodeDuplicate, 0, "the idempotency key came with another body before"))
	case begun.Verdict == sibling.VerdictKnown:
		return replyToRepeat(begun.Record, begun.RunningHere)
	}
	machine.RecordAtHome(begun.SendBefore)
	t.stepHook("homed")
	record := begun.Record
	reply, earlier := t.recordAtWitness(ctx, machine, r, begun)
	switch {
	case earlier != nil:
		// The witness may be lost next, so what it knows is noted here too.
		record.Outcome, record.RequestID = max(earlier.Outcome, sibling.OutcomeUnknown), earlier.RequestID
		record.Reply, record.ReplyDropped = earlier.Reply, earlier.ReplyDropped
	case reply != nil:
		record.Outcome = sibling.OutcomeNotRun
	default:
		t.stepHook("recorded")
		sent := t.sendToTarget(ctx, machine, r, deadline, log)
		reply = &sent
		record.Outcome = outcomeByState[machine.State()]
		record.RequestID, record.Reply = sent.RequestID, sent.Reply
	}
	t.stepHook("finish")
	t.finishChange(record)
	return *reply
}

// finishChange notes an outcome here and tells the other holders. It waits for them if the change did not run, since the
// next home would refuse the change as long as it knows an open record.
func (t *QueryTier) finishChange(record sibling.ChangeRecord) {
	messages, err := t.control.FinishChange(record)
	if err != nil {
		// Control has ended, so the process ends too, and the record at the witness stays open.
		return
	}
	var told sync.WaitGroup
	for _, m := range messages {
		t.beginFollowUp()
		told.Go(func() {
			defer t.end()
			ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
			defer cancel()
			// A holder that is not told answers a repeat with outcome_unknown, which is true.
			_, _ = t.siblings.HandOver(ctx, m)
		})
	}
	if record.Outcome == sibling.OutcomeNotRun {
		told.Wait()
	}
}

// outcomeByState maps the state in which a change ended to what is remembered.
var outcomeByState = map[caller.ChangeState]sibling.ChangeOutcome{
	caller.ChangeDone:    sibling.OutcomeDone,
	caller.ChangeUnknown: sibling.OutcomeUnknown,
	caller.ChangeNotRun:  sibling.OutcomeNotRun,
}

// recordAtWitness has the witness note a change. The reply is nil if the change may be sent; earlier is the recordAtWitness that
// stands against it, if any.
func (t *QueryTier) recordAtWitness(ctx context.Context, machine *caller.Change, r sibling.ChangeRequest, begun sibling.BeginResult) (reply *sibling.ChangeReply, earlier *sibling.ChangeRecord) {
	if !begun.NoWitness {
		witnessCtx, cancel := context.WithTimeout(ctx, min(witnessTimeout, r.Timeout))
		w, err := t.siblings.RecordChange(witnessCtx, begun.Witness, begun.Home, begun.Record)
		cancel()
		var out sibling.ChangeReply
		switch {
		case err != nil || w.Verdict == sibling.VerdictMoved:
			return &sibling.ChangeReply{Moved: true}, nil
		case w.Verdict == sibling.VerdictOtherBody:
			out = refusalReply(machine.Refuse(caller.CodeDuplicate, 0, "the idempotency key came with another body before"))
			return &out, nil
		case w.Verdict == sibling.VerdictKnown:
			out = replyToRepeat(w.Record, false)
			return &out, &w.Record
		case w.Verdict != sibling.VerdictNew:
			out = refusalReply(machine.Refuse(caller.CodeOverloaded, longRetry, "no further change can be remembered"))
			return &out, nil
		}
	}
	machine.RecordAtWitness()
	return nil, nil
}

// sendToTarget sends a change to one target after another, until one runs it or may have run it.
func (t *QueryTier) sendToTarget(ctx context.Context, machine *caller.Change, r sibling.ChangeRequest, deadline time.Time, log *Record) sibling.ChangeReply {
	tried := map[string]bool{}
	limit := time.Now().Add(maxTargetWait)
	pause := initialTargetPause
	for {
		chosen := reserveTarget(t.control.Snapshot().Targets[r.Service], tried)
		if next := time.Now().Add(pause); chosen == nil && next.Before(limit) && next.Before(deadline) && sleep(ctx, pause) {
			// A target that shed the change may have room by now.
			clear(tried)
			pause *= 2
			continue
		}
		if chosen == nil {
			return refusalReply(machine.Refuse(caller.CodeNoTarget, shortRetry, "no target of service %q has room", r.Service))
		}
		t.stepHook("send")
		a, permit := t.authorize(r.Service, r.KeyDigest)
		if permit == nil && a.organisation.Name != r.Organisation {
			permit = caller.Refuse(caller.CodeUnauthenticated, 0, "the key belongs to another organisation now")
		}
		start := time.Now()
		if refusal := machine.BeginSend(permit, start); refusal != nil {
			chosen.Stats.Finish(0)
			return refusalReply(refusal)
		}
		attempt := len(log.Attempts) + 1
		log.open(AttemptRecord{Attempt: attempt, Service: r.Service}, chosen, start)
		// The change is not cancelled when its caller goes away: a repeat then gets its outcome.
		sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		reply, err := t.targets.Change(sendCtx, targetshttp.Change{
			RequestID: targets.RequestID(r.RequestID), Organisation: r.Organisation, IdempotencyKey: r.IdempotencyKey,
			Target: chosen, Timeout: deadline.Sub(start) - chosen.Stats.RoundTripTime(), Body: r.Body,
		})
		cancel()
		log.close(attempt, changeOutcome(err), reasonOf(err), time.Now())
		t.stepHook("sent")
		latency := time.Duration(0)
		if err == nil {
			latency = time.Since(start)
		}
		chosen.Stats.Finish(latency)
		switch {
		case err == nil:
			machine.Complete()
			return sibling.ChangeReply{RequestID: r.RequestID, Reply: reply}
		case errors.Is(err, targets.ErrShed), errors.Is(err, targets.ErrNotSent):
			machine.RevertSend()
			tried[chosen.ID] = true
		default:
			return refusalReply(machine.Refuse(caller.CodeOutcomeUnknown, 0, "the change may have run: %v", err))
		}
	}
}

// replyToRepeat answers a repeat from the record of an earlier attempt.
func replyToRepeat(r sibling.ChangeRecord, here bool) sibling.ChangeReply {
	unknown := func(code caller.Code, retryAfter time.Duration, message string) sibling.ChangeReply {
		return refusalReply(&caller.Refusal{Code: code, Ran: caller.RanUnknown, RetryAfter: retryAfter, Message: message})
	}
	switch {
	case r.Outcome == sibling.OutcomeDone && r.ReplyDropped:
		return unknown(caller.CodeDuplicate, 0, "the change ran before; its reply was too large to keep")
	case r.Outcome == sibling.OutcomeDone:
		return sibling.ChangeReply{RequestID: r.RequestID, Reply: r.Reply}
	case r.Outcome == sibling.OutcomeOpen && here:
		return unknown(caller.CodeDuplicate, shortRetry, "the change is running")
	default:
		return unknown(caller.CodeOutcomeUnknown, 0, "an earlier attempt may have run")
	}
}

func refusalReply(r *caller.Refusal) sibling.ChangeReply {
	return sibling.ChangeReply{Refused: &sibling.ChangeRefusal{
		Code: string(r.Code), Ran: string(r.Ran), Message: r.Message, RetryAfter: r.RetryAfter,
	}}
}

// reserveTarget counts a request at the usable target with the fewest outstanding ones, passing over those in tried.
func reserveTarget(view *targets.ServiceView, tried map[string]bool) *targets.Target {
	if view == nil {
		return nil
	}
	var best *targets.Target
	for _, t := range view.Targets {
		if tried[t.ID] {
			continue
		}
		if best == nil || t.Stats.Outstanding() < best.Stats.Outstanding() {
			best = t
		}
	}
	if best == nil || !best.Stats.TryStart(best.Limit) {
		return nil
	}
	return best
}
