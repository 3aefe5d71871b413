package traffic

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"time"

	"dogwooddrift.org/drift/targets"
)

// startPatience is the time after which a send that waits to start is overdue in the order of starts. A burst of 90 sends takes
// 50 ms on 0.192 of a core, so an ordinary request waits that long beside one urgent request.
const startPatience = 100 * time.Millisecond

// startGate orders the starts of this instance's sends when its processor is the bottleneck: a few of them are encoded and
// written at the same time, and the others wait in order of urgency. A send that waits has no goroutine. It is safe for
// concurrent use.
type startGate struct {
	mu      sync.Mutex
	free    int
	waiting *targets.Order[*StartTurn]
	// meanStart is the mean time between two starts while others wait, exponentially weighted; lastStart is the last one of them.
	meanStart time.Duration
	lastStart time.Time
}

// startWeightDivisor gives one start a weight of 1/16 in the mean time between starts.
const startWeightDivisor = 16

// newStartGate returns a gate that lets a number of sends start at the same time.
func newStartGate(parallel int) *startGate {
	return &startGate{free: parallel, waiting: targets.NewOrder[*StartTurn](startPatience)}
}

// parallelStarts returns how many sends may start at the same time: one processor is left to other work, since a request
// that arrives during a burst must be read before it can overtake the burst.
func parallelStarts() int { return max(runtime.GOMAXPROCS(0)-1, 1) }

// StartTurn is the permit of one attempt to encode and write its request. A nil turn needs no permit. Pause, Resume and Done
// are called by the goroutine of the attempt.
type StartTurn struct {
	gate *startGate
	key  targets.OrderKey
	// run is called on a goroutine of its own when the turn is granted; for a turn after a pause, resumed is closed instead.
	run     func(*StartTurn)
	resumed chan struct{}
	item    *targets.OrderItem[*StartTurn] // guarded by gate.mu; nil if the turn was granted at once
	holds   bool
}

// grant starts the attempt, or lets it go on after a pause.
func (t *StartTurn) grant() {
	if t.resumed != nil {
		close(t.resumed)
		return
	}
	go t.run(t)
}

// enter calls run on a goroutine of its own as soon as the attempt may start.
func (g *startGate) enter(key targets.OrderKey, run func(*StartTurn)) *StartTurn {
	t := &StartTurn{gate: g, key: key, run: run, holds: true}
	if g.take(t) {
		t.grant()
	}
	return t
}

// take takes a permit, or makes the turn wait and reports false.
func (g *startGate) take(t *StartTurn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.free > 0 {
		g.free--
		return true
	}
	t.item = g.waiting.Add(t, t.key, time.Now())
	return false
}

// release passes a permit on to the next turn.
func (g *startGate) release() {
	g.mu.Lock()
	var next *targets.OrderItem[*StartTurn]
	if g.waiting.Len() > 0 {
		now := time.Now()
		if !g.lastStart.IsZero() {
			g.meanStart += (now.Sub(g.lastStart) - g.meanStart) / startWeightDivisor
		}
		g.lastStart = now
		next = g.waiting.Next(now)
	} else {
		g.free++
		g.lastStart = time.Time{}
	}
	g.mu.Unlock()
	if next != nil {
		next.Value.grant()
	}
}

// delay estimates how long a new send of the rank would wait to start.
func (g *startGate) delay(rank int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	ahead := 0
	for r, n := range g.waiting.Waiting() {
		if r <= rank {
			ahead += n
		}
	}
	return time.Duration(ahead) * g.meanStart
}

// waitingByRank returns the number of waiting sends by rank.
func (g *startGate) waitingByRank() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.waiting.Waiting())
}

// abandon withdraws a turn that still waits and reports whether it did: the attempt then never starts.
func (t *StartTurn) abandon() bool {
	if t == nil {
		return false
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.item != nil && t.gate.waiting.Remove(t.item)
}

// Done gives the permit back, once the request is written or cannot be. Further calls have no effect.
func (t *StartTurn) Done() {
	if t != nil && t.holds {
		t.holds = false
		t.gate.release()
	}
}

// Pause gives the permit back while the attempt waits for its target, for example to accept a connection.
func (t *StartTurn) Pause() { t.Done() }

// Resume waits for a permit again after Pause. It reports false if ctx ends first.
func (t *StartTurn) Resume(ctx context.Context) bool {
	if t == nil || t.holds {
		return ctx.Err() == nil
	}
	again := &StartTurn{gate: t.gate, key: t.key, resumed: make(chan struct{})}
	if !t.gate.take(again) {
		select {
		case <-again.resumed:
		case <-ctx.Done():
			if again.abandon() {
				return false
			}
		}
	}
	t.holds = true
	return ctx.Err() == nil
}
