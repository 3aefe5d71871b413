package traffic

import (
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/caller"
)

// The retry delays that refusals recommend to callers.
const (
	// notConfiguredRetry is about the time in which an instance receives the routing after its start.
	notConfiguredRetry = 300 * time.Millisecond
	// noTargetRetry is about the time in which a target recovers or its replacement becomes known.
	noTargetRetry = 250 * time.Millisecond
	// unreachableRetry is short because another instance may be able to reach the targets.
	unreachableRetry = 50 * time.Millisecond
	// isolatedRetry gives the load balancer time to direct callers away from an isolated instance. Callers that retry
	// sooner would reach an instance of the same zone.
	isolatedRetry = time.Second
	// targetsFullRetry is about the time in which the full queue of a target drains.
	targetsFullRetry = 100 * time.Millisecond
)

func refuse(r *caller.Refusal) ForwardResult { return ForwardResult{Refusal: r} }

// notConfigured is the refusal of every request before the first routing.
func notConfigured() *caller.Refusal {
	return caller.Refuse(caller.CodeNotConfigured, notConfiguredRetry, "the instance has not received a routing yet")
}

// noRoute is the refusal of a request that no route matches.
func noRoute() *caller.Refusal {
	return caller.Refuse(caller.CodeUnknownService, 0, "no route matches the host and path")
}

// rateRefusal is the refusal of a request beyond the rate of its organisation.
func rateRefusal(retryAfter time.Duration) *caller.Refusal {
	return caller.Refuse(caller.CodeRateLimited, retryAfter, "the organisation exceeds its rate")
}

// unreachableProbeFraction is the fraction of the requests that are sent although too few services have a responsive
// target, so that a recovery is detected.
const unreachableProbeFraction = 0.1

// shouldFailFast reports whether a request is refused immediately because too few of its services have a responsive
// target.
func (d *dispatchRun) shouldFailFast(services []string, now time.Time) bool {
	// An isolated instance sends no probes: messages of its siblings show when the isolation ends.
	probe := d.snapshot.Ready && rand.Float64() < unreachableProbeFraction
	return d.lacksReachable(services, now) && !probe
}

// unreachableRefusal is the refusal of a request for which shouldFailFast reports true.
func (d *dispatchRun) unreachableRefusal() *caller.Refusal {
	retry := unreachableRetry
	if !d.snapshot.Ready {
		retry = isolatedRetry
	}
	return caller.Refuse(caller.CodeNoTarget, retry, "too many services have no target that replies to requests")
}

// lacksReachable reports whether too few of the services have a responsive target.
func (d *dispatchRun) lacksReachable(services []string, now time.Time) bool {
	required := 1.0
	if d.route.Sharded() {
		required = d.route.MinCoverage
	}
	return d.snapshot.ReachableFraction(services, now) < required
}

// restRefusalSpread is the fraction of the rest of targets by which the retry delay of a refusal is prolonged at most, so
// that callers do not return in the same instant.
const restRefusalSpread = 0.25

// refusal returns the refusal of a request without an answer. restLeft is the time until enough targets have rested, 0 if
// rest is not the reason.
func (d *dispatchRun) refusal(mayHaveRun bool, restLeft time.Duration) ForwardResult {
	late := !time.Now().Before(d.deadline)
	r := &caller.Refusal{Ran: caller.RanNo, Code: caller.CodeNoTarget, RetryAfter: noTargetRetry, Message: "no target accepted the request"}
	switch {
	case mayHaveRun && late:
		r = &caller.Refusal{Ran: caller.RanUnknown, Code: caller.CodeDeadline, Message: "no answer before the deadline"}
	case mayHaveRun:
		r = &caller.Refusal{Ran: caller.RanUnknown, Code: caller.CodeOutcomeUnknown, Message: "the targets failed or did not reply"}
	case restLeft > 0:
		r.Code, r.Message = caller.CodeOverloaded, "the targets asked for a rest"
		r.RetryAfter = restLeft + time.Duration(restRefusalSpread*rand.Float64()*float64(restLeft))
	case d.bodyRefused:
		r = bodyRefusal()
	case d.anyNotRun:
		r.Code, r.RetryAfter, r.Message = caller.CodeOverloaded, targetsFullRetry, "all targets are at capacity"
	}
	return ForwardResult{Refusal: r}
}
