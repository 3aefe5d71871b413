package loop

import (
	"context"
	"testing"
	"time"
)

// calls is a state whose events are functions that it calls.
type calls struct{}

func (calls) Step(event func(), now time.Time) StepResult[int] {
	event()
	return StepResult[int]{WakeAt: now.Add(time.Hour)}
}

func (calls) Snapshot() *int { return new(int) }
func (calls) Tick() func()   { return func() {} }
func (calls) Execute(int)    {}

// Guards against a control goroutine that acts late without anybody seeing it: events that wait behind slow ones.
func TestDelaysOfTheControlGoroutine(t *testing.T) {
	const step = 20 * time.Millisecond
	l := New[func(), int, int](calls{})
	for range 3 {
		l.Post(func() { time.Sleep(step) })
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.Run(ctx, calls{})
	// The answer to the first question comes before the end of its step, that to the second one after it.
	for range 2 {
		if _, err := Ask(ctx, l, func(reply chan<- int) func() { return func() { reply <- 0 } }); err != nil {
			t.Fatal(err)
		}
	}
	if d := l.Delays(); d.Wait < 2*step || d.Step < step {
		t.Errorf("delays %+v, want a wait of %v and a step of %v at least", d, 2*step, step)
	}
}
