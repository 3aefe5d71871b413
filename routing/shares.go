package routing

import (
	"math"
	"slices"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

const (
	// demandSampleWeight is the part of one sample in the mean demand; with shareInterval it follows a change within a
	// second.
	demandSampleWeight = 0.25
	// demandHistory is how many divisions old the own demand is when it is compared with that of others, which took
	// two rounds of gossip. Were it newer, a surge at all instances would give each too large a part.
	demandHistory = 2
	// evenFraction is the part of a rate that is divided evenly among the instances, whatever the demand, so that one
	// whose demand begins can admit at once.
	evenFraction = 0.15
	// assumedInstances is the number of instances assumed until some sibling was heard.
	assumedInstances = 8
	// rateToleranceFraction is the part of the stated tolerance that widens the rate, burstToleranceFraction the one that widens the burst. The
	// rest covers demand that moves faster than it is told. The rate gets more, since only it helps an organisation
	// that stays a little above its limit.
	rateToleranceFraction  = 0.65
	burstToleranceFraction = 0.15
	// calmRateFraction is the part of its rate below which an organisation's demand counts as calm. Its requests then come
	// at single instances by chance more often than the parts of the rate allow.
	calmRateFraction = 0.85
	// demandTimeout is after how long without a beat a member's demand is too old to give others a larger part. Beats
	// usually come within three rounds of gossip.
	demandTimeout = 1200 * time.Millisecond
	// calmWindow is the time in which the slack may be used up by a demand that still counts as calm.
	calmWindow = 5 * time.Second
	// spareSlackFraction is the part of the slack that calm organisations get besides, in each spareWindow.
	spareSlackFraction = 0.8
	// spareWindow is the time in which calm organisations may use up the stated slack: the demand of an organisation
	// that is not calm any more is known everywhere within it.
	spareWindow = time.Second
)

// divide gives this instance its part of each organisation's rate, in proportion to the demand that the instances
// see. All instances compute from nearly the same figures, so that the parts add up to about one; an instance that
// is cut off goes on with its last part while the others count its last demand.
func (s *State) divideRates(now time.Time) {
	if s.routing == nil || now.Sub(s.lastDivision) < shareInterval {
		return
	}
	passed := now.Sub(s.lastDivision).Seconds()
	first := s.lastDivision.IsZero()
	s.lastDivision = now
	others := s.gossip.LimitSharers(now)
	instances := len(others) + 1
	if len(others) == 0 {
		instances = assumedInstances
	}
	heard := s.gossip.SeenWithin(now, demandTimeout)
	known := map[string]bool{}
	for i := range s.routing.Accounts {
		a := &s.routing.Accounts[i]
		known[a.Name] = true
		g := s.limiters[a.Name]
		if g == nil {
			g = &limiterState{limiter: caller.NewRateLimiter(s.rateLimits(a, 1/float64(instances), instances, false), now)}
			s.limiters[a.Name] = g
			s.changed = true
		}
		asked, _ := g.limiter.RequestCounts()
		if !first {
			sample := float64(asked-g.requests) / passed
			g.demand += demandSampleWeight * (sample - g.demand)
		}
		g.requests = asked
		own := g.recordDemand()
		free := g.freeFraction(others, heard, own, a.Name, instances)
		total := own
		for _, b := range heard {
			total += b.Demand[a.Name]
		}
		g.share = min(free, 1) * share(own, total, len(heard)+1)
		if len(others) == 0 {
			g.share = 1 / float64(instances)
		}
		if l := s.rateLimits(a, g.share, instances, total <= free*s.calmDemand(a)); l != g.limits {
			g.limits = l
			g.limiter.SetLimits(l, now)
		}
	}
	for name := range s.limiters {
		if !known[name] {
			delete(s.limiters, name)
			s.changed = true
		}
	}
	limits := s.retryBudgetLimits(now)
	for _, b := range s.retryBudgets {
		b.SetLimits(limits)
	}
	if instances != s.memberCount {
		s.memberCount, s.changed = instances, true
	}
}

// free returns the part of the rate that the members which are heard divide among them. The others, which may be cut
// off and go on spending, keep the parts that all agreed on when they were last heard.
func (g *limiterState) freeFraction(others, heard []sibling.MemberState, own float64, organisation string, instances int) float64 {
	if len(heard) == len(others) {
		total := own
		for _, b := range others {
			total += b.Demand[organisation]
		}
		g.agreedShares = make(map[string]float64, len(others))
		for _, b := range others {
			g.agreedShares[b.ID] = share(b.Demand[organisation], total, instances)
		}
		return 1
	}
	free := 1.0
	for _, b := range others {
		if !slices.ContainsFunc(heard, func(h sibling.MemberState) bool { return h.ID == b.ID }) {
			free -= g.agreedShares[b.ID]
		}
	}
	return max(free, 0)
}

// remember notes the demand and returns the one of demandHistory divisions ago.
func (g *limiterState) recordDemand() float64 {
	old := g.history[0]
	copy(g.history[:], g.history[1:])
	g.history[demandHistory-1] = g.demand
	return old
}

// calm returns the demand up to which an organisation counts as calm.
func (s *State) calmDemand(a *document.Account) float64 {
	return calmRateFraction*a.Rate + s.config.Bounds.RateSlack*rateToleranceFraction/calmWindow.Seconds()
}

// share returns this instance's part of a rate.
func share(own, total float64, instances int) float64 {
	even := 1 / float64(instances)
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*own/total
}

// gateLimits returns the limits of a part of an organisation's rate, with the tolerance of the bounds.
// While the organisation is calm they are wider by this instance's part of the slack.
func (s *State) rateLimits(a *document.Account, part float64, instances int, calm bool) caller.RateLimits {
	if a.Rate <= 0 {
		return caller.RateLimits{}
	}
	b := s.config.Bounds
	slack := b.RateSlack / float64(instances)
	l := caller.RateLimits{
		Limited: true,
		Rate:    a.Rate*part*(1+b.RateOverage*rateToleranceFraction) + slack*rateToleranceFraction/calmWindow.Seconds(),
		Burst:   a.Burst*part*(1+b.RateOverage*burstToleranceFraction) + slack*burstToleranceFraction,
	}
	if calm {
		spare := slack * spareSlackFraction
		l.Rate += spare / spareWindow.Seconds()
		l.Burst += spare
	}
	l.Rate, l.Burst = round(l.Rate), round(max(l.Burst, 1))
	return l
}

// round keeps limits from changing with every small change of demand.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// reportedDemand returns the demand of each organisation at this instance, in requests a second.
func (s *State) reportedDemand() map[string]float64 {
	out := make(map[string]float64, len(s.limiters))
	for name, g := range s.limiters {
		if g.demand >= minReportedDemand {
			out[name] = round(g.demand)
		}
	}
	return out
}

// minReportedDemand is the demand below which siblings are not told of it, in requests a second.
const minReportedDemand = 0.02
