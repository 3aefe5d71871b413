package sibling

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// ChangeKey identifies the changes of which at most one may run. It is the digest of organisation, service and
// idempotency key.
type ChangeKey [sha256.Size]byte

// NewChangeKey returns the key of a change. The parts are quoted, so that different parts never form the same text.
func NewChangeKey(organisation, service, idempotencyKey string) ChangeKey {
	return sha256.Sum256(fmt.Appendf(nil, "%q %q %q", organisation, service, idempotencyKey))
}

// BodyDigest is the digest of a request body. It distinguishes changes that arrive with the same key.
type BodyDigest [sha256.Size]byte

// Attempt identifies one attempt to run a change.
type Attempt struct {
	// Owner identifies the process of the home instance, not only the instance.
	Owner string
	// Number counts the attempts of the owner.
	Number uint64
}

// ChangeOutcome is the known outcome of an attempt.
type ChangeOutcome int

// The outcomes of an attempt. Merge depends on their order.
const (
	// OutcomeOpen means that no outcome is known; the attempt may still be running.
	OutcomeOpen ChangeOutcome = iota
	// OutcomeNotRun means that the attempt ended and certainly did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the attempt ended and may have run.
	OutcomeUnknown
	// OutcomeDone means that a target replied.
	OutcomeDone
)

// ChangeRecord is the record of a change that instances send to each other.
type ChangeRecord struct {
	Key        ChangeKey
	BodyDigest BodyDigest
	Attempt    Attempt
	Outcome    ChangeOutcome
	// RequestID and Reply are set for OutcomeDone.
	RequestID string
	Reply     []byte
	// ReplyDropped means that the reply was discarded because it was too large to keep or the kept replies had
	// reached their limit.
	ReplyDropped bool
	// Age is the time since the record was created or last changed.
	Age time.Duration
}

const (
	// maxChangeRecords bounds the memory of the log to about 16 MB at about 250 bytes per record, half of what an
	// instance may use for control.
	maxChangeRecords = 1 << 16
	// maxChangeReply bounds one reply that is kept for repeated requests, in bytes.
	maxChangeReply = 4 << 10
	// maxChangeReplies bounds all replies that are kept for repeated requests, in bytes.
	maxChangeReplies = 4 << 20
	sweepInterval    = time.Second
	// maxHandOver bounds the records of one message, so that it stays under gRPC's limit of 4 MB.
	maxHandOver = 512
)

// ChangeLog keeps the records of changes for which this instance is home or witness, for as long as a repeated
// request may arrive. It belongs to the control goroutine.
type ChangeLog struct {
	membership
	owner      string
	attempts   uint64
	window     time.Duration
	records    map[ChangeKey]*changeEntry
	replyBytes int
	nextSweep  time.Time
}

// changeEntry is a record with the state that is local to this instance.
type changeEntry struct {
	ChangeRecord
	updatedAt time.Time
	pair      HolderPair
	// beginPair is the pair at the start of an attempt of this process. Its witness may still hold the record after
	// the members changed.
	beginPair HolderPair
	// contested is set if another attempt may have run while one of this process is open.
	contested bool
}

// NewChangeLog returns the empty log of an instance. owner must differ between processes of the same instance.
func NewChangeLog(self, owner string) *ChangeLog {
	return &ChangeLog{
		membership: membership{self: self, departed: map[string]time.Time{}, awaited: map[string]bool{}},
		owner:      owner,
		records:    map[ChangeKey]*changeEntry{},
	}
}

// Verdict is the decision on one change.
type Verdict int

// The verdicts of Begin and RecordAsWitness.
const (
	// VerdictNew means that no earlier attempt prevents the change. It is now recorded.
	VerdictNew Verdict = iota + 1
	// VerdictKnown means that an earlier attempt with this key prevents the change.
	VerdictKnown
	// VerdictOtherBody means that the key was used before with another body.
	VerdictOtherBody
	// VerdictMoved means that this instance does not have the required role in its own view of the members. The
	// change is not recorded.
	VerdictMoved
	// VerdictFull means that the log is full. The change is not recorded.
	VerdictFull
)

// BeginResult is the decision of the home instance on a change.
type BeginResult struct {
	Verdict Verdict
	// Record is the existing record for VerdictKnown and VerdictOtherBody. For VerdictNew it is the record that the
	// witness must store.
	Record ChangeRecord
	// RunningHere is set for VerdictKnown if the earlier attempt is still running in this process.
	RunningHere bool
	// Witness must record the change before the change is sent to a target, unless NoWitness is set.
	Witness   Member
	NoWitness bool
	// SendBefore is the time before which the change must be sent. Later, its key may have been removed from the log.
	SendBefore time.Time
	// Home is the ID of this instance. The witness checks it against its own view of the members.
	Home string
}

// Begin decides as home instance whether a change may go on to the witness, and records it if so.
func (l *ChangeLog) Begin(key ChangeKey, body BodyDigest, now time.Time) BeginResult {
	l.sweep(now)
	pair := l.members.pair(key)
	if !l.serving(now) || pair.Home != l.self {
		return BeginResult{Verdict: VerdictMoved}
	}
	if e := l.records[key]; e != nil {
		if e.BodyDigest != body {
			return BeginResult{Verdict: VerdictOtherBody, Record: e.export(now)}
		}
		if e.Outcome != OutcomeNotRun {
			return BeginResult{
				Verdict: VerdictKnown, Record: e.export(now),
				RunningHere: e.Outcome == OutcomeOpen && e.Attempt.Owner == l.owner,
			}
		}
	}
	l.attempts++
	e := &changeEntry{
		ChangeRecord: ChangeRecord{Key: key, BodyDigest: body, Attempt: Attempt{Owner: l.owner, Number: l.attempts}},
		updatedAt:    now, pair: pair, beginPair: pair,
	}
	if !l.put(e) {
		return BeginResult{Verdict: VerdictFull}
	}
	witness, ok := l.member(pair.Witness)
	return BeginResult{
		Verdict: VerdictNew, Record: e.export(now), Witness: witness, NoWitness: !ok, Home: l.self,
		// Half of the window allows for clocks that run at different speeds.
		SendBefore: now.Add(l.window / 2),
	}
}

// WitnessResult is the decision of the witness on a change.
type WitnessResult struct {
	Verdict Verdict
	Record  ChangeRecord
}

// RecordAsWitness decides as witness of the given home instance whether a change may run, and records it if so.
func (l *ChangeLog) RecordAsWitness(home string, r ChangeRecord, now time.Time) WitnessResult {
	l.sweep(now)
	pair := l.members.pair(r.Key)
	if !l.serving(now) || pair.Home != home || pair.Witness != l.self {
		return WitnessResult{Verdict: VerdictMoved}
	}
	if e := l.records[r.Key]; e != nil {
		switch {
		case e.BodyDigest != r.BodyDigest:
			return WitnessResult{Verdict: VerdictOtherBody, Record: e.export(now)}
		case e.Attempt == r.Attempt && e.Outcome == OutcomeNotRun:
			// The request of an attempt that has ended arrives late. An open record would block the key.
			return WitnessResult{Verdict: VerdictMoved}
		case e.Outcome == OutcomeNotRun:
		case e.Outcome == OutcomeOpen && e.Attempt.Owner == r.Attempt.Owner && e.Attempt.Number <= r.Attempt.Number:
			// The same process of the home instance starts another attempt only after the earlier one certainly did
			// not run. The record of this very attempt is present if the home handed it over before this request.
		default:
			return WitnessResult{Verdict: VerdictKnown, Record: e.export(now)}
		}
	}
	r.Outcome = OutcomeOpen
	if !l.put(&changeEntry{ChangeRecord: r, updatedAt: now, pair: pair}) {
		return WitnessResult{Verdict: VerdictFull}
	}
	return WitnessResult{Verdict: VerdictNew}
}

// Finish records the outcome of an attempt of this process and returns the messages that notify the other holders of
// the record.
func (l *ChangeLog) Finish(r ChangeRecord, now time.Time) []HandOver {
	e := l.records[r.Key]
	if e == nil || e.Attempt != r.Attempt {
		return nil
	}
	if e.contested && r.Outcome == OutcomeNotRun {
		r.Outcome = OutcomeUnknown
	}
	l.setOutcome(e, r, now)
	var out []HandOver
	notified := map[string]bool{l.self: true}
	for _, id := range []string{e.pair.Home, e.pair.Witness, e.beginPair.Witness} {
		m, ok := l.member(id)
		if !ok || notified[id] {
			continue
		}
		notified[id] = true
		out = append(out, HandOver{To: m, From: l.self, Records: []ChangeRecord{e.export(now)}})
	}
	return out
}

// Merge merges records that another instance sent. They may arrive late and in any order. Records of attempts that
// did not run are kept too, so that a late open record of the same attempt does not block the key.
func (l *ChangeLog) Merge(records []ChangeRecord, now time.Time) {
	for _, r := range records {
		e := l.records[r.Key]
		switch {
		case r.Age > l.window:
		case e == nil:
			e = &changeEntry{ChangeRecord: r, updatedAt: now.Add(-max(r.Age, 0)), pair: l.members.pair(r.Key)}
			l.put(e)
			l.boundReply(e)
		case e.Attempt == r.Attempt:
			if r.Outcome > e.Outcome {
				l.setOutcome(e, r, now)
			}
		case r.Outcome == OutcomeNotRun, e.Attempt.Owner == r.Attempt.Owner && r.Attempt.Number < e.Attempt.Number:
			// A process starts another attempt only after its earlier one certainly did not run.
		case e.Outcome == OutcomeOpen && e.Attempt.Owner == l.owner:
			e.contested = true
		case e.Outcome == OutcomeNotRun, r.Outcome > e.Outcome:
			// Another attempt may have run: keep the more certain outcome.
			e.Attempt, e.BodyDigest = r.Attempt, r.BodyDigest
			l.setOutcome(e, r, now)
		}
	}
}

// setOutcome sets the outcome and reply of an entry.
func (l *ChangeLog) setOutcome(e *changeEntry, r ChangeRecord, now time.Time) {
	e.Outcome, e.RequestID, e.ReplyDropped = r.Outcome, r.RequestID, r.ReplyDropped
	l.replyBytes -= len(e.Reply)
	e.Reply = r.Reply
	l.replyBytes += len(e.Reply)
	l.boundReply(e)
	e.updatedAt = now
}

// boundReply discards an entry's reply if it exceeds maxChangeReply or all replies exceed maxChangeReplies.
func (l *ChangeLog) boundReply(e *changeEntry) {
	if len(e.Reply) > maxChangeReply || l.replyBytes > maxChangeReplies {
		l.replyBytes -= len(e.Reply)
		e.Reply, e.ReplyDropped = nil, true
	}
}

// put stores an entry and reports whether the log had room for it.
func (l *ChangeLog) put(e *changeEntry) bool {
	old := l.records[e.Key]
	if old == nil && len(l.records) >= maxChangeRecords {
		return false
	}
	if old != nil {
		l.replyBytes -= len(old.Reply)
	}
	l.replyBytes += len(e.Reply)
	l.records[e.Key] = e
	return true
}

// sweep removes records that were not updated within the window. An attempt that is running in this process is never
// removed.
func (l *ChangeLog) sweep(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for key, e := range l.records {
		if e.Outcome == OutcomeOpen && e.Attempt.Owner == l.owner {
			continue
		}
		if now.Sub(e.updatedAt) > l.window {
			l.replyBytes -= len(e.Reply)
			delete(l.records, key)
		}
	}
}

// Len returns the number of records.
func (l *ChangeLog) Len() int { return len(l.records) }

// export returns the entry's record with its present age.
func (e *changeEntry) export(now time.Time) ChangeRecord {
	r := e.ChangeRecord
	r.Age = now.Sub(e.updatedAt)
	return r
}
