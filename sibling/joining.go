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
	// seedInterval leaves a fetch of a megabyte the time to end.
	seedInterval = time.Second
)

// joining decides when a new instance may become ready: when it has a document and a list, knows of no sibling
// with a newer one, and has heard enough siblings or waited for joinLimit. Once ready it stays so.
type joining struct {
	done    bool
	began   time.Time // when a document and a list were first in force
	nextAsk time.Time
	seed    int               // how many seeds were asked
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
func (s *Disseminator) Joined() bool { return s.joining.done }

func (s *Disseminator) join(now time.Time) {
	j := &s.joining
	if j.done {
		return
	}
	if !s.listed {
		s.askSeed(now)
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

// askSeed fetches from a seed while no list is known. The platform is read at the same time.
func (s *Disseminator) askSeed(now time.Time) {
	if len(s.seeds) == 0 {
		return
	}
	j := &s.joining
	if !now.Before(j.nextAsk) {
		j.nextAsk = now.Add(seedInterval)
		address := s.seeds[j.seed%len(s.seeds)]
		j.seed++
		for v := range valueCount {
			s.ready.Fetch = append(s.ready.Fetch, Fetch{From: Member{ID: address, PeerAddress: address}, Value: v, After: s.Revision(v)})
		}
	}
	s.wakeAt(j.nextAsk)
}

func (s *Disseminator) heardEnough() bool {
	others := len(s.inZone) + len(s.elsewhere)
	elsewhere := len(s.elsewhere) == 0
	for _, zone := range s.joining.zones {
		elsewhere = elsewhere || zone != s.zone
	}
	return elsewhere && len(s.joining.zones) >= min(joinReplies, others)
}
