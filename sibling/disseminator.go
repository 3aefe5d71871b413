package sibling

import (
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/document"
)

// ValueKind identifies one of the two values that the platform publishes and the instances disseminate.
type ValueKind int

// The published values.
const (
	Document ValueKind = iota
	InstanceList
	valueCount
)

// String returns the name used in logs and metrics.
func (v ValueKind) String() string { return [...]string{"document", "instances"}[v] }

// Event is an input of Disseminator.Step.
type Event interface {
	step(s *Disseminator, now time.Time)
}

// ValueAdopted reports that a value came into force. Differences lists the patches from the previous revision to this
// one and may be empty.
type ValueAdopted struct {
	Value       ValueKind
	Content     document.Content
	Differences []document.Difference
}

// ValueRejected reports that a newer value failed validation. That revision is not requested again.
type ValueRejected struct {
	Value    ValueKind
	Revision document.Revision
}

// MembersUpdated carries the listed entry instances, ordered by ID.
type MembersUpdated struct{ Members Members }

// RevisionAnnounced is a sibling's announcement of its revision in force.
type RevisionAnnounced struct {
	From     string // sibling ID
	Value    ValueKind
	Revision document.Revision
}

// HeartbeatReceived carries a heartbeat that a sibling sent on its own initiative. Its time of sending is unknown, so
// it does not prove recent contact.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// HeartbeatReplied carries a sibling's reply to the heartbeat that this instance sent at Sent.
type HeartbeatReplied struct {
	Heartbeat Heartbeat
	Sent      time.Time
}

// FetchEnded reports that a fetch from a sibling completed or failed.
type FetchEnded struct {
	From  string // sibling ID
	Value ValueKind
}

// PlatformAnswered reports that the platform answered the read that was sent at Sent.
type PlatformAnswered struct {
	Value ValueKind
	Sent  time.Time
}

// PlatformFailed reports that a read of the platform failed.
type PlatformFailed struct{ Value ValueKind }

// Tick makes Step do whatever is due.
type Tick struct{}

func (Tick) step(*Disseminator, time.Time) {}

// Announce instructs the caller to announce the revision in force here to a sibling.
type Announce struct {
	To       Member
	Value    ValueKind
	Revision document.Revision
	// Difference is the patch from the previous revision; nil if it is unknown or larger than maxPushedBytes.
	Difference *document.Difference
}

// Fetch instructs the caller to fetch from a sibling the differences between revision After, which is in force here,
// and the sibling's revision in force. With After zero the sibling returns the whole value.
type Fetch struct {
	From  Member
	Value ValueKind
	After document.Revision
}

// ReadPlatform instructs the caller to read a value from the platform by long polling: the platform delays its answer
// for at most Wait until it has a revision above After. The answer must begin within ReplyTimeout.
type ReadPlatform struct {
	Value              ValueKind
	After              document.Revision
	Wait, ReplyTimeout time.Duration
}

// DisseminatorOutput is the output of one Step.
type DisseminatorOutput struct {
	Announce []Announce
	// Exchange lists the siblings to exchange heartbeats with.
	Exchange []Member
	Fetch    []Fetch
	Read     []ReadPlatform
	// NextTick is the latest time at which Step must be called with a Tick.
	NextTick time.Time
}

const (
	exchangeInterval = time.Second
	// exchangesPerPartner is the number of consecutive exchanges with the same sibling while it replies. With a new
	// sibling for each, connection setup made up more than half of the bytes of exchanges at 1,200 instances.
	exchangesPerPartner = 4

	// Each instance announces a new value to 4 siblings in each of pushRounds rounds. One round leaves 2% of the
	// instances to the periodic exchange, three rounds leave 0.001%. The rounds are pushInterval apart so that the
	// later ones also go out from instances that received the value late because messages were lost.
	pushInZone    = 3
	pushElsewhere = 1
	pushRounds    = 3
	pushInterval  = 150 * time.Millisecond
	// maxPushedBytes bounds a difference that is sent with an announcement. Receivers fetch a larger one, once.
	maxPushedBytes = 8 << 10

	// fetchRetryAfter is the time after which a fetch without an outcome is repeated at another sibling.
	fetchRetryAfter = 2500 * time.Millisecond
	// claimLifetime bounds how long a sibling's claim of a newer revision counts if the value cannot be fetched from
	// it.
	claimLifetime = 5 * time.Second
	maxClaims     = 8
)

// Disseminator is the state machine that brings the newest published values to this instance and passes them on to
// siblings. It belongs to the control goroutine.
type Disseminator struct {
	id, zone string
	seeds    []string
	rng      *rand.Rand

	listed            bool
	members           Members
	inZone, elsewhere []int32 // indexes into members, without this instance

	values  [valueCount]valueState
	contact contact
	readers readers
	joining joining

	nextExchange     time.Time
	lastWasCrossZone bool       // the last periodic exchange went to another zone
	partners         [2]partner // exchange partners: [0] in this zone, [1] in another zone
	output           DisseminatorOutput
}

// valueState is the state of one published value.
type valueState struct {
	current       document.ContentHistory
	rejected      document.Revision
	difference    *document.Difference
	announcesLeft int // rounds of announcements still to make
	nextAnnounce  time.Time
	claims        map[string]revisionClaim // by sibling ID
	fetching      bool
	fetchDeadline time.Time
	read          platformRead
}

// revisionClaim records that a sibling reported a newer revision.
type revisionClaim struct {
	revision   document.Revision
	receivedAt time.Time
}

// NewDisseminator returns the state machine of an instance that has neither values nor a member list yet. Seeds are
// addresses of siblings; it fetches from one at a time until it has a list.
func NewDisseminator(id, zone string, seeds []string, rng *rand.Rand) *Disseminator {
	return &Disseminator{id: id, zone: zone, seeds: seeds, rng: rng, joining: joining{seedsTried: rng.IntN(max(len(seeds), 1))}}
}

// Step applies one event and performs whatever is due at now.
func (s *Disseminator) Step(e Event, now time.Time) DisseminatorOutput {
	s.output = DisseminatorOutput{NextTick: now.Add(exchangeInterval)}
	e.step(s, now)
	s.announce(now)
	s.exchange(now)
	s.join(now)
	s.probe(now)
	s.readPlatform(now)
	for v := range s.values {
		s.fetch(ValueKind(v), now)
	}
	return s.output
}

// Apply applies an event without performing what is due. It is for a caller that passes a second event for the same
// occurrence to Step right afterwards.
func (s *Disseminator) Apply(e Event, now time.Time) { e.step(s, now) }

// tickBy lowers NextTick to t if t is earlier.
func (s *Disseminator) tickBy(t time.Time) {
	if t.Before(s.output.NextTick) {
		s.output.NextTick = t
	}
}

// Revision returns the revision in force, zero if there is none.
func (s *Disseminator) Revision(v ValueKind) document.Revision { return s.values[v].current.Revision }

// Current returns the content in force and its history of differences.
func (s *Disseminator) Current(v ValueKind) document.ContentHistory { return s.values[v].current }

// Heartbeat returns the heartbeat that this instance sends at now.
func (s *Disseminator) Heartbeat(now time.Time) Heartbeat {
	return Heartbeat{
		ID: s.id, Zone: s.zone,
		DocumentRevision: s.Revision(Document), ListRevision: s.Revision(InstanceList),
		DirectAge: ageOf(s.contact.direct, now), ZoneAge: ageOf(s.contact.zone, now), OutsideAge: ageOf(s.contact.outside, now),
	}
}

func (m ValueAdopted) step(s *Disseminator, now time.Time) {
	v := &s.values[m.Value]
	if !m.Content.Revision.Supersedes(v.current.Revision) {
		return
	}
	v.current = v.current.Adopt(m.Content, m.Differences)
	v.difference = nil
	if n := len(m.Differences); n > 0 && len(m.Differences[n-1].Patch) <= maxPushedBytes {
		v.difference = &m.Differences[n-1]
	}
	v.announcesLeft, v.nextAnnounce = pushRounds, now
	v.dropOutdatedClaims()
}

func (m ValueRejected) step(s *Disseminator, _ time.Time) {
	v := &s.values[m.Value]
	v.rejected = max(v.rejected, m.Revision)
	v.dropOutdatedClaims()
}

// newestChecked returns the newest revision that was validated here, whether it was adopted or rejected.
func (v *valueState) newestChecked() document.Revision { return max(v.current.Revision, v.rejected) }

// dropOutdatedClaims removes claims of revisions that are no longer newer than those validated here.
func (v *valueState) dropOutdatedClaims() {
	for id, c := range v.claims {
		if !c.revision.Supersedes(v.newestChecked()) {
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
	s.recordClaim(m.From, m.Value, m.Revision, now)
}

func (m HeartbeatReceived) step(s *Disseminator, now time.Time) { s.recordClaims(m.Heartbeat, now) }

func (m HeartbeatReplied) step(s *Disseminator, now time.Time) {
	s.recordClaims(m.Heartbeat, now)
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

func (s *Disseminator) recordClaims(h Heartbeat, now time.Time) {
	s.recordClaim(h.ID, Document, h.DocumentRevision, now)
	s.recordClaim(h.ID, InstanceList, h.ListRevision, now)
}

// recordClaim records that a sibling reported a revision, if it is newer than any validated here and the sibling is
// listed. With maxClaims recorded, it replaces the claim of the lowest revision if that is lower.
func (s *Disseminator) recordClaim(id string, value ValueKind, revision document.Revision, now time.Time) {
	v := &s.values[value]
	if !revision.Supersedes(v.newestChecked()) {
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
		v.claims = map[string]revisionClaim{}
	}
	v.claims[id] = revisionClaim{revision: revision, receivedAt: now}
}

// behind removes expired claims and reports whether some sibling still claims a newer revision.
func (s *Disseminator) behind(value ValueKind, now time.Time) bool {
	v := &s.values[value]
	for id, c := range v.claims {
		if now.Sub(c.receivedAt) >= claimLifetime {
			delete(v.claims, id)
		}
	}
	return len(v.claims) > 0
}

// fetch requests the value from the sibling with the highest claimed revision. Only one fetch of a value runs at a
// time.
func (s *Disseminator) fetch(value ValueKind, now time.Time) {
	v := &s.values[value]
	if !s.behind(value, now) {
		return
	}
	if v.fetching && now.Before(v.fetchDeadline) {
		s.tickBy(v.fetchDeadline)
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
	v.fetching, v.fetchDeadline = true, now.Add(fetchRetryAfter)
	s.tickBy(v.fetchDeadline)
	s.output.Fetch = append(s.output.Fetch, Fetch{From: from, Value: value, After: v.current.Revision})
}

// announce sends the due announcements of recently adopted values to random siblings.
func (s *Disseminator) announce(now time.Time) {
	for i := range s.values {
		v := &s.values[i]
		if v.announcesLeft == 0 || !s.listed {
			continue
		}
		if now.Before(v.nextAnnounce) {
			s.tickBy(v.nextAnnounce)
			continue
		}
		v.announcesLeft--
		v.nextAnnounce = now.Add(pushInterval)
		s.tickBy(v.nextAnnounce)
		for _, to := range append(s.pick(s.inZone, pushInZone), s.pick(s.elsewhere, pushElsewhere)...) {
			s.output.Announce = append(s.output.Announce, Announce{
				To: to, Value: ValueKind(i), Revision: v.current.Revision, Difference: v.difference,
			})
		}
	}
}

// exchange sends a heartbeat to one random sibling when one is due. It alternates between this zone and the others:
// the instances of a partitioned zone stay in contact with each other, and every second exchange can prove contact
// with another zone.
func (s *Disseminator) exchange(now time.Time) {
	if now.Before(s.nextExchange) {
		s.tickBy(s.nextExchange)
		return
	}
	if len(s.inZone)+len(s.elsewhere) == 0 {
		return
	}
	s.nextExchange = now.Add(s.jitter(exchangeInterval))
	s.tickBy(s.nextExchange)
	from := s.inZone
	s.lastWasCrossZone = !s.lastWasCrossZone
	p := &s.partners[0]
	if len(from) == 0 || len(s.elsewhere) > 0 && s.lastWasCrossZone {
		from, p = s.elsewhere, &s.partners[1]
	}
	if p.usesLeft == 0 || !p.answered {
		*p = partner{member: s.pick(from, 1)[0], usesLeft: exchangesPerPartner}
	}
	p.usesLeft--
	p.answered = false
	s.output.Exchange = append(s.output.Exchange, p.member)
}

// partner is the sibling that consecutive periodic exchanges go to.
type partner struct {
	member   Member
	usesLeft int // exchanges left before another sibling is chosen
	answered bool
}

// pick returns up to n distinct random members of those at the given indexes.
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

// jitter returns a random duration between half and one and a half times d.
func (s *Disseminator) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}
