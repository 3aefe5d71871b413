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

// Recorder receives the records of completed requests. Record must not block.
type Recorder interface{ Record(*Record) }

// discard is the default recorder, which drops all records.
type discard struct{}

func (discard) Record(*Record) {}

// Record describes the processing of a request: the configuration that it was decided on, each attempt to send it and
// the outcome. It contains neither keys nor bodies.
type Record struct {
	ID       string
	Received time.Time
	Duration time.Duration
	// Route is the name of the route or, for requests to the QueryTier, of the service.
	Route        string
	Organisation string
	// ConfigVersion is the version of the routing or document, PlatformRevision the revision of the platform's values or
	// instance list that the request was decided on.
	ConfigVersion, PlatformRevision document.Revision
	// RoutingAge is the time since this instance adopted the routing.
	RoutingAge time.Duration
	// Parts is the number of parts of a complete answer, Covered the number of parts in the actual answer.
	Parts, Covered int
	// Outcome is OutcomeOK, OutcomeFailed, OutcomeCallerCancelled, OutcomeDeclined or the code of the refusal.
	Outcome string
	// Status is the HTTP status of the target's reply, 0 for a gathered answer or a refusal.
	Status int
	// Message is the message of the refusal.
	Message string
	// RetryAfter is the retry delay in the refusal.
	RetryAfter time.Duration
	Attempts   []AttemptRecord
	// ForSibling is set if the parts were gathered for a sibling, which has the record of the whole request.
	ForSibling bool
	// Urgency is the rank of the request's priority.
	Urgency document.Urgency
	// Objective is the latency objective of the request, Planned the time after its arrival at which a gathered answer was planned
	// to leave; both are 0 if the request was refused before.
	Objective, Planned time.Duration
	// Admission is what the admission decided and on what figures; it is nil where all requests have one priority, and each is
	// admitted.
	Admission *AdmissionRecord
	// OwnerChanges lists the owners of groups that did not gather their group.
	OwnerChanges []OwnerChange
	// PlaceWait is the mean time that the parts waited for places at targets.
	PlaceWait time.Duration
	// Wait is what the answer waited for last.
	Wait Wait
}

// AdmissionRecord is a decision of the admission.
type AdmissionRecord struct {
	// Reason is empty if the request was admitted.
	Reason caller.AdmissionReason
	// Expected is the expected time until enough parts are there, TimeLeft the time that was left, and SendDelay how late the sends
	// would start.
	Expected, TimeLeft, SendDelay time.Duration
	// Cut is the fraction of the usual rate of the priority that was refused when the request was.
	Cut float64
}

// OwnerChange tells why an owner did not gather a group of shards, and which instance was asked instead.
type OwnerChange struct {
	// Group is the index of the group.
	Group int
	Owner string
	Cause string
	// Next is the instance that was asked next; it is this instance if it gathered the group itself, and empty if none was asked.
	Next string
}

// WaitCause is the event that ended the wait for an answer.
type WaitCause string

// The events that end the wait for an answer.
const (
	// WaitSend is the end of a send to a target, WaitGroup what a group of shards brought.
	WaitSend  WaitCause = "send"
	WaitGroup WaitCause = "group"
	// WaitPlanned is the planned time of a gathered answer. WaitUnlikely means that no missing part was likely to arrive by then.
	WaitPlanned  WaitCause = "planned time"
	WaitUnlikely WaitCause = "no further part likely in time"
	WaitDeadline WaitCause = "deadline"
	WaitStop     WaitCause = "end of the process"
)

// Wait describes what an answer or a refusal waited for last.
type Wait struct {
	// Cause is empty if the request was not sent.
	Cause WaitCause
	// Service and Target are those of the send. For a group, Target is the instance that gathered it, and Service is empty.
	Service, Target string
	// Group is the index of the group if Cause is WaitGroup.
	Group int
	// Time is how long the event came after the arrival before it.
	Time time.Duration
	// Open names the first few of the OpenCount sends or groups that had not ended.
	Open      []string
	OpenCount int
}

// maxOpenNames bounds the sends or groups that a Wait names.
const maxOpenNames = 4

// addOpen adds a send or group that had not ended.
func (w *Wait) addOpen(name func() string) {
	if w.OpenCount++; w.OpenCount <= maxOpenNames {
		w.Open = append(w.Open, name())
	}
}

// AttemptRecord describes one attempt to send a request to a target or, for a change, to its home instance.
type AttemptRecord struct {
	// Attempt is the number of the attempt within the request.
	Attempt int
	Service string
	// Target is the ID of the target or of the home instance.
	Target string
	// Hedge reports that the attempt was sent while an earlier one was still running.
	Hedge bool
	// SentAfter and EndedAfter count from the arrival of the request.
	SentAfter  time.Duration
	EndedAfter time.Duration
	// ExpectedLatency is the mean latency of the target when the attempt was sent. Avoided reports that other targets
	// would have been preferred to this one at that time.
	ExpectedLatency time.Duration
	Avoided         bool
	Outcome         string
	// Reason describes the cause of the outcome.
	Reason   string
	finished bool
}

// The outcomes of records, in addition to the codes of refusals.
const (
	OutcomeOK = "ok"
	// OutcomeFailed means that a failure reply of a target was passed on to the caller.
	OutcomeFailed = "failed"
	// OutcomeCallerCancelled means that the caller disconnected before the answer was complete.
	OutcomeCallerCancelled = "left"
	// OutcomeDeclined means that this instance declined to gather parts for a sibling.
	OutcomeDeclined = "declined"
)

// outcomeCancelled is the outcome of an attempt that was cancelled because its reply is no longer needed.
const outcomeCancelled = "cancelled"

// cancelledOutcome represents outcomeCancelled where attempts end with an outcome of package targets.
const cancelledOutcome = targets.LegOutcome(-1)

// startSend records an attempt of a forwarded request that is sent now.
func (r *Record) startSend(s targets.Send, now time.Time) {
	r.startAttempt(AttemptRecord{Attempt: s.Attempt, Service: s.Target.Service, Hedge: s.Hedge}, s.Target, now)
}

// startAttempt records an attempt that is sent to a target now.
func (r *Record) startAttempt(a AttemptRecord, t *targets.Target, now time.Time) {
	a.Target, a.SentAfter, a.ExpectedLatency, a.Avoided = t.ID, now.Sub(r.Received), t.Stats.Latency(), t.Stats.Avoided(now)
	r.Attempts = append(r.Attempts, a)
}

// endWithOutcome is like endAttempt for an outcome of package targets.
func (r *Record) endWithOutcome(attempt int, o targets.LegOutcome, reason string, now time.Time) {
	outcome := outcomeCancelled
	if o != cancelledOutcome {
		outcome = o.String()
	}
	r.endAttempt(attempt, outcome, reason, now)
}

// endAttempt records the end of an attempt. It ignores attempts that have already ended.
func (r *Record) endAttempt(attempt int, outcome, reason string, now time.Time) {
	if a := r.attempt(attempt); a != nil && !a.finished {
		a.end(outcome, reason, now.Sub(r.Received))
	}
}

// attempt returns the record of an attempt, nil if there is none. It is valid until the next attempt starts.
func (r *Record) attempt(attempt int) *AttemptRecord {
	i := attempt - 1 // most attempts are numbered from 1 in the order in which they were sent
	if i < 0 || i >= len(r.Attempts) || r.Attempts[i].Attempt != attempt {
		i = slices.IndexFunc(r.Attempts, func(a AttemptRecord) bool { return a.Attempt == attempt })
	}
	if i < 0 {
		return nil
	}
	return &r.Attempts[i]
}

func (a *AttemptRecord) end(outcome, reason string, endedAfter time.Duration) {
	a.EndedAfter, a.Outcome, a.Reason, a.finished = endedAfter, outcome, reason, true
}

// completeForwarded completes the record of a forwarded request.
func (r *Record) completeForwarded(result ForwardResult, cancelled bool, now time.Time) {
	r.complete(result.Refusal, cancelled, now)
	if result.Reply != nil && !cancelled {
		r.Status = result.Reply.Status
		if result.Reply.Status >= 500 {
			r.Outcome = OutcomeFailed
		}
	}
}

// complete sets the outcome of the request. refusal is nil if the request was answered; cancelled reports that the caller
// disconnected. Attempts that are still running are recorded as cancelled.
func (r *Record) complete(refusal *caller.Refusal, cancelled bool, now time.Time) {
	r.Duration = now.Sub(r.Received)
	for i := range r.Attempts {
		if a := &r.Attempts[i]; !a.finished {
			a.end(outcomeCancelled, "", r.Duration)
		}
	}
	switch {
	case cancelled:
		r.Outcome = OutcomeCallerCancelled
	case refusal != nil:
		r.Outcome, r.Message, r.RetryAfter = string(refusal.Code), refusal.Message, refusal.RetryAfter
	default:
		r.Outcome = OutcomeOK
	}
}

// setOrganisation sets the organisation of an admitted request.
func (r *Record) setOrganisation(a admission) { r.Organisation = a.organisation.Name }

// Sent records an attempt of a query that is sent now.
func (r *Record) Sent(a targets.Leg, now time.Time) {
	r.startAttempt(AttemptRecord{Attempt: a.Attempt, Service: r.Route + "/" + string(a.Shard)}, a.Target, now)
}

// Ended records the end of an attempt of a query. reason is empty if the target replied.
func (r *Record) Ended(attempt int, reason targets.Reason, now time.Time) {
	outcome := targets.LegReplied
	if reason != "" {
		outcome = targets.LegFailed
	}
	r.endWithOutcome(attempt, outcome, string(reason), now)
}

// The outcomes of forwarding a change to its home instance.
const (
	forwardReplied = "replied"
	forwardMoved   = "moved"
	forwardUnknown = "unknown"
)

// homeServiceName is the service name in the record of an attempt to forward a change to its home instance.
const homeServiceName = "home"

// startForward records that a change is sent to its home instance now and returns the number of the attempt.
func (r *Record) startForward(home string, now time.Time) int {
	attempt := len(r.Attempts) + 1
	r.Attempts = append(r.Attempts, AttemptRecord{Attempt: attempt, Service: homeServiceName, Target: home, SentAfter: now.Sub(r.Received)})
	return attempt
}

// endForward records the reply of the home instance or the error of the attempt.
func (r *Record) endForward(attempt int, reply sibling.ChangeReply, err error, now time.Time) {
	outcome := forwardReplied
	switch {
	case errors.Is(err, sibling.ErrNotSent), err == nil && reply.Moved:
		outcome = forwardMoved
	case err != nil:
		outcome = forwardUnknown
	}
	r.endAttempt(attempt, outcome, reasonOf(err), now)
}

// changeSendOutcome returns the outcome of an attempt to send a change to a target, from its error.
func changeSendOutcome(err error) string {
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

// reasonOf returns the text of an error, "" if it is nil.
func reasonOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
