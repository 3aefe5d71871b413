package control

import (
	"time"

	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/sibling"
)

// Exchange asks for a heartbeat to a sibling.
type Exchange struct {
	To        sibling.Member
	Heartbeat sibling.Heartbeat
}

// FetchDocument asks a sibling for its document.
type FetchDocument struct{ From sibling.Member }

func (Exchange) effect()      {}
func (FetchDocument) effect() {}

// HeartbeatHeard is a heartbeat of a sibling, received or returned.
type HeartbeatHeard struct{ Heartbeat sibling.Heartbeat }

func (e HeartbeatHeard) apply(s *State, now time.Time) {
	s.roster.Hear(e.Heartbeat, now)
	if id, ok := s.roster.Newest(s.documentRevision()); ok {
		if m, ok := s.member(id); ok {
			s.emit(FetchDocument{From: m})
		}
	}
}

// OwnHeartbeat asks for the heartbeat that this instance sends. Reply must have room for one value.
type OwnHeartbeat struct{ Reply chan<- sibling.Heartbeat }

func (e OwnHeartbeat) apply(s *State, _ time.Time) { e.Reply <- s.ownHeartbeat() }

func (s *State) ownHeartbeat() sibling.Heartbeat {
	h := sibling.Heartbeat{ID: s.self.ID, Zone: s.self.Zone, DocumentRevision: s.documentRevision()}
	if s.list != nil {
		h.ListRevision = s.list.Revision
	}
	return h
}

func (s *State) documentRevision() platform.Revision {
	if s.document == nil {
		return 0
	}
	return s.document.Revision
}

func (s *State) member(id string) (sibling.Member, bool) {
	for _, m := range s.members {
		if m.ID == id {
			return m, true
		}
	}
	return sibling.Member{}, false
}

// heartbeat sends a heartbeat to one random sibling when it is due.
func (s *State) heartbeat(now time.Time) {
	if now.Before(s.nextHeartbeat) || len(s.members) == 0 {
		return
	}
	s.nextHeartbeat = now.Add(heartbeatInterval)
	m := s.members[s.rng.IntN(len(s.members))]
	if m.ID == s.self.ID {
		return
	}
	s.emit(Exchange{To: m, Heartbeat: s.ownHeartbeat()})
}
