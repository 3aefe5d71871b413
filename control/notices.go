package control

import (
	"cmp"
	"slices"
	"time"

	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// Notify sends notices to a sibling. A lost message needs no repeat: whoever lacks a notice asks for it.
type Notify struct {
	To      sibling.Member
	Notices targets.Notices
}

// AskNotices asks a sibling which of the targets are warm.
type AskNotices struct {
	To      sibling.Member
	Targets []string
}

func (Notify) effect()     {}
func (AskNotices) effect() {}

// NoticesHeard is what a sibling said, unasked or in reply.
type NoticesHeard struct{ Notices targets.Notices }

// NoticesAsked asks for what this instance knows about the targets. Reply must have room for one value.
type NoticesAsked struct {
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

func (e NoticesHeard) apply(s *State, now time.Time) { s.fleet.ReceiveNotices(e.Notices, now) }

func (e NoticesAsked) apply(s *State, now time.Time) { e.Reply <- s.fleet.NoticesFor(e.Targets, now) }
