package sibling

import "time"

// contact records the last proofs of contact with the platform and with other zones. zone and outside hold the time
// on this instance's clock at which the call that proved the contact was sent, so that neither a slow reply nor a
// paused process makes a contact look newer than it is. direct only serves siblings to decide whether to take over
// reading, so it is the time of the answer: a long poll is sent long before it is answered.
type contact struct {
	direct  time.Time // with the platform, by this instance
	zone    time.Time // with the platform, by any instance of the zone
	outside time.Time // with the platform or another zone, by any instance of the zone
}

func (m PlatformAnswered) step(s *Disseminator, now time.Time) {
	advance(&s.contact.direct, now)
	advance(&s.contact.zone, m.Sent)
	advance(&s.contact.outside, m.Sent)
	s.values[m.Value].read.succeeded(m.Sent)
}

// answered applies the proof of contact in a heartbeat reply. Siblings of the same zone pass on their own proofs,
// since most instances neither read the platform nor regularly exchange with another zone. A reply that names a newer
// revision proves nothing until that revision is in force here: a key that it withdraws would still be accepted.
func (c *contact) answered(s *Disseminator, m HeartbeatReplied) {
	h := m.Heartbeat
	sameZone := h.Zone == s.zone
	if sameZone {
		advanceByAge(&c.zone, m.Sent, h.ZoneAge)
	}
	if h.DocumentRevision.Supersedes(s.values[Document].newestChecked()) {
		return
	}
	if sameZone {
		advanceByAge(&c.outside, m.Sent, h.OutsideAge)
	} else {
		advance(&c.outside, m.Sent)
	}
}

// LastOutsideContact returns the time of the last proof that this instance's zone reached the platform or another
// zone, zero if there was none.
func (s *Disseminator) LastOutsideContact() time.Time { return s.contact.outside }

// advanceByAge advances *t to the contact that was age old at sent. NoContact leaves it unchanged.
func advanceByAge(t *time.Time, sent time.Time, age time.Duration) {
	if age != NoContact {
		advance(t, sent.Add(-age))
	}
}

// advance sets *t to the candidate if that is later.
func advance(t *time.Time, candidate time.Time) {
	if candidate.After(*t) {
		*t = candidate
	}
}
