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
	// demandSampleWeight is the weight of one sample in the smoothed demand; with shareInterval the smoothed demand
	// follows a change within a second.
	demandSampleWeight = 0.25
	// demandHistory is how many divisions old this instance's demand is when it is compared with the demand of others,
	// which took two rounds of gossip to arrive. With a newer value, a surge at all instances would give each of them
	// too large a share.
	demandHistory = 2
	// evenFraction is the fraction of a rate that is divided evenly among the instances, regardless of demand, so that
	// an instance can admit the first requests of an organisation at once.
	evenFraction = 0.15
	// assumedInstances is the number of instances assumed while no sibling is known.
	assumedInstances = 8
	// rateToleranceFraction and burstToleranceFraction are the fractions of the stated tolerance that widen the rate and
	// the burst. The rest covers demand that moves faster than siblings report it. The rate gets more, since only a
	// wider rate helps an organisation that stays a little above its limit.
	rateToleranceFraction  = 0.65
	burstToleranceFraction = 0.15
	// belowRateFraction is the fraction of its rate up to which an organisation's demand counts as below the rate. At
	// such demand, random arrivals exceed an instance's share more often than the fleet's rate.
	belowRateFraction = 0.85
	// demandTimeout is the age of a member's state above which its demand is too old to give other members a larger
	// share. A newer state usually arrives within three rounds of gossip.
	demandTimeout = 1200 * time.Millisecond
	// slackWindow is the time in which demand that still counts as below the rate may use up the slack.
	slackWindow = 5 * time.Second
	// extraSlackFraction is the fraction of the slack that organisations below their rate get in addition, in each
	// extraSlackWindow.
	extraSlackFraction = 0.8
	// extraSlackWindow is the time in which organisations below their rate may use up the additional slack. Within it,
	// every instance knows when the demand of an organisation no longer counts as below the rate.
	extraSlackWindow = time.Second
)

// divideRates gives this instance its share of each organisation's rate, in proportion to the demand at each instance.
// All instances compute from nearly the same figures, so that the shares add up to about one. An instance that is cut
// off continues with its last share, while the others count its last demand.
func (s *State) divideRates(now time.Time) {
	if s.routing == nil || now.Sub(s.lastDivision) < shareInterval {
		return
	}
	elapsed := now.Sub(s.lastDivision).Seconds()
	first := s.lastDivision.IsZero()
	s.lastDivision = now
	members := s.gossip.LimitSharers(now)
	instances := len(members) + 1
	if len(members) == 0 {
		instances = assumedInstances
	}
	fresh := s.gossip.SeenWithin(now, demandTimeout)
	known := map[string]bool{}
	for i := range s.routing.Accounts {
		a := &s.routing.Accounts[i]
		known[a.Name] = true
		state := s.limiters[a.Name]
		if state == nil {
			state = &limiterState{limiter: caller.NewRateLimiter(s.rateLimits(a, 1/float64(instances), instances, false), now)}
			s.limiters[a.Name] = state
			s.changed = true
		}
		requests, _ := state.limiter.RequestCounts()
		if !first {
			sample := float64(requests-state.requests) / elapsed
			state.demand += demandSampleWeight * (sample - state.demand)
		}
		state.requests = requests
		own := state.recordDemand()
		free := state.freeFraction(members, fresh, own, a.Name, instances)
		total := own
		for _, m := range fresh {
			total += m.Demand[a.Name]
		}
		state.share = min(free, 1) * share(own, total, len(fresh)+1)
		if len(members) == 0 {
			state.share = 1 / float64(instances)
		}
		if limits := s.rateLimits(a, state.share, instances, total <= free*s.belowRateThreshold(a)); limits != state.limits {
			state.limits = limits
			state.limiter.SetLimits(limits, now)
		}
	}
	for name := range s.limiters {
		if !known[name] {
			delete(s.limiters, name)
			s.changed = true
		}
	}
	budgetLimits := s.retryBudgetLimits(now)
	for _, b := range s.retryBudgets {
		b.SetLimits(budgetLimits)
	}
	if instances != s.memberCount {
		s.memberCount, s.changed = instances, true
	}
}

// freeFraction returns the fraction of the rate that this instance and the members with a fresh state divide among
// them. The other members may be cut off and continue to spend; they keep the share that was computed when the states
// of all members were last fresh. instances is the number that rates are divided by.
func (l *limiterState) freeFraction(members, fresh []sibling.MemberState, own float64, organisation string, instances int) float64 {
	if len(fresh) == len(members) {
		total := own
		for _, m := range members {
			total += m.Demand[organisation]
		}
		l.agreedShares = make(map[string]float64, len(members))
		for _, m := range members {
			l.agreedShares[m.ID] = share(m.Demand[organisation], total, instances)
		}
		return 1
	}
	free := 1.0
	for _, m := range members {
		if !slices.ContainsFunc(fresh, func(f sibling.MemberState) bool { return f.ID == m.ID }) {
			free -= l.agreedShares[m.ID]
		}
	}
	return max(free, 0)
}

// recordDemand records the current demand and returns the demand of demandHistory divisions ago.
func (l *limiterState) recordDemand() float64 {
	old := l.history[0]
	copy(l.history[:], l.history[1:])
	l.history[demandHistory-1] = l.demand
	return old
}

// belowRateThreshold returns the demand, in requests a second, up to which an organisation counts as below its rate.
func (s *State) belowRateThreshold(a *document.Account) float64 {
	return belowRateFraction*a.Rate + s.config.Bounds.RateSlack*rateToleranceFraction/slackWindow.Seconds()
}

// share returns an instance's fraction of a rate for its own demand and the total demand of all instances.
func share(own, total float64, instances int) float64 {
	even := 1 / float64(instances)
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*own/total
}

// rateLimits returns the limits for a fraction of an organisation's rate, widened by the tolerance of the bounds. While
// the organisation is below its rate, they are wider by this instance's part of the additional slack.
func (s *State) rateLimits(a *document.Account, fraction float64, instances int, belowRate bool) caller.RateLimits {
	if a.Rate <= 0 {
		return caller.RateLimits{}
	}
	b := s.config.Bounds
	slack := b.RateSlack / float64(instances)
	l := caller.RateLimits{
		Limited: true,
		Rate:    a.Rate*fraction*(1+b.RateOverage*rateToleranceFraction) + slack*rateToleranceFraction/slackWindow.Seconds(),
		Burst:   a.Burst*fraction*(1+b.RateOverage*burstToleranceFraction) + slack*burstToleranceFraction,
	}
	if belowRate {
		extra := slack * extraSlackFraction
		l.Rate += extra / extraSlackWindow.Seconds()
		l.Burst += extra
	}
	l.Rate, l.Burst = round(l.Rate), round(max(l.Burst, 1))
	return l
}

// round rounds to two decimals, so that limits do not change with every small change of demand.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// reportedDemand returns the demand of each organisation at this instance, in requests a second.
func (s *State) reportedDemand() map[string]float64 {
	out := make(map[string]float64, len(s.limiters))
	for name, l := range s.limiters {
		if l.demand >= minReportedDemand {
			out[name] = round(l.demand)
		}
	}
	return out
}

// minReportedDemand is the smallest demand that is sent to siblings, in requests a second.
const minReportedDemand = 0.02
