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
	keyDigest    string
	queueEntry   *caller.QueueEntry
}

// outOfServiceGrace is how long an instance that operators took out of service still takes requests, so that the load
// balancer can notice. Operators are promised that new work ends within 3 s; the rest is for the document to arrive.
const outOfServiceGrace = 2 * time.Second

// authorizeNew decides whether a request that does not run yet may run.
func (t *QueryTier) authorizeNew(service, digest string) (admission, *caller.Refusal) {
	if t.isDraining() {
		return admission{}, caller.Refuse(caller.CodeDraining, shortRetry, "the instance is stopping")
	}
	a, refusal := t.authorize(service, digest)
	if refusal != nil {
		return admission{}, refusal
	}
	// A process that was frozen wakes with an old snapshot, so the time is read here.
	if out := a.snapshot.OutOfServiceSince; !out.IsZero() && time.Since(out) >= outOfServiceGrace {
		return admission{}, caller.Refuse(caller.CodeDraining, shortRetry, "the instance is out of service")
	}
	return a, nil
}

// authorize decides whether a request may run, on the newest snapshot. It is asked on arrival, after waiting, and
// right before a change is sent. A change that runs when the instance begins to stop is sent nevertheless: the stop
// waits for it, and its witness would refuse a repeat elsewhere until it hears that the change did not run.
func (t *QueryTier) authorize(service, digest string) (admission, *caller.Refusal) {
	s := t.control.Snapshot()
	if !s.Configured {
		return admission{}, caller.Refuse(caller.CodeNotConfigured, longRetry, "the instance has no configuration yet")
	}
	svc, ok := s.Document.Service(service)
	if !ok {
		return admission{}, caller.Refuse(caller.CodeUnknownService, 0, "service %q does not exist", service)
	}
	// A process that was frozen wakes with an old snapshot, so the time is read here.
	if !s.KeyedRequestsUntil.IsZero() && !time.Now().Before(s.KeyedRequestsUntil) {
		if !svc.KeyOptional {
			return admission{}, caller.Refuse(caller.CodeIsolated, longRetry,
				"the instance is cut off and cannot know whether keys are still valid")
		}
		digest = "" // an open route needs no key, and this one may have been withdrawn
	}
	organisation, refusal := s.Organisations.IdentifyDigest(svc, digest)
	if refusal != nil {
		return admission{}, refusal
	}
	return admission{snapshot: s, service: svc, organisation: organisation, keyDigest: digest}, nil
}

// admit decides whether a request may run, spends its token and waits for its turn. Unless it refuses, release
// must be called when the request is done.
func (t *QueryTier) admit(ctx context.Context, service, key string, sharded bool, deadline time.Time) (admission, *caller.Refusal) {
	a, refusal := t.authorizeNew(service, digestOf(key))
	if refusal != nil {
		return admission{}, refusal
	}
	if a.service.Sharded != sharded {
		return admission{}, caller.Refuse(caller.CodeBadRequest, 0, "service %q takes %s", service, acceptedRequests[a.service.Sharded])
	}
	taken, waited := t.takeToken(ctx, a.snapshot.TokenPools[a.organisation.Name], a.organisation.Name, deadline)
	if !taken {
		return admission{}, caller.Refuse(caller.CodeRateLimited, shortRetry, "organisation %q is over its rate", a.organisation.Name)
	}
	if waited {
		if a, refusal = t.reauthorize(a); refusal != nil {
			return admission{}, refusal
		}
	}
	ticket := &caller.QueueEntry{Organisation: a.organisation.Name, Weight: a.organisation.Weight, WaitUntil: deadline}
	waited, refusal = t.queue.enter(ctx, ticket)
	if refusal != nil {
		return admission{}, refusal
	}
	if waited {
		if a, refusal = t.reauthorize(a); refusal == nil && !time.Now().Before(deadline) {
			refusal = caller.Refuse(caller.CodeDeadline, 0, "the deadline passed before the request ran")
		}
		if refusal != nil {
			t.queue.leave(ticket)
			return admission{}, refusal
		}
	}
	a.queueEntry = ticket
	return a, nil
}

const (
	// maxTokenWait is how long a request waits for a token that control pulls from siblings. A pull takes some
	// milliseconds; an organisation with a low rate has less than one token for each instance.
	maxTokenWait      = 200 * time.Millisecond
	initialTokenPause = 3 * time.Millisecond
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
	limit := time.Now().Add(maxTokenWait)
	if deadline.Before(limit) {
		limit = deadline
	}
	for pause := initialTokenPause; ; pause *= 2 {
		t.control.RequestTokens(organisation)
		if time.Now().Add(pause).After(limit) || !sleep(ctx, pause) {
			return false, true
		}
		if pool.RetryTake(time.Now) {
			return true, true
		}
	}
}

// reauthorize decides again whether an admitted request that waited may run. It spends no token.
func (t *QueryTier) reauthorize(a admission) (admission, *caller.Refusal) {
	next, refusal := t.authorizeNew(a.service.Name, a.keyDigest)
	if refusal == nil && next.organisation.Name != a.organisation.Name {
		return admission{}, caller.Refuse(caller.CodeUnauthenticated, 0, "the key was given to another organisation")
	}
	return next, refusal
}

// digestOf returns the digestOf of a key, empty if there is none.
func digestOf(key string) string {
	if key == "" {
		return ""
	}
	return caller.Digest(key)
}

func (t *QueryTier) release(a admission) { t.queue.leave(a.queueEntry) }

var acceptedRequests = map[bool]string{true: "queries, not changes", false: "changes, not queries"}
