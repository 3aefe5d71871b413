package routing

import "time"

const (
	// confirmTimeout is how long a new instance looks for a confirmation of the values that a sibling gave it. After that it
	// serves with them: nothing newer can be had.
	confirmTimeout = 3 * time.Second
	// confirmingSiblings is the number of siblings, one of another zone among them, that confirm values if none of them has
	// newer ones.
	confirmingSiblings = 3
)

// confirmValues decides whether a new instance may serve with the values that it has. Its first source may be a sibling that
// is cut off and behind: a target that has left, or a key that was withdrawn, would be in use again. Values count as
// confirmed once this instance has read the platform, once they are as new as those of a sibling that has just read it, or
// once several siblings of different zones have none that are newer.
func (s *State) confirmValues(now time.Time) {
	if s.confirmed || s.values.completeTo.Revision == 0 {
		return
	}
	source := s.confirmation(now)
	if source == "" {
		return
	}
	s.confirmed, s.changed = true, true
	s.logState("values", "", "unconfirmed", "confirmed", source)
}

// confirmation returns what confirms the values, "" if nothing does.
func (s *State) confirmation(now time.Time) string {
	if !s.storeContact.IsZero() {
		return "platform"
	}
	live := s.gossip.Live(now)
	otherZone := false
	for _, m := range live {
		if m.CompleteTo.After(s.values.completeTo) {
			return ""
		}
		if s.followsPlatform(&m) {
			return "sibling that reads the platform"
		}
		otherZone = otherZone || m.Zone != s.config.Zone
	}
	switch {
	case len(live) >= confirmingSiblings && otherZone:
		return "siblings"
	case now.Sub(s.started) >= confirmTimeout:
		return "timeout"
	}
	return ""
}
