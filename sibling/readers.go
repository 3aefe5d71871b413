package sibling

import (
	"time"

	"dogwooddrift.org/drift/document"
)

const (
	// readersPerZone is the number of instances of each zone, by rank, that read the platform continuously.
	readersPerZone = 2
	// Instances of the next ranks, below probingRanks, send heartbeats to those ranked above them and take over from
	// a reader that does not reply or cannot reach the platform. There are two of them so that a zone survives the
	// loss of a rack that holds a reader and the next in rank.
	probingRanks = readersPerZone + 2
	// A failed reader must be replaced within 1 s. One that does not reply is detected after probeTimeout plus at
	// most one probeInterval; one that replies without platform contact, after directContactLimit plus at most one
	// probeInterval.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// directContactLimit is the age of its last platform contact up to which a reader counts as reaching the
	// platform. It exceeds the time between the answers of two consecutive long polls.
	directContactLimit = documentWait + 150*time.Millisecond

	// An instance of a lower rank starts to read the platform when it has had no evidence for silenceLimit that its
	// zone reaches the platform, plus silenceStep for each rank, so that the instances of a zone do not all start at
	// once.
	silenceLimit = 5 * time.Second
	silenceStep  = 200 * time.Millisecond

	// documentWait is short because a reader that loses the platform notices it only when its long poll fails. The
	// poll of the instance list may be longer, since the document's polls already prove the contact.
	documentWait = 250 * time.Millisecond
	listWait     = 1500 * time.Millisecond
	replyMargin  = 200 * time.Millisecond
	// firstReadLimit is the reply timeout of reads without long polling.
	firstReadLimit = 2 * time.Second
	// abandonReadAfter is the time after which a read without an outcome is abandoned. It is long because a value of
	// a megabyte takes a while to transfer.
	abandonReadAfter = 10 * time.Second

	// minReadInterval bounds the call rate at a platform that answers long polls immediately.
	minReadInterval = 100 * time.Millisecond

	minRetryDelay       = 200 * time.Millisecond
	maxReaderRetryDelay = time.Second
	// With the platform down, 1,200 instances that all retry both values make 300 calls a second at this delay.
	maxRetryDelay = 8 * time.Second
)

// readers decides whether this instance reads the platform.
type readers struct {
	rank         int            // of this instance in its zone, counted from 0
	higherRanked []probedReader // the instances of the zone that rank above this one, at most the first probingRanks

	nextProbe time.Time
}

// probedReader is the state of a higher-ranked instance as known from its heartbeat replies.
type probedReader struct {
	member          Member
	lastProof       time.Time // when it last proved contact with the platform, or when probing started
	reachesPlatform bool      // according to its last reply
	// starting is set until its first reply that reports platform contact, recent or not.
	starting bool
}

// platformRead is the state of the reads of one value.
type platformRead struct {
	running   bool      // a read is in progress
	abandonAt time.Time // when a running read is abandoned
	next      time.Time // earliest start of the next read
	failures  int
}

// succeeded records that the read sent at the given time was answered.
func (r *platformRead) succeeded(sent time.Time) {
	r.running, r.failures, r.next = false, 0, sent.Add(minReadInterval)
}

// rankReaders ranks the instances of this zone after the member list changed. Probe results of instances that stay
// ranked above this one are kept.
func (s *Disseminator) rankReaders(now time.Time) {
	var zone Members
	for _, m := range s.members {
		if m.Zone == s.zone && !m.Leaving {
			zone = append(zone, m)
		}
	}
	before := s.readers.higherRanked
	s.readers.rank, s.readers.higherRanked = len(zone), nil
	ranked := zone.Rank("platform readers", len(zone))
	for i, m := range ranked {
		if m.ID == s.id {
			s.readers.rank = i
			break
		}
	}
	for _, m := range ranked[:min(s.readers.rank, probingRanks, len(ranked))] {
		p := probedReader{member: m, lastProof: now, starting: true}
		for _, b := range before {
			if b.member.ID == m.ID {
				p = b
				p.member = m
			}
		}
		s.readers.higherRanked = append(s.readers.higherRanked, p)
	}
}

func (r *readers) answered(m HeartbeatReplied) {
	for i := range r.higherRanked {
		p := &r.higherRanked[i]
		if p.member.ID != m.Heartbeat.ID {
			continue
		}
		p.reachesPlatform = m.Heartbeat.DirectAge != NoContact && m.Heartbeat.DirectAge <= directContactLimit
		p.starting = p.starting && !p.reachesPlatform && m.Heartbeat.DirectAge == NoContact
		if p.reachesPlatform {
			advance(&p.lastProof, m.Sent)
		}
	}
}

// enoughReaders reports whether at least readersPerZone higher-ranked instances reach the platform. The first
// readersPerZone are assumed to for probeTimeout after probing started; the others count only once they have proved
// it.
func (r *readers) enoughReaders(now time.Time) bool {
	count := 0
	for i, p := range r.higherRanked {
		if now.Sub(p.lastProof) < probeTimeout && (p.reachesPlatform || p.starting && i < readersPerZone) {
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
		return !r.enoughReaders(now)
	default:
		silence := silenceLimit + time.Duration(r.rank-probingRanks)*silenceStep
		return now.Sub(s.contact.zone) >= silence
	}
}

// probe sends heartbeats to the readers if this instance is one of those that would take over. While there are too
// few working readers it probes all higher-ranked instances.
func (s *Disseminator) probe(now time.Time) {
	r := &s.readers
	if !s.listed || r.rank < readersPerZone || r.rank >= probingRanks {
		return
	}
	if now.Before(r.nextProbe) {
		s.tickBy(r.nextProbe)
		return
	}
	r.nextProbe = now.Add(probeInterval)
	s.tickBy(r.nextProbe)
	healthy := r.enoughReaders(now)
	for i, p := range r.higherRanked {
		if i < readersPerZone || !healthy {
			s.output.Exchange = append(s.output.Exchange, p.member)
		}
	}
}

// readPlatform starts the reads that are due.
func (s *Disseminator) readPlatform(now time.Time) {
	reading := s.ShouldReadPlatform(now)
	for i := range s.values {
		v := &s.values[i]
		r := &v.read
		if r.running && !now.Before(r.abandonAt) {
			r.running = false
		}
		if r.running || !reading {
			continue
		}
		if now.Before(r.next) {
			s.tickBy(r.next)
			continue
		}
		read := ReadPlatform{Value: ValueKind(i), After: v.newestChecked(), ReplyTimeout: firstReadLimit}
		if read.After != 0 {
			read.Wait = listWait
			if ValueKind(i) == Document {
				read.Wait = documentWait
			}
			read.ReplyTimeout = read.Wait + replyMargin
		}
		r.running, r.abandonAt = true, now.Add(abandonReadAfter)
		s.output.Read = append(s.output.Read, read)
	}
}

func (m PlatformFailed) step(s *Disseminator, now time.Time) {
	r := &s.values[m.Value].read
	maxDelay := maxRetryDelay
	if s.listed && s.readers.rank < probingRanks {
		maxDelay = maxReaderRetryDelay
	}
	delay := min(minRetryDelay<<min(r.failures, 16), maxDelay)
	r.running, r.next = false, now.Add(s.jitter(delay))
	r.failures++
}

// staleReadPause is the delay after a read that returned a revision not newer than the one in force: a platform that
// serves an old value answers at once, without long polling.
const staleReadPause = 200 * time.Millisecond

// PlatformStale reports that the platform served a value that is not newer than the one in force.
type PlatformStale struct {
	Value    ValueKind
	Revision document.Revision
	Sent     time.Time
}

func (m PlatformStale) step(s *Disseminator, now time.Time) {
	PlatformAnswered{Value: m.Value, Sent: m.Sent}.step(s, now)
	s.values[m.Value].read.next = now.Add(staleReadPause)
}
