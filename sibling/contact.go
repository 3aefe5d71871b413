package sibling

import "time"

// contact holds when this instance last had proof that the platform or other zones could be reached. The times of
// zone and outside are those at which the proving call was sent, on this instance's own clock, so that neither a
// slow reply nor a frozen process makes a contact look newer than it is. direct only tells others whether to take
// over reading, so it is the time of the answer: a read that waits is sent long before.
type contact struct {
	direct  time.Time // with the platform, by this instance
	zone    time.Time // with the platform, by some instance of the zone
	outside time.Time // with the platform or a sibling of another zone, by some instance of the zone
}

func (m PlatformAnswered) step(s *Disseminator, now time.Time) {
	later(&s.contact.direct, now)
	later(&s.contact.zone, m.Sent)
	later(&s.contact.outside, m.Sent)
	s.values[m.Value].read.done(m.Sent)
}

// answered takes the proof that a reply holds. Siblings of the zone pass on theirs, since most instances neither
// read the platform nor happen to ask another zone all the time. A reply that names a newer revision proves
// nothing until that revision is in force here: a key withdrawn by it still works.
func (c *contact) answered(s *Disseminator, m HeartbeatReplied) {
	h := m.Heartbeat
	sameZone := h.Zone == s.zone
	if sameZone {
		passOn(&c.zone, m.Sent, h.ZoneAge)
	}
	if h.DocumentRevision.Supersedes(s.values[Document].seen()) {
		return
	}
	if sameZone {
		passOn(&c.outside, m.Sent, h.OutsideAge)
	} else {
		later(&c.outside, m.Sent)
	}
}

// LastOutsideContact returns when this instance last had proof that its zone reached the platform or another zone; zero if
// never.
func (s *Disseminator) LastOutsideContact() time.Time { return s.contact.outside }

func passOn(t *time.Time, sent time.Time, age time.Duration) {
	if age != NoContact {
		later(t, sent.Add(-age))
	}
}

func later(t *time.Time, candidate time.Time) {
	if candidate.After(*t) {
		*t = candidate
	}
}

func age(t, now time.Time) time.Duration {
	if t.IsZero() {
		return NoContact
	}
	return max(now.Sub(t), 0)
}
