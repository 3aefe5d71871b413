package sibling

import "time"

const (
	// joinReplies is how many siblings a new instance hears before it is ready, if that many are listed. A change
	// reaches every instance within 4 s, so that one reply is nearly always enough; three cover siblings that are
	// new, or behind, themselves.
	joinReplies = 3
	// joinLimit bounds the wait for siblings that cannot be reached. In it, a new instance asks joinAsks siblings
	// of either side joinLimit/joinInterval times; where none of 60 answers, waiting longer finds none. An
	// instance that is cut off is then limited by the isolation rule.
	joinLimit    = 3 * time.Second
	joinInterval = 200 * time.Millisecond
	joinAsks     = 2
)

// joining decides when a new instance may become ready: when it has a document and a list, knows of no sibling
// with a newer one, and has heard enough siblings or waited for joinLimit. Once ready it stays so.
type joining struct {
	done    bool
	began   time.Time // when a document and a list were first in force
	nextAsk time.Time
	zones   map[string]string // zone of each sibling that replied, by ID
}

func (j *joining) answered(h Heartbeat) {
	if j.done {
		return
	}
	if j.zones == nil {
		j.zones = map[string]string{}
	}
	j.zones[h.ID] = h.Zone
}

// Joined reports whether this instance may become ready.
func (s *Spread) Joined() bool { return s.joining.done }

func (s *Spread) join(now time.Time) {
	j := &s.joining
	if j.done || !s.listed {
		return
	}
	if j.began.IsZero() && s.Revision(Document) != 0 {
		j.began = now
	}
	if !j.began.IsZero() && !s.behind(Document, now) && !s.behind(InstanceList, now) &&
		(s.heardEnough() || now.Sub(j.began) >= joinLimit) {
		*j = joining{done: true}
		return
	}
	if !now.Before(j.nextAsk) {
		j.nextAsk = now.Add(joinInterval)
		s.ready.Exchange = append(s.ready.Exchange, s.pick(s.inZone, joinAsks)...)
		s.ready.Exchange = append(s.ready.Exchange, s.pick(s.elsewhere, joinAsks)...)
	}
	s.wakeAt(j.nextAsk)
}

func (s *Spread) heardEnough() bool {
	others := len(s.inZone) + len(s.elsewhere)
	elsewhere := len(s.elsewhere) == 0
	for _, zone := range s.joining.zones {
		elsewhere = elsewhere || zone != s.zone
	}
	return elsewhere && len(s.joining.zones) >= min(joinReplies, others)
}
