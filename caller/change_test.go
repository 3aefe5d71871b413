package caller

import (
	"testing"
	"time"
)

// Guards against refusals that state that a change did not run although it may have been sent, and against changes that
// are sent twice.
func TestChangeRanFollowsFromState(t *testing.T) {
	now := time.Unix(100, 0)
	send := func(c *Change) { c.BeginSend(nil, now) }
	steps := []func(c *Change){(*Change).Admit, func(c *Change) { c.RecordAtHome(now.Add(time.Minute)) }, (*Change).RecordAtWitness, send}
	for n, want := range []Ran{RanNo, RanNo, RanNo, RanNo, RanUnknown} {
		c := NewChange(now.Add(time.Second))
		for _, step := range steps[:n] {
			step(c)
		}
		if r := c.Refuse(CodeInternal, 0, ""); r.Ran != want {
			t.Errorf("after %d steps: ran %q, want %q", n, r.Ran, want)
		}
	}
	c := NewChange(now.Add(time.Second))
	for _, step := range steps {
		step(c)
	}
	if r := c.BeginSend(nil, now); r == nil || r.Ran != RanUnknown {
		t.Errorf("second send: %v, want a refusal with ran unknown", r)
	}
	c = NewChange(now.Add(time.Second))
	for _, step := range steps {
		step(c)
	}
	c.RevertSend()
	if r := c.BeginSend(nil, now); r != nil {
		t.Errorf("send after the target replied that it did not run the change: %v", r)
	}
	c.Complete()
	if c.State() != ChangeDone || c.Ran() != RanUnknown {
		t.Errorf("state %d, ran %q", c.State(), c.Ran())
	}
	// After a step out of order it is unknown whether the change ran.
	c = NewChange(now.Add(time.Second))
	c.RecordAtWitness()
	if c.Ran() != RanUnknown {
		t.Errorf("ran %q after a step out of order, want %q", c.Ran(), RanUnknown)
	}
}

// Guards against changes that are sent after their deadline, or after the instances that store their idempotency key may
// have removed it.
func TestChangeIsNotSentLate(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct{ deadline, sendBy time.Time }{
		{now.Add(-time.Second), now.Add(time.Minute)}, {now.Add(time.Minute), now.Add(-time.Second)},
	} {
		m := NewChange(c.deadline)
		m.Admit()
		m.RecordAtHome(c.sendBy)
		m.RecordAtWitness()
		if r := m.BeginSend(nil, now); r == nil || r.Code != CodeDeadline || r.Ran != RanNo {
			t.Errorf("deadline %v, send by %v: %v, want deadline", c.deadline, c.sendBy, r)
		}
	}
}
