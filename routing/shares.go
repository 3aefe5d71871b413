package routing

import (
	"errors"
	"math"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
)

func isHistoryGone(err error) bool { return errors.Is(err, ErrHistoryGone) }

const (
	// demandWeight is the part of one sample in the mean demand; with shareInterval it follows a change within a
	// second.
	demandWeight = 0.3
	// evenPart is the part of a rate that is divided evenly among the instances, whatever the demand, so that one
	// whose demand begins can admit at once.
	evenPart = 0.15
	// assumedInstances is the number of instances assumed until some sibling was heard.
	assumedInstances = 8
	// toleratedPart is the part of the stated tolerance that is used. The rest covers demand that moves faster
	// than it is told.
	toleratedPart = 0.4
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
	others := s.gossip.Counted(now)
	instances := len(others) + 1
	if len(others) == 0 {
		instances = assumedInstances
	}
	known := map[string]bool{}
	for i := range s.routing.Accounts {
		a := &s.routing.Accounts[i]
		known[a.Name] = true
		g := s.gates[a.Name]
		if g == nil {
			g = &gateState{gate: caller.NewGate(s.gateLimits(a, 1/float64(instances), instances), now)}
			s.gates[a.Name] = g
			s.changed = true
		}
		asked, _ := g.gate.Asked()
		if !first {
			sample := float64(asked-g.asked) / passed
			g.demand += demandWeight * (sample - g.demand)
		}
		g.asked = asked
		total := g.demand
		for _, b := range others {
			total += b.Demand[a.Name]
		}
		g.share = share(g.demand, total, instances)
		if l := s.gateLimits(a, g.share, instances); l != g.limits {
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
	for _, b := range s.budgets {
		b.SetLimits(s.extraLimits(now))
	}
	if instances != s.members {
		s.members, s.changed = instances, true
	}
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
func (s *State) gateLimits(a *document.Account, part float64, instances int) caller.GateLimits {
	if a.Rate <= 0 {
		return caller.GateLimits{}
	}
	over := 1 + s.id.Bounds.RateOverage*toleratedPart
	burst := a.Burst*part*over + s.id.Bounds.RateSlack*toleratedPart/float64(instances)
	return caller.GateLimits{Limited: true, Rate: round(a.Rate * part * over), Burst: round(max(burst, 1))}
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
