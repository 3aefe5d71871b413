package caller

import (
	"testing"
	"time"
)

// Guards against a refusal that says "not run" of a change that may have been sent, and against a change that is
// sent twice.
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
		t.Errorf("send after the target said that it did not run the change: %v", r)
	}
	c.Complete()
	if c.State() != ChangeDone || c.Ran() != RanUnknown {
		t.Errorf("state %d, ran %q", c.State(), c.Ran())
	}
	// A step out of order proves that the machine lost track.
	c = NewChange(now.Add(time.Second))
	c.RecordAtWitness()
	if c.Ran() != RanUnknown {
		t.Errorf("ran %q after a step out of order, want %q", c.Ran(), RanUnknown)
	}
}

// Guards against a change that is sent after its deadline, or after the instances that know its key may have
// forgotten it.
func TestChangeIsNotSentLate(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct{ deadline, until time.Time }{
		{now.Add(-time.Second), now.Add(time.Minute)}, {now.Add(time.Minute), now.Add(-time.Second)},
	} {
		m := NewChange(c.deadline)
		m.Admit()
		m.RecordAtHome(c.until)
		m.RecordAtWitness()
		if r := m.BeginSend(nil, now); r == nil || r.Code != CodeDeadline || r.Ran != RanNo {
			t.Errorf("deadline %v, until %v: %v, want deadline", c.deadline, c.until, r)
		}
	}
}
