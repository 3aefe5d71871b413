package targets

import (
	"time"
)

// RequestID identifies one request of a caller.
type RequestID string

// Leg is one attempt at one shard of a query.
type Leg struct {
	Shard    Shard
	Snapshot Snapshot
	// Attempt is unique in the query.
	Attempt int
	Target  *Target

	tail *Tail
}

// Matches reports whether a reply to the request belongs to this leg in every part of its identity.
func (l Leg) Matches(id RequestID, r Reply) bool {
	return r.RequestID == id && r.Attempt == l.Attempt && r.Shard == l.Shard && r.Snapshot == l.Snapshot
}

// Outcome says how a leg ended.
type Outcome int

// The outcomes of a leg.
const (
	Replied Outcome = iota
	Failed
	Cancelled
)

// Finish ends the leg at its target's gauge and samples its latency. Every leg is finished exactly once, by the
// goroutine that ran it.
func (l Leg) Finish(elapsed time.Duration, o Outcome) {
	switch o {
	case Replied:
		l.Target.Stats.Finish(elapsed)
		l.tail.observe(elapsed, false)
	case Cancelled:
		l.Target.Stats.FinishCancelled(elapsed)
		l.tail.observe(elapsed, true)
	default:
		l.Target.Stats.Finish(0)
	}
}

// Reason says why a shard is missing from an answer.
type Reason string

// The reasons for a missing shard.
const (
	ReasonNoReplica      Reason = "no_replica"
	ReasonBusy           Reason = "busy"
	ReasonDeadline       Reason = "deadline"
	ReasonFailed         Reason = "target_failed"
	ReasonUnreachable    Reason = "target_unreachable"
	ReasonConnectionLost Reason = "connection_lost"
	ReasonMismatched     Reason = "reply_mismatched"
	ReasonShed           Reason = "shed"
	ReasonSnapshotGone   Reason = "snapshot_gone"
)

// Message is an input of Query.Step.
type Message interface{ message() }

// Reply is a target's reply to a leg, with the identity that the target repeated.
type Reply struct {
	RequestID RequestID
	Attempt   int
	Shard     Shard
	Snapshot  Snapshot
	Payload   []byte
}

// Failure is the end of a leg without a reply.
type Failure struct {
	Attempt int
	Reason  Reason
}

// Timeout tells the query that its wake-up time came.
type Timeout struct{}

func (Reply) message()   {}
func (Failure) message() {}
func (Timeout) message() {}

// Ready is what the caller of Step must do before the next Step.
type Ready struct {
	// Send lists legs to start. The gauge of each leg's target has counted it already.
	Send []Leg
	// Cancel lists legs whose replies are no longer wanted.
	Cancel []Leg
	// Wake is when to deliver a Timeout.
	Wake time.Time
	// Answer is set once, when the query is over.
	Answer *Answer
}

// ShardResult is the merged reply of one shard.
type ShardResult struct {
	Shard   Shard
	Payload []byte
}

// MissingShard is a shard without a result.
type MissingShard struct {
	Shard  Shard
	Reason Reason
}

// Answer is the outcome of a query. Results and Missing together name each shard of the snapshot's manifest
// exactly once.
type Answer struct {
	Snapshot Snapshot
	Results  []ShardResult
	Missing  []MissingShard
}

// Complete reports whether the snapshot has shards and all of them answered.
func (a *Answer) Complete() bool { return len(a.Missing) == 0 && len(a.Results) > 0 }

// ShardCount counts the shards of the snapshot.
func (a *Answer) ShardCount() int { return len(a.Results) + len(a.Missing) }

// betterThan reports whether a covers a larger part of its snapshot.
func (a *Answer) betterThan(b *Answer) bool {
	return b == nil || len(a.Results)*b.ShardCount() > len(b.Results)*a.ShardCount()
}
