package control

import (
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// SendHeartbeat sends a heartbeat to a sibling, which replies with its own.
type SendHeartbeat struct {
	To        sibling.Member
	Heartbeat sibling.Heartbeat
}

// Announce announces the revision of a value in force to a sibling.
type Announce struct{ sibling.Announce }

// Fetch fetches a newer value from a sibling.
type Fetch struct{ sibling.Fetch }

func (SendHeartbeat) effect() {}
func (Announce) effect()      {}
func (Fetch) effect()         {}

// HeartbeatReceived carries a heartbeat that a sibling sent, not in reply to one of this instance.
type HeartbeatReceived struct{ Heartbeat sibling.Heartbeat }

// HeartbeatReplyReceived carries a sibling's heartbeat in reply to one that was sent at Sent.
type HeartbeatReplyReceived struct {
	Heartbeat sibling.Heartbeat
	Sent      time.Time
}

// RevisionAnnounced carries the announcement of a revision that a sibling has in force.
type RevisionAnnounced struct {
	From     string
	Value    sibling.ValueKind
	Revision document.Revision
}

// FetchEnded reports the end of a fetch, successful or not. Values that it received were posted before.
type FetchEnded struct{ Fetch Fetch }

func (e HeartbeatReceived) apply(s *State, now time.Time) {
	s.roster.Record(e.Heartbeat, now)
	s.stepDisseminator(sibling.HeartbeatReceived{Heartbeat: e.Heartbeat}, now)
}

func (e HeartbeatReplyReceived) apply(s *State, now time.Time) {
	s.roster.Record(e.Heartbeat, now)
	s.stepDisseminator(sibling.HeartbeatReplied{Heartbeat: e.Heartbeat, Sent: e.Sent}, now)
}

func (e RevisionAnnounced) apply(s *State, now time.Time) {
	s.stepDisseminator(sibling.RevisionAnnounced{From: e.From, Value: e.Value, Revision: e.Revision}, now)
}

func (e FetchEnded) apply(s *State, now time.Time) {
	s.stepDisseminator(sibling.FetchEnded{From: e.Fetch.From.ID, Value: e.Fetch.Value}, now)
}

// BuildHeartbeat requests the heartbeat that this instance sends. Reply must have room for one value.
type BuildHeartbeat struct{ Reply chan<- sibling.Heartbeat }

func (e BuildHeartbeat) apply(s *State, now time.Time) { e.Reply <- s.disseminator.Heartbeat(now) }
