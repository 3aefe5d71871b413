package caller

import (
	"math"
	"slices"
	"time"
)

// QueueLimits bounds the concurrent and the waiting requests of one instance.
type QueueLimits struct {
	// MaxRunning is the maximum number of requests that run concurrently.
	MaxRunning int
	// MaxWaiting is the maximum number of waiting requests of all organisations together.
	MaxWaiting int
	// MaxWait is the maximum time that a request waits.
	MaxWait time.Duration
}

// QueueEntry is a request that waits or runs in a Queue.
type QueueEntry struct {
	// Organisation is the name of the organisation that the request runs for.
	Organisation string
	// Weight is the weight of the organisation in fair queueing.
	Weight float64
	// WaitUntil is the time at which the request stops waiting, initially its deadline. Arrive lowers it according to
	// QueueLimits.MaxWait.
	WaitUntil time.Time

	state     entryState
	startTag  float64 // virtual time at which the service of the request starts
	arrivedAt time.Time
	startedAt time.Time
}

type entryState int

const (
	entryWaiting entryState = iota + 1
	entryRunning
	entryEnded
)

// Queue divides the execution slots of an instance among organisations by start-time fair queueing: each request gets
// a start tag, which increases by 1/weight from request to request of its organisation, and the waiting request with
// the lowest start tag runs next. Some slots are reserved for organisations that use less than their share of the
// slots, so that they need not wait until a request of another organisation ends. It is not safe for concurrent use.
type Queue struct {
	limits          QueueLimits
	reservedSlots   int
	flows           map[string]*flow
	running         int
	waiting         int
	virtualTime     float64
	meanServiceTime time.Duration // exponentially weighted mean of the execution times
}

// flow is the state of one organisation in the queue.
type flow struct {
	waiting   []*QueueEntry
	running   int
	weight    float64
	finishTag float64 // virtual time at which the service of the newest request ends
}

// QueueDecision is the result of Arrive. If neither RunNow nor Refusal is set, the request waits.
type QueueDecision struct {
	// RunNow reports that the request runs immediately. Finish must be called when it ends.
	RunNow bool
	// Refusal is set if the request may neither run nor wait.
	Refusal *Refusal
	// Displaced is a waiting request that was removed to make room for the new one and must be refused with
	// OverloadRefusal.
	Displaced *QueueEntry
}

// serviceTimeWeight is the weight of one sample in the mean execution time.
const serviceTimeWeight = 0.05

// reservedDivisor sets the reserved slots: one in 8 is reserved for organisations below their share. Without reserved
// slots, a flood of requests that take 4 ms each raised the p99 latency of another organisation by 42% at 64 slots.
const reservedDivisor = 8

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{limits: limits, reservedSlots: limits.MaxRunning / reservedDivisor, flows: map[string]*flow{}}
}

// Arrive decides whether a new request runs, waits or is refused. If the queue is full, the organisation with the most
// waiting requests for its weight loses its newest one, provided that it has more than the organisation of the new
// request would have; otherwise the new request is refused.
func (q *Queue) Arrive(e *QueueEntry, now time.Time) QueueDecision {
	e.arrivedAt = now
	f := q.flows[e.Organisation]
	if f == nil {
		f = &flow{}
		q.flows[e.Organisation] = f
	}
	f.weight = e.Weight
	if q.eligible(f) && len(f.waiting) == 0 {
		q.assignTags(f, e)
		q.run(e, now)
		return QueueDecision{RunNow: true}
	}
	if limit := now.Add(q.limits.MaxWait); limit.Before(e.WaitUntil) {
		e.WaitUntil = limit
	}
	if !e.WaitUntil.After(now) {
		q.removeIfIdle(e.Organisation)
		return QueueDecision{Refusal: Refuse(CodeDeadline, 0, "the deadline leaves no time to wait")}
	}
	var displaced *QueueEntry
	if q.waiting >= q.limits.MaxWaiting {
		longest := q.longestFlow()
		if longest == nil || float64(len(longest.waiting))/longest.weight <= float64(len(f.waiting)+1)/f.weight {
			q.removeIfIdle(e.Organisation)
			return QueueDecision{Refusal: q.OverloadRefusal()}
		}
		displaced = longest.waiting[len(longest.waiting)-1]
		q.Cancel(displaced)
	}
	q.assignTags(f, e)
	e.state = entryWaiting
	f.waiting = append(f.waiting, e)
	q.waiting++
	return QueueDecision{Displaced: displaced}
}

// assignTags sets the start tag of a request and the finish tag of its flow. An organisation that was idle starts at the
// current virtual time, so that it neither accumulates credit nor is charged for service that it did not use.
func (q *Queue) assignTags(f *flow, e *QueueEntry) {
	e.startTag = math.Max(q.virtualTime, f.finishTag)
	f.finishTag = e.startTag + 1/f.weight
}

func (q *Queue) run(e *QueueEntry, now time.Time) {
	e.state, e.startedAt = entryRunning, now
	q.running++
	q.flows[e.Organisation].running++
	q.virtualTime = math.Max(q.virtualTime, e.startTag)
}

// eligible reports whether a slot is available to an organisation.
func (q *Queue) eligible(f *flow) bool {
	if q.running < q.limits.MaxRunning-q.reservedSlots {
		return true
	}
	return q.running < q.limits.MaxRunning && float64(f.running) < q.slotShare(f)
}

// slotShare returns the number of slots that an organisation is entitled to, among the organisations that have running
// or waiting requests.
func (q *Queue) slotShare(f *flow) float64 {
	sum := 0.0
	for _, g := range q.flows {
		if g == f || g.running > 0 || len(g.waiting) > 0 {
			sum += g.weight
		}
	}
	return float64(q.limits.MaxRunning) * f.weight / sum
}

// Finish ends a running request and returns the waiting requests that run now. Requests that are not running are
// ignored.
func (q *Queue) Finish(e *QueueEntry, now time.Time) (started []*QueueEntry) {
	if e.state != entryRunning {
		return nil
	}
	e.state = entryEnded
	q.running--
	q.flows[e.Organisation].running--
	q.observeServiceTime(now.Sub(e.startedAt))
	for next := q.nextToRun(); next != nil; next = q.nextToRun() {
		f := q.flows[next.Organisation]
		f.waiting = f.waiting[1:]
		q.waiting--
		q.run(next, now)
		started = append(started, next)
	}
	q.removeIfIdle(e.Organisation)
	return started
}

// Cancel removes a waiting request. It reports false if the request is not waiting.
func (q *Queue) Cancel(e *QueueEntry) bool {
	if e.state != entryWaiting {
		return false
	}
	f := q.flows[e.Organisation]
	for i := len(f.waiting) - 1; i >= 0; i-- {
		if f.waiting[i] != e {
			continue
		}
		e.state = entryEnded
		// Later requests of the organisation move up, so that the cancelled request does not use up a turn.
		for _, later := range f.waiting[i+1:] {
			later.startTag -= 1 / f.weight
		}
		f.finishTag -= 1 / f.weight
		f.waiting = slices.Delete(f.waiting, i, i+1)
		q.waiting--
		q.removeIfIdle(e.Organisation)
		return true
	}
	return false
}

// OverloadRefusal returns a refusal whose retry delay is the expected time to run the waiting requests.
func (q *Queue) OverloadRefusal() *Refusal {
	retry := q.meanServiceTime * time.Duration(q.waiting+1) / time.Duration(max(q.limits.MaxRunning, 1))
	return Refuse(CodeOverloaded, max(retry, time.Millisecond), "the instance is overloaded: %d requests running, %d waiting", q.running, q.waiting)
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// nextToRun returns the eligible waiting request with the lowest start tag, the earlier arrival among equal ones, or
// nil if there is none.
func (q *Queue) nextToRun() *QueueEntry {
	var best *QueueEntry
	for _, f := range q.flows {
		if len(f.waiting) == 0 || !q.eligible(f) {
			continue
		}
		e := f.waiting[0]
		if best == nil || e.startTag < best.startTag || (e.startTag == best.startTag && e.arrivedAt.Before(best.arrivedAt)) {
			best = e
		}
	}
	return best
}

// longestFlow returns the flow with the most waiting requests relative to its weight, nil if none has any.
func (q *Queue) longestFlow() *flow {
	var longest *flow
	for _, f := range q.flows {
		if len(f.waiting) > 0 && (longest == nil || float64(len(f.waiting))/f.weight > float64(len(longest.waiting))/longest.weight) {
			longest = f
		}
	}
	return longest
}

// removeIfIdle removes the flow of an organisation that has no requests and whose finish tag the virtual time has
// passed.
func (q *Queue) removeIfIdle(organisation string) {
	if f := q.flows[organisation]; f != nil && len(f.waiting) == 0 && f.running == 0 && f.finishTag <= q.virtualTime {
		delete(q.flows, organisation)
	}
}

func (q *Queue) observeServiceTime(d time.Duration) {
	if q.meanServiceTime == 0 {
		q.meanServiceTime = d
		return
	}
	q.meanServiceTime += time.Duration(serviceTimeWeight * float64(d-q.meanServiceTime))
}
