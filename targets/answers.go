package targets

import (
	"slices"
	"time"
)

// answered reports whether the dispatch can end: nothing is pending, the coverage suffices and no further part is worth
// waiting for, or the coverage cannot be reached any more.
func (d *Dispatch) answered(now time.Time, ready *DispatchReady) bool {
	replied, pending, reachable, probing := 0, 0, 0, 0
	for i := range d.parts {
		switch p := &d.parts[i]; {
		case p.replyAttempt != 0:
			replied++
		case !p.done:
			pending++
			if !d.allUnreachable(p, now) {
				reachable++
			} else if until := p.probeDeadline(); now.Before(until) {
				probing++
				ready.wakeAt(until)
			}
		}
	}
	if pending == 0 {
		return true
	}
	switch {
	case !d.Gather:
		return false
	case d.Group:
		if reachable+probing == 0 || len(d.parts)-replied-reachable-probing > d.MaxMissing {
			return true
		}
		switch {
		case pending > d.MaxMissing && now.Before(d.SoftDeadline):
			ready.wakeAt(d.SoftDeadline) // the answer needs more than what has arrived
		case !d.partial && d.worthWaiting(reachable, now, ready) || d.partial && replied == d.passedOn:
		case now.Before(d.nextPartial):
			ready.wakeAt(d.nextPartial)
		default:
			d.partial, d.passedOn, ready.Partial = true, replied, true
			d.nextPartial = now.Add(passOnInterval)
		}
		return false
	case !d.EnoughParts(replied + reachable + probing):
		return true // the required coverage cannot be reached any more
	case !d.EnoughParts(replied):
		return false
	}
	return !d.worthWaiting(reachable, now, ready)
}

// worthWaiting reports whether an open part may be expected by SoftDeadline, and if so sets when to ask again. reachable is
// the number of open parts that may arrive at all.
func (d *Dispatch) worthWaiting(reachable int, now time.Time, ready *DispatchReady) bool {
	switch {
	case reachable == 0 || !now.Before(d.SoftDeadline):
		return false
	case d.FirstArrivals == nil:
		ready.wakeAt(d.SoftDeadline)
		return true
	case !d.expects(max(d.LateRisk*float64(len(d.parts))/partWorth, minExpectedParts), now):
		return false
	}
	ready.wakeAt(now.Add(max(d.SoftDeadline.Sub(now)/recheckDivisor, minRecheckInterval)))
	ready.wakeAt(d.SoftDeadline)
	return true
}

const (
	// An answer waits as long as the parts that are expected are worth more than what the wait may cost: LateRisk times the
	// whole answer. partWorth is the worth of a part relative to its fraction of the answer; it is above 1, since the one record
	// that matters may be in the part that is missing.
	partWorth = 2.0
	// minExpectedParts is the number of expected parts below which an answer does not wait even without a risk.
	minExpectedParts = 0.05
	// While an answer waits for parts, it is considered again after 1/recheckDivisor of the time that is left, but not
	// sooner than minRecheckInterval, since each wake-up costs processor time, and at SoftDeadline.
	recheckDivisor = 6
	// passOnInterval is the least time between two messages with parts of a group. If all parts are late, a message for each
	// would cost the asking instance as much processor time as its own sends.
	passOnInterval     = 10 * time.Millisecond
	minRecheckInterval = 2 * time.Millisecond
)

// expects reports whether at least the given number of the open parts is expected to arrive by SoftDeadline.
func (d *Dispatch) expects(parts float64, now time.Time) bool {
	sum := 0.0
	for i := range d.parts {
		if p := &d.parts[i]; !p.done && !d.allUnreachable(p, now) {
			if sum += d.chance(p, now); sum >= parts {
				return true
			}
		}
	}
	return false
}

// chance returns the probability that an open part arrives by SoftDeadline: by one of its open sends, or by the retry or
// hedge that is due before then.
func (d *Dispatch) chance(p *dispatchPart, now time.Time) float64 {
	missing := 1.0
	for _, o := range p.openSends {
		arrivals := d.FirstArrivals
		if o.extra {
			arrivals = d.ExtraArrivals
		}
		missing *= 1 - arrivals.Chance(now.Sub(o.sentAt), d.SoftDeadline.Sub(now))
	}
	next := p.retryAt
	if len(p.openSends) > 0 {
		next = p.hedgeAt
	}
	if len(p.openSends) < 2 && !p.extraDenied && next.Before(d.SoftDeadline) {
		if next.Before(now) {
			next = now
		}
		missing *= 1 - d.ExtraArrivals.Chance(0, d.SoftDeadline.Sub(next))
	}
	return 1 - missing
}

// allUnreachable reports whether a part has open sends and all of them are to unreachable targets.
func (d *Dispatch) allUnreachable(p *dispatchPart, now time.Time) bool {
	return len(p.openSends) > 0 && !slices.ContainsFunc(p.openSends, func(o openSend) bool { return !o.target.Stats.Unreachable(now) })
}

// probeDeadline returns until when a reply to the open sends may be expected although their targets count as
// unreachable. The targets may have recovered, which only a send can show.
func (p *dispatchPart) probeDeadline() time.Time {
	var until time.Time
	for _, o := range p.openSends {
		if at := o.sentAt.Add(o.target.Stats.probeTime()); at.After(until) {
			until = at
		}
	}
	return until
}

// EnoughParts reports whether the number of parts suffices for an answer.
func (d *Dispatch) EnoughParts(parts int) bool {
	return parts > 0 && float64(parts) >= d.MinCoverage*float64(len(d.parts))
}
