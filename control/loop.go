package control

import (
	"context"

	"dogwooddrift.org/drift/control/loop"
)

// ErrStopped means that the control goroutine has ended.
var ErrStopped = loop.ErrStopped

// StepResult is the outcome of one Step.
type StepResult = loop.StepResult[Effect]

// Executor carries out effects. Execute must not block: it runs on the control goroutine.
type Executor = loop.Executor[Effect]

// Loop runs a State on one goroutine.
type Loop struct {
	*loop.Loop[Event, Effect, Snapshot]
}

// NewLoop returns a loop that owns state, which must not be used elsewhere afterwards.
func NewLoop(state *State) *Loop { return &Loop{loop.New[Event, Effect, Snapshot](state)} }

// Tick returns the event of a timer.
func (s *State) Tick() Event { return Tick{} }

// Ask queues an event that carries a reply channel and waits for the reply, the end of ctx, or the end of the loop
// (ErrStopped).
func Ask[T any](ctx context.Context, l *Loop, event func(reply chan<- T) Event) (T, error) {
	return loop.Ask(ctx, l.Loop, event)
}
