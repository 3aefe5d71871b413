package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// queueLength bounds the events that wait for the control goroutine.
const queueLength = 4096

// ErrStopped means that the control goroutine has ended.
var ErrStopped = errors.New("control loop stopped")

// Executor carries out effects. Execute must not block: it runs on the control goroutine.
type Executor interface{ Execute(Effect) }

// Loop runs a State on one goroutine.
type Loop struct {
	state    *State
	events   chan Event
	snapshot atomic.Pointer[Snapshot]
	dropped  atomic.Int64
	done     chan struct{}
}

// NewLoop returns a loop that owns state. Nobody else may use state from now on.
func NewLoop(state *State) *Loop {
	l := &Loop{state: state, events: make(chan Event, queueLength), done: make(chan struct{})}
	l.snapshot.Store(state.Snapshot())
	return l
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context, executor Executor) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event Event
		select {
		case <-ctx.Done():
			return
		case event = <-l.events:
		case <-timer.C:
			event = Tick{}
		}
		ready := l.state.Step(event, time.Now())
		if ready.Changed {
			l.snapshot.Store(l.state.Snapshot())
		}
		for _, effect := range ready.Effects {
			executor.Execute(effect)
		}
		timer.Reset(time.Until(ready.Wake))
	}
}

// Post queues an event without blocking. It reports false, and counts the event as dropped, when the queue is
// full.
func (l *Loop) Post(e Event) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Dropped returns how many events found the queue full.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Snapshot returns the newest snapshot. A request loads it once and keeps it.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Ask queues an event that carries a reply channel and waits for the reply.
func Ask[T any](ctx context.Context, l *Loop, event func(reply chan<- T) Event) (T, error) {
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
