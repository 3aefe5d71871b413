package control

import (
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/sibling"
)

// DocumentRead is a document that was read from the platform or a sibling.
type DocumentRead struct{ Document *platform.Document }

// InstancesRead is a list that was read from the platform or a sibling.
type InstancesRead struct{ List *platform.InstanceList }

// Refused reports a value that failed its checks. The value in force stays.
type Refused struct{ Err error }

func (Refused) effect() {}

func (e DocumentRead) apply(s *State, now time.Time) {
	if s.document != nil && !e.Document.Revision.Supersedes(s.document.Revision) {
		return
	}
	if err := e.Document.Validate(); err != nil {
		s.emit(Refused{Err: err})
		return
	}
	s.document, s.accounts = e.Document, caller.NewAccounts(e.Document)
	s.configure(now)
}

func (e InstancesRead) apply(s *State, now time.Time) {
	if s.list != nil && !e.List.Revision.Supersedes(s.list.Revision) {
		return
	}
	if err := e.List.Validate(); err != nil {
		s.emit(Refused{Err: err})
		return
	}
	s.list, s.members = e.List, sibling.MembersOf(e.List)
	s.configure(now)
}

// configure applies the document and the list in force to the other parts of the state.
func (s *State) configure(now time.Time) {
	s.changed = true
	if s.document == nil || s.list == nil {
		return
	}
	added, removed := s.fleet.Configure(s.document, s.list)
	for _, in := range added {
		s.emit(PollTarget{ID: in.ID, Address: in.Address})
	}
	for _, id := range removed {
		s.emit(ForgetTarget{ID: id})
	}
	s.rates.configure(s.document, s.members, now)
}
