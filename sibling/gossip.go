package sibling

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddrift.org/drift/document"
)

// MemberState is the state that an instance publishes about itself by gossip. Siblings pass the states of others on,
// so that instances that know only a few addresses discover all others.
type MemberState struct {
	ID      string
	Zone    string
	Address string
	// Generation and Sequence order the states of an instance: Generation rises with each start, Sequence with each
	// gossip round.
	Generation, Sequence uint64
	// Leaving is set once the instance is shutting down.
	Leaving bool
	// CompleteTo is the newest revision up to which the instance has all of the platform's values.
	CompleteTo document.Revision
	// PlatformAge is the time since the instance itself last reached the platform, NoContact if it never did.
	PlatformAge time.Duration
	// Demand is the rate of requests that the instance receives, in requests per second by organisation.
	Demand map[string]float64
}

func (s MemberState) newerThan(o MemberState) bool {
	return s.Generation > o.Generation || s.Generation == o.Generation && s.Sequence > o.Sequence
}

const (
	// GossipInterval is the time between the gossip rounds of an instance. A change reaches nine instances in three
	// to four rounds.
	GossipInterval = 250 * time.Millisecond
	// startupInterval replaces GossipInterval while the instance has fewer than minLiveSiblings live siblings or no
	// values, for at most startupPeriod after its start.
	startupInterval = 100 * time.Millisecond
	startupPeriod   = 2 * time.Second
	// A member without a newer state for memberTimeoutMin, eight rounds, or memberTimeoutPerMember times the number
	// of members if that is longer, is not live. In a fleet of more than some 30 a message holds only a part of the
	// states, so that a member's state arrives less often.
	memberTimeoutMin       = 2 * time.Second
	memberTimeoutPerMember = 60 * time.Millisecond
	// limitSharerTimeout is how long a silent member still counts where a limit is divided among members, since it
	// may be partitioned and go on spending its part.
	limitSharerTimeout = 20 * time.Second
	// forgetAfter is the time after which a silent member is removed and no longer contacted.
	forgetAfter = 2 * time.Minute
	// maxMemberStates bounds the states of one message, so that its size does not grow with the fleet.
	maxMemberStates = 24
	// minLiveSiblings is the number of live siblings below which the seeds are contacted in every round.
	minLiveSiblings = 2
	// reconnectRounds is the number of rounds between two attempts to contact a silent member or a seed.
	reconnectRounds = 4
)

// member is the last known state of another instance.
type member struct {
	MemberState
	receivedAt      time.Time // when the newest state was received
	platformContact time.Time // when the instance itself last reached the platform, zero if never
}

// Gossip is the view of the fleet's entry instances that this instance builds by exchanging messages with them. It
// belongs to the control goroutine.
type Gossip struct {
	self            MemberState
	platformContact time.Time
	seeds           []string
	members         map[string]*member
	rng             *rand.Rand
	started         time.Time
	rounds          int
	next            time.Time
}

// NewGossip returns a view with only this instance and the seeds, addresses that may be out of date.
func NewGossip(self MemberState, seeds []string, rng *rand.Rand, now time.Time) *Gossip {
	return &Gossip{self: self, seeds: seeds, members: map[string]*member{}, rng: rng, started: now, next: now}
}

// SetSeeds replaces the seeds from the next round on.
func (g *Gossip) SetSeeds(seeds []string) { g.seeds = seeds }

// UpdateSelf updates the state that this instance publishes. platformContact is when it last reached the platform,
// zero if never.
func (g *Gossip) UpdateSelf(completeTo document.Revision, platformContact time.Time, demand map[string]float64) {
	g.self.CompleteTo, g.platformContact, g.self.Demand = completeTo, platformContact, demand
}

// Leave marks this instance as shutting down.
func (g *Gossip) Leave() { g.self.Leaving = true }

// NextRound returns when the next round is due.
func (g *Gossip) NextRound() time.Time { return g.next }

// Round starts a round if one is due and returns the addresses to exchange states with, otherwise nil. crossZone adds
// a live instance of another zone.
func (g *Gossip) Round(now time.Time, crossZone bool) []string {
	if now.Before(g.next) {
		return nil
	}
	g.rounds++
	g.self.Sequence++
	live := g.Live(now)
	g.next = now.Add(g.interval(len(live), now))
	maps.DeleteFunc(g.members, func(_ string, m *member) bool { return now.Sub(m.receivedAt) > forgetAfter })
	var to []string
	add := func(address string) {
		if address != "" && address != g.self.Address && !slices.Contains(to, address) {
			to = append(to, address)
		}
	}
	sameZone := slices.DeleteFunc(slices.Clone(live), func(s MemberState) bool { return s.Zone != g.self.Zone })
	if len(sameZone) > 0 {
		add(sameZone[g.rng.IntN(len(sameZone))].Address)
	}
	if len(live) > 0 {
		add(live[g.rng.IntN(len(live))].Address)
	}
	if otherZones := slices.DeleteFunc(slices.Clone(live), func(s MemberState) bool { return s.Zone == g.self.Zone }); crossZone && len(otherZones) > 0 {
		add(otherZones[g.rng.IntN(len(otherZones))].Address)
	}
	if len(live) < minLiveSiblings {
		for _, s := range g.seeds {
			add(s)
		}
	}
	if len(live) < minLiveSiblings || g.rounds%reconnectRounds == 0 {
		if silent := g.silentAddresses(now); len(silent) > 0 {
			add(silent[g.rng.IntN(len(silent))])
		}
	}
	return to
}

func (g *Gossip) interval(live int, now time.Time) time.Duration {
	if (live < minLiveSiblings || g.self.CompleteTo == 0) && now.Sub(g.started) < startupPeriod {
		return startupInterval
	}
	return GossipInterval
}

// memberTimeout returns the time without a newer state after which a member is not live.
func (g *Gossip) memberTimeout() time.Duration {
	return max(memberTimeoutMin, time.Duration(len(g.members))*memberTimeoutPerMember)
}

// silentAddresses returns the addresses of silent members, and of seeds that are not the address of any member.
func (g *Gossip) silentAddresses(now time.Time) []string {
	var out []string
	known := map[string]bool{g.self.Address: true}
	for _, id := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[id]
		known[m.Address] = true
		if now.Sub(m.receivedAt) >= g.memberTimeout() {
			out = append(out, m.Address)
		}
	}
	for _, s := range g.seeds {
		if !known[s] {
			out = append(out, s)
		}
	}
	return out
}

// Merge applies received states that are newer than the known ones.
func (g *Gossip) Merge(states []MemberState, now time.Time) {
	for _, state := range states {
		if state.ID == g.self.ID {
			if state.Generation > g.self.Generation || state.Generation == g.self.Generation && state.Sequence > g.self.Sequence {
				// An earlier run of this instance had a clock that was ahead of the present one.
				g.self.Generation = state.Generation + 1
			}
			continue
		}
		m := g.members[state.ID]
		if m != nil && !state.newerThan(m.MemberState) {
			continue
		}
		if m == nil {
			m = &member{}
			g.members[state.ID] = m
		}
		m.MemberState, m.receivedAt, m.platformContact = state, now, time.Time{}
		if state.PlatformAge != NoContact {
			m.platformContact = now.Add(-state.PlatformAge)
		}
	}
}

// MemberStates returns the states to send in an exchange: this instance's own state and those of others. Half of the
// message holds the most recently received states, which makes changes spread fast; the other half is a random
// choice, so that every member's state is sent at some time.
func (g *Gossip) MemberStates(now time.Time) []MemberState {
	own := g.self
	own.PlatformAge = ageOf(g.platformContact, now)
	fresh := slices.Collect(maps.Values(g.members))
	slices.SortFunc(fresh, func(a, b *member) int {
		return cmp.Or(b.receivedAt.Compare(a.receivedAt), cmp.Compare(a.ID, b.ID))
	})
	if rest := fresh[min(len(fresh), maxMemberStates/2):]; len(fresh) >= maxMemberStates {
		g.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	out := []MemberState{own}
	for _, m := range fresh[:min(len(fresh), maxMemberStates-1)] {
		if now.Sub(m.receivedAt) >= g.memberTimeout() {
			continue
		}
		state := m.MemberState
		state.PlatformAge = ageOf(m.platformContact, now)
		out = append(out, state)
	}
	return out
}

// ageOf returns the time since at, NoContact if at is zero.
func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return NoContact
	}
	return max(now.Sub(at), 0)
}

// Live returns the other instances that are neither silent for memberTimeout nor shutting down, ordered by ID.
func (g *Gossip) Live(now time.Time) []MemberState {
	return g.receivedWithin(now, g.memberTimeout())
}

// LimitSharers returns the other instances that share the fleet's limits with this one, ordered by ID.
func (g *Gossip) LimitSharers(now time.Time) []MemberState {
	return g.receivedWithin(now, limitSharerTimeout)
}

// SeenWithin returns the other instances whose state was received within the limit, ordered by ID. The limit is
// scaled up in a large fleet, as memberTimeout is.
func (g *Gossip) SeenWithin(now time.Time, limit time.Duration) []MemberState {
	return g.receivedWithin(now, time.Duration(float64(limit)*float64(g.memberTimeout())/float64(memberTimeoutMin)))
}

// receivedWithin returns the other instances whose state was received within the limit and that are not shutting down,
// ordered by ID.
func (g *Gossip) receivedWithin(now time.Time, limit time.Duration) []MemberState {
	var out []MemberState
	for _, m := range g.members {
		if now.Sub(m.receivedAt) < limit && !m.Leaving {
			state := m.MemberState
			state.PlatformAge = ageOf(m.platformContact, now)
			out = append(out, state)
		}
	}
	slices.SortFunc(out, func(a, b MemberState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ShouldReadPlatform reports whether this instance reads the platform for its zone: it does unless a live instance of
// the zone with a higher rank reached the platform within the limit.
func (g *Gossip) ShouldReadPlatform(now time.Time, limit time.Duration) bool {
	mine := rendezvous(readerKey, g.self.ID)
	for _, state := range g.Live(now) {
		if state.Zone == g.self.Zone && state.PlatformAge != NoContact && state.PlatformAge <= limit && rendezvous(readerKey, state.ID) > mine {
			return false
		}
	}
	return true
}

// HasNoLiveSiblings reports whether no other instance is live.
func (g *Gossip) HasNoLiveSiblings(now time.Time) bool { return len(g.Live(now)) == 0 }

// IsFirstReader reports whether this instance ranks first as reader of its zone among the live instances.
func (g *Gossip) IsFirstReader(now time.Time) bool {
	mine := rendezvous(readerKey, g.self.ID)
	return !slices.ContainsFunc(g.Live(now), func(s MemberState) bool { return s.Zone == g.self.Zone && rendezvous(readerKey, s.ID) > mine })
}

// readerKey is the rendezvous hashing key for the rank of a zone's instances as readers of the platform.
const readerKey = "reader"

// IsOwner reports whether this instance ranks first for a key among the live instances.
func (g *Gossip) IsOwner(key string, now time.Time) bool {
	mine := rendezvous(key, g.self.ID)
	return !slices.ContainsFunc(g.Live(now), func(s MemberState) bool { return rendezvous(key, s.ID) > mine })
}
