package traffic

import (
	"context"
	"sync"
	"time"

	"dogwooddrift.org/drift/caller"
)

// queue makes requests wait for their turn in a caller.Queue.
type queue struct {
	mu      sync.Mutex
	queue   *caller.Queue
	waiting map[*caller.QueueEntry]chan *caller.Refusal // gets nil when the turn comes
}

func newQueue(limits caller.QueueLimits) *queue {
	return &queue{queue: caller.NewQueue(limits), waiting: map[*caller.QueueEntry]chan *caller.Refusal{}}
}

// enter waits for the turn of a request. Unless it refuses, leave must be called when the request is done.
func (q *queue) enter(ctx context.Context, t *caller.QueueEntry) (waited bool, refusal *caller.Refusal) {
	q.mu.Lock()
	d := q.queue.Arrive(t, time.Now())
	if d.RunNow || d.Refusal != nil {
		q.mu.Unlock()
		return false, d.Refusal
	}
	turn := make(chan *caller.Refusal, 1)
	q.waiting[t] = turn
	if d.Displaced != nil {
		q.tell(d.Displaced, q.queue.OverloadRefusal())
	}
	q.mu.Unlock()

	timer := time.NewTimer(time.Until(t.WaitUntil))
	defer timer.Stop()
	select {
	case refusal := <-turn:
		return true, refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.queue.Cancel(t) {
		// The turn came, or another request took the place, at the same moment.
		return true, <-turn
	}
	delete(q.waiting, t)
	return true, q.queue.OverloadRefusal()
}

// leave ends a request and starts those that are next.
func (q *queue) leave(t *caller.QueueEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, next := range q.queue.Finish(t, time.Now()) {
		q.tell(next, nil)
	}
}

// tell ends the wait of a request. The channel has room, since each wait ends once.
func (q *queue) tell(t *caller.QueueEntry, refusal *caller.Refusal) {
	q.waiting[t] <- refusal
	delete(q.waiting, t)
}
