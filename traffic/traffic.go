// Package traffic serves requests: it composes the decisions of the peers' packages for one request, on the
// goroutines of that request. It reads the control state only through published snapshots.
package traffic

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/target"
	"dogwooddrift.org/drift/target/targethttp"
)

// Snapshots gives the newest control snapshot.
type Snapshots interface {
	Snapshot() *control.Snapshot
}

// Tier serves requests of callers. It is safe for concurrent use.
type Tier struct {
	snapshots Snapshots
	targets   *targethttp.Client
	draining  atomic.Bool
	running   sync.WaitGroup
}

// New returns a tier that sends to targets through the client.
func New(snapshots Snapshots, targets *targethttp.Client) *Tier {
	return &Tier{snapshots: snapshots, targets: targets}
}

// Query is a request to every shard of a service.
type Query struct {
	Service  string
	Key      string
	Deadline time.Time
	Text     string
}

// Change is a non-idempotent request to one target.
type Change struct {
	Service        string
	Key            string
	Deadline       time.Time
	IdempotencyKey string
	Text           string
}

// Answer is the answer to a query.
type Answer struct {
	RequestID target.RequestID
	*target.Answer
}

// Outcome is the outcome of a change that ran.
type Outcome struct {
	RequestID target.RequestID
	Reply     []byte
}

const (
	retrySoon   = 100 * time.Millisecond
	retryLater  = time.Second
	returnTrip  = 2 * time.Millisecond
	drainPeriod = 10 * time.Millisecond
)

// Ready reports whether the instance takes new work.
func (t *Tier) Ready() bool {
	s := t.snapshots.Snapshot()
	return s.Configured && s.Settled && !s.Draining
}

// Query runs a query. The error, if any, is a *caller.Refusal.
func (t *Tier) Query(ctx context.Context, q Query) (*Answer, *caller.Refusal) {
	t.running.Add(1)
	defer t.running.Done()
	a, refusal := t.admit(q.Service, q.Key)
	if refusal != nil {
		return nil, refusal
	}
	view := a.snapshot.Targets[q.Service]
	if !a.service.Sharded {
		return nil, caller.Refuse(caller.CodeBadRequest, 0, "service %q takes changes, not queries", q.Service)
	}
	if view == nil || len(view.Snapshots) == 0 {
		return nil, caller.Refuse(caller.CodeNoTarget, retryLater, "no target of service %q is usable", q.Service)
	}
	id := target.RequestID(uuid.NewString())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	machine, ready := target.NewQuery(id, view, q.Deadline, rng, time.Now())
	answer := t.targets.Run(ctx, targethttp.Request{
		ID: id, Organisation: a.organisation.Name, Deadline: q.Deadline, Body: []byte(q.Text),
	}, machine, ready)
	return &Answer{RequestID: id, Answer: answer}, nil
}

// Change runs a change at most once. The error, if any, is a *caller.Refusal.
func (t *Tier) Change(ctx context.Context, c Change) (*Outcome, *caller.Refusal) {
	t.running.Add(1)
	defer t.running.Done()
	a, refusal := t.admit(c.Service, c.Key)
	if refusal != nil {
		return nil, refusal
	}
	if a.service.Sharded {
		return nil, caller.Refuse(caller.CodeBadRequest, 0, "service %q takes queries, not changes", c.Service)
	}
	chosen := reserve(a.snapshot.Targets[c.Service])
	if chosen == nil {
		return nil, caller.Refuse(caller.CodeNoTarget, retrySoon, "no target of service %q has room", c.Service)
	}
	start := time.Now()
	defer func() { chosen.Gauge.Finish(time.Since(start)) }()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	id := target.RequestID(uuid.NewString())
	reply, err := t.targets.Change(ctx, targethttp.Change{
		RequestID: id, Organisation: a.organisation.Name, IdempotencyKey: c.IdempotencyKey,
		Address: chosen.Address, Timeout: time.Until(c.Deadline) - returnTrip, Body: []byte(c.Text),
	})
	if err != nil {
		return nil, changeRefusal(err)
	}
	return &Outcome{RequestID: id, Reply: reply}, nil
}

// reserve counts a request at the usable target with the fewest outstanding ones.
func reserve(view *target.ServiceView) *target.Target {
	if view == nil {
		return nil
	}
	var best *target.Target
	for _, t := range view.Targets {
		if best == nil || t.Gauge.Outstanding() < best.Gauge.Outstanding() {
			best = t
		}
	}
	if best == nil || !best.Gauge.TryStart(best.Limit) {
		return nil
	}
	return best
}

func changeRefusal(err error) *caller.Refusal {
	if errors.Is(err, target.ErrShed) || errors.Is(err, target.ErrNotSent) {
		return caller.Refuse(caller.CodeNoTarget, retrySoon, "the target did not run the change: %v", err)
	}
	return &caller.Refusal{
		Code: caller.CodeOutcomeUnknown, Ran: caller.RanUnknown, Message: "the change may have run: " + err.Error(),
	}
}

// admission is what a request may run with. A request that waits after it was admitted checks again with
// Tier.recheck before it goes on.
type admission struct {
	snapshot     *control.Snapshot
	service      platform.Service
	key          string
	organisation *platform.Organisation
}

// admit decides whether a request may run, on the newest snapshot, and spends its token.
func (t *Tier) admit(service, key string) (admission, *caller.Refusal) {
	a, refusal := t.authorise(service, key, time.Now())
	if refusal != nil {
		return admission{}, refusal
	}
	if pool := a.snapshot.Pools[a.organisation.Name]; pool == nil || !pool.Take(time.Now) {
		return admission{}, caller.Refuse(caller.CodeRateLimited, retrySoon, "organisation %q is over its rate", a.organisation.Name)
	}
	return a, nil
}

// recheck decides again, on the newest snapshot, whether an admitted request that waited may still run: its key
// may have been withdrawn or the instance cut off meanwhile. It spends no token.
func (t *Tier) recheck(a admission) (admission, *caller.Refusal) {
	next, refusal := t.authorise(a.service.Name, a.key, time.Now())
	if refusal == nil && next.organisation.Name != a.organisation.Name {
		return admission{}, caller.Refuse(caller.CodeUnauthenticated, 0, "the key was given to another organisation")
	}
	return next, refusal
}

// authorise decides for whom a request runs. now must have been read right before the call: a process that was
// frozen wakes with an old snapshot.
func (t *Tier) authorise(service, key string, now time.Time) (admission, *caller.Refusal) {
	s := t.snapshots.Snapshot()
	if !s.Configured {
		return admission{}, caller.Refuse(caller.CodeNotConfigured, retryLater, "the instance has no configuration yet")
	}
	if t.draining.Load() {
		return admission{}, caller.Refuse(caller.CodeDraining, retrySoon, "the instance is stopping")
	}
	svc, ok := s.Document.Service(service)
	if !ok {
		return admission{}, caller.Refuse(caller.CodeUnknownService, 0, "service %q does not exist", service)
	}
	if !s.KeyedUntil.IsZero() && !now.Before(s.KeyedUntil) {
		if !svc.Open {
			return admission{}, caller.Refuse(caller.CodeIsolated, retryLater,
				"the instance is cut off and cannot know whether keys are still valid")
		}
		key = "" // an open route needs no key, and this one may have been withdrawn
	}
	organisation, refusal := s.Accounts.Identify(svc, key)
	if refusal != nil {
		return admission{}, refusal
	}
	return admission{snapshot: s, service: svc, key: key, organisation: organisation}, nil
}

// Drain refuses new requests and waits until the running ones are done or ctx ends.
func (t *Tier) Drain(ctx context.Context) error {
	t.draining.Store(true)
	done := make(chan struct{})
	go func() {
		// A request that was accepted before draining was set may still be about to be counted.
		time.Sleep(drainPeriod)
		t.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
