package control

import (
	"cmp"
	"slices"
	"time"

	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// SendNotices sends notices to a sibling. A lost message needs no repeat: whoever lacks a notice asks for it.
type SendNotices struct {
	To      sibling.Member
	Notices targets.Notices
}

// RequestNotices asks a sibling which of the targets are warm.
type RequestNotices struct {
	To      sibling.Member
	Targets []string
}

func (SendNotices) effect()    {}
func (RequestNotices) effect() {}

// NoticesReceived is what a sibling said, unasked or in reply.
type NoticesReceived struct{ Notices targets.Notices }

// NoticesRequested asks for what this instance knows about the targets. Reply must have room for one value.
type NoticesRequested struct {
	Targets []string
	Reply   chan<- targets.Notices
}

// member returns the listed sibling of that ID.
func (s *State) member(id string) (sibling.Member, bool) {
	i, ok := slices.BinarySearchFunc(s.members, id, func(m sibling.Member, id string) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return sibling.Member{}, false
	}
	return s.members[i], true
}

func (e NoticesReceived) apply(s *State, now time.Time) { s.fleet.ReceiveNotices(e.Notices, now) }

func (e NoticesRequested) apply(s *State, now time.Time) {
	e.Reply <- s.fleet.NoticesFor(e.Targets, now)
}
