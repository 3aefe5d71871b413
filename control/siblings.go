package control

import (
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// SendHeartbeat asks for a heartbeat to a sibling.
type SendHeartbeat struct {
	To        sibling.Member
	Heartbeat sibling.Heartbeat
}

// Announce asks to tell a sibling of a revision.
type Announce struct{ sibling.Announce }

// Fetch asks a sibling for a newer value.
type Fetch struct{ sibling.Fetch }

func (SendHeartbeat) effect() {}
func (Announce) effect()      {}
func (Fetch) effect()         {}

// HeartbeatReceived is a heartbeat that a sibling sent.
type HeartbeatReceived struct{ Heartbeat sibling.Heartbeat }

// HeartbeatReplyReceived is a sibling's heartbeat in reply to one that was sent at Sent.
type HeartbeatReplyReceived struct {
	Heartbeat sibling.Heartbeat
	Sent      time.Time
}

// RevisionAnnounced is a revision that a sibling has in force.
type RevisionAnnounced struct {
	From     string
	Value    sibling.ValueKind
	Revision document.Revision
}

// FetchEnded says that a fetch is over. What it brought was posted before.
type FetchEnded struct{ Fetch Fetch }

func (e HeartbeatReceived) apply(s *State, now time.Time) {
	s.roster.Record(e.Heartbeat, now)
	s.spreadStep(sibling.HeartbeatReceived{Heartbeat: e.Heartbeat}, now)
}

func (e HeartbeatReplyReceived) apply(s *State, now time.Time) {
	s.roster.Record(e.Heartbeat, now)
	s.spreadStep(sibling.HeartbeatReplied{Heartbeat: e.Heartbeat, Sent: e.Sent}, now)
}

func (e RevisionAnnounced) apply(s *State, now time.Time) {
	s.spreadStep(sibling.RevisionAnnounced{From: e.From, Value: e.Value, Revision: e.Revision}, now)
}

func (e FetchEnded) apply(s *State, now time.Time) {
	s.spreadStep(sibling.FetchEnded{From: e.Fetch.From.ID, Value: e.Fetch.Value}, now)
}

// BuildHeartbeat asks for the heartbeat that this instance sends. Reply must have room for one value.
type BuildHeartbeat struct{ Reply chan<- sibling.Heartbeat }

func (e BuildHeartbeat) apply(s *State, now time.Time) { e.Reply <- s.spread.Heartbeat(now) }
