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
	// roomLimit is how long a change waits for a target with room. Targets are passed over for moments after a
	// broken connection or while they shed, and a change that needs no more than that is not refused.
	roomLimit = 300 * time.Millisecond
	roomFirst = 5 * time.Millisecond
)

// RunChange runs a change that a sibling forwarded to this instance as its home.
func (t *QueryTier) RunChange(ctx context.Context, r sibling.ChangeRequest) sibling.ChangeReply {
	if refusal := t.begin(); refusal != nil {
		return sibling.ChangeReply{Moved: true}
	}
	defer t.end()
	record := t.newRecord(r.RequestID, r.Service)
	record.Organisation = r.Organisation
	reply := t.runHere(ctx, r, record)
	if !reply.Moved {
		t.report(ctx, record, refusalOf(reply))
	}
	return reply
}

// runHere runs a change at this instance as its home.
func (t *QueryTier) runHere(ctx context.Context, r sibling.ChangeRequest, log *Record) sibling.ChangeReply {
	deadline := time.Now().Add(r.Timeout)
	machine := caller.NewChange(deadline)
	machine.Admit()
	t.step("begin")
	key := sibling.NewChangeKey(r.Organisation, r.Service, r.IdempotencyKey)
	begun, err := t.control.BeginChange(key, sha256.Sum256(r.Body))
	switch {
	case err != nil || begun.Verdict == sibling.VerdictMoved:
		return sibling.ChangeReply{Moved: true}
	case begun.Verdict == sibling.VerdictFull:
		return refused(machine.Refuse(caller.CodeOverloaded, retryLater, "no further change can be remembered"))
	case begun.Verdict == sibling.VerdictOtherBody:
		return refused(machine.Refuse(caller.CodeDuplicate, 0, "the idempotency key came with another body before"))
	case begun.Verdict == sibling.VerdictKnown:
		return known(begun.Record, begun.RunningHere)
	}
	machine.RecordAtHome(begun.SendBefore)
	t.step("homed")
	record := begun.Record
	reply, earlier := t.record(ctx, machine, r, begun)
	switch {
	case earlier != nil:
		// The witness may be lost next, so what it knows is noted here too.
		record.Outcome, record.RequestID = max(earlier.Outcome, sibling.OutcomeUnknown), earlier.RequestID
		record.Reply, record.ReplyDropped = earlier.Reply, earlier.ReplyDropped
	case reply != nil:
		record.Outcome = sibling.OutcomeNotRun
	default:
		t.step("recorded")
		sent := t.sendOnce(ctx, machine, r, deadline, log)
		reply = &sent
		record.Outcome = outcomes[machine.State()]
		record.RequestID, record.Reply = sent.RequestID, sent.Reply
	}
	t.step("finish")
	t.finish(record)
	return *reply
}

// finish notes an outcome here and tells the other holders. It waits for them if the change did not run, since the
// next home would refuse the change as long as it knows an open record.
func (t *QueryTier) finish(record sibling.ChangeRecord) {
	messages, err := t.control.FinishChange(record)
	if err != nil {
		// Control has ended, so the process ends too, and the record at the witness stays open.
		return
	}
	var told sync.WaitGroup
	for _, m := range messages {
		t.more()
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

// outcomes maps the state in which a change ended to what is remembered.
var outcomes = map[caller.ChangeState]sibling.ChangeOutcome{
	caller.ChangeDone:    sibling.OutcomeDone,
	caller.ChangeUnknown: sibling.OutcomeUnknown,
	caller.ChangeNotRun:  sibling.OutcomeNotRun,
}

// record has the witness note a change. The reply is nil if the change may be sent; earlier is the record that
// stands against it, if any.
func (t *QueryTier) record(ctx context.Context, machine *caller.Change, r sibling.ChangeRequest, begun sibling.BeginResult) (reply *sibling.ChangeReply, earlier *sibling.ChangeRecord) {
	if !begun.NoWitness {
		witnessCtx, cancel := context.WithTimeout(ctx, min(witnessTimeout, r.Timeout))
		w, err := t.siblings.RecordChange(witnessCtx, begun.Witness, begun.Home, begun.Record)
		cancel()
		var out sibling.ChangeReply
		switch {
		case err != nil || w.Verdict == sibling.VerdictMoved:
			return &sibling.ChangeReply{Moved: true}, nil
		case w.Verdict == sibling.VerdictOtherBody:
			out = refused(machine.Refuse(caller.CodeDuplicate, 0, "the idempotency key came with another body before"))
			return &out, nil
		case w.Verdict == sibling.VerdictKnown:
			out = known(w.Record, false)
			return &out, &w.Record
		case w.Verdict != sibling.VerdictNew:
			out = refused(machine.Refuse(caller.CodeOverloaded, retryLater, "no further change can be remembered"))
			return &out, nil
		}
	}
	machine.RecordAtWitness()
	return nil, nil
}

// sendOnce sends a change to one target after another, until one runs it or may have run it.
func (t *QueryTier) sendOnce(ctx context.Context, machine *caller.Change, r sibling.ChangeRequest, deadline time.Time, log *Record) sibling.ChangeReply {
	tried := map[string]bool{}
	limit := time.Now().Add(roomLimit)
	pause := roomFirst
	for {
		chosen := reserve(t.control.Snapshot().Targets[r.Service], tried)
		if next := time.Now().Add(pause); chosen == nil && next.Before(limit) && next.Before(deadline) && sleep(ctx, pause) {
			// A target that shed the change may have room by now.
			clear(tried)
			pause *= 2
			continue
		}
		if chosen == nil {
			return refused(machine.Refuse(caller.CodeNoTarget, retrySoon, "no target of service %q has room", r.Service))
		}
		t.step("send")
		a, permit := t.permit(r.Service, r.KeyDigest)
		if permit == nil && a.organisation.Name != r.Organisation {
			permit = caller.Refuse(caller.CodeUnauthenticated, 0, "the key belongs to another organisation now")
		}
		start := time.Now()
		if refusal := machine.BeginSend(permit, start); refusal != nil {
			chosen.Stats.Finish(0)
			return refused(refusal)
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
		t.step("sent")
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
			return refused(machine.Refuse(caller.CodeOutcomeUnknown, 0, "the change may have run: %v", err))
		}
	}
}

// known answers a repeat from the record of an earlier attempt.
func known(r sibling.ChangeRecord, here bool) sibling.ChangeReply {
	unknown := func(code caller.Code, retryAfter time.Duration, message string) sibling.ChangeReply {
		return refused(&caller.Refusal{Code: code, Ran: caller.RanUnknown, RetryAfter: retryAfter, Message: message})
	}
	switch {
	case r.Outcome == sibling.OutcomeDone && r.ReplyDropped:
		return unknown(caller.CodeDuplicate, 0, "the change ran before; its reply was too large to keep")
	case r.Outcome == sibling.OutcomeDone:
		return sibling.ChangeReply{RequestID: r.RequestID, Reply: r.Reply}
	case r.Outcome == sibling.OutcomeOpen && here:
		return unknown(caller.CodeDuplicate, retrySoon, "the change is running")
	default:
		return unknown(caller.CodeOutcomeUnknown, 0, "an earlier attempt may have run")
	}
}

func refused(r *caller.Refusal) sibling.ChangeReply {
	return sibling.ChangeReply{Refused: &sibling.ChangeRefusal{
		Code: string(r.Code), Ran: string(r.Ran), Message: r.Message, RetryAfter: r.RetryAfter,
	}}
}

// reserve counts a request at the usable target with the fewest outstanding ones, passing over those in tried.
func reserve(view *targets.ServiceView, tried map[string]bool) *targets.Target {
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
