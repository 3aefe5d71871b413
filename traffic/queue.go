package traffic

import (
	"context"
	"sync"
	"time"

	"dogwooddrift.org/drift/caller"
)

// admissionQueue blocks the goroutines of requests until a caller.Queue lets them run. It is safe for concurrent use.
type admissionQueue struct {
	mu      sync.Mutex
	queue   *caller.Queue
	waiting map[*caller.QueueEntry]chan *caller.Refusal // results of the waits; nil means that the request may run
}

func newAdmissionQueue(limits caller.QueueLimits) *admissionQueue {
	return &admissionQueue{queue: caller.NewQueue(limits), waiting: map[*caller.QueueEntry]chan *caller.Refusal{}}
}

// enter waits until a request may run. waited reports whether it had to wait. Unless a refusal is returned, leave must
// be called when the request has ended.
func (q *admissionQueue) enter(ctx context.Context, entry *caller.QueueEntry) (waited bool, refusal *caller.Refusal) {
	q.mu.Lock()
	decision := q.queue.Arrive(entry, time.Now())
	if decision.RunNow || decision.Refusal != nil {
		q.mu.Unlock()
		return false, decision.Refusal
	}
	result := make(chan *caller.Refusal, 1)
	q.waiting[entry] = result
	if decision.Displaced != nil {
		q.endWait(decision.Displaced, q.queue.OverloadRefusal())
	}
	q.mu.Unlock()

	timer := time.NewTimer(time.Until(entry.WaitUntil))
	defer timer.Stop()
	select {
	case refusal := <-result:
		return true, refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.queue.Cancel(entry) {
		// The request was started or displaced concurrently, so its result is in the channel.
		return true, <-result
	}
	delete(q.waiting, entry)
	return true, q.queue.OverloadRefusal()
}

// leave ends a running request and starts the waiting requests that may run next.
func (q *admissionQueue) leave(entry *caller.QueueEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, next := range q.queue.Finish(entry, time.Now()) {
		q.endWait(next, nil)
	}
}

// endWait ends the wait of a request. The send does not block: the channel is buffered and each wait ends once.
func (q *admissionQueue) endWait(entry *caller.QueueEntry, refusal *caller.Refusal) {
	q.waiting[entry] <- refusal
	delete(q.waiting, entry)
}
