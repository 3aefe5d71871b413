package traffic

import (
	"context"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
)

type admission struct {
	snapshot     *control.Snapshot
	service      document.Service
	organisation *document.Organisation
	digest       string
	ticket       *caller.QueueEntry
}

// outGrace is how long an instance that operators took out of service still takes requests, so that the load
// balancer can notice. Operators are promised that new work ends within 3 s; the rest is for the document to arrive.
const outGrace = 2 * time.Second

// permitNew decides whether a request that does not run yet may run.
func (t *QueryTier) permitNew(service, digest string) (admission, *caller.Refusal) {
	if t.stopping() {
		return admission{}, caller.Refuse(caller.CodeDraining, retrySoon, "the instance is stopping")
	}
	a, refusal := t.permit(service, digest)
	if refusal != nil {
		return admission{}, refusal
	}
	// A process that was frozen wakes with an old snapshot, so the time is read here.
	if out := a.snapshot.OutOfServiceSince; !out.IsZero() && time.Since(out) >= outGrace {
		return admission{}, caller.Refuse(caller.CodeDraining, retrySoon, "the instance is out of service")
	}
	return a, nil
}

// permit decides whether a request may run, on the newest snapshot. It is asked on arrival, after waiting, and
// right before a change is sent. A change that runs when the instance begins to stop is sent nevertheless: the stop
// waits for it, and its witness would refuse a repeat elsewhere until it hears that the change did not run.
func (t *QueryTier) permit(service, digest string) (admission, *caller.Refusal) {
	s := t.control.Snapshot()
	if !s.Configured {
		return admission{}, caller.Refuse(caller.CodeNotConfigured, retryLater, "the instance has no configuration yet")
	}
	svc, ok := s.Document.Service(service)
	if !ok {
		return admission{}, caller.Refuse(caller.CodeUnknownService, 0, "service %q does not exist", service)
	}
	// A process that was frozen wakes with an old snapshot, so the time is read here.
	if !s.KeyedRequestsUntil.IsZero() && !time.Now().Before(s.KeyedRequestsUntil) {
		if !svc.KeyOptional {
			return admission{}, caller.Refuse(caller.CodeIsolated, retryLater,
				"the instance is cut off and cannot know whether keys are still valid")
		}
		digest = "" // an open route needs no key, and this one may have been withdrawn
	}
	organisation, refusal := s.Organisations.IdentifyDigest(svc, digest)
	if refusal != nil {
		return admission{}, refusal
	}
	return admission{snapshot: s, service: svc, organisation: organisation, digest: digest}, nil
}

// admit decides whether a request may run, spends its token and waits for its turn. Unless it refuses, release
// must be called when the request is done.
func (t *QueryTier) admit(ctx context.Context, service, key string, sharded bool, deadline time.Time) (admission, *caller.Refusal) {
	a, refusal := t.permitNew(service, digest(key))
	if refusal != nil {
		return admission{}, refusal
	}
	if a.service.Sharded != sharded {
		return admission{}, caller.Refuse(caller.CodeBadRequest, 0, "service %q takes %s", service, takes[a.service.Sharded])
	}
	taken, waited := t.takeToken(ctx, a.snapshot.TokenPools[a.organisation.Name], a.organisation.Name, deadline)
	if !taken {
		return admission{}, caller.Refuse(caller.CodeRateLimited, retrySoon, "organisation %q is over its rate", a.organisation.Name)
	}
	if waited {
		if a, refusal = t.recheck(a); refusal != nil {
			return admission{}, refusal
		}
	}
	ticket := &caller.QueueEntry{Organisation: a.organisation.Name, Weight: a.organisation.Weight, WaitUntil: deadline}
	waited, refusal = t.queue.enter(ctx, ticket)
	if refusal != nil {
		return admission{}, refusal
	}
	if waited {
		if a, refusal = t.recheck(a); refusal == nil && !time.Now().Before(deadline) {
			refusal = caller.Refuse(caller.CodeDeadline, 0, "the deadline passed before the request ran")
		}
		if refusal != nil {
			t.queue.leave(ticket)
			return admission{}, refusal
		}
	}
	a.ticket = ticket
	return a, nil
}

const (
	// tokenWait is how long a request waits for a token that control pulls from siblings. A pull takes some
	// milliseconds; an organisation with a low rate has less than one token for each instance.
	tokenWait  = 200 * time.Millisecond
	tokenFirst = 3 * time.Millisecond
)

// takeToken spends a token of an organisation. If there is none here, it has control ask siblings and waits.
func (t *QueryTier) takeToken(ctx context.Context, pool *caller.TokenPool, organisation string, deadline time.Time) (taken, waited bool) {
	if pool == nil {
		return false, false
	}
	if pool.Take(time.Now) {
		return true, false
	}
	if !pool.BeginWait() {
		return false, false
	}
	defer pool.EndWait()
	limit := time.Now().Add(tokenWait)
	if deadline.Before(limit) {
		limit = deadline
	}
	for pause := tokenFirst; ; pause *= 2 {
		t.control.RequestTokens(organisation)
		if time.Now().Add(pause).After(limit) || !sleep(ctx, pause) {
			return false, true
		}
		if pool.RetryTake(time.Now) {
			return true, true
		}
	}
}

// recheck decides again whether an admitted request that waited may run. It spends no token.
func (t *QueryTier) recheck(a admission) (admission, *caller.Refusal) {
	next, refusal := t.permitNew(a.service.Name, a.digest)
	if refusal == nil && next.organisation.Name != a.organisation.Name {
		return admission{}, caller.Refuse(caller.CodeUnauthenticated, 0, "the key was given to another organisation")
	}
	return next, refusal
}

// digest returns the digest of a key, empty if there is none.
func digest(key string) string {
	if key == "" {
		return ""
	}
	return caller.Digest(key)
}

func (t *QueryTier) release(a admission) { t.queue.leave(a.ticket) }

var takes = map[bool]string{true: "queries, not changes", false: "changes, not queries"}
