package traffic

import (
	"context"
	"errors"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// Change is a non-idempotent request to one target. It runs at most once for each organisation, service and idempotency
// key. A hash of these selects two of the entry instances: the home instance, which sends the change to a target, and the
// witness, which must have recorded it before, so that a failure of the home instance causes no second run.
type Change struct {
	// ID identifies the request in logs and in the outcome. An empty ID is replaced by a generated one.
	ID      string
	Service string
	// Key is the caller's API key, empty if there is none.
	Key string
	// Deadline is the time until which the caller waits.
	Deadline time.Time
	// IdempotencyKey is chosen by the caller and identical in each repetition of the change.
	IdempotencyKey string
	// Text is the body that is sent to the target.
	Text string
}

// ChangeResult is the result of a change that ran.
type ChangeResult struct {
	// RequestID is the ID of the request that ran, which is an earlier one if this request repeats it.
	RequestID targets.RequestID
	Reply     []byte
}

const (
	// minHomeWait is how long a change waits for its instances to agree on its home and witness. It waits longer, for the
	// remaining time of its caller divided by homeWaitDivisor, if that exceeds minHomeWait. A planned stop or a start
	// takes some milliseconds, or more than a second on a machine that is short of processor time; a failed instance
	// stays listed for seconds.
	minHomeWait     = time.Second
	homeWaitDivisor = 4
	// initialHomePause is the first pause between two attempts to reach the home instance; it doubles up to maxHomePause.
	initialHomePause = 5 * time.Millisecond
	maxHomePause     = 100 * time.Millisecond
)

// Change runs a change at most once and records it. Exactly one result is nil.
func (t *QueryTier) Change(ctx context.Context, c Change) (*ChangeResult, *caller.Refusal) {
	record := t.newRecord(c.ID, c.Service)
	result, refusal := t.change(ctx, c, record)
	t.report(ctx, record, refusal)
	return result, refusal
}

func (t *QueryTier) change(ctx context.Context, c Change, record *Record) (*ChangeResult, *caller.Refusal) {
	if refusal := t.begin(); refusal != nil {
		return nil, refusal
	}
	defer t.end()
	a, refusal := t.admit(ctx, c.Service, c.Key, false, c.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	defer t.release(a)
	record.setOrganisation(a)
	change := caller.NewChange(c.Deadline)
	change.Admit()
	request := sibling.ChangeRequest{
		RequestID: record.ID, Organisation: a.organisation.Name, Service: c.Service,
		IdempotencyKey: c.IdempotencyKey, KeyDigest: a.keyDigest, Body: []byte(c.Text),
	}
	limit := time.Now().Add(max(minHomeWait, time.Until(c.Deadline)/homeWaitDivisor))
	for pause := initialHomePause; ; pause = min(2*pause, maxHomePause) {
		reply, refusal := t.runAtHome(ctx, change, request, c.Deadline, record)
		if refusal != nil {
			return nil, refusal
		}
		if !reply.Moved {
			return resultOf(reply)
		}
		next := time.Now().Add(pause)
		if next.After(limit) || next.After(c.Deadline) || !sleep(ctx, pause) {
			return nil, change.Refuse(caller.CodeHomeUnreachable, shortRetry, "the home instance or its witness is unreachable")
		}
	}
}

// runAtHome runs a change at its home instance, which may be this one. If Moved is set in the reply, nothing ran and the
// change may be tried again.
func (t *QueryTier) runAtHome(ctx context.Context, change *caller.Change, request sibling.ChangeRequest, deadline time.Time, record *Record) (sibling.ChangeReply, *caller.Refusal) {
	s := t.control.Snapshot()
	home, ok := s.ChangeMembers.HomeOf(sibling.NewChangeKey(request.Organisation, request.Service, request.IdempotencyKey))
	if !ok {
		return sibling.ChangeReply{Moved: true}, nil
	}
	t.stepHook("forward")
	_, denial := t.authorize(request.Service, request.KeyDigest)
	now := time.Now()
	if refusal := change.BeginForward(denial, now); refusal != nil {
		return sibling.ChangeReply{}, refusal
	}
	request.Timeout = deadline.Sub(now)
	var reply sibling.ChangeReply
	var err error
	if home.ID == s.InstanceID {
		reply = t.runAsHome(ctx, request, record)
	} else {
		request.Timeout -= forwardReplyMargin
		callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		attempt := record.startForward(home.ID, now)
		reply, err = t.siblings.RunChange(callCtx, home, request)
		record.endForward(attempt, reply, err, time.Now())
		cancel()
	}
	switch {
	case errors.Is(err, sibling.ErrNotSent):
		change.RevertSend()
		return sibling.ChangeReply{Moved: true}, nil
	case err != nil:
		return sibling.ChangeReply{}, change.Refuse(caller.CodeOutcomeUnknown, 0, "the home instance did not reply: %v", err)
	case reply.Moved:
		change.RevertSend()
	}
	return reply, nil
}

// refusalOf returns the refusal in a reply, nil if the change ran or Moved is set.
func refusalOf(reply sibling.ChangeReply) *caller.Refusal {
	f := reply.Refused
	if f == nil {
		return nil
	}
	r := &caller.Refusal{Code: caller.Code(f.Code), Ran: caller.RanUnknown, Message: f.Message, RetryAfter: f.RetryAfter}
	if f.Ran == string(caller.RanNo) {
		r.Ran = caller.RanNo
	}
	return r
}

func resultOf(reply sibling.ChangeReply) (*ChangeResult, *caller.Refusal) {
	if r := refusalOf(reply); r != nil {
		return nil, r
	}
	return &ChangeResult{RequestID: targets.RequestID(reply.RequestID), Reply: reply.Reply}, nil
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
