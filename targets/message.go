package targets

import (
	"time"
)

// RequestID identifies a request of a caller.
type RequestID string

// Leg is one attempt to get the result of one shard of a query from one target.
type Leg struct {
	Shard    Shard
	Snapshot Snapshot
	// Attempt numbers the leg. It is unique within the query.
	Attempt int
	Target  *Target

	tail *Tail
}

// Matches reports whether the request ID, attempt, shard and snapshot of r are those of this leg of request id.
func (l Leg) Matches(id RequestID, r Reply) bool {
	return r.RequestID == id && r.Attempt == l.Attempt && r.Shard == l.Shard && r.Snapshot == l.Snapshot
}

// Outcome tells how a leg ended.
type Outcome int

// The outcomes of a leg.
const (
	Replied Outcome = iota
	Failed
	Cancelled
)

// Finish releases the leg's place at its target and samples its latency. The goroutine that ran the leg calls it
// exactly once.
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

// Reason tells why a shard is missing from an answer.
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

// Message is an input of Query.Step: a Reply, a Failure or a Timeout.
type Message interface{ message() }

// Reply is a target's reply to a leg. Its fields besides Payload are the identity that the target copied from the
// request.
type Reply struct {
	RequestID RequestID
	Attempt   int
	Shard     Shard
	Snapshot  Snapshot
	Payload   []byte
}

// Failure reports that a leg ended without a usable reply.
type Failure struct {
	Attempt int
	Reason  Reason
}

// Timeout reports that the time Ready.Wake has come.
type Timeout struct{}

func (Reply) message()   {}
func (Failure) message() {}
func (Timeout) message() {}

// Ready lists the actions that the caller of Step takes before it calls Step again.
type Ready struct {
	// Send lists legs to start. Each already has a place reserved at its target.
	Send []Leg
	// Cancel lists legs whose replies are no longer needed.
	Cancel []Leg
	// Wake is the time at which to deliver a Timeout.
	Wake time.Time
	// Answer is set once, when the query has ended.
	Answer *Answer
}

// ShardResult is the result of one shard.
type ShardResult struct {
	Shard   Shard
	Payload []byte
}

// MissingShard is a shard without a result, with the reason.
type MissingShard struct {
	Shard  Shard
	Reason Reason
}

// Answer is the outcome of a query. Results and Missing together contain each shard of the snapshot's manifest exactly
// once.
type Answer struct {
	Snapshot Snapshot
	Results  []ShardResult
	Missing  []MissingShard
}

// Complete reports whether the snapshot has shards and all of them have a result.
func (a *Answer) Complete() bool { return len(a.Missing) == 0 && len(a.Results) > 0 }

// ShardCount returns the number of shards in the snapshot.
func (a *Answer) ShardCount() int { return len(a.Results) + len(a.Missing) }

// coversMoreThan reports whether a covers a larger part of its snapshot than b does, or b is nil.
func (a *Answer) coversMoreThan(b *Answer) bool {
	return b == nil || len(a.Results)*b.ShardCount() > len(b.Results)*a.ShardCount()
}
