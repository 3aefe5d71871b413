package routing

import (
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

const (
	// isolationTimeout is the time without gossip from another zone after which this instance may be cut off from other
	// zones: several rounds are due in this time.
	isolationTimeout = 600 * time.Millisecond
	// outsideGossipAfter is the time without gossip from another zone after which each round includes a sibling of
	// another zone, so that random choice of siblings alone does not look like a partition.
	outsideGossipAfter = 250 * time.Millisecond
	// recoveryContactAge is the age that the last gossip from another zone must be below to end the isolation.
	recoveryContactAge = 300 * time.Millisecond
)

// ReachableFraction returns the fraction, from 0 to 1, of the services that have a target which neither is unreachable nor
// is leaving. It
// is 0 without services.
func (s *Snapshot) ReachableFraction(services []string, now time.Time) float64 {
	if len(services) == 0 {
		return 0
	}
	n := 0
	for _, name := range services {
		for _, t := range s.Candidates(name) {
			if !t.Stats.Unreachable(now) && !t.Stats.Leaving() {
				n++
				break
			}
		}
	}
	return float64(n) / float64(len(services))
}

// The limits for an instance of a large zone, whose contact with other zones is mostly that of others in its zone and reaches
// it some rounds later.
const (
	largeZoneIsolationTimeout   = time.Second
	largeZoneOutsideGossipAfter = 600 * time.Millisecond
	largeZoneRecoveryContactAge = 600 * time.Millisecond
)

// recordContact records gossip from a sibling; states starts with the state of the sender. A sender of the own zone tells when
// the zone last heard from another one.
func (s *State) recordContact(states []sibling.MemberState, now time.Time) {
	switch {
	case len(states) == 0:
	case states[0].Zone != s.config.Zone:
		s.outsideContact = now
	case states[0].OutsideAge != sibling.NoContact:
		if at := now.Add(-states[0].OutsideAge); at.After(s.outsideContact) {
			s.outsideContact = at
		}
	}
}

// seeksOutsideContact reports whether each round of gossip includes a sibling of another zone.
func (s *State) seeksOutsideContact(now time.Time) bool {
	limit := outsideGossipAfter
	if s.gossip.LargeZone(now) {
		limit = largeZoneOutsideGossipAfter
	}
	return now.Sub(s.outsideContact) > limit
}

// updateIsolation decides whether this instance reports unready because it is cut off from other zones and cannot serve
// some route. The load balancer then sends its callers to instances that can.
func (s *State) updateIsolation(now time.Time) {
	sinceContact := now.Sub(s.outsideContact)
	timeout, recovery := isolationTimeout, recoveryContactAge
	if s.gossip.LargeZone(now) {
		timeout, recovery = largeZoneIsolationTimeout, largeZoneRecoveryContactAge
	}
	switch {
	case s.isolated && sinceContact < recovery:
		s.isolated, s.changed = false, true
		for _, t := range s.targets {
			t.target.Stats.MarkReachable()
		}
		s.logState("zones", s.config.Zone, "cut off", "in contact", "exchange")
	case !s.isolated && sinceContact > timeout && s.hasSiblingsElsewhere(now) && s.someRouteUnreachable(now):
		s.isolated, s.changed = true, true
		for _, t := range s.targets {
			if t.target.Zone != s.config.Zone && t.target.Stats.Unresponsive(now) {
				t.target.Stats.MarkUnreachable()
			}
		}
		s.logState("zones", s.config.Zone, "in contact", "cut off", "no exchange for "+sinceContact.Round(time.Millisecond).String())
	}
}

// hasSiblingsElsewhere reports whether the members include instances of other zones, even if these were last seen some
// time ago.
func (s *State) hasSiblingsElsewhere(now time.Time) bool {
	for m := range s.gossip.EachLimitSharer(now, demandTimeout) {
		if m.Zone != s.config.Zone {
			return true
		}
	}
	return false
}

// someRouteUnreachable reports whether some route cannot be served because targets do not respond.
func (s *State) someRouteUnreachable(now time.Time) bool {
	if s.routing == nil {
		return false
	}
	responsive := map[string]bool{}
	unresponsive := map[string]bool{}
	for _, t := range s.targets {
		if t.target.Stats.Unresponsive(now) {
			unresponsive[t.target.Service] = true
		} else {
			responsive[t.target.Service] = true
		}
	}
	for i := range s.routing.Routes {
		if routeUnreachable(&s.routing.Routes[i], responsive, unresponsive) {
			return true
		}
	}
	return false
}

// routeUnreachable reports whether too few services of a route have a target that responds.
func routeUnreachable(r *document.Route, responsive, unresponsive map[string]bool) bool {
	if !r.Sharded() {
		for _, x := range r.Services {
			if unresponsive[x.Service] && !responsive[x.Service] {
				return true
			}
		}
		return false
	}
	lost := 0
	for _, name := range r.Shards {
		if unresponsive[name] && !responsive[name] {
			lost++
		}
	}
	return float64(len(r.Shards)-lost) < r.MinCoverage*float64(len(r.Shards))
}
