package control

import (
	"fmt"
	"strconv"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// LogStateChange logs a change of the state that this instance assumes for itself, a target, the platform or a value.
type LogStateChange struct{ Subject, Name, Old, New, Source string }

func (LogStateChange) effect() {}

// The subjects of logged changes.
const (
	subjectDocument   = "document"
	subjectList       = "instance list"
	subjectPlatform   = "platform"
	subjectInstance   = "instance"
	subjectTarget     = "target"
	subjectQuarantine = "quarantined requests"
)

// loggedState is the state that was logged last.
type loggedState struct {
	platformLost bool // the last read of the platform failed
	state        string
	quarantined  int
}

// logRevision logs a document or list that comes into force.
func (s *State) logRevision(v sibling.ValueKind, old, revision document.Revision, source Source) {
	subject := subjectDocument
	if v == sibling.InstanceList {
		subject = subjectList
	}
	from := "platform"
	if source.SiblingID != "" {
		from = "sibling " + source.SiblingID
	}
	s.emit(LogStateChange{Subject: subject, Old: fmt.Sprint("revision ", old), New: fmt.Sprint("revision ", revision), Source: from})
}

// logPlatformState logs when reads of the platform begin to fail or succeed again.
func (s *State) logPlatformState(lost bool, v sibling.ValueKind) {
	if s.logged.platformLost == lost {
		return
	}
	s.logged.platformLost = lost
	names := map[bool]string{true: "lost", false: "reached"}
	s.emit(LogStateChange{Subject: subjectPlatform, Old: names[!lost], New: names[lost], Source: fmt.Sprint("read of the ", v)})
}

// logOwnState logs changes of this instance's readiness for requests and of the number of quarantined requests.
func (s *State) logOwnState() {
	state := "in service"
	switch {
	case s.draining:
		state = "draining"
	case !s.configured():
		state = "not configured"
	case !s.outOfServiceSince.IsZero():
		state = "out of service"
	case !s.rateSharesJoined:
		state = "joining"
	}
	if state != s.logged.state {
		s.emit(LogStateChange{Subject: subjectInstance, Name: s.self.ID, Old: s.logged.state, New: state, Source: "control"})
		s.logged.state = state
	}
	if n := len(s.fleet.Quarantined()); n != s.logged.quarantined {
		s.emit(LogStateChange{Subject: subjectQuarantine, Old: strconv.Itoa(s.logged.quarantined), New: strconv.Itoa(n), Source: "crashes of targets"})
		s.logged.quarantined = n
	}
}
