package routing

import (
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

const (
	// isolationTimeout is after how long without an exchange with another zone this instance may be cut off from it:
	// several exchanges are due in this time.
	isolationTimeout = 600 * time.Millisecond
	// outsideGossipAfter is after how long without one an exchange with another zone is made on purpose, so that chance alone
	// does not look like a cut.
	outsideGossipAfter = 250 * time.Millisecond
	// recoveryContactAge is how recent an exchange must be to end that.
	recoveryContactAge = 300 * time.Millisecond
)

// ReachableFraction says which part of the services have a target that is not dark, from 0 to 1.
func (s *Snapshot) ReachableFraction(services []string, now time.Time) float64 {
	if len(services) == 0 {
		return 0
	}
	n := 0
	for _, name := range services {
		for _, t := range s.Candidates(name) {
			if !t.Stats.Unreachable(now) {
				n++
				break
			}
		}
	}
	return float64(n) / float64(len(services))
}

// heardFrom notes an exchange with a sibling.
func (s *State) recordContact(beats []sibling.MemberState, now time.Time) {
	if len(beats) > 0 && beats[0].Zone != s.config.Zone {
		s.outsideContact = now
	}
}

// isolate decides whether this instance reports itself unready because it is cut off from other zones and cannot
// serve some route from its own: callers are then taken to the zones that can.
func (s *State) updateIsolation(now time.Time) {
	silent := now.Sub(s.outsideContact)
	switch {
	case s.isolated && silent < recoveryContactAge:
		s.isolated, s.changed = false, true
		for _, t := range s.targets {
			t.target.Stats.MarkReachable()
		}
		s.logState("zones", s.config.Zone, "cut off", "in contact", "exchange")
	case !s.isolated && silent > isolationTimeout && s.hasSiblingsElsewhere(now) && s.someRouteUnreachable(now):
		s.isolated, s.changed = true, true
		for _, t := range s.targets {
			if t.target.Zone != s.config.Zone && t.target.Stats.Unresponsive(now) {
				t.target.Stats.MarkUnreachable()
			}
		}
		s.logState("zones", s.config.Zone, "in contact", "cut off", "no exchange for "+silent.Round(time.Millisecond).String())
	}
}

// othersElsewhere reports whether there are instances in other zones as far as is known.
func (s *State) hasSiblingsElsewhere(now time.Time) bool {
	for _, b := range s.gossip.LimitSharers(now) {
		if b.Zone != s.config.Zone {
			return true
		}
	}
	return false
}

// unreachable reports whether some route cannot be served.
func (s *State) someRouteUnreachable(now time.Time) bool {
	if s.routing == nil {
		return false
	}
	alive := map[string]bool{}
	dark := map[string]bool{}
	for _, t := range s.targets {
		if t.target.Stats.Unresponsive(now) {
			dark[t.target.Service] = true
		} else {
			alive[t.target.Service] = true
		}
	}
	for i := range s.routing.Routes {
		if routeUnreachable(&s.routing.Routes[i], alive, dark) {
			return true
		}
	}
	return false
}

// routeUnreachable reports whether too few services of a route have a target that is not silent.
func routeUnreachable(r *document.Route, alive, dark map[string]bool) bool {
	if !r.Sharded() {
		for _, x := range r.Services {
			if dark[x.Service] && !alive[x.Service] {
				return true
			}
		}
		return false
	}
	lost := 0
	for _, name := range r.Shards {
		if dark[name] && !alive[name] {
			lost++
		}
	}
	return float64(len(r.Shards)-lost) < r.MinCoverage*float64(len(r.Shards))
}
