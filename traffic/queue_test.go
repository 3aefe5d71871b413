package traffic

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control"
)

// occupy takes every running place of an instance and returns a function that gives one back.
func occupy(n *testNode, places int) (release func()) {
	held := make(chan *caller.QueueEntry, places)
	for range places {
		t := &caller.QueueEntry{Organisation: "busy", Weight: 1, WaitUntil: time.Now().Add(time.Hour)}
		_, _ = n.tier.queue.enter(context.Background(), t)
		held <- t
	}
	return func() { n.tier.queue.leave(<-held) }
}

func (n *testNode) waiting() int {
	n.tier.queue.mu.Lock()
	defer n.tier.queue.mu.Unlock()
	return n.tier.queue.queue.Waiting()
}

// Guards against a request that waited and then runs although its key was withdrawn, the instance stops, or its
// deadline passed meanwhile.
func TestChecksAfterWaiting(t *testing.T) {
	for name, c := range map[string]struct {
		event func(f *fleet, n *testNode)
		want  caller.Code
	}{
		"key": {func(f *fleet, n *testNode) {
			n.loop.Post(control.DocumentRead{Document: testDocument(2, "another")})
			f.eventually(func() bool { return n.loop.Snapshot().Document.Revision == 2 })
		}, caller.CodeUnauthenticated},
		"draining": {func(_ *fleet, n *testNode) { n.tier.Drain() }, caller.CodeDraining},
	} {
		f := newFleet(t, "a")
		n := f.nodes["a"]
		release := occupy(n, 16)
		done := make(chan *caller.Refusal, 1)
		go func() {
			_, refusal := f.change("a", "k", 10*time.Second)
			done <- refusal
		}()
		f.eventually(func() bool { return n.waiting() == 1 })
		c.event(f, n)
		release()
		if r := <-done; r == nil || r.Code != c.want || r.Ran != caller.RanNo || f.ran("k") != 0 {
			t.Errorf("%s: %v, want %s", name, r, c.want)
		}
		release()
		if n.waiting() != 0 {
			t.Errorf("%s: %d requests wait after the end", name, n.waiting())
		}
	}
}

// Guards against lost wake-ups and lost places when turns, cancellations and displacements meet.
func TestQueueLosesNoPlace(t *testing.T) {
	q := newAdmissionQueue(caller.QueueLimits{MaxRunning: 4, MaxWaiting: 8, MaxWait: 5 * time.Millisecond})
	var running, most, served atomic.Int64
	var workers sync.WaitGroup
	for i := range 32 {
		workers.Go(func() {
			for range 300 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*100*time.Microsecond)
				ticket := &caller.QueueEntry{Organisation: string(rune('a' + i%3)), Weight: 1, WaitUntil: time.Now().Add(time.Minute)}
				if _, refusal := q.enter(ctx, ticket); refusal == nil {
					most.Store(max(most.Load(), running.Add(1)))
					served.Add(1)
					running.Add(-1)
					q.leave(ticket)
				}
				cancel()
			}
		})
	}
	workers.Wait()
	if q.queue.Running() != 0 || q.queue.Waiting() != 0 || len(q.waiting) != 0 || most.Load() > 4 || served.Load() == 0 {
		t.Errorf("%d run and %d wait at the end, at most %d ran, %d were served", q.queue.Running(), q.queue.Waiting(), most.Load(), served.Load())
	}
}
