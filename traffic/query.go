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
	// ID identifies the request in logs and in the answer. An empty ID is replaced by a generated one.
	ID      string
	Service string
	// Key is the caller's API key, empty if there is none.
	Key string
	// Deadline is the time until which the caller waits.
	Deadline time.Time
	// Text is the body that is sent to the targets.
	Text string
}

// Answer is the answer to a query, which may cover only some of the shards.
type Answer struct {
	RequestID targets.RequestID
	*targets.Answer
}

// ServiceView returns the newest view of the targets of a service, nil if there is none.
func (t *QueryTier) ServiceView(service string) *targets.ServiceView {
	return t.control.Snapshot().Targets[service]
}

// Query runs a query and records it. Exactly one result is nil.
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
	record.setOrganisation(a)
	view := a.snapshot.Targets[q.Service]
	if view == nil || len(view.Snapshots) == 0 {
		return nil, caller.Refuse(caller.CodeNoTarget, longRetry, "no target of service %q is usable", q.Service)
	}
	fingerprint := targets.FingerprintOf(q.Service, q.Text)
	if until, ok := a.snapshot.Quarantined[fingerprint]; ok && time.Now().Before(until) {
		return nil, caller.Refuse(caller.CodeQuarantined, time.Until(until), "the request is quarantined because targets crashed while running it")
	}
	id := targets.RequestID(record.ID)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	query, ready := targets.NewQuery(targets.QueryConfig{
		ID: id, View: view, Views: t, Deadline: q.Deadline, Rand: rng,
	}, time.Now())
	answer := t.targets.Run(ctx, targetshttp.Request{
		ID: id, Organisation: a.organisation.Name, Deadline: q.Deadline, Body: []byte(q.Text), Fingerprint: fingerprint,
		Observer: record,
	}, query, ready)
	return &Answer{RequestID: id, Answer: answer}, nil
}
