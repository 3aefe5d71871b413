package routing

import (
	"math"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
)

const (
	// demandSampleWeight is the weight of one sample in the smoothed demand; with shareInterval the smoothed demand
	// follows a change within a second.
	demandSampleWeight = 0.25
	// minDemandLag is how many divisions old this instance's demand is when it is compared with the demand of others, which
	// took two rounds of gossip to arrive. With a newer value, a surge at all instances would give each of them too large a
	// share. Beyond demandLagInstances instances a message holds only a part of the states, and the lag grows with their
	// number, up to maxDemandLag.
	minDemandLag       = 2
	maxDemandLag       = 40
	demandLagInstances = 36
	// minEvenFraction is the smallest fraction of a rate that is divided evenly among the instances, regardless of demand, so
	// that an instance can admit the first requests of an organisation at once.
	minEvenFraction = 0.15
	// evenInstances is the number of instances up to which all that demand leaves of a rate is divided evenly.
	evenInstances = 9
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
	demand := s.siblingDemand(now)
	instances := s.limitSharers(now)
	if demand.members == 0 {
		instances = max(instances, assumedInstances)
	}
	// A new instance knows only some of the members at first. The others have even parts for all that it can tell.
	knownPart := min(float64(demand.members+1)/float64(instances), 1)
	s.ownDemand = make(map[string]float64, len(s.ownDemand))
	known := make(map[string]bool, len(s.routing.Accounts))
	for i := range s.routing.Accounts {
		a := &s.routing.Accounts[i]
		known[a.Name] = true
		state := s.limiters[a.Name]
		if state == nil {
			belowRate := demand.fresh[a.Name] <= s.belowRateThreshold(a)
			state = &limiterState{limiter: caller.NewRateLimiter(s.rateLimits(a, 1/float64(instances), instances, belowRate), now)}
			s.limiters[a.Name] = state
			s.changed = true
		}
		requests, _ := state.limiter.RequestCounts()
		if !first {
			sample := float64(requests-state.requests) / elapsed
			state.demand += demandSampleWeight * (sample - state.demand)
		}
		state.requests = requests
		if state.demand >= minReportedDemand {
			s.ownDemand[a.Name] = round(state.demand)
		}
		own := state.recordDemand(demandLag(instances))
		total := own + demand.fresh[a.Name]
		even := evenFraction(total, a.Rate, instances)
		free := state.freeFraction(demand, a.Name, total, even, instances)
		state.share = min(free, 1) * knownPart * share(own, total, even, demand.members-demand.stale+1)
		if demand.members == 0 {
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

// sharersMemory is how long a reported number of limit sharers counts, unless a larger one follows.
const sharersMemory = time.Second

// recordReportedSharers records how many instances a sibling divides the limits among.
func (s *State) recordReportedSharers(n int, now time.Time) {
	if n >= s.reportedSharers || now.Sub(s.sharersReportedAt) >= sharersMemory {
		s.reportedSharers, s.sharersReportedAt = n, now
	}
}

// limitSharers returns the number of instances that the limits are divided among, this one included.
func (s *State) limitSharers(now time.Time) int {
	if now.Sub(s.sharersReportedAt) >= 2*sharersMemory {
		return s.knownSharers(now)
	}
	return max(s.knownSharers(now), s.reportedSharers)
}

// knownSharers returns the number of instances that share the limits as far as this one knows by itself. Only that is reported
// to siblings: numbers that others reported would go round for ever.
func (s *State) knownSharers(now time.Time) int { return s.gossip.LimitSharerCount(now) + 1 }

// siblingDemand is the demand at the members that share the limits, by organisation. Its maps hold only organisations that
// some member has demand for, so that a division costs as much as there are demands, not organisations times members.
type siblingDemand struct {
	members, stale int // stale members have no fresh state
	// fresh is the demand at the members with a fresh state, in requests a second.
	fresh map[string]float64
	// staleParts is the fraction of the rate that stale members keep because of their demand.
	staleParts map[string]float64
}

// siblingDemand adds up the demand at the members.
func (s *State) siblingDemand(now time.Time) siblingDemand {
	d := siblingDemand{fresh: map[string]float64{}, staleParts: map[string]float64{}}
	for m, fresh := range s.gossip.EachLimitSharer(now, demandTimeout) {
		d.members++
		if !fresh {
			d.stale++
		}
		for organisation, demand := range m.Demand {
			switch l := s.limiters[organisation]; {
			case fresh:
				d.fresh[organisation] += demand
			case l != nil && l.agreedTotal > 0:
				d.staleParts[organisation] += (1 - l.agreedEven) * demand / l.agreedTotal
			}
		}
	}
	return d
}

// freeFraction returns the fraction of the rate that this instance and the members with a fresh state divide among
// them. The other members may be cut off and continue to spend; they keep the share that was computed when the states
// of all members were last fresh. total is the demand at this instance and the members with a fresh state, and instances
// the number that rates are divided by. even is the fraction of the rate that is divided evenly.
func (l *limiterState) freeFraction(demand siblingDemand, organisation string, total, even float64, instances int) float64 {
	switch {
	case demand.stale == 0:
		l.agreedTotal, l.agreedEven, l.agreedInstances = total, even, instances
		return 1
	case l.agreedInstances == 0:
		return 1
	}
	stale := float64(demand.stale) / float64(l.agreedInstances)
	if l.agreedTotal <= 0 {
		return max(1-stale, 0)
	}
	return max(1-l.agreedEven*stale-demand.staleParts[organisation], 0)
}

// demandLag returns how many divisions the demand of others is old when it arrives.
func demandLag(instances int) int {
	return min(max(minDemandLag, minDemandLag*instances/demandLagInstances), maxDemandLag)
}

// recordDemand records the current demand and returns the demand of lag divisions ago, 0 before the first.
func (l *limiterState) recordDemand(lag int) float64 {
	l.history[l.divisions%len(l.history)] = l.demand
	l.divisions++
	if l.divisions <= lag {
		return 0
	}
	return l.history[(l.divisions-1-lag)%len(l.history)]
}

// belowRateThreshold returns the demand, in requests a second, up to which an organisation counts as below its rate.
func (s *State) belowRateThreshold(a *document.Account) float64 {
	return belowRateFraction*a.Rate + s.config.Bounds.RateSlack*rateToleranceFraction/slackWindow.Seconds()
}

// evenFraction returns the fraction of a rate that is divided evenly: what the demand leaves of it, so that an instance to
// which demand moves has room until the others know. Among more than evenInstances instances the even parts are too small
// for that, and the instances that have the demand need it more.
func evenFraction(total, rate float64, instances int) float64 {
	if rate <= 0 {
		return minEvenFraction
	}
	return max((1-total/rate)*min(evenInstances/float64(instances), 1), minEvenFraction)
}

// share returns an instance's fraction of a rate for its own demand and the total demand of all instances. even is the
// fraction that is divided evenly.
func share(own, total, even float64, instances int) float64 {
	if total <= 0 {
		return 1 / float64(instances)
	}
	return even/float64(instances) + (1-even)*own/total
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

// minReportedDemand is the smallest demand that is sent to siblings, in requests a second.
const minReportedDemand = 0.02
