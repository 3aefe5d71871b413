package sibling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwooddrift.org/drift/document"
)

// Member identifies an entry instance and its address for siblings.
type Member struct {
	ID          string
	Zone        string
	PeerAddress string
	Leaving     bool
}

// Members holds the listed entry instances, ordered by ID. It is immutable.
type Members []Member

// MembersOf returns the entry instances of a list.
func MembersOf(list *document.InstanceList) Members {
	var out Members
	for _, in := range list.EntryInstances() {
		out = append(out, Member{ID: in.ID, Zone: in.Zone, PeerAddress: in.PeerAddress, Leaving: in.State == document.StateLeaving})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Find returns the member with the ID.
func (m Members) Find(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(m, id, func(x Member, id string) int { return cmp.Compare(x.ID, id) })
	if !ok {
		return Member{}, false
	}
	return m[i], true
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

// Rank orders members by rendezvous hashing for a key, the highest score first, and returns at most n. Joins and
// departures move only the keys of the instance that joins or leaves.
func (m Members) Rank(key string, n int) Members {
	type scored struct {
		member Member
		score  uint64
	}
	scores := make([]scored, len(m))
	for i, x := range m {
		scores[i] = scored{member: x, score: rendezvous(key, x.ID)}
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

// rendezvous returns the rendezvous hashing score of an instance for a key.
func rendezvous(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Heartbeat is the state that an instance reports to a sibling about itself.
type Heartbeat struct {
	ID               string
	Zone             string
	DocumentRevision document.Revision
	ListRevision     document.Revision
	// DirectAge is the time since the sender itself last reached the platform. ZoneAge is the time since an instance
	// of its zone last reached the platform, to the sender's knowledge. OutsideAge is the time since its zone last
	// reached the platform or another zone. NoContact means never.
	DirectAge, ZoneAge, OutsideAge time.Duration
}

// NoContact is the age of a contact that has not taken place.
const NoContact time.Duration = -1

// Peer is the last heartbeat received from a sibling.
type Peer struct {
	Heartbeat  Heartbeat
	ReceivedAt time.Time
}

// Roster stores the last heartbeat of each sibling. It belongs to the control goroutine.
type Roster struct {
	peers map[string]Peer
}

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{peers: map[string]Peer{}} }

// Record stores a sibling's heartbeat, whether the sibling sent it or returned it in a reply.
func (r *Roster) Record(h Heartbeat, now time.Time) {
	r.peers[h.ID] = Peer{Heartbeat: h, ReceivedAt: now}
}

// RetainListed removes siblings that are not listed, so that replaced instances do not take up memory.
func (r *Roster) RetainListed(m Members) {
	for id := range r.peers {
		if _, ok := m.Find(id); !ok {
			delete(r.peers, id)
		}
	}
}

// Peers returns a copy of the roster, by sibling ID.
func (r *Roster) Peers() map[string]Peer {
	out := make(map[string]Peer, len(r.peers))
	for id, p := range r.peers {
		out[id] = p
	}
	return out
}
