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

	state   ticketState
	start   float64 // virtual start time
	arrived time.Time
	started time.Time
}

type ticketState int

const (
	ticketWaiting ticketState = iota + 1
	ticketRunning
	ticketGone
)

// Queue shares the running places of an instance between organisations by start-time fair queueing: each request
// gets a virtual start time, which rises by 1/weight from request to request of its organisation, and the lowest
// one is served next. Some places are kept for organisations below their share of the places, so that they need
// not wait until a request of another ends. It is not safe for concurrent use.
type Queue struct {
	limits  QueueLimits
	reserve int
	flows   map[string]*flow
	running int
	waiting int
	virtual float64
	service time.Duration // weighted mean of the time that requests run
}

// flow is what one organisation has in the queue.
type flow struct {
	waiting []*QueueEntry
	running int
	weight  float64
	finish  float64 // virtual finish time of its newest request
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

// serviceWeight is the part of one sample in the mean time that requests run.
const serviceWeight = 0.05

// reservePart is the part of the places, one in 8, that is kept for organisations below their share. Without it, a
// flood of requests that take 4 ms each moved another organisation's p99 by 42% at 64 places.
const reservePart = 8

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{limits: limits, reserve: limits.MaxRunning / reservePart, flows: map[string]*flow{}}
}

// Arrive takes a new request.
func (q *Queue) Arrive(t *QueueEntry, now time.Time) QueueDecision {
	t.arrived = now
	f := q.flows[t.Organisation]
	if f == nil {
		f = &flow{}
		q.flows[t.Organisation] = f
	}
	f.weight = t.Weight
	if q.eligible(f) && len(f.waiting) == 0 {
		q.tag(f, t)
		q.run(t, now)
		return QueueDecision{RunNow: true}
	}
	if limit := now.Add(q.limits.MaxWait); limit.Before(t.WaitUntil) {
		t.WaitUntil = limit
	}
	if !t.WaitUntil.After(now) {
		q.retire(t.Organisation)
		return QueueDecision{Refusal: Refuse(CodeDeadline, 0, "the deadline leaves no time to wait")}
	}
	var displaced *QueueEntry
	if q.waiting >= q.limits.MaxWaiting {
		worst := q.longest()
		if worst == nil || float64(len(worst.waiting))/worst.weight <= float64(len(f.waiting)+1)/f.weight {
			q.retire(t.Organisation)
			return QueueDecision{Refusal: q.OverloadRefusal()}
		}
		displaced = worst.waiting[len(worst.waiting)-1]
		q.Cancel(displaced)
	}
	q.tag(f, t)
	t.state = ticketWaiting
	f.waiting = append(f.waiting, t)
	q.waiting++
	return QueueDecision{Displaced: displaced}
}

// tag sets the virtual start time of a request. An organisation that was idle starts at the present virtual time,
// so it neither saves up service nor pays for what it did not use.
func (q *Queue) tag(f *flow, t *QueueEntry) {
	t.start = math.Max(q.virtual, f.finish)
	f.finish = t.start + 1/f.weight
}

func (q *Queue) run(t *QueueEntry, now time.Time) {
	t.state, t.started = ticketRunning, now
	q.running++
	q.flows[t.Organisation].running++
	q.virtual = math.Max(q.virtual, t.start)
}

// eligible reports whether an organisation may run one more request.
func (q *Queue) eligible(f *flow) bool {
	if q.running < q.limits.MaxRunning-q.reserve {
		return true
	}
	return q.running < q.limits.MaxRunning && float64(f.running) < q.share(f)
}

// share returns an organisation's part of the places among those that have requests here.
func (q *Queue) share(f *flow) float64 {
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
	if t.state != ticketRunning {
		return nil
	}
	t.state = ticketGone
	q.running--
	q.flows[t.Organisation].running--
	q.sample(now.Sub(t.started))
	for first := q.first(); first != nil; first = q.first() {
		f := q.flows[first.Organisation]
		f.waiting = f.waiting[1:]
		q.waiting--
		q.run(first, now)
		next = append(next, first)
	}
	q.retire(t.Organisation)
	return next
}

// Cancel takes a request out that stopped waiting. It reports false if the request was not waiting any more.
func (q *Queue) Cancel(t *QueueEntry) bool {
	if t.state != ticketWaiting {
		return false
	}
	f := q.flows[t.Organisation]
	for i := len(f.waiting) - 1; i >= 0; i-- {
		if f.waiting[i] != t {
			continue
		}
		t.state = ticketGone
		// Later requests of the organisation move up, so that a request that left costs it no turn.
		for _, later := range f.waiting[i+1:] {
			later.start -= 1 / f.weight
		}
		f.finish -= 1 / f.weight
		f.waiting = slices.Delete(f.waiting, i, i+1)
		q.waiting--
		q.retire(t.Organisation)
		return true
	}
	return false
}

// OverloadRefusal refuses a request. It names the time in which the waiting requests are expected to have run.
func (q *Queue) OverloadRefusal() *Refusal {
	retry := q.service * time.Duration(q.waiting+1) / time.Duration(max(q.limits.MaxRunning, 1))
	return Refuse(CodeOverloaded, max(retry, time.Millisecond), "%d requests run and %d wait", q.running, q.waiting)
}

// Running returns how many requests run.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// first returns the request that runs next, nil if none may.
func (q *Queue) first() *QueueEntry {
	var best *QueueEntry
	for _, f := range q.flows {
		if len(f.waiting) == 0 || !q.eligible(f) {
			continue
		}
		t := f.waiting[0]
		if best == nil || t.start < best.start || (t.start == best.start && t.arrived.Before(best.arrived)) {
			best = t
		}
	}
	return best
}

// longest returns the flow with the most waiting requests for its weight.
func (q *Queue) longest() *flow {
	var worst *flow
	for _, f := range q.flows {
		if len(f.waiting) > 0 && (worst == nil || float64(len(f.waiting))/f.weight > float64(len(worst.waiting))/worst.weight) {
			worst = f
		}
	}
	return worst
}

// retire forgets an organisation that has nothing waiting and no claim on the virtual time.
func (q *Queue) retire(organisation string) {
	if f := q.flows[organisation]; f != nil && len(f.waiting) == 0 && f.running == 0 && f.finish <= q.virtual {
		delete(q.flows, organisation)
	}
}

func (q *Queue) sample(d time.Duration) {
	if q.service == 0 {
		q.service = d
		return
	}
	q.service += time.Duration(serviceWeight * float64(d-q.service))
}
