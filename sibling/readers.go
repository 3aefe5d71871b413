package sibling

import (
	"time"

	"dogwooddrift.org/drift/document"
)

const (
	// readersPerZone instances of each zone, by rank, read the platform all the time.
	readersPerZone = 2
	// Instances of the ranks that follow probe those above them and take over from one that does not answer or
	// does not reach the platform. Two of them survive the loss of a rack that holds a reader and the next in rank.
	probingRanks = readersPerZone + 2
	// A lost reader must be replaced within 1 s. One that gives no reply is noticed after probeLimit and at most
	// one probeInterval, one that answers without a contact after directLimit and at most one probeInterval.
	probeInterval = 400 * time.Millisecond
	probeLimit    = 500 * time.Millisecond
	// directLimit is the age of its contact up to which a reader counts as reaching the platform. It exceeds the
	// time between the answers of two reads that wait.
	directLimit = documentWait + 150*time.Millisecond

	// An instance of a lower rank reads the platform when it has heard of no contact of its zone with the platform
	// for silenceLimit, and silenceStep more for each rank, so that not all of a zone begin at once.
	silenceLimit = 5 * time.Second
	silenceStep  = 200 * time.Millisecond

	// documentWait is short, since a reader that is cut off learns it when its waiting read fails. The list may
	// wait longer: the document's reads prove the contact.
	documentWait = 250 * time.Millisecond
	listWait     = 1500 * time.Millisecond
	answerMargin = 200 * time.Millisecond
	// firstReadLimit is for reads that do not wait.
	firstReadLimit = 2 * time.Second
	// lostReadLimit is after how long a read without an outcome is given up; values of a megabyte take a while.
	lostReadLimit = 10 * time.Second

	// minReadInterval bounds the calls at a platform that answers reads that should wait at once.
	minReadInterval = 100 * time.Millisecond

	retryFirst       = 200 * time.Millisecond
	retryLastReaders = time.Second
	// With the platform down, 1,200 instances that all try both values make 300 calls a second.
	retryLastOthers = 8 * time.Second
)

// readers decides whether this instance reads the platform.
type readers struct {
	rank  int
	above []probed // the first probingRanks of the zone that rank above this instance

	nextProbe time.Time
}

type probed struct {
	member Member
	fresh  time.Time // the last proof that it reaches the platform, or the start of probing
	proved bool      // by its last reply
	// starting is set until its first reply that says whether it reaches the platform.
	starting bool
}

// platformRead is the state of the reads of one value.
type platformRead struct {
	running  bool
	lost     time.Time // when a running read is given up
	next     time.Time
	failures int
}

func (r *platformRead) done(sent time.Time) {
	r.running, r.failures, r.next = false, 0, sent.Add(minReadInterval)
}

// rankReaders ranks the zone's instances after the list changed.
func (s *Disseminator) rankReaders(now time.Time) {
	var zone Members
	for _, m := range s.members {
		if m.Zone == s.zone && !m.Leaving {
			zone = append(zone, m)
		}
	}
	before := s.readers.above
	s.readers.rank, s.readers.above = len(zone), nil
	ranked := zone.Rank("platform readers", len(zone))
	for i, m := range ranked {
		if m.ID == s.id {
			s.readers.rank = i
			break
		}
	}
	for _, m := range ranked[:min(s.readers.rank, probingRanks, len(ranked))] {
		p := probed{member: m, fresh: now, starting: true}
		for _, b := range before {
			if b.member.ID == m.ID {
				p = b
				p.member = m
			}
		}
		s.readers.above = append(s.readers.above, p)
	}
}

func (r *readers) answered(m HeartbeatReplied) {
	for i := range r.above {
		p := &r.above[i]
		if p.member.ID != m.Heartbeat.ID {
			continue
		}
		p.proved = m.Heartbeat.DirectAge != NoContact && m.Heartbeat.DirectAge <= directLimit
		p.starting = p.starting && !p.proved && m.Heartbeat.DirectAge == NoContact
		if p.proved {
			later(&p.fresh, m.Sent)
		}
	}
}

// enough reports whether readersPerZone of the instances that rank above reach the platform. The first ones are
// trusted for probeLimit after probing began, the others only once they have proved it.
func (r *readers) enough(now time.Time) bool {
	count := 0
	for i, p := range r.above {
		if now.Sub(p.fresh) < probeLimit && (p.proved || p.starting && i < readersPerZone) {
			count++
		}
	}
	return count >= readersPerZone
}

// ShouldReadPlatform reports whether this instance reads the platform at now.
func (s *Disseminator) ShouldReadPlatform(now time.Time) bool {
	switch r := &s.readers; {
	case !s.listed, r.rank < readersPerZone:
		return true
	case s.Revision(Document) == 0 && len(s.values[Document].claims) == 0:
		return true // a new instance reads the platform once, whatever its rank
	case r.rank < probingRanks:
		return !r.enough(now)
	default:
		silence := silenceLimit + time.Duration(r.rank-probingRanks)*silenceStep
		return now.Sub(s.contact.zone) >= silence
	}
}

// probe sends heartbeats to the readers, if this instance is one of those that would take over.
func (s *Disseminator) probe(now time.Time) {
	r := &s.readers
	if !s.listed || r.rank < readersPerZone || r.rank >= probingRanks {
		return
	}
	if now.Before(r.nextProbe) {
		s.wakeAt(r.nextProbe)
		return
	}
	r.nextProbe = now.Add(probeInterval)
	s.wakeAt(r.nextProbe)
	healthy := r.enough(now)
	for i, p := range r.above {
		if i < readersPerZone || !healthy {
			s.ready.Exchange = append(s.ready.Exchange, p.member)
		}
	}
}

// readPlatform begins the reads that are due.
func (s *Disseminator) readPlatform(now time.Time) {
	reading := s.ShouldReadPlatform(now)
	for i := range s.values {
		v := &s.values[i]
		r := &v.read
		if r.running && !now.Before(r.lost) {
			r.running = false
		}
		if r.running || !reading {
			continue
		}
		if now.Before(r.next) {
			s.wakeAt(r.next)
			continue
		}
		read := ReadPlatform{Value: Value(i), After: v.seen(), ReplyTimeout: firstReadLimit}
		if read.After != 0 {
			read.Wait = listWait
			if Value(i) == Document {
				read.Wait = documentWait
			}
			read.ReplyTimeout = read.Wait + answerMargin
		}
		r.running, r.lost = true, now.Add(lostReadLimit)
		s.ready.Read = append(s.ready.Read, read)
	}
}

func (m PlatformFailed) step(s *Disseminator, now time.Time) {
	r := &s.values[m.Value].read
	last := retryLastOthers
	if s.listed && s.readers.rank < probingRanks {
		last = retryLastReaders
	}
	delay := min(retryFirst<<min(r.failures, 16), last)
	r.running, r.next = false, now.Add(s.jitter(delay))
	r.failures++
}

// Stale reads end with a revision that does not supersede the one in force; the next read waits a little, since a
// platform that answers with an old value answers at once.
const staleReadPause = 200 * time.Millisecond

// PlatformStale says that the platform served a value that is not newer than the one in force.
type PlatformStale struct {
	Value    Value
	Revision document.Revision
	Sent     time.Time
}

func (m PlatformStale) step(s *Disseminator, now time.Time) {
	PlatformAnswered{Value: m.Value, Sent: m.Sent}.step(s, now)
	s.values[m.Value].read.next = now.Add(staleReadPause)
}
