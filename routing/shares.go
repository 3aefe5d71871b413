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
	// demandWeight is the part of one sample in the mean demand; with shareInterval it follows a change within a
	// second.
	demandWeight = 0.25
	// demandLag is how many divisions old the own demand is when it is compared with that of others, which took
	// two rounds of gossip. Were it newer, a surge at all instances would give each too large a part.
	demandLag = 2
	// evenPart is the part of a rate that is divided evenly among the instances, whatever the demand, so that one
	// whose demand begins can admit at once.
	evenPart = 0.15
	// assumedInstances is the number of instances assumed until some sibling was heard.
	assumedInstances = 8
	// ratePart is the part of the stated tolerance that widens the rate, burstPart the one that widens the burst. The
	// rest covers demand that moves faster than it is told. The rate gets more, since only it helps an organisation
	// that stays a little above its limit.
	ratePart  = 0.65
	burstPart = 0.15
	// calmPart is the part of its rate below which an organisation's demand counts as calm. Its requests then come
	// at single instances by chance more often than the parts of the rate allow.
	calmPart = 0.85
	// staleDemand is the time without a newer state of a member after which its demand is too old to give others a
	// larger part. States usually arrive within three rounds of gossip.
	staleDemand = 1200 * time.Millisecond
	// calmWindow is the time in which the slack may be used up by a demand that still counts as calm.
	calmWindow = 5 * time.Second
	// sparePart is the part of the slack that calm organisations get besides, in each spareTime.
	sparePart = 0.8
	// spareTime is the time in which calm organisations may use up the stated slack: the demand of an organisation
	// that is not calm any more is known everywhere within it.
	spareTime = time.Second
)

// divide gives this instance its part of each organisation's rate, in proportion to the demand that the instances
// see. All instances compute from nearly the same figures, so that the parts add up to about one; an instance that
// is cut off goes on with its last part while the others count its last demand.
func (s *State) divide(now time.Time) {
	if s.routing == nil || now.Sub(s.divided) < shareInterval {
		return
	}
	passed := now.Sub(s.divided).Seconds()
	first := s.divided.IsZero()
	s.divided = now
	others := s.gossip.LimitSharers(now)
	instances := len(others) + 1
	if len(others) == 0 {
		instances = assumedInstances
	}
	heard := s.gossip.SeenWithin(now, staleDemand)
	known := map[string]bool{}
	for i := range s.routing.Accounts {
		a := &s.routing.Accounts[i]
		known[a.Name] = true
		g := s.gates[a.Name]
		if g == nil {
			g = &gateState{gate: caller.NewRateLimiter(s.gateLimits(a, 1/float64(instances), instances, false), now)}
			s.gates[a.Name] = g
			s.changed = true
		}
		asked, _ := g.gate.RequestCounts()
		if !first {
			sample := float64(asked-g.asked) / passed
			g.demand += demandWeight * (sample - g.demand)
		}
		g.asked = asked
		own := g.remember()
		free := g.free(others, heard, own, a.Name, instances)
		total := own
		for _, b := range heard {
			total += b.Demand[a.Name]
		}
		g.share = min(free, 1) * share(own, total, len(heard)+1)
		if len(others) == 0 {
			g.share = 1 / float64(instances)
		}
		if l := s.gateLimits(a, g.share, instances, total <= free*s.calm(a)); l != g.limits {
			g.limits = l
			g.gate.SetLimits(l, now)
		}
	}
	for name := range s.gates {
		if !known[name] {
			delete(s.gates, name)
			s.changed = true
		}
	}
	limits := s.extraLimits(now)
	for _, b := range s.budgets {
		b.SetLimits(limits)
	}
	if instances != s.members {
		s.members, s.changed = instances, true
	}
}

// free returns the part of the rate that the members which are heard divide among them. The others, which may be cut
// off and go on spending, keep the parts that all agreed on when they were last heard.
func (g *gateState) free(others, heard []sibling.MemberState, own float64, organisation string, instances int) float64 {
	if len(heard) == len(others) {
		total := own
		for _, b := range others {
			total += b.Demand[organisation]
		}
		g.agreed = make(map[string]float64, len(others))
		for _, b := range others {
			g.agreed[b.ID] = share(b.Demand[organisation], total, instances)
		}
		return 1
	}
	free := 1.0
	for _, b := range others {
		if !slices.ContainsFunc(heard, func(h sibling.MemberState) bool { return h.ID == b.ID }) {
			free -= g.agreed[b.ID]
		}
	}
	return max(free, 0)
}

// remember notes the demand and returns the one of demandLag divisions ago.
func (g *gateState) remember() float64 {
	old := g.history[0]
	copy(g.history[:], g.history[1:])
	g.history[demandLag-1] = g.demand
	return old
}

// calm returns the demand up to which an organisation counts as calm.
func (s *State) calm(a *document.Account) float64 {
	return calmPart*a.Rate + s.id.Bounds.RateSlack*ratePart/calmWindow.Seconds()
}

// share returns this instance's part of a rate.
func share(own, total float64, instances int) float64 {
	even := 1 / float64(instances)
	if total <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/total
}

// gateLimits returns the limits of a part of an organisation's rate, with the tolerance of the bounds.
// While the organisation is calm they are wider by this instance's part of the slack.
func (s *State) gateLimits(a *document.Account, part float64, instances int, calm bool) caller.RateLimits {
	if a.Rate <= 0 {
		return caller.RateLimits{}
	}
	b := s.id.Bounds
	slack := b.RateSlack / float64(instances)
	l := caller.RateLimits{
		Limited: true,
		Rate:    a.Rate*part*(1+b.RateOverage*ratePart) + slack*ratePart/calmWindow.Seconds(),
		Burst:   a.Burst*part*(1+b.RateOverage*burstPart) + slack*burstPart,
	}
	if calm {
		spare := slack * sparePart
		l.Rate += spare / spareTime.Seconds()
		l.Burst += spare
	}
	l.Rate, l.Burst = round(l.Rate), round(max(l.Burst, 1))
	return l
}

// round keeps limits from changing with every small change of demand.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// demands returns the demand of each organisation at this instance, in requests a second.
func (s *State) demands() map[string]float64 {
	out := make(map[string]float64, len(s.gates))
	for name, g := range s.gates {
		if g.demand >= minDemand {
			out[name] = round(g.demand)
		}
	}
	return out
}

// minDemand is the demand below which siblings are not told of it, in requests a second.
const minDemand = 0.02
