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

// witnessTimeout is the maximum time to wait for the witness. An entry instance replies within milliseconds.
const witnessTimeout = 250 * time.Millisecond

const (
	// maxTargetWait is the maximum time that a change waits for a target with free capacity. Targets are skipped for a
	// short time after a connection broke or while they shed load, which must not cause a refusal.
	maxTargetWait = 300 * time.Millisecond
	// initialTargetPause is the first pause between two searches for a target; each further pause is twice as long.
	initialTargetPause = 5 * time.Millisecond
)

// RunChange runs a change that a sibling forwarded to this instance as the home of the change. If Moved is set in the
// reply, nothing ran.
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

// runAsHome runs a change as its home instance. If Moved is set in the reply, nothing ran.
func (t *QueryTier) runAsHome(ctx context.Context, r sibling.ChangeRequest, requestRecord *Record) sibling.ChangeReply {
	deadline := time.Now().Add(r.Timeout)
	change := caller.NewChange(deadline)
	change.Admit()
	t.stepHook("begin")
	key := sibling.NewChangeKey(r.Organisation, r.Service, r.IdempotencyKey)
	begin, err := t.control.BeginChange(key, sha256.Sum256(r.Body))
	switch {
	case err != nil || begin.Verdict == sibling.VerdictMoved:
		return sibling.ChangeReply{Moved: true}
	case begin.Verdict == sibling.VerdictFull:
		return refusalReply(change.Refuse(caller.CodeOverloaded, longRetry, "the change log is full"))
	case begin.Verdict == sibling.VerdictOtherBody:
		return refusalReply(change.Refuse(caller.CodeDuplicate, 0, "the idempotency key was used with another body before"))
	case begin.Verdict == sibling.VerdictKnown:
		return replyToRepeat(begin.Record, begin.RunningHere)
	}
	change.RecordAtHome(begin.SendBefore)
	t.stepHook("homed")
	record := begin.Record
	reply, earlier := t.recordAtWitness(ctx, change, r, begin)
	switch {
	case earlier != nil:
		// The witness may fail next, so its record is stored at this instance too.
		record.Outcome, record.RequestID = max(earlier.Outcome, sibling.OutcomeUnknown), earlier.RequestID
		record.Reply, record.ReplyDropped = earlier.Reply, earlier.ReplyDropped
	case reply != nil:
		record.Outcome = sibling.OutcomeNotRun
	default:
		t.stepHook("recorded")
		sent := t.sendToTarget(ctx, change, r, deadline, requestRecord)
		reply = &sent
		record.Outcome = outcomeByState[change.State()]
		record.RequestID, record.Reply = sent.RequestID, sent.Reply
	}
	t.stepHook("finish")
	t.finishChange(record)
	return *reply
}

// finishChange records an outcome at this instance and sends it to the other instances that hold a record of the change.
// If the change did not run, it waits until it was sent to each of them once, since the next home would refuse the change as
// long as it holds an open record.
func (t *QueryTier) finishChange(record sibling.ChangeRecord) {
	messages, err := t.control.FinishChange(record)
	if err != nil {
		// The control goroutine has ended, so the process is ending too; the record at the witness stays open.
		return
	}
	var tried sync.WaitGroup
	for _, m := range messages {
		t.beginFollowUp()
		tried.Add(1)
		go func() {
			defer t.end()
			t.handOverOutcome(m, tried.Done)
		}()
	}
	if record.Outcome == sibling.OutcomeNotRun {
		tried.Wait()
	}
}

const (
	// outcomeAttempts is how often the outcome of a change is sent to another holder of its record.
	outcomeAttempts = 3
	// outcomePause is the first pause between two of these attempts; it doubles.
	outcomePause = 100 * time.Millisecond
)

// handOverOutcome sends the outcome of a change to another holder of its record, again if it gets no reply: a holder with an
// open record would refuse a repetition with outcome_unknown, which is correct but costs the key. It calls tried after the
// first attempt.
func (t *QueryTier) handOverOutcome(m sibling.HandOver, tried func()) {
	pause := outcomePause
	for attempt := range outcomeAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
		_, err := t.siblings.HandOver(ctx, m)
		cancel()
		if attempt == 0 {
			tried()
		}
		if err == nil || attempt == outcomeAttempts-1 {
			return
		}
		sleep(context.Background(), pause)
		pause *= 2
	}
}

// outcomeByState maps the final state of a change to the outcome that is recorded.
var outcomeByState = map[caller.ChangeState]sibling.ChangeOutcome{
	caller.ChangeDone:    sibling.OutcomeDone,
	caller.ChangeUnknown: sibling.OutcomeUnknown,
	caller.ChangeNotRun:  sibling.OutcomeNotRun,
}

// recordAtWitness requests that the witness records a change. The reply is nil if the change may be sent. earlier is the
// record of an earlier attempt if that is the reason why it may not.
func (t *QueryTier) recordAtWitness(ctx context.Context, change *caller.Change, r sibling.ChangeRequest, begin sibling.BeginResult) (reply *sibling.ChangeReply, earlier *sibling.ChangeRecord) {
	if !begin.NoWitness {
		witnessCtx, cancel := context.WithTimeout(ctx, min(witnessTimeout, r.Timeout))
		witnessed, err := t.siblings.RecordChange(witnessCtx, begin.Witness, begin.Home, begin.Record)
		cancel()
		var out sibling.ChangeReply
		switch {
		case err != nil || witnessed.Verdict == sibling.VerdictMoved:
			return &sibling.ChangeReply{Moved: true}, nil
		case witnessed.Verdict == sibling.VerdictOtherBody:
			out = refusalReply(change.Refuse(caller.CodeDuplicate, 0, "the idempotency key was used with another body before"))
			return &out, nil
		case witnessed.Verdict == sibling.VerdictKnown:
			out = replyToRepeat(witnessed.Record, false)
			return &out, &witnessed.Record
		case witnessed.Verdict != sibling.VerdictNew:
			out = refusalReply(change.Refuse(caller.CodeOverloaded, longRetry, "the change log is full"))
			return &out, nil
		}
	}
	change.RecordAtWitness()
	return nil, nil
}

// sendToTarget sends a change to one target after another, until one has run it or may have run it.
func (t *QueryTier) sendToTarget(ctx context.Context, change *caller.Change, r sibling.ChangeRequest, deadline time.Time, requestRecord *Record) sibling.ChangeReply {
	tried := map[string]bool{}
	limit := time.Now().Add(maxTargetWait)
	pause := initialTargetPause
	for {
		target := reserveTarget(t.control.Snapshot().Targets[r.Service], tried)
		if next := time.Now().Add(pause); target == nil && next.Before(limit) && next.Before(deadline) && sleep(ctx, pause) {
			// A target that rejected the change as overloaded may have free capacity by now.
			clear(tried)
			pause *= 2
			continue
		}
		if target == nil {
			return refusalReply(change.Refuse(caller.CodeNoTarget, shortRetry, "no target of service %q has free capacity", r.Service))
		}
		t.stepHook("send")
		a, denial := t.authorize(r.Service, r.KeyDigest)
		if denial == nil && a.organisation.Name != r.Organisation {
			denial = caller.Refuse(caller.CodeUnauthenticated, 0, "the key now belongs to another organisation")
		}
		sentAt := time.Now()
		if refusal := change.BeginSend(denial, sentAt); refusal != nil {
			target.Stats.Finish(0)
			return refusalReply(refusal)
		}
		attempt := len(requestRecord.Attempts) + 1
		requestRecord.startAttempt(AttemptRecord{Attempt: attempt, Service: r.Service}, target, sentAt)
		// The change is not cancelled when its caller disconnects, so that a repetition receives its outcome.
		sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		reply, err := t.targets.Change(sendCtx, targetshttp.Change{
			RequestID: targets.RequestID(r.RequestID), Organisation: r.Organisation, IdempotencyKey: r.IdempotencyKey,
			Target: target, Timeout: deadline.Sub(sentAt) - target.Stats.RoundTripTime(), Body: r.Body,
		})
		cancel()
		requestRecord.endAttempt(attempt, changeSendOutcome(err), reasonOf(err), time.Now())
		t.stepHook("sent")
		latency := time.Duration(0)
		if err == nil {
			latency = time.Since(sentAt)
		}
		target.Stats.Finish(latency)
		switch {
		case err == nil:
			change.Complete()
			return sibling.ChangeReply{RequestID: r.RequestID, Reply: reply}
		case errors.Is(err, targets.ErrShed), errors.Is(err, targets.ErrNotSent):
			change.RevertSend()
			tried[target.ID] = true
		default:
			return refusalReply(change.Refuse(caller.CodeOutcomeUnknown, 0, "the change may have run: %v", err))
		}
	}
}

// replyToRepeat returns the reply to a repeated change from the record of an earlier attempt. runningHere reports that
// the earlier attempt is still running at this instance.
func replyToRepeat(r sibling.ChangeRecord, runningHere bool) sibling.ChangeReply {
	unknown := func(code caller.Code, retryAfter time.Duration, message string) sibling.ChangeReply {
		return refusalReply(&caller.Refusal{Code: code, Ran: caller.RanUnknown, RetryAfter: retryAfter, Message: message})
	}
	switch {
	case r.Outcome == sibling.OutcomeDone && r.ReplyDropped:
		return unknown(caller.CodeDuplicate, 0, "the change ran before; its reply was too large to be stored")
	case r.Outcome == sibling.OutcomeDone:
		return sibling.ChangeReply{RequestID: r.RequestID, Reply: r.Reply}
	case r.Outcome == sibling.OutcomeOpen && runningHere:
		return unknown(caller.CodeDuplicate, shortRetry, "an earlier attempt of the change is still running")
	default:
		return unknown(caller.CodeOutcomeUnknown, 0, "an earlier attempt of the change may have run")
	}
}

func refusalReply(r *caller.Refusal) sibling.ChangeReply {
	return sibling.ChangeReply{Refused: &sibling.ChangeRefusal{
		Code: string(r.Code), Ran: string(r.Ran), Message: r.Message, RetryAfter: r.RetryAfter,
	}}
}

// reserveTarget reserves capacity for a request at the target with the fewest outstanding requests, skipping the targets
// in tried. It returns nil if there is none or if that target has no free capacity.
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
