package traffic

import (
	"context"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
)

// admission is an authorized request, together with the control snapshot that it was authorized on.
type admission struct {
	snapshot     *control.Snapshot
	service      document.Service
	organisation *document.Organisation
	keyDigest    string
	queueEntry   *caller.QueueEntry // set by admit
}

// outOfServiceGrace is the time for which an instance that operators took out of service still accepts requests, so that
// the load balancer can detect it. Operators are guaranteed that new work ends within 3 s; the remaining second is for
// the distribution of the document.
const outOfServiceGrace = 2 * time.Second

// authorizeNew is like authorize for a request that is not running yet. It also refuses the request if the instance is
// draining or out of service.
func (t *QueryTier) authorizeNew(service, keyDigest string) (admission, *caller.Refusal) {
	if t.isDraining() {
		return admission{}, caller.Refuse(caller.CodeDraining, shortRetry, "the instance is stopping")
	}
	a, refusal := t.authorize(service, keyDigest)
	if refusal != nil {
		return admission{}, refusal
	}
	// A process that was suspended resumes with an old snapshot, so the time is compared here.
	if out := a.snapshot.OutOfServiceSince; !out.IsZero() && time.Since(out) >= outOfServiceGrace {
		return admission{}, caller.Refuse(caller.CodeDraining, shortRetry, "the instance is out of service")
	}
	return a, nil
}

// authorize checks the service and the key of a request against the newest snapshot. It is called on arrival, after
// waiting, and immediately before a change is sent. It allows changes that are running when the instance begins to
// drain: draining waits for them, and the witness of a refused change would reject a retry at another instance until it
// receives the outcome that the change did not run.
func (t *QueryTier) authorize(service, keyDigest string) (admission, *caller.Refusal) {
	s := t.control.Snapshot()
	if !s.Configured {
		return admission{}, caller.Refuse(caller.CodeNotConfigured, longRetry, "the instance has no configuration yet")
	}
	svc, ok := s.Document.Service(service)
	if !ok {
		return admission{}, caller.Refuse(caller.CodeUnknownService, 0, "service %q does not exist", service)
	}
	// A process that was suspended resumes with an old snapshot, so the time is compared here.
	if !s.KeyedRequestsUntil.IsZero() && !time.Now().Before(s.KeyedRequestsUntil) {
		if !svc.KeyOptional {
			return admission{}, caller.Refuse(caller.CodeIsolated, longRetry,
				"the instance is isolated and cannot verify that keys are still valid")
		}
		keyDigest = "" // the key is optional, and the given one may have been withdrawn
	}
	organisation, refusal := s.Organisations.IdentifyDigest(svc, keyDigest)
	if refusal != nil {
		return admission{}, refusal
	}
	return admission{snapshot: s, service: svc, organisation: organisation, keyDigest: keyDigest}, nil
}

// admit authorizes a request, spends a token and waits in the queue until the request may run. Unless it returns a
// refusal, release must be called when the request has ended.
func (t *QueryTier) admit(ctx context.Context, service, key string, sharded bool, deadline time.Time) (admission, *caller.Refusal) {
	a, refusal := t.authorizeNew(service, digestOf(key))
	if refusal != nil {
		return admission{}, refusal
	}
	if a.service.Sharded != sharded {
		return admission{}, caller.Refuse(caller.CodeBadRequest, 0, "service %q takes %s", service, acceptedRequests[a.service.Sharded])
	}
	tokenTaken, waited := t.takeToken(ctx, a.snapshot.TokenPools[a.organisation.Name], a.organisation.Name, deadline)
	if !tokenTaken {
		return admission{}, caller.Refuse(caller.CodeRateLimited, shortRetry, "organisation %q exceeds its rate", a.organisation.Name)
	}
	if waited {
		if a, refusal = t.reauthorize(a); refusal != nil {
			return admission{}, refusal
		}
	}
	entry := &caller.QueueEntry{Organisation: a.organisation.Name, Weight: a.organisation.Weight, WaitUntil: deadline}
	waited, refusal = t.queue.enter(ctx, entry)
	if refusal != nil {
		return admission{}, refusal
	}
	if waited {
		if a, refusal = t.reauthorize(a); refusal == nil && !time.Now().Before(deadline) {
			refusal = caller.Refuse(caller.CodeDeadline, 0, "the deadline passed before the request ran")
		}
		if refusal != nil {
			t.queue.leave(entry)
			return admission{}, refusal
		}
	}
	a.queueEntry = entry
	return a, nil
}

const (
	// maxTokenWait is the maximum time that a request waits for a token that control pulls from siblings. Requests wait
	// because an organisation with a low rate has less than one token for each instance; a pull takes some milliseconds.
	maxTokenWait = 200 * time.Millisecond
	// initialTokenPause is the first pause between two checks for a token; each further pause is twice as long.
	initialTokenPause = 3 * time.Millisecond
)

// takeToken spends a token of an organisation. If this instance has none, it requests that control pull tokens from
// siblings and waits for them.
func (t *QueryTier) takeToken(ctx context.Context, pool *caller.TokenPool, organisation string, deadline time.Time) (tokenTaken, waited bool) {
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

// reauthorize authorizes a request again after it waited. The organisation must be unchanged, since its token is spent
// already.
func (t *QueryTier) reauthorize(a admission) (admission, *caller.Refusal) {
	next, refusal := t.authorizeNew(a.service.Name, a.keyDigest)
	if refusal == nil && next.organisation.Name != a.organisation.Name {
		return admission{}, caller.Refuse(caller.CodeUnauthenticated, 0, "the key now belongs to another organisation")
	}
	return next, refusal
}

// digestOf returns the digest of a key, "" if the key is empty.
func digestOf(key string) string {
	if key == "" {
		return ""
	}
	return caller.Digest(key)
}

// release returns the queue slot of an admitted request.
func (t *QueryTier) release(a admission) { t.queue.leave(a.queueEntry) }

// acceptedRequests describes the kind of requests that a service accepts, by whether it is sharded.
var acceptedRequests = map[bool]string{true: "queries, not changes", false: "changes, not queries"}
