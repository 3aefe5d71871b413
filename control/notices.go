package control

import (
	"cmp"
	"slices"
	"time"

	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// SendNotices sends notices to a sibling. A lost message is not repeated: an instance that lacks a notice requests it.
type SendNotices struct {
	To      sibling.Member
	Notices targets.Notices
}

// RequestNotices requests the notices of a sibling about which of the targets are warm.
type RequestNotices struct {
	To      sibling.Member
	Targets []string
}

func (SendNotices) effect()    {}
func (RequestNotices) effect() {}

// NoticesReceived carries notices that a sibling sent, unrequested or in reply.
type NoticesReceived struct{ Notices targets.Notices }

// NoticesRequested requests the notices of this instance about the targets. Reply must have room for one value.
type NoticesRequested struct {
	Targets []string
	Reply   chan<- targets.Notices
}

// member returns the listed member with the ID.
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
