package routing

import (
	"strconv"
	"time"
)

// applyUpdate applies an update and logs the values that changed.
func (s *State) applyUpdate(u Update, source string, now time.Time) {
	if u.To.Revision == 0 && len(u.Changes) == 0 {
		return
	}
	before := s.values.completeTo
	applied := s.values.apply(u, now)
	if s.values.completeTo.After(before) {
		// Whatever a full read was needed for, it was as of an earlier position.
		s.historyGone, s.suspicion = 0, suspicion{}
	}
	if after := s.values.completeTo; before.Revision > 0 && after.History != before.History {
		s.logHistory(before, u.To, source)
		if known, lost := s.values.beforeLostZones(now); lost && s.reader {
			s.verification.expect(known) // a full read does not tell a zone that was put back from one whose statement is lost
		}
		s.gossip.Hasten(now)
	}
	if u.Full && s.values.completeTo.Revision == 0 {
		s.withoutValuesSince = now
		s.logState("values", "", "complete", "incomplete", "the "+source+" names values that are missing here")
	}
	if len(applied) == 0 {
		return
	}
	s.valuesChangedAt = now
	for _, c := range applied {
		e := s.values.entries[c.ID()]
		s.logChange(c, e, source, now)
		s.applyValue(c.ID(), now)
		if c.Kind != KindTarget {
			s.gossip.Hasten(now)
		}
	}
}

// logChange logs a change that led to an entry.
func (s *State) logChange(c Change, e *entry, source string, now time.Time) {
	state := statePresent
	switch {
	case e.outdated && e.Revision == c.Revision:
		state = stateOutdated
	case e.Retained && (c.Retained || c.Routing != nil):
		state = stateRetained
	case c.Removed && c.Lapsed:
		state = stateLapsed
	case c.Removed:
		state = stateRemoved
	case c.Kind == KindTarget && c.Target == nil, c.Kind == KindRouting && c.Routing == nil:
		state = stateInvalid
	case c.Kind == KindTarget && c.Target.Draining:
		state = stateDraining
	case c.Kind == KindRouting:
		state = "version " + strconv.FormatUint(uint64(c.Routing.Version), 10)
	}
	if e.Retained && e.Routing != nil {
		source += ", version " + strconv.FormatUint(uint64(e.Routing.Version), 10) + " stays in force,"
	}
	if c.Kind == KindTarget {
		s.logRegistration(c, state, source)
		return
	}
	source += " revision " + strconv.FormatUint(uint64(c.Revision), 10)
	if !s.transfers.behindSince.IsZero() {
		source += ", behind siblings for " + ageText(s.transfers.behindSince, now)
	}
	s.logState(string(c.Kind), c.Name, "", state, source)
}

// logRegistration logs a change of a target's registration, before it is applied.
func (s *State) logRegistration(c Change, state, source string) {
	t := targetChange{id: c.Name, service: s.serviceOf(c.Name), new: state, source: source, revision: c.Revision}
	if c.Target != nil {
		t.service = c.Target.Service
		if old := s.targets[c.Name]; old != nil {
			switch {
			case old.target.Incarnation != c.Target.Incarnation:
				t.detail = detailRestart
			case old.target.Address != c.Target.Address:
				t.detail = detailAddress
			case s.targetLog.known[c.Name] == state:
				t.detail = detailRepeated
			}
		}
	}
	s.targetLog.addRegistration(t)
}
