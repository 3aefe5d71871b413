package sibling

import (
	"slices"
	"strconv"
	"time"

	"dogwooddrift.org/drift/document"
)

// Phase is the state of an instance's membership in an accounting set.
type Phase uint8

// The phases of an instance in an accounting set. Only an active instance accrues, grants and votes.
const (
	PhaseOut     Phase = iota // not a member
	PhaseJoining              // claims membership, without tokens
	PhaseActive
)

const (
	claimRenewInterval = time.Second
	joinClaimInterval  = 200 * time.Millisecond
	// lapsedLeaseLimit is how long a lease may have ended before the instance must join again as if it were new.
	// Others remove it no earlier than shareHold after its last message, 9.9 s on a fast clock; ShareLease and
	// lapsedLeaseLimit together are 8.08 s on a slow one.
	lapsedLeaseLimit = 5 * time.Second
)

// MembershipEpoch identifies one membership of an instance in a set.
type MembershipEpoch struct {
	ID    string
	Epoch uint64
}

// Claim asks a sibling to count the sender as a member of a group's set.
type Claim struct {
	Group int
	Epoch uint64
	Phase Phase
	// Dropped lists the memberships that the sender no longer acknowledges.
	Dropped []MembershipEpoch
}

// CountRequest carries an instance's claims of membership. It is also the heartbeat of rate shares.
type CountRequest struct {
	From Member
	// Sequence rises with every message of the sender, so that a late message does not undo a newer one.
	Sequence uint64
	Claims   []Claim
}

// Acknowledgement answers a Claim.
type Acknowledgement struct {
	Group int
	// Epoch repeats the epoch of the claim.
	Epoch uint64
	// Counted means that the replier counts the sender as a member and holds no more than its share of the set
	// enlarged by the sender.
	Counted bool
	// Void means that the claimed membership was dropped. The sender must join again.
	Void bool
	// ReplierPhase and ReplierEpoch describe the replier's own membership.
	ReplierPhase Phase
	ReplierEpoch uint64
	// Members lists the members that the replier counts. It is only sent to a joining instance.
	Members []Member
	Dropped []MembershipEpoch
}

// CountReply answers a CountRequest.
type CountReply struct {
	From     Member
	Sequence uint64
	// Fraction is the part of the rates that is in force for the replier's zone.
	Fraction float64
	// DocumentRevision is the revision of the document in force at the replier.
	DocumentRevision document.Revision
	Acknowledgements []Acknowledgement
}

// peer is the state of another instance in one group's set, as known here.
type peer struct {
	member     Member
	score      uint64 // as in Members.Rank
	counted    bool
	epoch      uint64    // of its latest message
	sequence   uint64    // of its latest message
	receivedAt time.Time // when its latest message was received
	// acked is the time at which this instance sent the last claim that the peer acknowledged.
	acked       time.Time
	phase       Phase             // in its last acknowledgement
	members     []Member          // in its last acknowledgement
	dropped     []MembershipEpoch // in its last message
	droppedUpTo uint64            // epochs up to this one are no longer acknowledged
}

// accountingSet is one group's accounting set in this instance's zone, as this instance sees it.
type accountingSet struct {
	group         int
	self          string // ID of this instance
	score         uint64 // of this instance, as in Members.Rank
	epoch         uint64
	phase         Phase
	since         time.Time // start of the phase
	stopping      bool      // planned leave: no accrual, waiting for grants to expire
	stoppingSince time.Time
	leaseUntil    time.Time
	ranked        Members // listed instances of the zone by rank, including this one
	peers         map[string]*peer
	nextClaim     time.Time
}

func newSet(group int, self string, epoch uint64, now time.Time) *accountingSet {
	return &accountingSet{group: group, self: self, score: rendezvous(groupKey(group), self), epoch: epoch, since: now, peers: map[string]*peer{}}
}

func groupKey(group int) string { return "rates/" + strconv.Itoa(group) }

// rank returns the number of counted members that rank above this instance, and the number of counted members
// including this instance.
func (s *accountingSet) rank() (rank, size int) {
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

// size returns the number of counted members, including this instance.
func (s *accountingSet) size() int {
	_, n := s.rank()
	return n
}

// peer returns the state of a peer and creates it if needed.
func (s *accountingSet) peer(m Member, now time.Time) *peer {
	p := s.peers[m.ID]
	if p == nil {
		p = &peer{member: m, receivedAt: now, score: rendezvous(groupKey(s.group), m.ID)}
		s.peers[m.ID] = p
	}
	return p
}

// droppedMemberships lists the memberships that this instance no longer acknowledges.
func (s *accountingSet) droppedMemberships() []MembershipEpoch {
	var out []MembershipEpoch
	for id, p := range s.peers {
		// Memberships that are already removed here stay listed, since other members still need this vote.
		if p.droppedUpTo != 0 {
			out = append(out, MembershipEpoch{ID: id, Epoch: p.droppedUpTo})
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

// shouldHold reports whether this instance should be a member of the set.
func (s *Shares) shouldHold(set *accountingSet) bool {
	if s.draining || !s.listed || s.documentRevision == 0 {
		return false
	}
	for _, m := range set.ranked[:min(maxHolders, len(set.ranked))] {
		if m.ID == s.self {
			return true
		}
	}
	return false
}

// startMembership starts a new membership of this instance with a new epoch. Tokens and grants of the previous epoch
// are void.
func (set *accountingSet) startMembership(phase Phase, now time.Time) {
	set.epoch++
	set.phase, set.since, set.stopping = phase, now, false
	set.leaseUntil, set.nextClaim = time.Time{}, now
	for _, p := range set.peers {
		p.acked, p.members = time.Time{}, nil
	}
}

// step advances the phase of a set.
func (s *Shares) step(set *accountingSet, now time.Time) {
	switch set.phase {
	case PhaseOut:
		s.forgetUnlisted(set, now)
		if s.shouldHold(set) {
			set.startMembership(PhaseJoining, now)
		}
	case PhaseJoining:
		s.forgetUnlisted(set, now)
		switch {
		case !s.shouldHold(set):
			set.startMembership(PhaseOut, now)
		case s.mayActivate(set, now):
			set.phase, set.since = PhaseActive, now
			set.nextClaim = now
			s.renewLease(set, now)
		}
	case PhaseActive:
		if set.stopping {
			// Traffic lost its own tokens when leaseUntil was cleared; those granted to siblings expire within
			// grantHold.
			if now.Sub(set.stoppingSince) >= grantHold {
				set.startMembership(PhaseOut, now)
			}
			return
		}
		if !s.shouldHold(set) {
			set.stopping, set.stoppingSince, set.leaseUntil = true, now, time.Time{}
			return
		}
		s.renewLease(set, now)
		if now.Before(set.leaseUntil) {
			s.removeSilent(set, now)
		}
	}
}

// mayActivate reports whether every instance that may be active counts this one. An acknowledgement by an active
// member proves that the members it lists are all that may be active. Without one, bootstrapWait must pass, so that
// the tokens of an unknown active instance have expired.
func (s *Shares) mayActivate(set *accountingSet, now time.Time) bool {
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
	return now.Sub(set.since) >= bootstrapWait && s.listConfirmedAt.After(set.since)
}

// required returns the instances that must count this one before it accrues.
func (s *Shares) required(set *accountingSet) Members {
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

// renewLease computes how long this instance may accrue and spend. Either a strict majority of the counted members,
// including this instance, must have acknowledged it while they were active, or the platform's list must contain it.
func (s *Shares) renewLease(set *accountingSet, now time.Time) {
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
	basis := s.listConfirmedAt
	switch needed := n / 2; {
	case needed == 0 && !set.leaseUntil.IsZero() && !now.Before(set.leaseUntil):
		// A paused process may have been replaced meanwhile, and a sole member has no sibling that would void its
		// claim.
		set.startMembership(PhaseJoining, now)
		return
	case needed == 0:
		basis = now
	case len(acks) >= needed && acks[needed-1].After(basis):
		basis = acks[needed-1]
	}
	if until := basis.Add(ShareLease); now.Sub(until) < lapsedLeaseLimit {
		set.leaseUntil = until
		return
	}
	if !set.leaseUntil.IsZero() {
		set.startMembership(PhaseJoining, now)
	}
}

// forgetUnlisted removes silent, unlisted peers while this instance has no share. It contacts the remaining ones
// again before it gets one.
func (s *Shares) forgetUnlisted(set *accountingSet, now time.Time) {
	for id, p := range set.peers {
		if now.Sub(p.receivedAt) >= shareHold && s.unlistedFor(id, now) >= shareHold {
			delete(set.peers, id)
		}
	}
}

// unlistedFor returns how long a peer has been missing from the list.
func (s *Shares) unlistedFor(id string, now time.Time) time.Duration {
	if since := s.unlistedSince[id]; !since.IsZero() {
		return now.Sub(since)
	}
	return 0
}

// removeSilent drops the memberships of silent, unlisted members, and stops counting those that a strict majority of
// active members dropped. An instance never acknowledges a membership again that it dropped, and a lease needs a
// strict majority too. Since the two majorities share a member, a removed instance has no lease. Without a majority
// the list alone decides: at once in a set of two, where each needs the list for its lease, otherwise after
// orphanHold.
func (s *Shares) removeSilent(set *accountingSet, now time.Time) {
	n := set.size()
	for id, p := range set.peers {
		if !p.counted && now.Sub(p.receivedAt) >= orphanHold {
			delete(set.peers, id)
			continue
		}
		if !p.counted || now.Sub(p.receivedAt) < shareHold || s.unlistedFor(id, now) < shareHold {
			continue
		}
		p.droppedUpTo = max(p.droppedUpTo, p.epoch)
		votes := 1
		for other, q := range set.peers {
			if other == id || !q.counted || q.phase != PhaseActive || now.Sub(q.acked) >= ShareLease {
				continue
			}
			if slices.ContainsFunc(q.dropped, func(e MembershipEpoch) bool { return e.ID == id && e.Epoch >= p.droppedUpTo }) {
				votes++
			}
		}
		byList := now.Sub(s.listConfirmedAt) < ShareLease && (n == 2 || now.Sub(p.receivedAt) >= orphanHold)
		if votes*2 > n || byList {
			p.counted = false
		}
	}
}

// dueClaims returns the messages with the claims that are due, one message per sibling.
func (s *Shares) dueClaims(now time.Time) []ShareEffect {
	due := map[string]*SendCount{}
	var order []string
	for _, set := range s.sets {
		if set.phase == PhaseOut || now.Before(set.nextClaim) {
			continue
		}
		set.nextClaim = now.Add(claimRenewInterval)
		if set.phase == PhaseJoining {
			set.nextClaim = now.Add(joinClaimInterval)
		}
		claim := Claim{Group: set.group, Epoch: set.epoch, Phase: set.phase, Dropped: set.droppedMemberships()}
		for _, m := range s.required(set) {
			p := set.peers[m.ID]
			if set.phase == PhaseActive && (p == nil || !p.counted) {
				continue
			}
			send := due[m.ID]
			if send == nil {
				s.sequence++
				send = &SendCount{To: m, Request: CountRequest{From: s.selfMember, Sequence: s.sequence}}
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
	s.sequence++
	reply := CountReply{From: s.selfMember, Sequence: s.sequence, Fraction: s.fraction.inForce, DocumentRevision: s.documentRevision}
	if reply.From.ID == "" {
		reply.From = Member{ID: s.self, Zone: s.zone}
	}
	for _, c := range r.Claims {
		if c.Group < 0 || c.Group >= RateGroups || r.From.ID == s.self || r.From.Zone != s.zone {
			continue
		}
		set := s.sets[c.Group]
		p := set.peer(r.From, now)
		ack := Acknowledgement{Group: c.Group, Epoch: c.Epoch, ReplierPhase: set.phase, ReplierEpoch: set.epoch, Dropped: set.droppedMemberships()}
		switch {
		case c.Epoch <= p.droppedUpTo:
			ack.Void = true
		case r.Sequence > p.sequence:
			p.sequence, p.epoch, p.receivedAt, p.member = r.Sequence, c.Epoch, now, r.From
			p.counted = c.Phase != PhaseOut
			p.dropped = c.Dropped
			ack.Counted = s.withinShare(set, now)
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

// withinShare reports whether no account of the set holds more than its share. Until then a new member is not
// acknowledged, since tokens that were granted under the larger share may still be spent.
func (s *Shares) withinShare(set *accountingSet, now time.Time) bool {
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

// HandleCountReply applies the reply to a CountRequest that was sent at the given time.
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
				set.startMembership(PhaseJoining, now)
			}
			continue
		}
		p := set.peer(r.From, now)
		if r.Sequence <= p.sequence || ack.ReplierEpoch <= p.droppedUpTo {
			continue
		}
		p.sequence, p.epoch, p.receivedAt = r.Sequence, ack.ReplierEpoch, now
		p.phase, p.members, p.dropped = ack.ReplierPhase, ack.Members, ack.Dropped
		p.counted = ack.ReplierPhase != PhaseOut
		// A process that was paused for long must not go on with the rates of an old document. A joining one must not
		// compute its share by another document than the members that count it.
		current := r.DocumentRevision == s.documentRevision || set.phase == PhaseActive && s.documentRevision.Supersedes(r.DocumentRevision)
		if ack.Counted && sent.After(p.acked) && current {
			p.acked = sent
		}
		if set.phase == PhaseJoining && ack.ReplierPhase == PhaseActive && r.Fraction < s.fraction.inForce {
			s.fraction.next = max(s.fraction.next, s.fraction.inForce)
			s.fraction.inForce, s.fraction.due = r.Fraction, now.Add(documentHold)
		}
	}
}
