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
	events   chan queued[E]
	snapshot atomic.Pointer[S]
	dropped  atomic.Int64
	// longestWait and longestStep are those since the last call of Delays, in nanoseconds.
	longestWait, longestStep atomic.Int64
	done                     chan struct{}
}

// queued is an event in the queue.
type queued[E any] struct {
	event E
	at    time.Time // when it was queued
}

// Delays tells how late the control goroutine acts.
type Delays struct {
	// Wait is the longest time that an event waited in the queue, or that a timer fired late.
	Wait time.Duration
	// Step is the longest time of a step with the publication of its snapshot, without its effects.
	Step time.Duration
}

// New returns a loop that owns state, which must not be used elsewhere afterwards.
func New[E, F, S any](state State[E, F, S]) *Loop[E, F, S] {
	l := &Loop[E, F, S]{state: state, events: make(chan queued[E], queueLength), done: make(chan struct{})}
	l.snapshot.Store(state.Snapshot())
	return l
}

// Run applies events and executes their effects until ctx ends.
func (l *Loop[E, F, S]) Run(ctx context.Context, executor Executor[F]) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	wakeAt := time.Now()
	for {
		var next queued[E]
		select {
		case <-ctx.Done():
			return
		case next = <-l.events:
		case <-timer.C:
			next = queued[E]{l.state.Tick(), wakeAt}
		}
		now := time.Now()
		raise(&l.longestWait, now.Sub(next.at))
		result := l.state.Step(next.event, now)
		if result.SnapshotChanged {
			l.snapshot.Store(l.state.Snapshot())
		}
		raise(&l.longestStep, time.Since(now))
		for _, effect := range result.Effects {
			executor.Execute(effect)
		}
		wakeAt = result.WakeAt
		timer.Reset(time.Until(wakeAt))
	}
}

// raise sets a maximum to d if that is larger.
func raise(longest *atomic.Int64, d time.Duration) {
	for old := longest.Load(); int64(d) > old; old = longest.Load() {
		if longest.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

// Delays returns the longest delays since its last call.
func (l *Loop[E, F, S]) Delays() Delays {
	return Delays{Wait: time.Duration(l.longestWait.Swap(0)), Step: time.Duration(l.longestStep.Swap(0))}
}

// Post queues an event without blocking. It reports false, and counts the event as dropped, when the queue is
// full.
func (l *Loop[E, F, S]) Post(e E) bool {
	select {
	case l.events <- queued[E]{e, time.Now()}:
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
	case l.events <- queued[E]{event(reply), time.Now()}:
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
