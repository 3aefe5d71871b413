package traffic

import (
	"errors"
	"slices"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// Recorder takes the records of requests. Record must not block.
type Recorder interface{ Record(*Record) }

// discard is the recorder of a tier that was given none.
type discard struct{}

func (discard) Record(*Record) {}

// Record says how a request went: each decision, the versions it was made on and the outcome. It holds no key and
// no body.
type Record struct {
	ID       string
	Received time.Time
	Duration time.Duration
	// Route is the route or, at the product's own interface, the service.
	Route        string
	Organisation string
	// ConfigVersion is that of the routing or document, PlatformRevision that of the platform's values or instance list in use.
	ConfigVersion, PlatformRevision document.Revision
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
	Attempts   []AttemptRecord
}

// AttemptRecord is one send of a request. Times count from the arrival of the request.
type AttemptRecord struct {
	Attempt    int
	Service    string
	Target     string
	Hedge      bool
	SentAfter  time.Duration
	EndedAfter time.Duration
	// ExpectedLatency is the latency that the target was expected to have, Avoided that others would have been preferred.
	ExpectedLatency time.Duration
	Avoided         bool
	Outcome         string
	Reason          string
	finished        bool
}

// Outcomes of records besides the codes of refusals.
const (
	OutcomeOK              = "ok"
	OutcomeFailed          = "failed"
	OutcomeCallerCancelled = "left"
)

// outcomeCancelled is the outcome of a send whose reply is not needed any more.
const outcomeCancelled = "cancelled"

// cancelledOutcome stands for it where sends end with an outcome of the targets' package.
const cancelledOutcome = targets.LegOutcome(-1)

func (r *Record) send(s targets.Send, now time.Time) {
	r.open(AttemptRecord{Attempt: s.Attempt, Service: s.Target.Service, Hedge: s.Hedge}, s.Target, now)
}

// open notes a send to a target that leaves now.
func (r *Record) open(l AttemptRecord, t *targets.Target, now time.Time) {
	l.Target, l.SentAfter, l.ExpectedLatency, l.Avoided = t.ID, now.Sub(r.Received), t.Stats.Latency(), t.Stats.Avoided(now)
	r.Attempts = append(r.Attempts, l)
}

func (r *Record) end(attempt int, o targets.LegOutcome, reason string, now time.Time) {
	outcome := outcomeCancelled
	if o != cancelledOutcome {
		outcome = o.String()
	}
	r.close(attempt, outcome, reason, now)
}

// close notes how a send ended. One that has ended before stays as it is.
func (r *Record) close(attempt int, outcome, reason string, now time.Time) {
	i := attempt - 1 // attempts are mostly counted from 1 in the order of their sends
	if i < 0 || i >= len(r.Attempts) || r.Attempts[i].Attempt != attempt {
		i = slices.IndexFunc(r.Attempts, func(l AttemptRecord) bool { return l.Attempt == attempt })
	}
	if i >= 0 && !r.Attempts[i].finished {
		r.Attempts[i].finish(outcome, reason, now.Sub(r.Received))
	}
}

func (l *AttemptRecord) finish(outcome, reason string, at time.Duration) {
	l.EndedAfter, l.Outcome, l.Reason, l.finished = at, outcome, reason, true
}

func (r *Record) finish(d ForwardResult, left bool, now time.Time) {
	r.settle(d.Refusal, left, now)
	if d.Reply != nil && !left {
		r.Status = d.Reply.Status
		if d.Reply.Status >= 500 {
			r.Outcome = OutcomeFailed
		}
	}
}

// settle notes the outcome, a refusal unless it is nil. Sends that are open still are not awaited any more.
func (r *Record) settle(refusal *caller.Refusal, left bool, now time.Time) {
	r.Duration = now.Sub(r.Received)
	for i := range r.Attempts {
		if l := &r.Attempts[i]; !l.finished {
			l.finish(outcomeCancelled, "", r.Duration)
		}
	}
	switch {
	case left:
		r.Outcome = OutcomeCallerCancelled
	case refusal != nil:
		r.Outcome, r.Message, r.RetryAfter = string(refusal.Code), refusal.Message, refusal.RetryAfter
	default:
		r.Outcome = OutcomeOK
	}
}

// admitted notes whom the request runs for.
func (r *Record) admitted(a admission) { r.Organisation = a.organisation.Name }

// Sent notes a leg of a query.
func (r *Record) Sent(l targets.Leg, now time.Time) {
	r.open(AttemptRecord{Attempt: l.Attempt, Service: r.Route + "/" + string(l.Shard)}, l.Target, now)
}

// Ended notes how a leg of a query ended, without a reason if it was replied to.
func (r *Record) Ended(attempt int, reason targets.Reason, now time.Time) {
	outcome := targets.LegReplied
	if reason != "" {
		outcome = targets.LegFailed
	}
	r.end(attempt, outcome, string(reason), now)
}

// The outcomes of forwarding a change to its home instance.
const (
	forwardReplied = "replied"
	forwardMoved   = "moved"
	forwardUnknown = "unknown"
)

// homeService is the service of a send to the home instance of a change.
const homeService = "home"

// forward notes that a change leaves for its home instance, and returns the attempt.
func (r *Record) forward(home string, now time.Time) int {
	attempt := len(r.Attempts) + 1
	r.Attempts = append(r.Attempts, AttemptRecord{Attempt: attempt, Service: homeService, Target: home, SentAfter: now.Sub(r.Received)})
	return attempt
}

// forwarded notes what the home instance said.
func (r *Record) forwarded(attempt int, reply sibling.ChangeReply, err error, now time.Time) {
	outcome := forwardReplied
	switch {
	case errors.Is(err, sibling.ErrNotSent), err == nil && reply.Moved:
		outcome = forwardMoved
	case err != nil:
		outcome = forwardUnknown
	}
	r.close(attempt, outcome, reasonOf(err), now)
}

// changeOutcome returns the outcome of the send of a change to a target.
func changeOutcome(err error) string {
	switch {
	case err == nil:
		return targets.LegReplied.String()
	case errors.Is(err, targets.ErrShed):
		return targets.LegNotRun.String()
	case errors.Is(err, targets.ErrNotSent):
		return targets.LegNotSent.String()
	}
	return targets.LegNoReply.String()
}

func reasonOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
