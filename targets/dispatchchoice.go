package targets

import (
	"slices"
	"time"
)

// accepting returns the targets that accept requests. It returns its argument unchanged if all of them do.
func accepting(candidates []*Target, now time.Time) []*Target {
	refuses := func(t *Target) bool { return !t.Stats.AcceptsRequests(now) }
	if !slices.ContainsFunc(candidates, refuses) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), refuses)
}

// restLeft returns the time until the first of the targets has rested, 0 if one of them accepts requests or none will.
func restLeft(candidates []*Target, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, t := range candidates {
		if t.Stats.Leaving() {
			continue
		}
		left := t.Stats.RestLeft(now)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// ranked is a target that is eligible for a part. The lowest score is the best.
type ranked struct {
	target *Target
	score  float64
}

// ranking returns the targets that are eligible for a part, the best first. Targets that are leaving or rest are not eligible.
// Targets that may have run the part already are eligible only when no other target is left or MaxAttempts is reached; then
// only they are. Targets with an open send of the part are never eligible.
func (d *Dispatch) ranking(p *dispatchPart, now time.Time) []ranked {
	candidates := d.Directory.Candidates(p.service)
	p.restLeft = restLeft(candidates, now)
	candidates = accepting(candidates, now)
	untried := len(p.mayHaveRunAt) < d.MaxAttempts && slices.ContainsFunc(candidates, func(t *Target) bool { return !slices.ContainsFunc(p.mayHaveRunAt, t.sameID) })
	order := make([]ranked, 0, len(candidates))
	assumed := assumedLatency(candidates)
	for _, t := range candidates {
		if slices.ContainsFunc(p.mayHaveRunAt, t.sameID) == untried || slices.ContainsFunc(p.openSends, func(o openSend) bool { return t.sameID(o.target) }) {
			continue
		}
		pace := 1.0
		if !d.preview {
			pace = t.paceFactor(candidates, len(p.openSends) > 0, d.Rand, now)
		}
		order = append(order, ranked{t, d.score(t, assumed, pace, now)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		}
		return 0
	})
	return order
}

// prefersWait reports whether a part rather waits for its best target than being sent to r: a wait for a sound target is shorter
// than a send to one that is avoided.
func (d *Dispatch) prefersWait(best, r ranked) bool {
	return d.Places != nil && best.score < avoidedPenalty && r.score >= avoidedPenalty
}

// choose reserves a place at the target with the lowest score, and reports busy if there are eligible targets but none
// has free capacity.
func (d *Dispatch) choose(p *dispatchPart, now time.Time) (best *Target, busy bool) {
	order := d.ranking(p, now)
	for n, r := range order {
		if d.prefersWait(order[0], r) {
			break
		}
		if d.Places.reserved(r.target, p.waiter, d.Key) {
			continue
		}
		if r.target.Stats.TryStart(r.target.paceLimit()) {
			if !r.target.Stats.takeColdSend(r.target.ColdRate, now) {
				r.target.Stats.Finish(0) // not offered to others: the rate holds for them too
				continue
			}
			r.target.Stats.recordChosen(now)
			for _, passed := range order[n+1:] {
				passed.target.Stats.decay(now)
			}
			return r.target, false
		}
	}
	if d.Places != nil {
		p.wanted = make([]*Target, 0, len(order))
		for _, r := range order {
			p.wanted = append(p.wanted, r.target)
		}
	}
	return nil, len(order) > 0
}

const (
	// avoidedPenalty, in seconds, is added to the score of avoided targets. It exceeds any latency.
	avoidedPenalty = 10.0
	// unknownLatency is the assumed latency of a target while the latency of no target of the service is known.
	unknownLatency = 5 * time.Millisecond
	// scoreSpread is the width of the random factor of a score. It prevents all instances from choosing the same
	// target.
	scoreSpread = 0.3
	// failureCost is the time charged for a shed or failed send: its retry, and the budget that the retry takes from
	// other requests.
	failureCost = 200 * time.Millisecond
	// loadWeight is the weight of the requests that would wait at the target. It is below 1 because the measured
	// latency already contains the usual waits.
	loadWeight = 0.25
	// zoneFactor is the factor on the latency of targets in the zone of this instance, if they report no load.
	zoneFactor = 0.35
	// zoneGain is the fraction of the usual time to a reply by which targets in the zone of this instance that report their
	// load are preferred. It exceeds scoreSpread, so that requests leave the zone only if its target is slow or has a queue.
	zoneGain = 0.35
)

// assumedLatency returns the latency assumed for targets without samples: the lowest known one. Such a target is then
// tried soon, but not one in another zone while the latency of one in the own zone is known.
func assumedLatency(candidates []*Target) time.Duration {
	least := time.Duration(0)
	for _, t := range candidates {
		if l := t.Stats.Latency(); l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	if least == 0 {
		return unknownLatency
	}
	return least
}

// score returns the expected time to a reply in seconds, plus penalties. assumed is the latency of a target without
// samples. paceFactor is that of Target.paceFactor. If it is not 1, the zone is not preferred: the preference is subtracted
// from the expected time, and a factor on the difference would reduce its own effect, or reverse it below 0.
func (d *Dispatch) score(t *Target, assumed time.Duration, paceFactor float64, now time.Time) float64 {
	spread := paceFactor * (1 - scoreSpread/2 + scoreSpread*d.Rand.Float64())
	preferred := t.Zone == d.Zone && paceFactor == 1
	var score float64
	work := d.Work
	if work == 0 {
		work = assumed
	}
	if in, ok := t.expectation(work, 0, false, now); ok {
		score = expectedTime(&in).Seconds() * spread
		if preferred {
			score -= zoneGain * (in.RoundTrip + in.Work).Seconds()
		}
	} else {
		score = d.latencyScore(t, assumed, preferred, now) * spread
	}
	score += failureCost.Seconds() * t.Stats.FailureRate()
	if t.Stats.Avoided(now) || t.Stats.LeavingHint() {
		score += avoidedPenalty
	}
	return score
}

// latencyScore returns the expected time to a reply, in seconds, of a target that reports no load. preferred is set if its
// zone is preferred.
func (d *Dispatch) latencyScore(t *Target, assumed time.Duration, preferred bool, now time.Time) float64 {
	latency := t.Stats.Latency()
	if latency == 0 {
		latency = assumed
	}
	score := latency.Seconds()
	if waiting := t.Stats.EstimatedRequests(now) + 1 - t.Slots; t.Slots > 0 && waiting > 0 {
		score *= 1 + loadWeight*float64(waiting)/float64(t.Slots)
	}
	if preferred {
		score *= zoneFactor
	}
	return score
}
