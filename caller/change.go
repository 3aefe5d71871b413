package caller

import "time"

// ChangeState is the progress of one change at one instance.
type ChangeState int

// The states of a change, in the order in which it passes them. Up to ChangeRecordedAtWitness the change has
// certainly not run.
const (
	// ChangeReceived is the initial state.
	ChangeReceived ChangeState = iota
	// ChangeAdmitted means that the change passed authentication, the rate limit and the queue.
	ChangeAdmitted
	// ChangeRecordedAtHome means that the home instance had no record of the idempotency key and created one.
	ChangeRecordedAtHome
	// ChangeRecordedAtWitness means that the witness had no record of the key either and created one.
	ChangeRecordedAtWitness
	// ChangeSent means that a byte of the change may have been sent to a target or to the home instance.
	ChangeSent
	// ChangeDone means that a target answered.
	ChangeDone
	// ChangeUnknown means that the change was sent and no usable answer arrived.
	ChangeUnknown
	// ChangeNotRun means that the change was refused and certainly did not run.
	ChangeNotRun
)

// sendMargin is the minimum time that must remain before the deadline when a change is sent. Most changes that are
// sent later end in ChangeUnknown.
const sendMargin = time.Millisecond

// Change is the state machine of one change at one instance. Its state determines whether a refusal may state that
// the change did not run. It is used only by the goroutine of its request.
type Change struct {
	state           ChangeState
	stateBeforeSend ChangeState // restored by RevertSend
	sendBy          time.Time
}

// NewChange returns a change whose caller waits until the deadline.
func NewChange(deadline time.Time) *Change { return &Change{sendBy: deadline} }

// State returns the progress of the change.
func (c *Change) State() ChangeState { return c.state }

// Ran returns the Ran value of a refusal in the current state.
func (c *Change) Ran() Ran {
	switch c.state {
	case ChangeReceived, ChangeAdmitted, ChangeRecordedAtHome, ChangeRecordedAtWitness, ChangeNotRun:
		return RanNo
	default:
		return RanUnknown
	}
}

// Admit records that the change passed authentication, the rate limit and the queue.
func (c *Change) Admit() { c.transition(ChangeReceived, ChangeAdmitted) }

// RecordAtHome records that the home instance stored the idempotency key and had not seen it before. The change must
// be sent before sendBy: after that, the instances that store the key may have removed it.
func (c *Change) RecordAtHome(sendBy time.Time) {
	c.transition(ChangeAdmitted, ChangeRecordedAtHome)
	if sendBy.Before(c.sendBy) {
		c.sendBy = sendBy
	}
}

// RecordAtWitness records that the witness stored the key and had not seen it before, or that no other instance
// exists.
func (c *Change) RecordAtWitness() { c.transition(ChangeRecordedAtHome, ChangeRecordedAtWitness) }

// BeginSend checks whether the change may be sent to a target now and moves it to ChangeSent if so. denial is the
// result of authentication against the newest control snapshot, nil if the change is allowed. If BeginSend returns
// nil, the caller must send the change immediately.
func (c *Change) BeginSend(denial *Refusal, now time.Time) *Refusal {
	return c.beginSend(ChangeRecordedAtWitness, denial, now)
}

// BeginForward is like BeginSend for sending the change to its home instance.
func (c *Change) BeginForward(denial *Refusal, now time.Time) *Refusal {
	return c.beginSend(ChangeAdmitted, denial, now)
}

func (c *Change) beginSend(from ChangeState, denial *Refusal, now time.Time) *Refusal {
	if c.state != from {
		return c.Refuse(CodeInternal, 0, "a change in state %d cannot be sent", c.state)
	}
	if now.Add(sendMargin).After(c.sendBy) {
		return c.Refuse(CodeDeadline, 0, "the deadline of the change passed before it was sent")
	}
	if denial != nil {
		return c.Refuse(denial.Code, denial.RetryAfter, "%s", denial.Message)
	}
	c.stateBeforeSend, c.state = from, ChangeSent
	return nil
}

// RevertSend records that nothing was sent, or that the receiver replied that it did not run the change. The change
// may be sent again.
func (c *Change) RevertSend() { c.transition(ChangeSent, c.stateBeforeSend) }

// Complete records that a target answered.
func (c *Change) Complete() { c.transition(ChangeSent, ChangeDone) }

// Refuse ends the change and returns a refusal whose Ran value follows from the state.
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

// transition moves from one state to another. If the change is in any other state, it cannot be ruled out that the
// change ran, so the state becomes ChangeUnknown.
func (c *Change) transition(from, to ChangeState) {
	if c.state != from {
		c.state = ChangeUnknown
		return
	}
	c.state = to
}
