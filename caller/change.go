package caller

import "time"

// ChangeState is how far one change has come at one instance.
type ChangeState int

// The states of a change, in their order. Up to ChangeRecorded the change has surely not run.
const (
	// ChangeReceived is the state of a new change.
	ChangeReceived ChangeState = iota
	// ChangeAdmitted means that the change passed the checks, its rate and the queue.
	ChangeAdmitted
	// ChangeRecordedAtHome means that the home instance noted the idempotency key, which was new to it.
	ChangeRecordedAtHome
	// ChangeRecordedAtWitness means that the witness noted the key too, which was new to it.
	ChangeRecordedAtWitness
	// ChangeSent means that a byte may have left, to a target or to the home instance.
	ChangeSent
	// ChangeDone means that a target answered.
	ChangeDone
	// ChangeUnknown means that the change was sent and no usable answer came.
	ChangeUnknown
	// ChangeNotRun means that the change was refused and surely did not run.
	ChangeNotRun
)

// sendMargin is the least time that must be left before a change is sent. A change sent later than that ends
// as unknown in most cases.
const sendMargin = time.Millisecond

// Change is the state machine of one change at one instance. It decides what a refusal says of it. It belongs
// to the goroutine of its request.
type Change struct {
	state           ChangeState
	stateBeforeSend ChangeState // state to return to when it turns out that nothing was sent
	sendBy          time.Time
}

// NewChange returns a change that its caller waits for until the deadline.
func NewChange(deadline time.Time) *Change { return &Change{sendBy: deadline} }

// State returns how far the change has come.
func (c *Change) State() ChangeState { return c.state }

// Ran is what a refusal says in the present state.
func (c *Change) Ran() Ran {
	switch c.state {
	case ChangeReceived, ChangeAdmitted, ChangeRecordedAtHome, ChangeRecordedAtWitness, ChangeNotRun:
		return RanNo
	default:
		return RanUnknown
	}
}

// Admit notes that the change passed the checks and the queue.
func (c *Change) Admit() { c.transition(ChangeReceived, ChangeAdmitted) }

// RecordAtHome notes that the key was new to the home instance. The change must be sent before until: after that, the
// instances that noted the key may forget it.
func (c *Change) RecordAtHome(until time.Time) {
	c.transition(ChangeAdmitted, ChangeRecordedAtHome)
	if until.Before(c.sendBy) {
		c.sendBy = until
	}
}

// RecordAtWitness notes that the key was new to the witness, or that there is no other instance.
func (c *Change) RecordAtWitness() { c.transition(ChangeRecordedAtHome, ChangeRecordedAtWitness) }

// BeginSend decides whether the change may be sent to a target right now. permit is the outcome of the checks on the
// newest control snapshot, nil if they pass. A nil result must be followed by sending at once.
func (c *Change) BeginSend(permit *Refusal, now time.Time) *Refusal {
	return c.beginSend(ChangeRecordedAtWitness, permit, now)
}

// BeginForward decides whether the change may be sent to its home instance right now.
func (c *Change) BeginForward(permit *Refusal, now time.Time) *Refusal {
	return c.beginSend(ChangeAdmitted, permit, now)
}

func (c *Change) beginSend(from ChangeState, permit *Refusal, now time.Time) *Refusal {
	if c.state != from {
		return c.Refuse(CodeInternal, 0, "a change in state %d cannot be sent", c.state)
	}
	if now.Add(sendMargin).After(c.sendBy) {
		return c.Refuse(CodeDeadline, 0, "the time for the change was over before it was sent")
	}
	if permit != nil {
		return c.Refuse(permit.Code, permit.RetryAfter, "%s", permit.Message)
	}
	c.stateBeforeSend, c.state = from, ChangeSent
	return nil
}

// RevertSend notes that surely nothing was sent, or that the receiver said that it did not run the change. The
// change may be sent again.
func (c *Change) RevertSend() { c.transition(ChangeSent, c.stateBeforeSend) }

// Complete notes that a target answered.
func (c *Change) Complete() { c.transition(ChangeSent, ChangeDone) }

// Refuse ends the change. What the refusal says of running follows from the state.
func (c *Change) Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	r := Refuse(code, retryAfter, format, args...)
	r.Ran = c.Ran()
	if r.Ran == RanNo {
		c.state = ChangeNotRun
	} else {
		c.state = ChangeUnknown
	}
	return r
}

// transition moves to a state from exactly one other. From any other state the change may have run, as far as
// this machine can tell.
func (c *Change) transition(from, to ChangeState) {
	if c.state != from {
		c.state = ChangeUnknown
		return
	}
	c.state = to
}
