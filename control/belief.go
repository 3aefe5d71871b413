package control

import (
	"fmt"
	"strconv"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// LogStateChange is a change of what this instance believes, for the log.
type LogStateChange struct{ Subject, Name, Old, New, Source string }

func (LogStateChange) effect() {}

// The subjects of notes.
const (
	subjectDocument   = "document"
	subjectList       = "instance list"
	subjectPlatform   = "platform"
	subjectInstance   = "instance"
	subjectTarget     = "target"
	subjectQuarantine = "quarantined requests"
)

// belief is what this instance noted last of itself and of the platform.
type belief struct {
	lost        bool // the last read of the platform failed
	state       string
	quarantined int
}

// noteRevision notes a document or list that comes into force.
func (s *State) noteRevision(v sibling.ValueKind, old, revision document.Revision, source Source) {
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

// notePlatform notes that reads of the platform began to fail, or succeed again.
func (s *State) notePlatform(lost bool, v sibling.ValueKind) {
	if s.noted.lost == lost {
		return
	}
	s.noted.lost = lost
	words := map[bool]string{true: "lost", false: "reached"}
	s.emit(LogStateChange{Subject: subjectPlatform, Old: words[!lost], New: words[lost], Source: fmt.Sprint("read of the ", v)})
}

// noteSelf notes whether this instance takes work, and how many requests are quarantined.
func (s *State) noteSelf() {
	state := "in service"
	switch {
	case s.draining:
		state = "draining"
	case !s.configured():
		state = "not configured"
	case !s.outSince.IsZero():
		state = "out of service"
	case !s.settled:
		state = "joining"
	}
	if state != s.noted.state {
		s.emit(LogStateChange{Subject: subjectInstance, Name: s.self.ID, Old: s.noted.state, New: state, Source: "control"})
		s.noted.state = state
	}
	if n := len(s.fleet.Quarantined()); n != s.noted.quarantined {
		s.emit(LogStateChange{Subject: subjectQuarantine, Old: strconv.Itoa(s.noted.quarantined), New: strconv.Itoa(n), Source: "crashes of targets"})
		s.noted.quarantined = n
	}
}
