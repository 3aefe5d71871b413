package sibling

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// ChangeKey identifies the changes of which at most one may run: the digest of organisation, service and
// idempotency key.
type ChangeKey [sha256.Size]byte

// NewChangeKey returns the key of a change.
func NewChangeKey(organisation, service, idempotencyKey string) ChangeKey {
	return sha256.Sum256(fmt.Appendf(nil, "%q %q %q", organisation, service, idempotencyKey))
}

// BodyDigest tells apart changes that came under the same key.
type BodyDigest [sha256.Size]byte

// Attempt numbers the attempts of one process to run changes.
type Attempt struct {
	// Owner names the process of the home instance, not only the instance.
	Owner  string
	Number uint64
}

// ChangeOutcome is what is known of an attempt.
type ChangeOutcome int

// The outcomes of an attempt.
const (
	// OutcomeOpen means that the attempt has not ended, as far as is known here.
	OutcomeOpen ChangeOutcome = iota
	// OutcomeNotRun means that the attempt ended and surely did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown
	// OutcomeDone means that a target answered.
	OutcomeDone
)

// ChangeRecord is what one instance tells another about a change.
type ChangeRecord struct {
	Key        ChangeKey
	BodyDigest BodyDigest
	Attempt    Attempt
	Outcome    ChangeOutcome
	// RequestID and Reply are set for OutcomeDone.
	RequestID string
	Reply     []byte
	// ReplyDropped means that the reply was too large to keep.
	ReplyDropped bool
	// Age is how long ago the record was made or last changed.
	Age time.Duration
}

const (
	// maxChangeRecords bounds the memory of the log to about 16 MB at about 250 bytes a record, half of what an
	// instance may use for control.
	maxChangeRecords = 1 << 16
	// maxChangeReply bounds one reply that is kept for repeats.
	maxChangeReply = 4 << 10
	// maxChangeReplies bounds all replies that are kept for repeats.
	maxChangeReplies = 4 << 20
	sweepInterval    = time.Second
	// maxHandOver bounds the records of one message, so that it stays under gRPC's limit of 4 MB.
	maxHandOver = 512
)

// ChangeLog remembers changes for as long as their outcome may be asked for, as home instance and as witness.
// It belongs to the control goroutine.
type ChangeLog struct {
	membership
	owner      string
	attempts   uint64
	window     time.Duration
	records    map[ChangeKey]*changeEntry
	replyBytes int
	nextSweep  time.Time
}

type changeEntry struct {
	ChangeRecord
	touched time.Time
	pair    HolderPair
	// begun is the pair that an attempt of this process began with. Its witness may still have the record after the
	// members changed.
	begun HolderPair
	// contested says that another attempt may have run while one of this process is open.
	contested bool
}

// NewChangeLog returns the empty log of an instance. owner must differ between processes of the same instance.
func NewChangeLog(self, owner string) *ChangeLog {
	return &ChangeLog{
		membership: membership{self: self, left: map[string]time.Time{}, awaited: map[string]bool{}},
		owner:      owner,
		records:    map[ChangeKey]*changeEntry{},
	}
}

// Verdict is the decision about one change.
type Verdict int

// The verdicts of Begin and Witness.
const (
	// VerdictNew means that the key was not known and is noted now.
	VerdictNew Verdict = iota + 1
	// VerdictKnown means that the record of an earlier attempt stands against the change.
	VerdictKnown
	// VerdictOtherBody means that the key came with another body before.
	VerdictOtherBody
	// VerdictMoved means that this instance does not have the role by its own view of the members. The change
	// was not noted.
	VerdictMoved
	// VerdictFull means that the log has no room. The change was not noted.
	VerdictFull
)

// BeginResult is the decision of the home instance about a change.
type BeginResult struct {
	Verdict Verdict
	// Record is what is known (VerdictKnown) or what the witness must record (VerdictNew).
	Record ChangeRecord
	// RunningHere says, for VerdictKnown, that the earlier attempt is still running at this instance.
	RunningHere bool
	// Witness must record the change before it is sent, unless Alone.
	Witness   Member
	NoWitness bool
	// SendBefore is the time before which the change must be sent: later, the key may be forgotten.
	SendBefore time.Time
	// Home is this instance, as the witness must see it.
	Home string
}

// Begin decides as home instance whether a change may go on to the witness, and notes it if so.
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
		touched:      now, pair: pair, begun: pair,
	}
	if !l.put(e) {
		return BeginResult{Verdict: VerdictFull}
	}
	witness, ok := l.member(pair.Witness)
	return BeginResult{
		Verdict: VerdictNew, Record: e.export(now), Witness: witness, NoWitness: !ok, Home: l.self,
		// Half of the window leaves room for clocks that run at different speeds.
		SendBefore: now.Add(l.window / 2),
	}
}

// WitnessResult is the decision of a witness.
type WitnessResult struct {
	Verdict Verdict
	Record  ChangeRecord
}

// RecordAsWitness decides as witness of the named home instance whether a change may run, and notes it if so.
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
		case e.Outcome == OutcomeNotRun:
		case e.Outcome == OutcomeOpen && e.Attempt.Owner == r.Attempt.Owner && e.Attempt.Number < r.Attempt.Number:
			// The same process of the home instance begins again, so it knows that its earlier attempt did not run.
		default:
			return WitnessResult{Verdict: VerdictKnown, Record: e.export(now)}
		}
	}
	r.Outcome = OutcomeOpen
	if !l.put(&changeEntry{ChangeRecord: r, touched: now, pair: pair}) {
		return WitnessResult{Verdict: VerdictFull}
	}
	return WitnessResult{Verdict: VerdictNew}
}

// Finish notes the outcome of an attempt of this process and returns the messages that tell the other holders.
func (l *ChangeLog) Finish(r ChangeRecord, now time.Time) []HandOver {
	e := l.records[r.Key]
	if e == nil || e.Attempt != r.Attempt {
		return nil
	}
	if e.contested && r.Outcome == OutcomeNotRun {
		r.Outcome = OutcomeUnknown
	}
	l.settle(e, r, now)
	var out []HandOver
	told := map[string]bool{l.self: true}
	for _, id := range []string{e.pair.Home, e.pair.Witness, e.begun.Witness} {
		m, ok := l.member(id)
		if !ok || told[id] {
			continue
		}
		told[id] = true
		out = append(out, HandOver{To: m, From: l.self, Records: []ChangeRecord{e.export(now)}})
	}
	return out
}

// Merge merges records that another instance handed over. They may arrive late and in any order. Records of attempts
// that did not run are kept too, so that a late record of the same attempt does not block the key.
func (l *ChangeLog) Merge(records []ChangeRecord, now time.Time) {
	for _, r := range records {
		e := l.records[r.Key]
		switch {
		case r.Age > l.window:
		case e == nil:
			e = &changeEntry{ChangeRecord: r, touched: now.Add(-max(r.Age, 0)), pair: l.members.pair(r.Key)}
			l.put(e)
			l.boundReply(e)
		case e.Attempt == r.Attempt:
			if r.Outcome > e.Outcome {
				l.settle(e, r, now)
			}
		case r.Outcome == OutcomeNotRun, e.Attempt.Owner == r.Attempt.Owner && r.Attempt.Number < e.Attempt.Number:
			// A process begins again only after its earlier attempt surely did not run.
		case e.Outcome == OutcomeOpen && e.Attempt.Owner == l.owner:
			e.contested = true
		case e.Outcome == OutcomeNotRun, r.Outcome > e.Outcome:
			// Another attempt may have run: what is more certain stays.
			e.Attempt, e.BodyDigest = r.Attempt, r.BodyDigest
			l.settle(e, r, now)
		}
	}
}

// settle sets the outcome of an entry.
func (l *ChangeLog) settle(e *changeEntry, r ChangeRecord, now time.Time) {
	e.Outcome, e.RequestID, e.ReplyDropped = r.Outcome, r.RequestID, r.ReplyDropped
	l.replyBytes -= len(e.Reply)
	e.Reply = r.Reply
	l.replyBytes += len(e.Reply)
	l.boundReply(e)
	e.touched = now
}

func (l *ChangeLog) boundReply(e *changeEntry) {
	if len(e.Reply) > maxChangeReply || l.replyBytes > maxChangeReplies {
		l.replyBytes -= len(e.Reply)
		e.Reply, e.ReplyDropped = nil, true
	}
}

// put stores an entry unless the log is full.
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

// sweep forgets what nobody may ask for any more. An attempt that runs here is never forgotten.
func (l *ChangeLog) sweep(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for key, e := range l.records {
		if e.Outcome == OutcomeOpen && e.Attempt.Owner == l.owner {
			continue
		}
		if now.Sub(e.touched) > l.window {
			l.replyBytes -= len(e.Reply)
			delete(l.records, key)
		}
	}
}

// Len returns how many changes are remembered.
func (l *ChangeLog) Len() int { return len(l.records) }

func (e *changeEntry) export(now time.Time) ChangeRecord {
	r := e.ChangeRecord
	r.Age = now.Sub(e.touched)
	return r
}
