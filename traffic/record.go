package traffic

import (
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/targets"
)

// Recorder takes the records of requests. Record must not block.
type Recorder interface{ Record(*Record) }

// Record says how a request went: each decision, the versions it was made on and the outcome. It holds no key and
// no body.
type Record struct {
	ID           string
	Received     time.Time
	Took         time.Duration
	Route        string
	Organisation string
	// Version is that of the routing, Revision that of the platform's values in use.
	Version, Revision document.Revision
	// RoutingAge is how long ago the routing came into force at this instance.
	RoutingAge time.Duration
	// Parts is how many parts the answer has when it is complete, Covered how many were in.
	Parts, Covered int
	// Outcome is "ok", "failed" for a failure of a target that was passed on, "left" if the caller left, or the code
	// of the refusal.
	Outcome string
	// Status is that of the target's reply, 0 for a gathered answer or a refusal.
	Status  int
	Message string
	// RetryAfter is what a refused caller was told.
	RetryAfter time.Duration
	Legs       []LegRecord
}

// LegRecord is one send of a request. Times count from the arrival of the request.
type LegRecord struct {
	Attempt int
	Service string
	Target  string
	Hedge   bool
	Sent    time.Duration
	Ended   time.Duration
	// Usual is the latency that the target was expected to have, Avoided that others would have been preferred.
	Usual    time.Duration
	Avoided  bool
	Outcome  string
	Reason   string
	finished bool
}

// Outcomes of records besides the codes of refusals.
const (
	OutcomeOK     = "ok"
	OutcomeFailed = "failed"
	OutcomeLeft   = "left"
)

// cancelledLeg is the outcome of a send whose reply is not needed any more.
const cancelledLeg = targets.LegOutcome(-1)

func (r *Record) send(s targets.Send, now time.Time) {
	r.Legs = append(r.Legs, LegRecord{
		Attempt: s.Attempt, Service: s.Target.Service, Target: s.Target.ID, Hedge: s.Hedge, Sent: now.Sub(r.Received),
		Usual: s.Target.Gauge.Latency(), Avoided: s.Target.Gauge.Avoided(now),
	})
}

func (r *Record) end(attempt int, o targets.LegOutcome, reason string, now time.Time) {
	for i := range r.Legs {
		l := &r.Legs[i]
		if l.Attempt != attempt || l.finished {
			continue
		}
		l.Ended, l.Reason, l.finished = now.Sub(r.Received), reason, true
		l.Outcome = "cancelled"
		if o != cancelledLeg {
			l.Outcome = o.String()
		}
		return
	}
}

func (r *Record) finish(d Delivered, left bool, now time.Time) {
	r.Took = now.Sub(r.Received)
	switch {
	case left:
		r.Outcome = OutcomeLeft
	case d.Refusal != nil:
		r.Outcome, r.Message, r.RetryAfter = string(d.Refusal.Code), d.Refusal.Message, d.Refusal.RetryAfter
	case d.Gathered != nil:
		r.Outcome = OutcomeOK
	default:
		r.Outcome, r.Status = OutcomeOK, d.Reply.Status
		if d.Reply.Status >= 500 {
			r.Outcome = OutcomeFailed
		}
	}
}
