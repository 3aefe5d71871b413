package sibling

import (
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/document"
)

// Value names one of the two values that the platform publishes and instances spread.
type Value int

// The values.
const (
	Document Value = iota
	InstanceList
	valueCount
)

// String returns the name used in logs and metrics.
func (v Value) String() string { return [...]string{"document", "instances"}[v] }

// Event is an input of Spread.Step.
type Event interface {
	step(s *Disseminator, now time.Time)
}

// ValueAdopted says that a value came into force. The differences, which may be empty, led to it.
type ValueAdopted struct {
	Value       Value
	Content     document.Content
	Differences []document.Difference
}

// ValueRejected says that a newer value failed its checks. It is not asked for again.
type ValueRejected struct {
	Value    Value
	Revision document.Revision
}

// MembersUpdated gives the listed entry instances, ordered by ID.
type MembersUpdated struct{ Members Members }

// RevisionAnnounced says that a sibling has a revision in force.
type RevisionAnnounced struct {
	From     string
	Value    Value
	Revision document.Revision
}

// HeartbeatReceived is a heartbeat that a sibling sent. It may have been under way for any time, so it proves no contact.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// HeartbeatReplied is a sibling's heartbeat in reply to one that was sent at Sent.
type HeartbeatReplied struct {
	Heartbeat Heartbeat
	Sent      time.Time
}

// FetchEnded says that a fetch from a sibling is over, successful or not.
type FetchEnded struct {
	From  string
	Value Value
}

// PlatformAnswered says that the platform answered a read that was sent at Sent.
type PlatformAnswered struct {
	Value Value
	Sent  time.Time
}

// PlatformFailed says that a read of the platform failed.
type PlatformFailed struct{ Value Value }

// Tick is the message of a timer.
type Tick struct{}

func (Tick) step(*Disseminator, time.Time) {}

// Announce asks to tell a sibling which revision is in force here.
type Announce struct {
	To       Member
	Value    Value
	Revision document.Revision
	// Difference, if any, is what led to the revision from the one before.
	Difference *document.Difference
}

// Fetch asks a sibling for what leads from the revision in force here to the one in force there.
type Fetch struct {
	From  Member
	Value Value
	After document.Revision
}

// ReadPlatform asks for one read of the platform, which waits for a revision above After for at most Wait. The
// answer must begin within Limit.
type ReadPlatform struct {
	Value              Value
	After              document.Revision
	Wait, ReplyTimeout time.Duration
}

// DisseminatorOutput is the outcome of one Step.
type DisseminatorOutput struct {
	Announce []Announce
	// Exchange lists the siblings to send a heartbeat to.
	Exchange []Member
	Fetch    []Fetch
	Read     []ReadPlatform
	// NextTick is when Step needs a Tick at the latest.
	NextTick time.Time
}

const (
	exchangeInterval = time.Second
	// partnerUses exchanges in a row go to the same sibling while it answers. With one each, connections made up
	// more than half of the bytes of exchanges at 1,200 instances.
	partnerUses = 4

	// One announcement to 4 siblings by each receiver leaves 2% of the instances to the periodic exchange, three
	// leave 0.001%. They are apart so that the later ones go out where the value was lost on the way.
	pushInZone    = 3
	pushElsewhere = 1
	pushRounds    = 3
	pushInterval  = 150 * time.Millisecond
	// maxPushedBytes bounds a difference that goes with an announcement; receivers fetch a larger one, once.
	maxPushedBytes = 8 << 10

	// fetchLimit is after how long a fetch without an outcome is repeated at another sibling.
	fetchLimit = 2500 * time.Millisecond
	// claimLifetime bounds how long the word of a sibling counts that cannot be fetched from.
	claimLifetime = 5 * time.Second
	maxClaims     = 8
)

// Disseminator is the state machine that brings the newest published values to this instance and passes them on. It
// belongs to the control goroutine.
type Disseminator struct {
	id, zone string
	seeds    []string
	rng      *rand.Rand

	listed            bool
	members           Members
	inZone, elsewhere []int32 // indexes of members, without this instance

	values  [valueCount]spreadValue
	contact contact
	readers readers
	joining joining

	nextExchange time.Time
	outward      bool       // the last exchange went to another zone
	partners     [2]partner // in the own zone and in another one
	ready        DisseminatorOutput
}

type spreadValue struct {
	held       document.ContentHistory
	refused    document.Revision
	difference *document.Difference
	rounds     int // announcements still to make
	nextRound  time.Time
	claims     map[string]claim // by ID of the sibling
	fetching   bool
	fetchEnds  time.Time
	read       platformRead
}

// claim is the word of a sibling that it has a newer revision.
type claim struct {
	revision document.Revision
	heard    time.Time
}

// NewDisseminator returns the machine of an instance that knows nothing yet. Seeds are addresses of siblings, of which it
// asks one at a time until it knows a list.
func NewDisseminator(id, zone string, seeds []string, rng *rand.Rand) *Disseminator {
	return &Disseminator{id: id, zone: zone, seeds: seeds, rng: rng, joining: joining{seed: rng.IntN(max(len(seeds), 1))}}
}

// Step applies one message and whatever is due at now.
func (s *Disseminator) Step(m Event, now time.Time) DisseminatorOutput {
	s.ready = DisseminatorOutput{NextTick: now.Add(exchangeInterval)}
	m.step(s, now)
	s.announce(now)
	s.exchange(now)
	s.join(now)
	s.probe(now)
	s.readPlatform(now)
	for v := range s.values {
		s.fetch(Value(v), now)
	}
	return s.ready
}

// Apply applies a message without doing what is due, for a caller that knows of a second message about the same
// event.
func (s *Disseminator) Apply(m Event, now time.Time) { m.step(s, now) }

func (s *Disseminator) wakeAt(t time.Time) {
	if t.Before(s.ready.NextTick) {
		s.ready.NextTick = t
	}
}

// Revision returns the revision in force.
func (s *Disseminator) Revision(v Value) document.Revision { return s.values[v].held.Revision }

// Current returns the content in force with its history.
func (s *Disseminator) Current(v Value) document.ContentHistory { return s.values[v].held }

// Heartbeat returns what this instance tells a sibling now.
func (s *Disseminator) Heartbeat(now time.Time) Heartbeat {
	return Heartbeat{
		ID: s.id, Zone: s.zone,
		DocumentRevision: s.Revision(Document), ListRevision: s.Revision(InstanceList),
		DirectAge: age(s.contact.direct, now), ZoneAge: age(s.contact.zone, now), OutsideAge: age(s.contact.outside, now),
	}
}

func (m ValueAdopted) step(s *Disseminator, now time.Time) {
	v := &s.values[m.Value]
	if !m.Content.Revision.Supersedes(v.held.Revision) {
		return
	}
	v.held = v.held.Adopt(m.Content, m.Differences)
	v.difference = nil
	if n := len(m.Differences); n > 0 && len(m.Differences[n-1].Patch) <= maxPushedBytes {
		v.difference = &m.Differences[n-1]
	}
	v.rounds, v.nextRound = pushRounds, now
	v.dropClaims()
}

func (m ValueRejected) step(s *Disseminator, _ time.Time) {
	v := &s.values[m.Value]
	v.refused = max(v.refused, m.Revision)
	v.dropClaims()
}

// seen returns the newest revision that was checked here, refused or not.
func (v *spreadValue) seen() document.Revision { return max(v.held.Revision, v.refused) }

func (v *spreadValue) dropClaims() {
	for id, c := range v.claims {
		if !c.revision.Supersedes(v.seen()) {
			delete(v.claims, id)
		}
	}
}

func (m MembersUpdated) step(s *Disseminator, now time.Time) {
	s.members, s.listed = m.Members, true
	s.partners = [2]partner{}
	s.inZone, s.elsewhere = nil, nil
	for i, x := range m.Members {
		switch {
		case x.ID == s.id:
		case x.Zone == s.zone:
			s.inZone = append(s.inZone, int32(i))
		default:
			s.elsewhere = append(s.elsewhere, int32(i))
		}
	}
	s.rankReaders(now)
}

func (m RevisionAnnounced) step(s *Disseminator, now time.Time) {
	s.claim(m.From, m.Value, m.Revision, now)
}

func (m HeartbeatReceived) step(s *Disseminator, now time.Time) { s.claims(m.Heartbeat, now) }

func (m HeartbeatReplied) step(s *Disseminator, now time.Time) {
	s.claims(m.Heartbeat, now)
	s.contact.answered(s, m)
	s.joining.answered(m.Heartbeat)
	s.readers.answered(m)
	for i := range s.partners {
		if p := &s.partners[i]; p.member.ID == m.Heartbeat.ID {
			p.answered = true
		}
	}
}

func (m FetchEnded) step(s *Disseminator, _ time.Time) {
	v := &s.values[m.Value]
	v.fetching = false
	delete(v.claims, m.From)
}

func (s *Disseminator) claims(h Heartbeat, now time.Time) {
	s.claim(h.ID, Document, h.DocumentRevision, now)
	s.claim(h.ID, InstanceList, h.ListRevision, now)
}

// claim notes that a sibling has a revision, if it is newer than the one in force here.
func (s *Disseminator) claim(id string, value Value, revision document.Revision, now time.Time) {
	v := &s.values[value]
	if !revision.Supersedes(v.seen()) {
		return
	}
	if _, listed := s.members.Find(id); !listed {
		return
	}
	if _, known := v.claims[id]; !known && len(v.claims) >= maxClaims {
		lowest := id
		for other, c := range v.claims {
			l := v.claims[lowest]
			if c.revision < revision && (lowest == id || c.revision < l.revision || c.revision == l.revision && other < lowest) {
				lowest = other
			}
		}
		if lowest == id {
			return
		}
		delete(v.claims, lowest)
	}
	if v.claims == nil {
		v.claims = map[string]claim{}
	}
	v.claims[id] = claim{revision: revision, heard: now}
}

// behind reports whether a sibling is known to have a newer revision, and expires old claims.
func (s *Disseminator) behind(value Value, now time.Time) bool {
	v := &s.values[value]
	for id, c := range v.claims {
		if now.Sub(c.heard) >= claimLifetime {
			delete(v.claims, id)
		}
	}
	return len(v.claims) > 0
}

// fetch asks the sibling with the highest claim, one at a time.
func (s *Disseminator) fetch(value Value, now time.Time) {
	v := &s.values[value]
	if !s.behind(value, now) {
		return
	}
	if v.fetching && now.Before(v.fetchEnds) {
		s.wakeAt(v.fetchEnds)
		return
	}
	best := ""
	for id, c := range v.claims {
		if b := v.claims[best]; best == "" || c.revision > b.revision || c.revision == b.revision && id < best {
			best = id
		}
	}
	from, ok := s.members.Find(best)
	if !ok {
		delete(v.claims, best)
		return
	}
	v.fetching, v.fetchEnds = true, now.Add(fetchLimit)
	s.wakeAt(v.fetchEnds)
	s.ready.Fetch = append(s.ready.Fetch, Fetch{From: from, Value: value, After: v.held.Revision})
}

// announce pushes values that came into force lately to random siblings.
func (s *Disseminator) announce(now time.Time) {
	for i := range s.values {
		v := &s.values[i]
		if v.rounds == 0 || !s.listed {
			continue
		}
		if now.Before(v.nextRound) {
			s.wakeAt(v.nextRound)
			continue
		}
		v.rounds--
		v.nextRound = now.Add(pushInterval)
		s.wakeAt(v.nextRound)
		for _, to := range append(s.pick(s.inZone, pushInZone), s.pick(s.elsewhere, pushElsewhere)...) {
			s.ready.Announce = append(s.ready.Announce, Announce{
				To: to, Value: Value(i), Revision: v.held.Revision, Difference: v.difference,
			})
		}
	}
}

// exchange sends a heartbeat to one random sibling when it is due, in the own zone and elsewhere in turn: the
// instances of a zone that is cut off keep in touch, and the others prove contact every other time.
func (s *Disseminator) exchange(now time.Time) {
	if now.Before(s.nextExchange) {
		s.wakeAt(s.nextExchange)
		return
	}
	if len(s.inZone)+len(s.elsewhere) == 0 {
		return
	}
	s.nextExchange = now.Add(s.jitter(exchangeInterval))
	s.wakeAt(s.nextExchange)
	from := s.inZone
	s.outward = !s.outward
	p := &s.partners[0]
	if len(from) == 0 || len(s.elsewhere) > 0 && s.outward {
		from, p = s.elsewhere, &s.partners[1]
	}
	if p.uses == 0 || !p.answered {
		*p = partner{member: s.pick(from, 1)[0], uses: partnerUses}
	}
	p.uses--
	p.answered = false
	s.ready.Exchange = append(s.ready.Exchange, p.member)
}

// partner is a sibling that exchanges go to for some time.
type partner struct {
	member   Member
	uses     int // exchanges left
	answered bool
}

// pick returns up to n distinct random members.
func (s *Disseminator) pick(from []int32, n int) Members {
	if len(from) <= n {
		out := make(Members, 0, len(from)+pushElsewhere)
		for _, i := range from {
			out = append(out, s.members[i])
		}
		return out
	}
	out := make(Members, 0, n+pushElsewhere)
	chosen := make([]int32, 0, n)
next:
	for len(out) < n {
		i := from[s.rng.IntN(len(from))]
		for _, c := range chosen {
			if c == i {
				continue next
			}
		}
		chosen = append(chosen, i)
		out = append(out, s.members[i])
	}
	return out
}

// jitter returns a random time from half to one and a half times d.
func (s *Disseminator) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}
