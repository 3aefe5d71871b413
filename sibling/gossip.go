package sibling

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddrift.org/drift/document"
)

// MemberState is what an instance says of itself. Siblings pass beats on, so that instances which know few addresses learn
// of all others.
type MemberState struct {
	ID      string
	Zone    string
	Address string
	// Generation and Sequence order the beats of an instance: Generation rises with each start, Sequence with each beat.
	Generation, Sequence uint64
	// Leaving says that the instance stops.
	Leaving bool
	// CompleteTo is the newest revision of the platform's values that the instance is complete to.
	CompleteTo document.Revision
	// PlatformAge is how long ago the instance itself reached the platform, NoContact if it never did.
	PlatformAge time.Duration
	// Demand is the requests a second that organisations send to the instance.
	Demand map[string]float64
}

func (b MemberState) newerThan(o MemberState) bool {
	return b.Generation > o.Generation || b.Generation == o.Generation && b.Sequence > o.Sequence
}

const (
	// GossipInterval is the time between the exchanges of an instance. Nine instances learn of a change in three
	// to four rounds.
	GossipInterval = 250 * time.Millisecond
	// firstInterval is the same while the instance looks for siblings and values, at most for joinTime after its start.
	firstInterval = 100 * time.Millisecond
	joinTime      = 2 * time.Second
	// silentAfter is after how long without a newer beat a member counts as gone: eight rounds. In a fleet of more than
	// some 30 a message holds only a part of the beats, and silentEach more is needed for each member.
	silentAfter = 2 * time.Second
	silentEach  = 60 * time.Millisecond
	// countedFor is how long a silent member still counts where a limit is divided among members, since it may be
	// cut off and go on spending its part.
	countedFor = 20 * time.Second
	// forgetAfter is when a silent member is not contacted any more.
	forgetAfter = 2 * time.Minute
	// maxBeats bounds the beats of one message, so that its size does not grow with the fleet.
	maxBeats = 24
	// lonely is the number of live siblings below which the seeds are asked in every round.
	lonely = 2
	// reviveEvery is how many rounds lie between two contacts with a silent member or a seed.
	reviveEvery = 4
)

type member struct {
	MemberState
	heard time.Time // when the newest beat came
	store time.Time // when the instance itself reached the platform, zero if never
}

// Gossip is the view of the entry instances that they build by talking to each other. It belongs to the control
// goroutine.
type Gossip struct {
	self    MemberState
	store   time.Time
	seeds   []string
	members map[string]*member
	rng     *rand.Rand
	started time.Time
	rounds  int
	next    time.Time
}

// NewGossip returns a view that knows only this instance and the seeds, addresses which may be stale.
func NewGossip(self MemberState, seeds []string, rng *rand.Rand, now time.Time) *Gossip {
	return &Gossip{self: self, seeds: seeds, members: map[string]*member{}, rng: rng, started: now, next: now}
}

// SetSeeds replaces the seeds.
func (g *Gossip) SetSeeds(seeds []string) { g.seeds = seeds }

// UpdateSelf updates what this instance says of itself. store is when it reached the platform, zero if never.
func (g *Gossip) UpdateSelf(have document.Revision, store time.Time, demand map[string]float64) {
	g.self.CompleteTo, g.store, g.self.Demand = have, store, demand
}

// Leave makes this instance say that it stops.
func (g *Gossip) Leave() { g.self.Leaving = true }

// NextRound returns when the next round is due.
func (g *Gossip) NextRound() time.Time { return g.next }

// Round returns the addresses to exchange with now, none before the round is due. outside asks for one in another zone.
func (g *Gossip) Round(now time.Time, outside bool) []string {
	if now.Before(g.next) {
		return nil
	}
	g.rounds++
	g.self.Sequence++
	live := g.Live(now)
	g.next = now.Add(g.interval(len(live), now))
	maps.DeleteFunc(g.members, func(_ string, m *member) bool { return now.Sub(m.heard) > forgetAfter })
	var to []string
	add := func(address string) {
		if address != "" && address != g.self.Address && !slices.Contains(to, address) {
			to = append(to, address)
		}
	}
	near := slices.DeleteFunc(slices.Clone(live), func(b MemberState) bool { return b.Zone != g.self.Zone })
	if len(near) > 0 {
		add(near[g.rng.IntN(len(near))].Address)
	}
	if len(live) > 0 {
		add(live[g.rng.IntN(len(live))].Address)
	}
	if far := slices.DeleteFunc(slices.Clone(live), func(b MemberState) bool { return b.Zone == g.self.Zone }); outside && len(far) > 0 {
		add(far[g.rng.IntN(len(far))].Address)
	}
	if len(live) < lonely {
		for _, s := range g.seeds {
			add(s)
		}
	}
	if len(live) < lonely || g.rounds%reviveEvery == 0 {
		if others := g.silent(now); len(others) > 0 {
			add(others[g.rng.IntN(len(others))])
		}
	}
	return to
}

func (g *Gossip) interval(live int, now time.Time) time.Duration {
	if (live < lonely || g.self.CompleteTo == 0) && now.Sub(g.started) < joinTime {
		return firstInterval
	}
	return GossipInterval
}

// silence returns after how long without a newer beat a member counts as gone.
func (g *Gossip) silence() time.Duration {
	return max(silentAfter, time.Duration(len(g.members))*silentEach)
}

// silent returns the addresses of silent members, and of seeds that are not those of live members.
func (g *Gossip) silent(now time.Time) []string {
	var out []string
	known := map[string]bool{g.self.Address: true}
	for _, id := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[id]
		known[m.Address] = true
		if now.Sub(m.heard) >= g.silence() {
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

// Merge takes the beats of an exchange.
func (g *Gossip) Merge(beats []MemberState, now time.Time) {
	for _, b := range beats {
		if b.ID == g.self.ID {
			if b.Generation > g.self.Generation || b.Generation == g.self.Generation && b.Sequence > g.self.Sequence {
				// An earlier run of this instance had a clock that was ahead.
				g.self.Generation = b.Generation + 1
			}
			continue
		}
		m := g.members[b.ID]
		if m != nil && !b.newerThan(m.MemberState) {
			continue
		}
		if m == nil {
			m = &member{}
			g.members[b.ID] = m
		}
		m.MemberState, m.heard, m.store = b, now, time.Time{}
		if b.PlatformAge != NoContact {
			m.store = now.Add(-b.PlatformAge)
		}
	}
}

// MemberStates returns what to send in an exchange: the own beat and, of the others, half of the message the freshest ones, by
// which news spread fast, and half any, so that no member goes unheard.
func (g *Gossip) MemberStates(now time.Time) []MemberState {
	own := g.self
	own.PlatformAge = ageOf(g.store, now)
	fresh := slices.Collect(maps.Values(g.members))
	slices.SortFunc(fresh, func(a, b *member) int {
		return cmp.Or(b.heard.Compare(a.heard), cmp.Compare(a.ID, b.ID))
	})
	if rest := fresh[min(len(fresh), maxBeats/2):]; len(fresh) >= maxBeats {
		g.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	out := []MemberState{own}
	for _, m := range fresh[:min(len(fresh), maxBeats-1)] {
		if now.Sub(m.heard) >= g.silence() {
			continue
		}
		b := m.MemberState
		b.PlatformAge = ageOf(m.store, now)
		out = append(out, b)
	}
	return out
}

func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return NoContact
	}
	return max(now.Sub(at), 0)
}

// Live returns the other instances that were heard of lately and do not stop, by ID.
func (g *Gossip) Live(now time.Time) []MemberState {
	return g.within(now, g.silence())
}

// LimitSharers returns the other instances among which, with this one, limits of the fleet are divided.
func (g *Gossip) LimitSharers(now time.Time) []MemberState {
	return g.within(now, countedFor)
}

// SeenWithin returns the other instances that were heard of within a time, longer in a large fleet.
func (g *Gossip) SeenWithin(now time.Time, limit time.Duration) []MemberState {
	return g.within(now, time.Duration(float64(limit)*float64(g.silence())/float64(silentAfter)))
}

func (g *Gossip) within(now time.Time, limit time.Duration) []MemberState {
	var out []MemberState
	for _, m := range g.members {
		if now.Sub(m.heard) < limit && !m.Leaving {
			b := m.MemberState
			b.PlatformAge = ageOf(m.store, now)
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b MemberState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ShouldReadPlatform reports whether this instance reads the platform for its zone: no live instance of the zone that ranks
// before it reached the platform within limit.
func (g *Gossip) ShouldReadPlatform(now time.Time, limit time.Duration) bool {
	mine := rendezvous(readerKey, g.self.ID)
	for _, b := range g.Live(now) {
		if b.Zone == g.self.Zone && b.PlatformAge != NoContact && b.PlatformAge <= limit && rendezvous(readerKey, b.ID) > mine {
			return false
		}
	}
	return true
}

// HasNoLiveSiblings reports whether no other instance is known to live.
func (g *Gossip) HasNoLiveSiblings(now time.Time) bool { return len(g.Live(now)) == 0 }

// IsFirstReader reports whether this instance ranks first as reader of its zone among those that live.
func (g *Gossip) IsFirstReader(now time.Time) bool {
	mine := rendezvous(readerKey, g.self.ID)
	return !slices.ContainsFunc(g.Live(now), func(b MemberState) bool { return b.Zone == g.self.Zone && rendezvous(readerKey, b.ID) > mine })
}

// readerKey is what the instances of a zone are ranked by as readers of the platform.
const readerKey = "reader"

// IsOwner reports whether this instance ranks first for a key among the live instances.
func (g *Gossip) IsOwner(key string, now time.Time) bool {
	mine := rendezvous(key, g.self.ID)
	return !slices.ContainsFunc(g.Live(now), func(b MemberState) bool { return rendezvous(key, b.ID) > mine })
}
