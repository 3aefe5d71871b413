package sibling

import (
	"cmp"
	"container/list"
	"iter"
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
	// Cores is the part of a processor core that the instance has, 0 if unknown.
	Cores float64
	// Leaving is set once the instance is shutting down. For SpendsFor it may still admit requests and so spends its part of
	// the limits that are divided among the instances.
	Leaving   bool
	SpendsFor time.Duration
	// CompleteTo is the newest position up to which the instance has all of the platform's values. Retained is a digest of the statements
	// that it retains although the platform has lost them, 0 if there are none.
	CompleteTo document.Position
	Retained   uint64
	// PlatformAge is the time since the instance itself last reached the platform, NoContact if it never did.
	PlatformAge time.Duration
	// OutsideAge is the time since the instance, or to its knowledge another one of its zone, last heard from another zone;
	// NoContact if that never happened. It is up to date only in a message of the instance itself.
	OutsideAge time.Duration
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
	// In a zone of more than smallZone instances, these together start crossZoneExchanges exchanges with other zones in a
	// round: bytes between zones are dear, and what one instance hears soon reaches the others of its zone.
	smallZone          = 8
	crossZoneExchanges = 3
	// ReaderZones is the number of zones whose readers read the platform while they reach it. The others hear from them.
	ReaderZones = 3
	// FarContactDelay is by how much the contact of a zone's reader with the platform is known later in other zones than in its own.
	FarContactDelay = 500 * time.Millisecond
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
	spendsUntil     time.Time // when the instance admits no more requests, if it is leaving
	recency         *list.Element
}

// Gossip is the view of the fleet's entry instances that this instance builds by exchanging messages with them. It
// belongs to the control goroutine.
type Gossip struct {
	self            MemberState
	platformContact time.Time
	outsideContact  time.Time
	spendsUntil     time.Time // when this instance admits no more requests, if it is leaving
	seeds           []string
	members         map[string]*member
	// byID holds the members ordered by ID, byRecency with the most recently received state first.
	byID      []*member
	byRecency *list.List
	rng       *rand.Rand
	started   time.Time
	rounds    int
	next      time.Time
}

// NewGossip returns a view with only this instance and the seeds, addresses that may be out of date.
func NewGossip(self MemberState, seeds []string, rng *rand.Rand, now time.Time) *Gossip {
	return &Gossip{self: self, seeds: seeds, members: map[string]*member{}, byRecency: list.New(), rng: rng, started: now, next: now}
}

// SetSeeds replaces the seeds from the next round on.
func (g *Gossip) SetSeeds(seeds []string) { g.seeds = seeds }

// UpdateSelf updates the state that this instance publishes. platformContact is when it last reached the platform, and
// outsideContact when its zone last heard from another one; zero if never.
func (g *Gossip) UpdateSelf(completeTo document.Position, retained uint64, platformContact, outsideContact time.Time, demand map[string]float64) {
	g.self.CompleteTo, g.self.Retained = completeTo, retained
	g.platformContact, g.outsideContact, g.self.Demand = platformContact, outsideContact, demand
}

// LargeZone reports whether only some instances of this zone exchange messages with other zones in a round.
func (g *Gossip) LargeZone(now time.Time) bool {
	n := 1
	for m := range g.within(now, g.memberTimeout()) {
		if m.Zone == g.self.Zone {
			n++
		}
	}
	return n > smallZone
}

// Leave marks this instance as shutting down. It may admit requests until spendsUntil.
func (g *Gossip) Leave(spendsUntil time.Time) { g.self.Leaving, g.spendsUntil = true, spendsUntil }

// Release marks this instance, which is shutting down, as admitting no more requests. The siblings hear of it in a round
// that is due at once.
func (g *Gossip) Release(now time.Time) { g.spendsUntil, g.next = now, now }

// NextRound returns when the next round is due.
func (g *Gossip) NextRound() time.Time { return g.next }

// Hasten makes a round due at once. What this instance has learned reaches the others without the wait for the next round.
func (g *Gossip) Hasten(now time.Time) {
	if now.Before(g.next) {
		g.next = now
	}
}

// Round starts a round if one is due and returns the addresses to exchange states with, otherwise nil. crossZone adds
// a live instance of another zone.
func (g *Gossip) Round(now time.Time, crossZone bool) []string {
	if now.Before(g.next) {
		return nil
	}
	g.rounds++
	g.self.Sequence++
	g.forget(now)
	var sameZone, otherZones []*member
	for m := range g.within(now, g.memberTimeout()) {
		if m.Zone == g.self.Zone {
			sameZone = append(sameZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	live := len(sameZone) + len(otherZones)
	g.next = now.Add(g.interval(live, now))
	var to []string
	add := func(address string) {
		if address != "" && address != g.self.Address && !slices.Contains(to, address) {
			to = append(to, address)
		}
	}
	if len(sameZone) > 0 {
		add(sameZone[g.rng.IntN(len(sameZone))].Address)
	}
	if m := g.second(sameZone, otherZones); m != nil {
		add(m.Address)
	}
	if crossZone && len(otherZones) > 0 {
		add(otherZones[g.rng.IntN(len(otherZones))].Address)
	}
	if live < minLiveSiblings {
		for _, s := range g.seeds {
			add(s)
		}
	}
	if live < minLiveSiblings || g.rounds%reconnectRounds == 0 {
		if silent := g.silentAddresses(now); len(silent) > 0 {
			add(silent[g.rng.IntN(len(silent))])
		}
	}
	return to
}

// second returns the member for the second exchange of a round: any live one, but in a large zone mostly one of the own zone.
func (g *Gossip) second(sameZone, otherZones []*member) *member {
	live := len(sameZone) + len(otherZones)
	if live == 0 {
		return nil
	}
	i := g.rng.IntN(live)
	if zone := len(sameZone) + 1; zone > smallZone && len(otherZones) > 0 {
		i = g.rng.IntN(len(sameZone))
		if g.rng.Float64() < crossZoneExchanges/float64(zone) {
			i = len(sameZone) + g.rng.IntN(len(otherZones))
		}
	}
	if i < len(sameZone) {
		return sameZone[i]
	}
	return otherZones[i-len(sameZone)]
}

func (g *Gossip) interval(live int, now time.Time) time.Duration {
	if (live < minLiveSiblings || g.self.CompleteTo.Revision == 0) && now.Sub(g.started) < startupPeriod {
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
	for _, m := range g.byID {
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
			m.recency = g.byRecency.PushFront(m)
			g.members[state.ID] = m
			i, _ := slices.BinarySearchFunc(g.byID, state.ID, func(x *member, id string) int { return cmp.Compare(x.ID, id) })
			g.byID = slices.Insert(g.byID, i, m)
		}
		g.byRecency.MoveToFront(m.recency)
		m.MemberState, m.receivedAt, m.platformContact, m.spendsUntil = state, now, time.Time{}, now.Add(state.SpendsFor)
		if state.PlatformAge != NoContact {
			m.platformContact = now.Add(-state.PlatformAge)
		}
	}
}

// MemberStates returns the states to send in an exchange: this instance's own state and those of others. Each message holds
// the states of the instances that read the platform, so that their zones notice in time when they lose it. Half of
// the message holds the most recently received states, which makes changes spread fast; the rest is a random choice, so that
// every member's state is sent at some time.
func (g *Gossip) MemberStates(now time.Time) []MemberState {
	out := make([]MemberState, 1, min(len(g.byID)+1, maxMemberStates))
	out[0] = g.Self(now)
	add := func(m *member) {
		if now.Sub(m.receivedAt) < g.memberTimeout() {
			out = append(out, m.state(now))
		}
	}
	newest := len(g.byID)
	if newest >= maxMemberStates {
		newest = maxMemberStates / 2
	}
	chosen := map[*member]bool{}
	for e := g.byRecency.Front(); e != nil && len(chosen) < newest; e = e.Next() {
		m := e.Value.(*member)
		chosen[m] = true
		add(m)
	}
	for _, m := range g.lastReaders(now) {
		if !chosen[m] && len(chosen) < maxMemberStates-1 {
			chosen[m] = true
			add(m)
		}
	}
	for len(chosen) < min(len(g.byID), maxMemberStates-1) {
		if m := g.byID[g.rng.IntN(len(g.byID))]; !chosen[m] {
			chosen[m] = true
			add(m)
		}
	}
	return out
}

// Self returns the state that this instance publishes.
func (g *Gossip) Self(now time.Time) MemberState {
	own := g.self
	own.PlatformAge, own.OutsideAge = ageOf(g.platformContact, now), ageOf(g.outsideContact, now)
	own.SpendsFor = max(g.spendsUntil.Sub(now), 0)
	return own
}

// lastReaders returns, of each zone, the live instance that reached the platform last, as far as this instance knows.
func (g *Gossip) lastReaders(now time.Time) []*member {
	var out []*member
	timeout := g.memberTimeout()
	for _, m := range g.byID {
		// Most members never read the platform.
		if m.platformContact.IsZero() || m.Leaving || now.Sub(m.receivedAt) >= timeout {
			continue
		}
		i := slices.IndexFunc(out, func(o *member) bool { return o.Zone == m.Zone })
		switch {
		case i < 0:
			out = append(out, m)
		case m.platformContact.After(out[i].platformContact):
			out[i] = m
		}
	}
	return out
}

// state returns the state of the member with the present age of its contact with the platform.
func (m *member) state(now time.Time) MemberState {
	state := m.MemberState
	state.PlatformAge = ageOf(m.platformContact, now)
	state.SpendsFor = max(m.spendsUntil.Sub(now), 0)
	return state
}

// forget removes the members that have been silent for forgetAfter.
func (g *Gossip) forget(now time.Time) {
	for e := g.byRecency.Back(); e != nil; e = g.byRecency.Back() {
		m := e.Value.(*member)
		if now.Sub(m.receivedAt) <= forgetAfter {
			return
		}
		g.byRecency.Remove(e)
		delete(g.members, m.ID)
		g.byID = slices.DeleteFunc(g.byID, func(x *member) bool { return x == m })
	}
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
	return states(g.within(now, g.memberTimeout()), now)
}

// LimitSharers returns the other instances that share the fleet's limits with this one, ordered by ID.
func (g *Gossip) LimitSharers(now time.Time) []MemberState { return states(g.limitSharers(now), now) }

// EachLimitSharer iterates over the other instances that share the fleet's limits with this one, ordered by ID. It tells of
// each whether its state was received within freshLimit, which is scaled up in a large fleet as memberTimeout is. The states
// must not be modified, and their PlatformAge is that of the time at which they were received.
func (g *Gossip) EachLimitSharer(now time.Time, freshLimit time.Duration) iter.Seq2[*MemberState, bool] {
	freshLimit = time.Duration(float64(freshLimit) * float64(g.memberTimeout()) / float64(memberTimeoutMin))
	return func(yield func(*MemberState, bool) bool) {
		for m := range g.limitSharers(now) {
			if !yield(&m.MemberState, now.Sub(m.receivedAt) < freshLimit) {
				return
			}
		}
	}
}

// LimitSharerCount returns the number of instances that EachLimitSharer yields.
func (g *Gossip) LimitSharerCount(now time.Time) int {
	n := 0
	for range g.limitSharers(now) {
		n++
	}
	return n
}

// EachLive iterates over the instances of Live. The states must not be modified, and their PlatformAge is that of the time
// at which they were received.
func (g *Gossip) EachLive(now time.Time) iter.Seq[*MemberState] {
	return func(yield func(*MemberState) bool) {
		for m := range g.within(now, g.memberTimeout()) {
			if !yield(&m.MemberState) {
				return
			}
		}
	}
}

// states returns the states of members.
func states(members iter.Seq[*member], now time.Time) []MemberState {
	var out []MemberState
	for m := range members {
		out = append(out, m.state(now))
	}
	return out
}

// within iterates over the other instances whose state was received within the limit and that are not shutting down,
// ordered by ID.
func (g *Gossip) within(now time.Time, limit time.Duration) iter.Seq[*member] {
	return g.filter(func(m *member) bool { return now.Sub(m.receivedAt) < limit && !m.Leaving })
}

// limitSharers iterates over the other instances that may spend a part of the fleet's limits, ordered by ID: a silent one may
// be partitioned, and one that is shutting down still serves requests for a time.
func (g *Gossip) limitSharers(now time.Time) iter.Seq[*member] {
	return g.filter(func(m *member) bool {
		return now.Sub(m.receivedAt) < limitSharerTimeout && (!m.Leaving || now.Before(m.spendsUntil))
	})
}

// filter iterates over the members that are accepted, ordered by ID.
func (g *Gossip) filter(accept func(*member) bool) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for _, m := range g.byID {
			if accept(m) && !yield(m) {
				return
			}
		}
	}
}

// ShouldReadPlatform reports whether this instance reads the platform for its zone: it does unless a live instance of
// the zone with a higher rank reached the platform within the limit, or instances of ReaderZones zones with a higher rank
// did. The states of other zones may be older.
func (g *Gossip) ShouldReadPlatform(now time.Time, limit time.Duration) bool {
	mine, zone := rendezvous(readerKey, g.self.ID), rendezvous(readerKey, g.self.Zone)
	farLimit := limit + FarContactDelay
	var read map[string]bool
	for m := range g.within(now, g.memberTimeout()) {
		if age := ageOf(m.platformContact, now); m.Zone != g.self.Zone && age != NoContact && age <= farLimit && rendezvous(readerKey, m.Zone) > zone {
			if read == nil {
				read = map[string]bool{}
			}
			read[m.Zone] = true
		}
	}
	if len(read) >= ReaderZones {
		return false
	}
	for m := range g.within(now, g.memberTimeout()) {
		if age := ageOf(m.platformContact, now); m.Zone == g.self.Zone && age != NoContact && age <= limit && rendezvous(readerKey, m.ID) > mine {
			return false
		}
	}
	return true
}

// HasNoLiveSiblings reports whether no other instance is live.
func (g *Gossip) HasNoLiveSiblings(now time.Time) bool {
	for range g.within(now, g.memberTimeout()) {
		return false
	}
	return true
}

// IsFirstReader reports whether this instance ranks first as reader of its zone among the live instances.
func (g *Gossip) IsFirstReader(now time.Time) bool {
	mine := rendezvous(readerKey, g.self.ID)
	for m := range g.within(now, g.memberTimeout()) {
		if m.Zone == g.self.Zone && rendezvous(readerKey, m.ID) > mine {
			return false
		}
	}
	return true
}

// readerKey is the rendezvous hashing key for the rank of a zone's instances as readers of the platform.
const readerKey = "reader"

// IsOwner reports whether this instance ranks first for a key among the live instances. One that is shutting down owns nothing
// while another one is live, since the others do not count it.
func (g *Gossip) IsOwner(key string, now time.Time) bool {
	candidates := g.within(now, g.memberTimeout())
	if g.self.Leaving {
		if !g.HasNoLiveSiblings(now) {
			return false
		}
		candidates = g.limitSharers(now)
	}
	mine := rendezvous(key, g.self.ID)
	for m := range candidates {
		if rendezvous(key, m.ID) > mine {
			return false
		}
	}
	return true
}
