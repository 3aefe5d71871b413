package sibling

import (
	"slices"
	"strconv"
	"time"

	"dogwooddrift.org/drift/document"
)

// Phase is the part that an instance takes in an accounting set.
type Phase uint8

// The phases of an instance in an accounting set. Only an active instance accrues, grants and votes.
const (
	PhaseOut Phase = iota
	PhaseJoining
	PhaseActive
)

const (
	countInterval = time.Second
	claimInterval = 200 * time.Millisecond
	// lapseLimit is how long a lease may have ended before the instance joins again as if it were new. Others
	// remove it no earlier than shareHold after they heard it, 9.9 s on a fast clock; ShareLease and lapseLimit
	// are 8.08 s on a slow one.
	lapseLimit = 5 * time.Second
)

// MembershipEpoch is one membership of an instance in a set.
type MembershipEpoch struct {
	ID    string
	Epoch uint64
}

// Claim asks a sibling to count the sender as a member of a group's set.
type Claim struct {
	Group int
	Epoch uint64
	Phase Phase
	// Dropped lists the memberships that the sender acknowledges no more.
	Dropped []MembershipEpoch
}

// CountRequest is the heartbeat of rate shares.
type CountRequest struct {
	From Member
	// Sequence rises with every message of the sender, so that a late message does not undo a newer one.
	Sequence uint64
	Claims   []Claim
}

// Acknowledgement answers a Claim.
type Acknowledgement struct {
	Group int
	// Epoch repeats the claim's.
	Epoch uint64
	// Counted says that the replier counts the sender and holds no more than its share of the larger set.
	Counted bool
	// Void says that the claimed membership was dropped. The sender must join again.
	Void bool
	// ReplierPhase and Own are the replier's.
	ReplierPhase Phase
	ReplierEpoch uint64
	// Members are those that the replier counts; only sent to a joining instance.
	Members []Member
	Dropped []MembershipEpoch
}

// CountReply answers a CountRequest.
type CountReply struct {
	From     Member
	Sequence uint64
	// Fraction is the part of the rates that the replier's zone has in force.
	Fraction float64
	// DocumentRevision is the revision that the replier has in force.
	DocumentRevision document.Revision
	Acknowledgements []Acknowledgement
}

// peer is what an instance knows of another in one group.
type peer struct {
	member  Member
	score   uint64 // as in Members.Rank
	counted bool
	epoch   uint64
	order   uint64
	heard   time.Time
	// acked is when the claim was sent that the peer acknowledged last.
	acked   time.Time
	phase   Phase             // in its last acknowledgement
	members []Member          // in its last acknowledgement
	dropped []MembershipEpoch // in its last message
	marked  uint64            // epochs up to this one are acknowledged no more
}

// set is one group's accounting set, as one instance sees it.
type set struct {
	group      int
	self       string // ID of this instance
	score      uint64 // of this instance, as in Members.Rank
	epoch      uint64
	phase      Phase
	since      time.Time // start of the phase
	stopping   bool      // planned leave: no accrual, waiting for grants to expire
	stopped    time.Time
	leaseUntil time.Time
	ranked     Members // listed instances of the zone by rank, this one included
	peers      map[string]*peer
	next       time.Time
}

func newSet(group int, self string, epoch uint64, now time.Time) *set {
	return &set{group: group, self: self, score: rendezvous(groupKey(group), self), epoch: epoch, since: now, peers: map[string]*peer{}}
}

func groupKey(group int) string { return "rates/" + strconv.Itoa(group) }

// rank returns how many counted members rank before this instance, and the number of counted members, this
// instance included.
func (s *set) rank() (rank, size int) {
	size = 1
	for id, p := range s.peers {
		if !p.counted {
			continue
		}
		size++
		if p.score > s.score || p.score == s.score && id < s.self {
			rank++
		}
	}
	return rank, size
}

// size returns the number of counted members, this instance included.
func (s *set) size() int {
	_, n := s.rank()
	return n
}

func (s *set) peer(m Member, now time.Time) *peer {
	p := s.peers[m.ID]
	if p == nil {
		p = &peer{member: m, heard: now, score: rendezvous(groupKey(s.group), m.ID)}
		s.peers[m.ID] = p
	}
	return p
}

// drops lists the memberships that this instance acknowledges no more.
func (s *set) drops() []MembershipEpoch {
	var out []MembershipEpoch
	for id, p := range s.peers {
		// Those already removed here stay in the list, since others still need this vote.
		if p.marked != 0 {
			out = append(out, MembershipEpoch{ID: id, Epoch: p.marked})
		}
	}
	slices.SortFunc(out, func(a, b MembershipEpoch) int { return compareIDs(a.ID, b.ID) })
	return out
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// holds reports whether this instance should be a member of the set.
func (s *Shares) holds(set *set) bool {
	if s.draining || !s.listed || s.document == 0 {
		return false
	}
	for _, m := range set.ranked[:min(maxHolders, len(set.ranked))] {
		if m.ID == s.self {
			return true
		}
	}
	return false
}

// begin starts a membership of its own. Tokens and grants of the one before are void.
func (set *set) begin(phase Phase, now time.Time) {
	set.epoch++
	set.phase, set.since, set.stopping = phase, now, false
	set.leaseUntil, set.next = time.Time{}, now
	for _, p := range set.peers {
		p.acked, p.members = time.Time{}, nil
	}
}

// step moves the set's phase on.
func (s *Shares) step(set *set, now time.Time) {
	switch set.phase {
	case PhaseOut:
		s.forget(set, now)
		if s.holds(set) {
			set.begin(PhaseJoining, now)
		}
	case PhaseJoining:
		s.forget(set, now)
		switch {
		case !s.holds(set):
			set.begin(PhaseOut, now)
		case s.joined(set, now):
			set.phase, set.since = PhaseActive, now
			set.next = now
			s.lease(set, now)
		}
	case PhaseActive:
		if set.stopping {
			// Traffic has lost its tokens with leaseUntil; those granted to siblings expire within grantHold.
			if now.Sub(set.stopped) >= grantHold {
				set.begin(PhaseOut, now)
			}
			return
		}
		if !s.holds(set) {
			set.stopping, set.stopped, set.leaseUntil = true, now, time.Time{}
			return
		}
		s.lease(set, now)
		if now.Before(set.leaseUntil) {
			s.remove(set, now)
		}
	}
}

// joined reports whether every instance that may be active counts this one. An acknowledgement by an active
// member proves that the members it named are all that may be active; without one, bootstrapWait must pass, so
// that the tokens of an instance that this one has never heard of have expired.
func (s *Shares) joined(set *set, now time.Time) bool {
	// Grants of an earlier membership of this instance must have expired.
	if now.Sub(set.since) < grantHold {
		return false
	}
	active := false
	for _, m := range s.required(set) {
		p := set.peers[m.ID]
		if p == nil || p.acked.IsZero() || now.Sub(p.acked) >= ShareLease {
			return false
		}
		active = active || p.phase == PhaseActive
	}
	if active {
		return true
	}
	return now.Sub(set.since) >= bootstrapWait && s.confirmed.After(set.since)
}

// required returns the instances that must count this one before it accrues.
func (s *Shares) required(set *set) Members {
	var out Members
	seen := map[string]bool{s.self: true}
	add := func(m Member) {
		if !seen[m.ID] {
			seen[m.ID] = true
			out = append(out, m)
		}
	}
	for _, m := range set.ranked {
		add(m)
	}
	for _, p := range set.peers {
		if p.counted {
			add(p.member)
		}
		if p.phase != PhaseOut {
			for _, m := range p.members {
				add(m)
			}
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return out
}

// lease computes how long this instance may accrue and spend. A strict majority of the counted members, this
// instance included, must have acknowledged it while active, or the platform's list must name it.
func (s *Shares) lease(set *set, now time.Time) {
	acks := make([]time.Time, 0, maxHolders)
	n := 1
	for _, p := range set.peers {
		if p.counted {
			n++
			if p.phase == PhaseActive {
				acks = append(acks, p.acked)
			}
		}
	}
	slices.SortFunc(acks, func(a, b time.Time) int { return b.Compare(a) })
	basis := s.confirmed
	switch needed := n / 2; {
	case needed == 0 && !set.leaseUntil.IsZero() && !now.Before(set.leaseUntil):
		// A process that paused may have been replaced meanwhile, and has nobody to tell it.
		set.begin(PhaseJoining, now)
		return
	case needed == 0:
		basis = now
	case len(acks) >= needed && acks[needed-1].After(basis):
		basis = acks[needed-1]
	}
	if until := basis.Add(ShareLease); now.Sub(until) < lapseLimit {
		set.leaseUntil = until
		return
	}
	if !set.leaseUntil.IsZero() {
		set.begin(PhaseJoining, now)
	}
}

// forget drops silent unlisted peers while this instance has no share, since it asks again before it has one.
func (s *Shares) forget(set *set, now time.Time) {
	for id, p := range set.peers {
		if now.Sub(p.heard) >= shareHold && s.unlistedFor(id, now) >= shareHold {
			delete(set.peers, id)
		}
	}
}

func (s *Shares) unlistedFor(id string, now time.Time) time.Duration {
	if since := s.unlistedSince[id]; !since.IsZero() {
		return now.Sub(since)
	}
	return 0
}

// remove marks members that are silent and unlisted, and removes those that a strict majority of active members
// marked. An instance that marked a membership never acknowledges it again, and a lease needs a strict majority
// too; the two majorities share a member, so a removed instance has no lease. Without a majority the list alone
// decides: at once in a set of two, where each needs the list for its lease, otherwise after orphanHold.
func (s *Shares) remove(set *set, now time.Time) {
	n := set.size()
	for id, p := range set.peers {
		if !p.counted && now.Sub(p.heard) >= orphanHold {
			delete(set.peers, id)
			continue
		}
		if !p.counted || now.Sub(p.heard) < shareHold || s.unlistedFor(id, now) < shareHold {
			continue
		}
		p.marked = max(p.marked, p.epoch)
		votes := 1
		for other, q := range set.peers {
			if other == id || !q.counted || q.phase != PhaseActive || now.Sub(q.acked) >= ShareLease {
				continue
			}
			if slices.ContainsFunc(q.dropped, func(e MembershipEpoch) bool { return e.ID == id && e.Epoch >= p.marked }) {
				votes++
			}
		}
		byList := now.Sub(s.confirmed) < ShareLease && (n == 2 || now.Sub(p.heard) >= orphanHold)
		if votes*2 > n || byList {
			p.counted = false
		}
	}
}

// count emits the claims that are due, one message for each sibling.
func (s *Shares) count(now time.Time) []ShareEffect {
	due := map[string]*SendCount{}
	var order []string
	for _, set := range s.sets {
		if set.phase == PhaseOut || now.Before(set.next) {
			continue
		}
		set.next = now.Add(countInterval)
		if set.phase == PhaseJoining {
			set.next = now.Add(claimInterval)
		}
		claim := Claim{Group: set.group, Epoch: set.epoch, Phase: set.phase, Dropped: set.drops()}
		for _, m := range s.required(set) {
			p := set.peers[m.ID]
			if set.phase == PhaseActive && (p == nil || !p.counted) {
				continue
			}
			send := due[m.ID]
			if send == nil {
				s.order++
				send = &SendCount{To: m, Request: CountRequest{From: s.me, Sequence: s.order}}
				due[m.ID] = send
				order = append(order, m.ID)
			}
			send.Request.Claims = append(send.Request.Claims, claim)
		}
	}
	var out []ShareEffect
	for _, id := range order {
		out = append(out, *due[id])
	}
	return out
}

// HandleCountRequest answers a sibling's claims.
func (s *Shares) HandleCountRequest(r CountRequest, now time.Time) CountReply {
	s.order++
	reply := CountReply{From: s.me, Sequence: s.order, Fraction: s.fraction.inForce, DocumentRevision: s.document}
	if reply.From.ID == "" {
		reply.From = Member{ID: s.self, Zone: s.zone}
	}
	for _, c := range r.Claims {
		if c.Group < 0 || c.Group >= RateGroups || r.From.ID == s.self || r.From.Zone != s.zone {
			continue
		}
		set := s.sets[c.Group]
		p := set.peer(r.From, now)
		ack := Acknowledgement{Group: c.Group, Epoch: c.Epoch, ReplierPhase: set.phase, ReplierEpoch: set.epoch, Dropped: set.drops()}
		switch {
		case c.Epoch <= p.marked:
			ack.Void = true
		case r.Sequence > p.order:
			p.order, p.epoch, p.heard, p.member = r.Sequence, c.Epoch, now, r.From
			p.counted = c.Phase != PhaseOut
			p.dropped = c.Dropped
			ack.Counted = s.fits(set, now)
		}
		if c.Phase == PhaseJoining && set.phase != PhaseOut {
			for _, q := range set.peers {
				if q.counted && q.member.ID != r.From.ID {
					ack.Members = append(ack.Members, q.member)
				}
			}
		}
		reply.Acknowledgements = append(reply.Acknowledgements, ack)
	}
	return reply
}

// fits reports whether no account of the set holds more than its share. Until then a new member is not
// acknowledged, since tokens that were granted under the larger share may still be spent.
func (s *Shares) fits(set *set, now time.Time) bool {
	for _, a := range s.accounts {
		if a.set != set || a.epoch != set.epoch {
			continue
		}
		a.expire(now)
		if a.held() > s.cap(a) {
			return false
		}
	}
	return true
}

// HandleCountReply takes the reply to a CountRequest that was sent at the given time.
func (s *Shares) HandleCountReply(r CountReply, sent, now time.Time) {
	for _, ack := range r.Acknowledgements {
		if ack.Group < 0 || ack.Group >= RateGroups || r.From.ID == s.self {
			continue
		}
		set := s.sets[ack.Group]
		if ack.Epoch != set.epoch || set.phase == PhaseOut {
			continue
		}
		if ack.Void {
			if !set.stopping {
				set.begin(PhaseJoining, now)
			}
			continue
		}
		p := set.peer(r.From, now)
		if r.Sequence <= p.order || ack.ReplierEpoch <= p.marked {
			continue
		}
		p.order, p.epoch, p.heard = r.Sequence, ack.ReplierEpoch, now
		p.phase, p.members, p.dropped = ack.ReplierPhase, ack.Members, ack.Dropped
		p.counted = ack.ReplierPhase != PhaseOut
		// A process that paused for long must not go on with the rates of an old document.
		// A joining one must not share by another document than those who count it.
		current := r.DocumentRevision == s.document || set.phase == PhaseActive && s.document.Supersedes(r.DocumentRevision)
		if ack.Counted && sent.After(p.acked) && current {
			p.acked = sent
		}
		if set.phase == PhaseJoining && ack.ReplierPhase == PhaseActive && r.Fraction < s.fraction.inForce {
			s.fraction.next = max(s.fraction.next, s.fraction.inForce)
			s.fraction.inForce, s.fraction.due = r.Fraction, now.Add(documentHold)
		}
	}
}
