package traffic

import (
	"sync"
	"time"

	"dogwooddrift.org/drift/targets"
)

// OwnerAnswers tells how an owner of groups has answered this instance. Calls that were cancelled because the answer was
// complete count as lost.
type OwnerAnswers struct {
	// Replied, Declined and Lost count the calls with a reply, those that the owner declined or that did not reach it, and those
	// without a reply.
	Replied, Declined, Lost int
	// LastOutcome and LastReason are those of the last call, at LastAt. LastOutcome is empty before the first one.
	LastOutcome, LastReason string
	LastAt                  time.Time
}

// ownerAnswers collects OwnerAnswers. It is safe for concurrent use.
type ownerAnswers struct {
	mu sync.Mutex
	OwnerAnswers
}

// record adds the end of a call with the outcome of its attempt.
func (a *ownerAnswers) record(outcome, reason string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.LastOutcome, a.LastReason, a.LastAt = outcome, reason, now
	switch outcome {
	case targets.LegReplied.String():
		a.Replied++
	case targets.LegNotRun.String(), targets.LegNotSent.String():
		a.Declined++
	default:
		a.Lost++
	}
}

// get returns the answers so far.
func (a *ownerAnswers) get() OwnerAnswers {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.OwnerAnswers
}
