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

// occupy takes all execution slots of an instance and returns a function that releases one.
func occupy(n *testNode, slots int) (release func()) {
	entries := make(chan *caller.QueueEntry, slots)
	for range slots {
		entry := &caller.QueueEntry{Organisation: "busy", Weight: 1, WaitUntil: time.Now().Add(time.Hour)}
		_, _ = n.tier.queue.enter(context.Background(), entry)
		entries <- entry
	}
	return func() { n.tier.queue.leave(<-entries) }
}

func (n *testNode) waiting() int {
	n.tier.queue.mu.Lock()
	defer n.tier.queue.mu.Unlock()
	return n.tier.queue.queue.Waiting()
}

// Guards against a request that waited and then runs although its key was withdrawn or the instance began to stop
// meanwhile.
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
		if r := <-done; r == nil || r.Code != c.want || r.Ran != caller.RanNo || f.runCount("k") != 0 {
			t.Errorf("%s: %v, want %s", name, r, c.want)
		}
		release()
		if n.waiting() != 0 {
			t.Errorf("%s: %d requests still wait after all have ended", name, n.waiting())
		}
	}
}

// Guards against lost wake-ups and lost slots if starts, cancellations and displacements of requests coincide.
func TestQueueLosesNoPlace(t *testing.T) {
	q := newAdmissionQueue(caller.QueueLimits{MaxRunning: 4, MaxWaiting: 8, MaxWait: 5 * time.Millisecond})
	var running, most, served atomic.Int64
	var workers sync.WaitGroup
	for i := range 32 {
		workers.Go(func() {
			for range 300 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*100*time.Microsecond)
				entry := &caller.QueueEntry{Organisation: string(rune('a' + i%3)), Weight: 1, WaitUntil: time.Now().Add(time.Minute)}
				if _, refusal := q.enter(ctx, entry); refusal == nil {
					most.Store(max(most.Load(), running.Add(1)))
					served.Add(1)
					running.Add(-1)
					q.leave(entry)
				}
				cancel()
			}
		})
	}
	workers.Wait()
	if q.queue.Running() != 0 || q.queue.Waiting() != 0 || len(q.waiting) != 0 || most.Load() > 4 || served.Load() == 0 {
		t.Errorf("%d running and %d waiting at the end, at most %d ran concurrently, %d were served", q.queue.Running(), q.queue.Waiting(), most.Load(), served.Load())
	}
}
