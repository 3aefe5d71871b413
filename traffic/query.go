package traffic

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/targets/targetshttp"
)

// Query is a request to every shard of a service.
type Query struct {
	// ID names the request in logs and in the answer; one is chosen if it is empty.
	ID       string
	Service  string
	Key      string
	Deadline time.Time
	Text     string
}

// Answer is the answer to a query.
type Answer struct {
	RequestID targets.RequestID
	*targets.Answer
}

// ServiceView returns the newest view of a service, nil if there is none.
func (t *QueryTier) ServiceView(service string) *targets.ServiceView {
	return t.control.Snapshot().Targets[service]
}

// Query runs a query.
func (t *QueryTier) Query(ctx context.Context, q Query) (*Answer, *caller.Refusal) {
	record := t.newRecord(q.ID, q.Service)
	answer, refusal := t.query(ctx, q, record)
	if answer != nil {
		record.Parts, record.Covered = answer.ShardCount(), len(answer.Results)
	}
	t.report(ctx, record, refusal)
	return answer, refusal
}

func (t *QueryTier) query(ctx context.Context, q Query, record *Record) (*Answer, *caller.Refusal) {
	if refusal := t.begin(); refusal != nil {
		return nil, refusal
	}
	defer t.end()
	a, refusal := t.admit(ctx, q.Service, q.Key, true, q.Deadline)
	if refusal != nil {
		return nil, refusal
	}
	defer t.release(a)
	record.admitted(a)
	view := a.snapshot.Targets[q.Service]
	if view == nil || len(view.Snapshots) == 0 {
		return nil, caller.Refuse(caller.CodeNoTarget, longRetry, "no target of service %q is usable", q.Service)
	}
	fingerprint := targets.FingerprintOf(q.Service, q.Text)
	if until, ok := a.snapshot.Quarantined[fingerprint]; ok && time.Now().Before(until) {
		return nil, caller.Refuse(caller.CodeQuarantined, time.Until(until), "the request was running on targets when they crashed")
	}
	id := targets.RequestID(record.ID)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	machine, ready := targets.NewQuery(targets.QueryConfig{
		ID: id, View: view, Views: t, Deadline: q.Deadline, Rand: rng,
	}, time.Now())
	answer := t.targets.Run(ctx, targetshttp.Request{
		ID: id, Organisation: a.organisation.Name, Deadline: q.Deadline, Body: []byte(q.Text), Fingerprint: fingerprint,
		Observer: record,
	}, machine, ready)
	return &Answer{RequestID: id, Answer: answer}, nil
}
