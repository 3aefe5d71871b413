package caller

import (
	"math"
	"slices"
	"time"
)

// QueueLimits bounds the work of one instance.
type QueueLimits struct {
	// MaxRunning is how many requests run at a time.
	MaxRunning int
	// MaxWaiting is how many requests wait, of all organisations together.
	MaxWaiting int
	// MaxWait is how long a request waits at most.
	MaxWait time.Duration
}

// QueueEntry is one request in a Queue.
type QueueEntry struct {
	// Organisation is the name of the organisation that the request runs for.
	Organisation string
	// Weight is the organisation's part of the work, relative to the others.
	Weight float64
	// WaitUntil is when the request stops waiting; Arrive lowers it to the limit.
	WaitUntil time.Time

	state     entryState
	startTag  float64 // virtual start time
	arrivedAt time.Time
	startedAt time.Time
}

type entryState int

const (
	entryWaiting entryState = iota + 1
	entryRunning
	entryEnded
)

// Queue shares the running places of an instance between organisations by start-time fair queueing: each request
// gets a virtual start time, which rises by 1/weight from request to request of its organisation, and the lowest
// one is served next. Some places are kept for organisations below their share of the places, so that they need
// not wait until a request of another ends. It is not safe for concurrent use.
type Queue struct {
	limits          QueueLimits
	reservedSlots   int
	flows           map[string]*flow
	running         int
	waiting         int
	virtualTime     float64
	meanServiceTime time.Duration // weighted mean of the time that requests run
}

// flow is what one organisation has in the queue.
type flow struct {
	waiting   []*QueueEntry
	running   int
	weight    float64
	finishTag float64 // virtual finish time of its newest request
}

// QueueDecision says what becomes of an arriving request.
type QueueDecision struct {
	// RunNow says that the request runs now. It must be ended with Finish.
	RunNow bool
	// Refusal is set if the request may neither run nor wait.
	Refusal *Refusal
	// Displaced is a waiting request that must be refused with Overloaded, to make room for this one.
	Displaced *QueueEntry
}

// serviceTimeWeight is the part of one sample in the mean time that requests run.
const serviceTimeWeight = 0.05

// reservedDivisor is the part of the places, one in 8, that is kept for organisations below their share. Without it, a
// flood of requests that take 4 ms each moved another organisation's p99 by 42% at 64 places.
const reservedDivisor = 8

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{limits: limits, reservedSlots: limits.MaxRunning / reservedDivisor, flows: map[string]*flow{}}
}

// Arrive takes a new request.
func (q *Queue) Arrive(t *QueueEntry, now time.Time) QueueDecision {
	t.arrivedAt = now
	f := q.flows[t.Organisation]
	if f == nil {
		f = &flow{}
		q.flows[t.Organisation] = f
	}
	f.weight = t.Weight
	if q.eligible(f) && len(f.waiting) == 0 {
		q.assignTags(f, t)
		q.run(t, now)
		return QueueDecision{RunNow: true}
	}
	if limit := now.Add(q.limits.MaxWait); limit.Before(t.WaitUntil) {
		t.WaitUntil = limit
	}
	if !t.WaitUntil.After(now) {
		q.removeIfIdle(t.Organisation)
		return QueueDecision{Refusal: Refuse(CodeDeadline, 0, "the deadline leaves no time to wait")}
	}
	var displaced *QueueEntry
	if q.waiting >= q.limits.MaxWaiting {
		worst := q.longestFlow()
		if worst == nil || float64(len(worst.waiting))/worst.weight <= float64(len(f.waiting)+1)/f.weight {
			q.removeIfIdle(t.Organisation)
			return QueueDecision{Refusal: q.OverloadRefusal()}
		}
		displaced = worst.waiting[len(worst.waiting)-1]
		q.Cancel(displaced)
	}
	q.assignTags(f, t)
	t.state = entryWaiting
	f.waiting = append(f.waiting, t)
	q.waiting++
	return QueueDecision{Displaced: displaced}
}

// assignTags sets the virtual start time of a request. An organisation that was idle starts at the present virtual time,
// so it neither saves up service nor pays for what it did not use.
func (q *Queue) assignTags(f *flow, t *QueueEntry) {
	t.startTag = math.Max(q.virtualTime, f.finishTag)
	f.finishTag = t.startTag + 1/f.weight
}

func (q *Queue) run(t *QueueEntry, now time.Time) {
	t.state, t.startedAt = entryRunning, now
	q.running++
	q.flows[t.Organisation].running++
	q.virtualTime = math.Max(q.virtualTime, t.startTag)
}

// eligible reports whether an organisation may run one more request.
func (q *Queue) eligible(f *flow) bool {
	if q.running < q.limits.MaxRunning-q.reservedSlots {
		return true
	}
	return q.running < q.limits.MaxRunning && float64(f.running) < q.slotShare(f)
}

// slotShare returns an organisation's part of the places among those that have requests here.
func (q *Queue) slotShare(f *flow) float64 {
	sum := 0.0
	for _, g := range q.flows {
		if g == f || g.running > 0 || len(g.waiting) > 0 {
			sum += g.weight
		}
	}
	return float64(q.limits.MaxRunning) * f.weight / sum
}

// Finish ends a running request and returns those that run next.
func (q *Queue) Finish(t *QueueEntry, now time.Time) (next []*QueueEntry) {
	if t.state != entryRunning {
		return nil
	}
	t.state = entryEnded
	q.running--
	q.flows[t.Organisation].running--
	q.observeServiceTime(now.Sub(t.startedAt))
	for first := q.nextToRun(); first != nil; first = q.nextToRun() {
		f := q.flows[first.Organisation]
		f.waiting = f.waiting[1:]
		q.waiting--
		q.run(first, now)
		next = append(next, first)
	}
	q.removeIfIdle(t.Organisation)
	return next
}

// Cancel takes a request out that stopped waiting. It reports false if the request was not waiting any more.
func (q *Queue) Cancel(t *QueueEntry) bool {
	if t.state != entryWaiting {
		return false
	}
	f := q.flows[t.Organisation]
	for i := len(f.waiting) - 1; i >= 0; i-- {
		if f.waiting[i] != t {
			continue
		}
		t.state = entryEnded
		// Later requests of the organisation move up, so that a request that left costs it no turn.
		for _, later := range f.waiting[i+1:] {
			later.startTag -= 1 / f.weight
		}
		f.finishTag -= 1 / f.weight
		f.waiting = slices.Delete(f.waiting, i, i+1)
		q.waiting--
		q.removeIfIdle(t.Organisation)
		return true
	}
	return false
}

// OverloadRefusal refuses a request. It names the time in which the waiting requests are expected to have run.
func (q *Queue) OverloadRefusal() *Refusal {
	retry := q.meanServiceTime * time.Duration(q.waiting+1) / time.Duration(max(q.limits.MaxRunning, 1))
	return Refuse(CodeOverloaded, max(retry, time.Millisecond), "%d requests run and %d wait", q.running, q.waiting)
}

// Running returns how many requests run.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// nextToRun returns the request that runs next, nil if none may.
func (q *Queue) nextToRun() *QueueEntry {
	var best *QueueEntry
	for _, f := range q.flows {
		if len(f.waiting) == 0 || !q.eligible(f) {
			continue
		}
		t := f.waiting[0]
		if best == nil || t.startTag < best.startTag || (t.startTag == best.startTag && t.arrivedAt.Before(best.arrivedAt)) {
			best = t
		}
	}
	return best
}

// longestFlow returns the flow with the most waiting requests for its weight.
func (q *Queue) longestFlow() *flow {
	var worst *flow
	for _, f := range q.flows {
		if len(f.waiting) > 0 && (worst == nil || float64(len(f.waiting))/f.weight > float64(len(worst.waiting))/worst.weight) {
			worst = f
		}
	}
	return worst
}

// removeIfIdle forgets an organisation that has nothing waiting and no claim on the virtual time.
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
