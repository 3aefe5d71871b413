// Package sibling holds the decisions about the other entry instances: who they are, what each must know, and
// which of them owns what.
//
// The package does no I/O and reads no clock; siblinggrpc connects instances.
package sibling

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwooddrift.org/drift/platform"
)

// The errors of this layer. siblinggrpc turns those of the transport into them.
var (
	// ErrNotSent means that the sibling did not receive the message.
	ErrNotSent = errors.New("sibling unreachable, message not sent")
	// ErrNoReply means that the sibling may have received the message, but no reply came.
	ErrNoReply = errors.New("sibling gave no reply")
)

// Member is an entry instance as this instance knows it.
type Member struct {
	ID          string
	Zone        string
	PeerAddress string
	Leaving     bool
}

// Members is the view of the listed entry instances, ordered by ID. It is immutable.
type Members []Member

// MembersOf returns the entry instances of a list.
func MembersOf(list *platform.InstanceList) Members {
	var out Members
	for _, in := range list.Entries() {
		out = append(out, Member{ID: in.ID, Zone: in.Zone, PeerAddress: in.PeerAddress, Leaving: in.State == platform.StateLeaving})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// InZone returns the members of one zone.
func (m Members) InZone(zone string) Members {
	var out Members
	for _, x := range m {
		if x.Zone == zone {
			out = append(out, x)
		}
	}
	return out
}

// Rank orders members by rendezvous hashing for a key, the highest first, and returns at most n. A join or
// departure moves only the keys of the instance that joins or departs.
func (m Members) Rank(key string, n int) Members {
	type scored struct {
		member Member
		score  uint64
	}
	scores := make([]scored, len(m))
	var d xxhash.Digest
	for i, x := range m {
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(x.ID)
		scores[i] = scored{member: x, score: d.Sum64()}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.member.ID, b.member.ID)
	})
	out := make(Members, 0, min(n, len(scores)))
	for _, s := range scores[:min(n, len(scores))] {
		out = append(out, s.member)
	}
	return out
}

// Heartbeat is what an instance tells a sibling about itself.
type Heartbeat struct {
	ID               string
	Zone             string
	DocumentRevision platform.Revision
	ListRevision     platform.Revision
}

// Peer is what this instance heard from a sibling.
type Peer struct {
	Heartbeat Heartbeat
	Heard     time.Time
}

// Roster keeps what each sibling last said. It belongs to the control goroutine.
type Roster struct {
	peers map[string]Peer
}

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{peers: map[string]Peer{}} }

// Hear takes a sibling's heartbeat, received or returned by it.
func (r *Roster) Hear(h Heartbeat, now time.Time) { r.peers[h.ID] = Peer{Heartbeat: h, Heard: now} }

// Peers returns a copy of what is known, by ID of the sibling.
func (r *Roster) Peers() map[string]Peer {
	out := make(map[string]Peer, len(r.peers))
	for id, p := range r.peers {
		out[id] = p
	}
	return out
}

// Newest returns the sibling with the highest document revision, if any is above current.
func (r *Roster) Newest(current platform.Revision) (id string, ok bool) {
	best := current
	for peer, p := range r.peers {
		if p.Heartbeat.DocumentRevision.Supersedes(best) {
			best, id, ok = p.Heartbeat.DocumentRevision, peer, true
		}
	}
	return id, ok
}
