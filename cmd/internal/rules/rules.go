package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Judge returns the cases in which rules were broken, in the order of their times.
func Judge(b Bounds, events []Event) []Verdict {
	h := newHistory(b, events)
	var out []Verdict
	for _, rule := range []func(*history) []Verdict{
		twice, refused, mixed, lostAtStops, lostOnKeptConnections, drained, drainedByOwnWord, configured, regressed, overRate, overRetries, overAttempts, overCrashes,
		falseParts, uncovered, dropped, starved, unequal,
	} {
		out = append(out, rule(h)...)
	}
	slices.SortStableFunc(out, func(a, b Verdict) int { return cmp.Compare(a.At, b.At) })
	return out
}

// twice: a request that is not idempotent runs more than once.
func twice(h *history) (out []Verdict) {
	for _, r := range h.order {
		if !r.sent.Idempotent && len(r.runs) > 1 {
			out = append(out, Verdict{Twice, r.runs[1].began.At, fmt.Sprintf("%s ran %d times", r.sent.Request, len(r.runs))})
		}
	}
	return out
}

// refused: a request that is not idempotent, or any if the bounds say so, is answered with a promise that it did not run, and
// has run or runs later.
func refused(h *history) (out []Verdict) {
	for _, r := range h.order {
		if judged := !r.sent.Idempotent || h.bounds.EachRefusal; judged && r.ended != nil && promisedNotRun(r.ended.Status) && len(r.runs) > 0 {
			out = append(out, Verdict{Refused, r.ended.At, fmt.Sprintf("%s was answered %d and ran", r.sent.Request, r.ended.Status)})
		}
	}
	return out
}

// mixed: a success is not the whole answer to its request, an answer belongs to another request, or the bytes are no answer,
// unless the target broke off.
func mixed(h *history) (out []Verdict) {
	for _, r := range h.order {
		e := r.ended
		switch {
		case e == nil:
		case e.Foreign:
			out = append(out, Verdict{Mixed, e.At, fmt.Sprintf("%s got the answer to another request", r.sent.Request)})
		case e.Wrong != "" && (e.Status >= 200 && e.Status < 300 || e.Status == 0 && !slices.ContainsFunc(r.runs, (*run).brokeOff)):
			out = append(out, Verdict{Mixed, e.At, fmt.Sprintf("%s was answered %d: %s", r.sent.Request, e.Status, e.Wrong)})
		}
	}
	return out
}

const (
	// afterGrace is how long after the grace time the end of a connection still counts to the stop.
	afterGrace = time.Second
	// lateStart is how long after SIGTERM a request may be sent whose target may still be at work in the last part of the grace
	// time, which is graceTail of it.
	lateStart = 3 * time.Second
	graceTail = 1.0 / 6
)

// lostAtStops: around a planned stop, with no unplanned disruption, the connection of a request ends without a complete answer
// once it has been passed on, or later than the slack after its last byte.
func lostAtStops(h *history) (out []Verdict) {
	for _, r := range h.order {
		if r.ended == nil || r.ended.Status != 0 || r.ended.Abandoned {
			continue
		}
		for _, stop := range h.terminated[r.sent.Instance] {
			if h.lostAt(r, stop) {
				out = append(out, Verdict{Lost, r.ended.At, fmt.Sprintf("%s, sent to %s %v after SIGTERM, ended without an answer %v after it",
					r.sent.Request, r.sent.Instance, r.sent.At-stop, r.ended.At-stop)})
				break
			}
		}
	}
	return out
}

// lostAt reports whether a request without an answer counts as lost by a stop.
func (h *history) lostAt(r *request, stop Time) bool {
	end := r.ended.At
	switch {
	case end < stop || end > stop+h.bounds.Grace+afterGrace:
		return false
	case h.anyDisruption(r.sent.At-h.bounds.Contact, end):
		return false
	case len(r.arrivals) == 0 && end <= r.sent.At+h.bounds.LossSlack:
		return false
	case r.limit() > 0 && end >= r.sent.At+r.limit():
		return false
	}
	tail := stop + h.bounds.Grace - Time(graceTail*float64(h.bounds.Grace))
	for _, x := range r.runs {
		if x.brokeOff() {
			return false
		}
		if r.sent.At <= stop+lateStart && (x.ended == nil || x.ended.At >= tail) {
			return false
		}
	}
	return true
}

// maxLostOnKept is how often a connection may be closed without an answer to a request that was passed on.
const maxLostOnKept = 3

// lostOnKeptConnections: at any time, instances in touch pass requests of kept connections on to sound targets and close the
// connections without an answer, more than a few times.
func lostOnKeptConnections(h *history) []Verdict {
	var lost []*request
	for _, r := range h.order {
		sound := len(r.runs) > 0 && !slices.ContainsFunc(r.runs, (*run).brokeOff)
		if r.ended != nil && r.ended.Status == 0 && !r.ended.Abandoned && r.sent.Kept && sound && h.inTouch(r.sent.Instance, r.ended.At) {
			lost = append(lost, r)
		}
	}
	if len(lost) <= maxLostOnKept {
		return nil
	}
	return []Verdict{{Lost, lost[maxLostOnKept].ended.At, fmt.Sprintf("%d requests of kept connections were passed on and ended without an answer", len(lost))}}
}

// drained: a request reaches a target too long after the store acknowledged that it is draining or gone, taken from the caller
// and sent on by an instance in touch.
func drained(h *history) (out []Verdict) {
	for _, r := range h.order {
		for _, a := range r.arrivals {
			if a.Misdirected || !h.inTouch(r.sent.Instance, r.sent.At) || !h.inTouch(a.Instance, a.At) {
				continue
			}
			for _, d := range h.leaves[a.Target] {
				if a.At > d.from+h.bounds.Drain && (d.until == 0 || a.At < d.until) {
					out = append(out, Verdict{Drain, a.At, fmt.Sprintf("%s reached %s from %s %v after its departure was acknowledged", r.sent.Request, a.Target, a.Instance, a.At-d.from)})
				}
			}
		}
	}
	return out
}

// drainedByOwnWord: a request that a caller sent too long after an instance had passed on the answer in which a target said
// that it is leaving reaches that target from that instance. A start or a disruption of the instance since then excuses it.
func drainedByOwnWord(h *history) (out []Verdict) {
	type pair struct{ instance, target string }
	said := map[pair]Time{}
	for _, r := range h.order {
		if r.ended == nil || r.ended.LeavingTarget == "" {
			continue
		}
		p := pair{r.sent.Instance, r.ended.LeavingTarget}
		if at, known := said[p]; !known || r.ended.At < at {
			said[p] = r.ended.At
		}
	}
	for _, r := range h.order {
		for _, a := range r.arrivals {
			at, known := said[pair{a.Instance, a.Target}]
			if !known || a.Misdirected || r.sent.At <= at+h.bounds.Drain || h.disturbed(a.Instance, at, a.At) ||
				slices.ContainsFunc(h.started[a.Instance], func(t Time) bool { return t >= at && t <= a.At }) {
				continue
			}
			out = append(out, Verdict{Drain, a.At, fmt.Sprintf("%s reached %s from %s, which had passed on %v before that it is leaving", r.sent.Request, a.Target, a.Instance, a.At-at)})
		}
	}
	return out
}

// configured: a request is handled by an instance in touch as only an older version of the configuration allows.
func configured(h *history) (out []Verdict) {
	for _, r := range h.order {
		if r.ended == nil || !h.inTouch(r.sent.Instance, r.sent.At) {
			continue
		}
		versions := h.inForce(r.sent.At, r.ended.At)
		if len(versions) == 0 {
			continue
		}
		if problem := misconfigured(r, versions); problem != "" {
			out = append(out, Verdict{Config, r.ended.At, fmt.Sprintf("%s: %s by version %d and later ones", r.sent.Request, problem, versions[0].Version)})
		}
	}
	return out
}

// disturbedSlack multiplies the time in which an older version may still show at an instance that is disturbed.
const disturbedSlack = 8

// regressed: a process handles a request, sent later than the slack after a target saw the effect of a version there, as only an
// older version allows. Nothing excuses it, not even a store that shows the older version.
func regressed(h *history) (out []Verdict) {
	type effect struct {
		at      Time
		version int
	}
	effects := map[string][]effect{} // by instance, in the order of sending
	for _, r := range h.order {
		if version := h.leastVersion(r); version > 0 {
			effects[r.sent.Instance] = append(effects[r.sent.Instance], effect{r.runs[0].began.At, version})
		}
	}
	for _, r := range h.order {
		if r.ended == nil {
			continue
		}
		instance, slack := r.sent.Instance, h.bounds.Rollback
		if h.disturbed(instance, r.sent.At-h.bounds.Contact, r.ended.At) {
			slack *= disturbedSlack
		}
		least := 0
		for _, e := range effects[instance] {
			restarted := slices.ContainsFunc(h.started[instance], func(t Time) bool { return t > e.at && t <= r.ended.At })
			if e.at+slack < r.sent.At && !restarted {
				least = max(least, e.version)
			}
		}
		var versions []Configuration
		for _, c := range h.configurations {
			if c.Version >= least && c.At <= r.ended.At {
				versions = append(versions, c)
			}
		}
		if least == 0 || len(versions) == 0 {
			continue
		}
		if problem := misconfigured(r, versions); problem != "" {
			out = append(out, Verdict{Config, r.ended.At, fmt.Sprintf("%s: %s by versions from %d on, which was in force at %s", r.sent.Request, problem, least, instance)})
		}
	}
	return out
}

// leastVersion returns the lowest version that allows a request to run as it did, 0 if it did not run or the lowest of all allows
// it.
func (h *history) leastVersion(r *request) int {
	if len(r.runs) == 0 || len(r.arrivals) == 0 || r.ended == nil {
		return 0
	}
	least, lowest := 0, 0
	for _, c := range h.configurations {
		if lowest == 0 || c.Version < lowest {
			lowest = c.Version
		}
		if (least == 0 || c.Version < least) && misconfigured(r, []Configuration{c}) == "" {
			least = c.Version
		}
	}
	if least == lowest {
		return 0
	}
	return least
}

// misconfigured says what none of the versions allows, "" if one of them allows what happened.
func misconfigured(r *request, versions []Configuration) string {
	allows := func(accept func(Configuration) bool) bool { return slices.ContainsFunc(versions, accept) }
	valid := func(c Configuration) bool { return r.sent.Key == "" || c.Keys[r.sent.Key] != "" }
	for _, a := range r.arrivals {
		if !a.Misdirected && !allows(func(c Configuration) bool { return slices.Contains(c.Services[r.sent.Route], a.Service) }) {
			return "not allowed at " + a.Service
		}
	}
	if len(r.runs) > 0 && !allows(valid) {
		return "run with a key that was withdrawn"
	}
	refusesProper := r.ended.Status == 401 || r.ended.Status == 403 || r.ended.Status == 404
	if refusesProper && len(r.runs) == 0 && !allows(func(c Configuration) bool { return len(c.Services[r.sent.Route]) == 0 || !valid(c) }) {
		return fmt.Sprintf("answered %d though the route and the key are there", r.ended.Status)
	}
	return ""
}

// overRate: in some window, more requests of an organisation are sent and run than its rate and burst allow.
func overRate(h *history) (out []Verdict) {
	runs := map[string][]*request{} // by organisation, in the order of sending
	for _, r := range h.order {
		if len(r.runs) > 0 {
			if o := r.arrivals[0].Organisation; o != "" {
				runs[o] = append(runs[o], r)
			}
		}
	}
	for organisation, all := range runs {
		for i, first := range all {
			from, to := first.sent.At, first.sent.At+h.bounds.RateWindow
			rate, limited := h.rateIn(organisation, from)
			if !limited {
				continue
			}
			allowed := (rate.PerSecond*h.bounds.RateWindow.Seconds()+rate.Burst)*(1+h.bounds.RateOverage) + h.bounds.RateSlack
			n := 0
			for _, r := range all[i:] {
				if r.sent.At >= to {
					break
				}
				if r.runs[0].began.At < to {
					n++
				}
			}
			if float64(n) > allowed {
				out = append(out, Verdict{Quota, to, fmt.Sprintf("%d requests of %s ran within %v, %.0f may", n, organisation, h.bounds.RateWindow, allowed)})
				break
			}
		}
	}
	return out
}

// rateIn returns the highest rate and burst of an organisation that may bind in a window that begins at from. A lower limit
// binds one window after all instances have been in touch for the time of changes past its acknowledgement.
func (h *history) rateIn(organisation string, from Time) (rate Rate, limited bool) {
	for i, c := range h.configurations {
		if c.At > from+h.bounds.RateWindow {
			break
		}
		if i+1 < len(h.configurations) && h.binds(h.configurations[i+1], from) {
			continue // a later version has replaced it everywhere
		}
		x, ok := c.Rates[organisation]
		if !ok {
			return Rate{}, false
		}
		rate.PerSecond, rate.Burst, limited = max(rate.PerSecond, x.PerSecond), max(rate.Burst, x.Burst), true
	}
	return rate, limited
}

// binds reports whether the limits of a version bind alone in a window that begins at from.
func (h *history) binds(c Configuration, from Time) bool {
	if c.Acknowledged == 0 || h.lost(c.Acknowledged, from+h.bounds.RateWindow) {
		return false
	}
	since := c.Acknowledged
	for moved := true; moved; { // instances out of touch put the beginning off
		moved = false
		for _, d := range h.disruptions {
			if d.overlaps(since-h.bounds.Contact, since+h.bounds.ConfigApply) && d.Until+h.bounds.Contact > since {
				since, moved = d.Until+h.bounds.Contact, true
			}
		}
		for _, times := range h.started {
			for _, t := range times {
				if t > since-h.bounds.Contact && t <= since+h.bounds.ConfigApply && t+h.bounds.Contact > since {
					since, moved = t+h.bounds.Contact, true
				}
			}
		}
	}
	return from >= since+h.bounds.ConfigApply+h.bounds.RateWindow
}

// overRetries: in some window, a service gets more arrivals beyond the first of each request than its budget.
func overRetries(h *history) (out []Verdict) {
	window := h.bounds.RetryWindow
	for _, service := range h.services() {
		var extra, sent []Time
		for _, r := range h.order {
			n := 0
			for _, a := range r.arrivals {
				if a.Service == service {
					if n++; n > 1 {
						extra = append(extra, a.At)
					}
				}
			}
			if n > 0 || h.routedTo(r, service) {
				sent = append(sent, r.sent.At)
			}
		}
		slices.Sort(extra)
		within := func(times []Time, from Time) (n int) {
			for _, t := range times {
				if t >= from && t < from+window {
					n++
				}
			}
			return n
		}
		for _, from := range extra {
			requests := max(within(sent, from), within(sent, from-window), within(sent, from-window/2))
			allowed := h.bounds.RetryRatio*float64(requests) + h.bounds.RetryConstant
			if n := within(extra, from); float64(n) > allowed {
				out = append(out, Verdict{Budget, from + window, fmt.Sprintf("%d extra arrivals at %s within %v, %.0f may", n, service, window, allowed)})
				break
			}
		}
	}
	return out
}

// routedTo reports whether a version that may be in force routes a request to a service.
func (h *history) routedTo(r *request, service string) bool {
	return slices.ContainsFunc(h.inForce(r.sent.At, r.sent.At), func(c Configuration) bool { return slices.Contains(c.Services[r.sent.Route], service) })
}

// overAttempts: more requests than the bound run at more targets of one service than their route allows. Targets that broke off
// meanwhile do not count, nor do those whose connections were disrupted before the request ended.
func overAttempts(h *history) []Verdict {
	n, last := 0, Time(0)
	for _, r := range h.order {
		services := map[string]string{} // by target
		for _, a := range r.arrivals {
			services[a.Target] = a.Service
		}
		ran := map[string]map[string]bool{} // targets by service
		for _, x := range r.runs {
			if x.brokeOff() || h.mayHaveLost(r, x) {
				continue
			}
			service := services[x.began.Target]
			if ran[service] == nil {
				ran[service] = map[string]bool{}
			}
			ran[service][x.began.Target] = true
		}
		for _, at := range ran {
			if r.sent.MaxAttempts > 0 && len(at) > r.sent.MaxAttempts {
				n, last = n+1, max(last, r.sent.At)
				break
			}
		}
	}
	if n <= h.bounds.OverAttempts {
		return nil
	}
	return []Verdict{{Budget, last, fmt.Sprintf("%d requests ran at more targets than their routes allow", n)}}
}

// mayHaveLost reports whether a disruption of the connections to the target may have lost the reply of a run.
func (h *history) mayHaveLost(r *request, x *run) bool {
	return slices.ContainsFunc(h.disruptions, func(d Disruption) bool {
		return d.Target == x.began.Target && d.overlaps(x.began.At, x.began.At+r.limit())
	})
}

const (
	// crashLimit is the number of crashes after which a request must not reach targets any more, but for maxCrashRetries.
	crashLimit      = 3
	maxCrashRetries = 3
)

// overCrashes: a request that crashes its targets reaches targets in more than a few attempts, sent by instances in touch later
// than the contact time after its third crash.
func overCrashes(h *history) (out []Verdict) {
	crashes := map[string][]Time{} // by fingerprint
	for _, r := range h.order {
		for _, x := range r.runs {
			if x.ended != nil && x.ended.End == Crashed {
				crashes[r.sent.Fingerprint] = append(crashes[r.sent.Fingerprint], x.ended.At)
			}
		}
	}
	retries := map[string]int{}
	for _, r := range h.order {
		times := crashes[r.sent.Fingerprint]
		if r.sent.Fingerprint == "" || len(times) < crashLimit {
			continue
		}
		slices.Sort(times)
		third := times[crashLimit-1]
		for _, a := range r.arrivals {
			if a.At <= third+h.bounds.Contact || !h.inTouch(a.Instance, a.At) {
				continue
			}
			if retries[r.sent.Fingerprint]++; retries[r.sent.Fingerprint] == maxCrashRetries+1 {
				out = append(out, Verdict{Budget, a.At, fmt.Sprintf("%s, which crashes targets, reached them in more than %d retries", r.sent.Request, maxCrashRetries)})
			}
		}
	}
	return out
}
