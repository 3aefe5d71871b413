package targets

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is a target of a service as the choice for a request would see it now.
type Candidate struct {
	Target *Target
	// Eligible is false for targets that are leaving or rest; they have no score.
	Eligible bool
	// Score is the one of Dispatch, in seconds, without its random spread: the expected time with the preference for the own
	// zone and the penalties. The lowest is the best.
	Score float64
	// Expected is the expected time to a reply.
	Expected time.Duration
	// Load is the last load report, if HasLoad is set.
	Load    LastLoad
	HasLoad bool
	// Outstanding is the number of requests from this instance, of which the target may have Limit.
	Outstanding, Limit int
	// Reasons say what speaks against the target now, empty if nothing does.
	Reasons []string
	// First is set for the target that the first send would go to.
	First bool
}

// LastLoad is the last load report of a target and how far it is trusted.
type LastLoad struct {
	// Requests is the number of running and waiting requests, Slots 0 if not reported.
	Requests, Slots int
	Pace            float64
	Age             time.Duration
	// Trust is the weight of the reports against replies, Slowness the time to a reply relative to the one that the reports
	// lead to expect.
	Trust, Slowness float64
}

// LastLoad returns the last load report of the target, and false if it reported none lately.
func (s *TargetStats) LastLoad(now time.Time) (LastLoad, bool) {
	l := &s.load
	l.mu.Lock()
	defer l.mu.Unlock()
	age, ok := l.age(now)
	if !ok {
		return LastLoad{}, false
	}
	return LastLoad{Requests: int(l.requests.last), Slots: l.slots, Pace: l.pace.last, Age: age, Trust: l.trust, Slowness: l.slownessAt(now, false)}, true
}

// Preview returns the targets of a service in the order in which the first send of a request would prefer them, followed by
// those that are not eligible. It reserves nothing and changes no statistics. Of the configuration it uses Directory, Zone, Work,
// and Places with Key.
func Preview(c DispatchConfig, service string, now time.Time) []Candidate {
	c.MaxAttempts, c.Rand = max(c.MaxAttempts, 1), rand.New(middleSource{})
	d := &Dispatch{DispatchConfig: c, preview: true}
	order := d.ranking(&dispatchPart{service: service}, now)
	out := make([]Candidate, 0, len(order))
	chosen := false
	for _, r := range order {
		x := d.candidate(r.target, now)
		x.Eligible, x.Score = true, r.score
		free := d.appendObstacles(&x, now)
		x.First = free && !chosen && !d.prefersWait(order[0], r)
		chosen = chosen || x.First
		out = append(out, x)
	}
	for _, t := range c.Directory.Candidates(service) {
		if !slices.ContainsFunc(order, func(r ranked) bool { return r.target.sameID(t) }) {
			out = append(out, d.candidate(t, now))
		}
	}
	return out
}

// middleSource makes the random spread of scores 1.
type middleSource struct{}

// Uint64 returns the value of which Float64 makes 0.5.
func (middleSource) Uint64() uint64 { return 1 << 52 }

// candidate describes a target without its place in the order.
func (d *Dispatch) candidate(t *Target, now time.Time) Candidate {
	x := Candidate{Target: t, Expected: t.ExpectedTime(d.Work, now), Outstanding: t.Stats.Outstanding(), Limit: t.paceLimit()}
	x.Load, x.HasLoad = t.Stats.LastLoad(now)
	if t.Stats.Leaving() {
		x.Reasons = append(x.Reasons, "leaving")
	}
	if left := t.Stats.RestLeft(now); left > 0 {
		x.Reasons = append(x.Reasons, "rests for another "+left.Round(time.Millisecond).String())
	}
	if t.Stats.LeavingHint() {
		x.Reasons = append(x.Reasons, "leaving by hearsay")
	}
	if cause, paced := t.Stats.Paced(); paced {
		x.Reasons = append(x.Reasons, "gets a part of its share, one request at a time: "+cause)
	}
	switch {
	case t.Stats.Unreachable(now):
		x.Reasons = append(x.Reasons, "unreachable")
	case t.Stats.Avoided(now):
		x.Reasons = append(x.Reasons, "avoided: requests were lost or a response is overdue")
	}
	return x
}

// appendObstacles adds the reasons for which no place could be taken at the target now, and reports whether there are none.
func (d *Dispatch) appendObstacles(x *Candidate, now time.Time) bool {
	before := len(x.Reasons)
	if x.Outstanding >= x.Limit {
		x.Reasons = append(x.Reasons, "all places taken")
	}
	if d.Places.reserved(x.Target, nil, d.Key) {
		x.Reasons = append(x.Reasons, "its next place is reserved for a waiting request")
	}
	if left := x.Target.Stats.coldSendIn(x.Target.ColdRate, now); left > 0 {
		x.Reasons = append(x.Reasons, "cold: next request in "+left.Round(time.Millisecond).String())
	}
	return len(x.Reasons) == before
}

// coldSendIn returns the time until takeColdSend permits a request, 0 if it does now.
func (s *TargetStats) coldSendIn(rate float64, now time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	return max(time.Duration(s.nextColdSend.Load()-instant(now)), 0)
}
