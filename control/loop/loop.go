// Package loop runs a control state machine on one goroutine and publishes the snapshots that traffic reads.
package loop

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// queueLength is the maximum number of events that wait for the control goroutine.
const queueLength = 4096

// ErrStopped means that the control goroutine has ended.
var ErrStopped = errors.New("control loop stopped")

// StepResult is the outcome of one Step.
type StepResult[F any] struct {
	Effects []F
	// SnapshotChanged is set if the published snapshot is out of date.
	SnapshotChanged bool
	// WakeAt is the time at which Step needs a Tick at the latest.
	WakeAt time.Time
}

// State is a pure state machine: it takes events of type E, returns effects of type F and publishes snapshots of
// type S.
type State[E, F, S any] interface {
	Step(event E, now time.Time) StepResult[F]
	Snapshot() *S
	// Tick returns the event of a timer, on which Step does only what is due.
	Tick() E
}

// Executor carries out effects. Execute must not block: it runs on the control goroutine.
type Executor[F any] interface{ Execute(F) }

// Loop runs a State on one goroutine.
type Loop[E, F, S any] struct {
	state    State[E, F, S]
	events   chan E
	snapshot atomic.Pointer[S]
	dropped  atomic.Int64
	done     chan struct{}
}

// New returns a loop that owns state, which must not be used elsewhere afterwards.
func New[E, F, S any](state State[E, F, S]) *Loop[E, F, S] {
	l := &Loop[E, F, S]{state: state, events: make(chan E, queueLength), done: make(chan struct{})}
	l.snapshot.Store(state.Snapshot())
	return l
}

// Run applies events and executes their effects until ctx ends.
func (l *Loop[E, F, S]) Run(ctx context.Context, executor Executor[F]) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event E
		select {
		case <-ctx.Done():
			return
		case event = <-l.events:
		case <-timer.C:
			event = l.state.Tick()
		}
		result := l.state.Step(event, time.Now())
		if result.SnapshotChanged {
			l.snapshot.Store(l.state.Snapshot())
		}
		for _, effect := range result.Effects {
			executor.Execute(effect)
		}
		timer.Reset(time.Until(result.WakeAt))
	}
}

// Post queues an event without blocking. It reports false, and counts the event as dropped, when the queue is
// full.
func (l *Loop[E, F, S]) Post(e E) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Dropped returns the number of events that were dropped because the queue was full.
func (l *Loop[E, F, S]) Dropped() int64 { return l.dropped.Load() }

// Snapshot returns the newest snapshot. A request loads it once and uses it to its end.
func (l *Loop[E, F, S]) Snapshot() *S { return l.snapshot.Load() }

// Ask queues an event that carries a reply channel and waits for the reply, the end of ctx, or the end of the loop
// (ErrStopped).
func Ask[T, E, F, S any](ctx context.Context, l *Loop[E, F, S], event func(reply chan<- T) E) (T, error) {
	var zero T
	reply := make(chan T, 1)
	select {
	case l.events <- event(reply):
	case <-l.done:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case v := <-reply:
		return v, nil
	case <-l.done:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
