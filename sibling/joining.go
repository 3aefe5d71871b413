package sibling

import "time"

const (
	// joinReplies is the number of siblings that must have replied before a new instance is ready, if that many are
	// listed. A change reaches every instance within 4 s, so one reply is nearly always enough; three cover siblings
	// that are new or out of date themselves.
	joinReplies = 3
	// joinLimit bounds the wait for unreachable siblings. Within it a new instance contacts joinFanout siblings in
	// its zone and as many elsewhere joinLimit/joinInterval times; if none of 60 replies, a longer wait does not
	// help. The isolation rule then limits an instance that is cut off.
	joinLimit    = 3 * time.Second
	joinInterval = 200 * time.Millisecond
	joinFanout   = 2
	// seedInterval is long enough for a fetch of a megabyte to complete.
	seedInterval = time.Second
)

// joining decides when a new instance may become ready: when it has a document and an instance list, no sibling
// claims a newer revision of either, and enough siblings have replied or joinLimit has passed. Once ready, the
// instance stays ready.
type joining struct {
	done         bool
	configuredAt time.Time // when a document and a list were first in force
	nextRequest  time.Time
	seedsTried   int               // number of fetches from seeds so far
	repliedZones map[string]string // zone of each sibling that replied, by ID
}

func (j *joining) answered(h Heartbeat) {
	if j.done {
		return
	}
	if j.repliedZones == nil {
		j.repliedZones = map[string]string{}
	}
	j.repliedZones[h.ID] = h.Zone
}

// Joined reports whether this instance may become ready.
func (s *Disseminator) Joined() bool { return s.joining.done }

func (s *Disseminator) join(now time.Time) {
	j := &s.joining
	if j.done {
		return
	}
	if !s.listed {
		s.fetchFromSeed(now)
		return
	}
	if j.configuredAt.IsZero() && s.Revision(Document) != 0 {
		j.configuredAt = now
	}
	if !j.configuredAt.IsZero() && !s.behind(Document, now) && !s.behind(InstanceList, now) &&
		(s.enoughReplies() || now.Sub(j.configuredAt) >= joinLimit) {
		*j = joining{done: true}
		return
	}
	if !now.Before(j.nextRequest) {
		j.nextRequest = now.Add(joinInterval)
		s.output.Exchange = append(s.output.Exchange, s.pick(s.inZone, joinFanout)...)
		s.output.Exchange = append(s.output.Exchange, s.pick(s.elsewhere, joinFanout)...)
	}
	s.tickBy(j.nextRequest)
}

// fetchFromSeed fetches both values from one seed at a time while no member list is in force. The platform is read in
// parallel.
func (s *Disseminator) fetchFromSeed(now time.Time) {
	if len(s.seeds) == 0 {
		return
	}
	j := &s.joining
	if !now.Before(j.nextRequest) {
		j.nextRequest = now.Add(seedInterval)
		address := s.seeds[j.seedsTried%len(s.seeds)]
		j.seedsTried++
		for v := range valueCount {
			s.output.Fetch = append(s.output.Fetch, Fetch{From: Member{ID: address, PeerAddress: address}, Value: v, After: s.Revision(v)})
		}
	}
	s.tickBy(j.nextRequest)
}

// enoughReplies reports whether joinReplies siblings replied, at least one of them in another zone if any is listed
// there.
func (s *Disseminator) enoughReplies() bool {
	others := len(s.inZone) + len(s.elsewhere)
	elsewhere := len(s.elsewhere) == 0
	for _, zone := range s.joining.repliedZones {
		elsewhere = elsewhere || zone != s.zone
	}
	return elsewhere && len(s.joining.repliedZones) >= min(joinReplies, others)
}
