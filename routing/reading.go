package routing

import (
	"errors"
	"math"
	"time"

	"dogwooddrift.org/drift/sibling"
)

const (
	// minStoreWait and maxStoreWait bound the time for which the store may hold a read open until there are changes. A platform
	// that does not answer is noticed after this time and the timeout of the reply. A longer wait causes fewer reads, each
	// of which has a cost.
	minStoreWait = 250 * time.Millisecond
	maxStoreWait = 2 * time.Second
	// readPause and, for each member, readPausePerMember are the time between two reads, so that one read gathers
	// changes that follow each other quickly. A larger fleet has more targets and is allowed more time until changes
	// are in force.
	readPause          = 250 * time.Millisecond
	readPausePerMember = 5 * time.Millisecond
	// fullReadsAtOnce is the number of replies in a row that lead to a full read without a pause: a lost history, and the first reply that
	// tells of a return from an older copy.
	fullReadsAtOnce = 2
	// readRetryDelay is the time before a failed read is repeated.
	readRetryDelay = 300 * time.Millisecond
	// readerSlack is the time beyond a waiting read and the pause after it until a reader's contact with the store is known
	// to its zone: the reply and rounds of gossip.
	readerSlack = 1200 * time.Millisecond
	// takeoverTime is the time from the moment at which an instance notices that its readers have lost the store until the
	// changes that it then reads itself are in force: a tick, a read, and a publication of the snapshot, on a busy processor.
	takeoverTime = 400 * time.Millisecond
	// spreadPerDoubling is the time that a change takes from instance to instance, for each doubling of the number of instances: an
	// exchange that brings the news and one that brings the values, at busy instances on a small part of a core.
	spreadPerDoubling = 200 * time.Millisecond
	// minOutage is the time without store contact after which a returning store may lack registrations that expired
	// meanwhile.
	minOutage = 1500 * time.Millisecond
	// lapseWindow is the time after the end of an outage in which the store may still remove expired registrations.
	lapseWindow = 2500 * time.Millisecond
)

// readStore reads the store if this instance reads it and a read is due.
func (s *State) readStore(now time.Time, result *StepResult) {
	if s.reading || now.Before(s.nextRead) || !s.decideReader(now) || s.awaitsHistory(now) {
		return
	}
	s.reading, s.readAt, s.readAfter, s.readIn = true, now, s.values.completeTo, s.newestHistory(now)
	full := s.readAfter.Revision == 0 || s.historyGone > 0 && !s.suspicion.rechecks || s.readIn != s.readAfter.History
	result.Effects = append(result.Effects, ReadStore{
		Overlap: s.verification.begin(s.readAfter, full), After: s.readAfter, Wait: s.storeWait(), Full: full,
	})
}

// awaitsHistory reports whether a transfer from a sibling is about to bring a later history, so that this instance need not read it from the
// store.
func (s *State) awaitsHistory(now time.Time) bool {
	behind := s.transfers.behindSince
	return !behind.IsZero() && now.Sub(behind) < s.spreadTime() && !s.gossip.IsFirstReader(now) &&
		s.newestHistory(now) != s.values.completeTo.History
}

// decideReader reports whether this instance reads the store, and logs when that changes.
func (s *State) decideReader(now time.Time) bool {
	reader := s.shouldReadStore(now)
	if reader != s.reader {
		s.reader = reader
		before, after := "siblings", "this instance"
		if !reader {
			before, after = after, before
		}
		s.logState("platform read by", "", before, after, "time since the last own read: "+ageText(s.storeContact, now))
	}
	return reader
}

// shouldReadStore reports whether this instance reads the store. While an instance has no values, it lets the first in
// rank of its zone read and waits for the values from a sibling, up to a timeout: reads have a cost, and the instances
// of a fleet start at the same time.
func (s *State) shouldReadStore(now time.Time) bool {
	if s.values.completeTo.Revision != 0 {
		return !s.confirmed || s.gossip.ShouldReadPlatform(now, s.readerTimeout())
	}
	siblingTimeout, valuesTimeout := firstSiblingTimeout, joinTimeout
	if s.config.FirstStart {
		siblingTimeout, valuesTimeout = firstStartSiblingTimeout, firstStartJoinTimeout
	}
	waited := now.Sub(s.withoutValuesSince)
	if s.gossip.HasNoLiveSiblings(now) {
		return waited >= siblingTimeout
	}
	return s.gossip.IsFirstReader(now) || waited >= valuesTimeout
}

const (
	// firstSiblingTimeout is how long an instance without values waits for its first live sibling: some round trips.
	firstSiblingTimeout = 50 * time.Millisecond
	// joinTimeout is how long an instance without values waits for the values of siblings: two rounds of gossip.
	joinTimeout = 250 * time.Millisecond
	// firstStartSiblingTimeout and firstStartJoinTimeout apply instead when the whole fleet starts for the first time:
	// instances start within 0.3 s of each other, and requests arrive some seconds later.
	firstStartSiblingTimeout = 800 * time.Millisecond
	firstStartJoinTimeout    = 2500 * time.Millisecond
)

func (s *State) receiveStoreRead(e StoreRead, now time.Time) {
	s.reading = false
	switch {
	case e.Err != nil:
	case s.connectionLost(e, now):
		e.Err = errReconnected
	case s.verification.defers(e.Update.Full):
		e.Err = errUnverified
	}
	if e.Err == nil {
		stated := e.Update.To.Revision
		if e.Err = s.placeUpdate(&e.Update, now); e.Err != nil {
			s.readsLeftOut++
		}
		s.storeRevision, s.highestStoreRevision = stated, max(s.highestStoreRevision, stated)
	}
	if e.Err != nil {
		s.recordReadFailure(e.Err, now)
		return
	}
	if s.readFailures > 0 {
		s.logState("platform", "", "lost", "regained", "read")
	}
	if s.readFailures > 0 && now.Sub(s.withoutStoreSince()) > minOutage {
		s.storeRecoveredAt = now
	}
	s.readFailures, s.historyGone, s.storeContact = 0, 0, now
	s.verification.succeed(e.Update.Full)
	s.nextRead = now.Add(s.readPause())
	if now.Sub(s.storeRecoveredAt) < lapseWindow {
		e.Update.markLapsed()
	}
	e.Update.Changes = append(e.Update.Changes, s.values.zonesPutBack(&e.Update)...)
	s.applyUpdate(e.Update, "platform", now)
}

// connectionLost reports whether a reply came over another connection than the one before it, although no contact was lost, and does not hold
// known changes that would show a return.
func (s *State) connectionLost(e StoreRead, now time.Time) bool {
	beginsToRead := s.storeContact.IsZero() || now.Sub(s.storeContact) > s.readerTimeout()
	return e.Reconnected && !beginsToRead && !e.Update.Full && !s.verification.due
}

// withoutStoreSince returns when this instance last reached the store, or its start if it never did.
func (s *State) withoutStoreSince() time.Time {
	if s.storeContact.IsZero() {
		return s.started
	}
	return s.storeContact
}

// readPause returns the time between two reads of the store. It grows with the fleet as far as Bounds.ChangeLimit leaves time for it.
func (s *State) readPause() time.Duration {
	perMembers := time.Duration(s.memberCount) * readPausePerMember
	if s.config.Bounds.ChangeLimit > 0 {
		perMembers = max(min(perMembers, s.timeForReads()-minStoreWait), 0)
	}
	return readPause + perMembers
}

// readerTimeout returns the age of the store contact of a zone's reader above which the next instance in rank reads too.
func (s *State) readerTimeout() time.Duration {
	return s.storeWait() + s.contactDelay()
}

// storeWait returns how long the store may hold a read open. It is so short that all instances whose readers lose the store right
// after an answer have the next change in force within Bounds.ChangeLimit.
func (s *State) storeWait() time.Duration {
	if s.config.Bounds.ChangeLimit <= 0 {
		return maxStoreWait
	}
	return min(max(s.timeForReads()-(s.readPause()-readPause), minStoreWait), maxStoreWait)
}

// contactDelay returns the time beyond the wait of a read until the reader's contact with the store is known to its zone.
func (s *State) contactDelay() time.Duration {
	return s.readPause() - readPause + readerSlack
}

// timeForReads returns the part of Bounds.ChangeLimit that is left for the wait of a read and for the part of the pause beyond
// readPause. The rest of the limit passes until the contact of a reader is known, until an instance whose readers are lost has
// the change, and on the way of the change to all others.
func (s *State) timeForReads() time.Duration {
	left := s.config.Bounds.ChangeLimit - readerSlack - takeoverTime - s.spreadTime()
	if len(s.config.Regions) > sibling.ReaderZones {
		left -= sibling.FarContactDelay
	}
	return left
}

// spreadTime returns the time that a change takes from one instance to all others.
func (s *State) spreadTime() time.Duration {
	return time.Duration(math.Log2(float64(max(s.memberCount, 1))) * float64(spreadPerDoubling))
}

// markLapsed marks the removals of targets that an outage of the platform may have caused.
func (u *Update) markLapsed() {
	u.Lapsed = u.Full
	for i := range u.Changes {
		if c := &u.Changes[i]; c.Removed && c.Kind == KindTarget {
			c.Lapsed = true
		}
	}
}

// recordReadFailure schedules the next read after a failed one. If the store no longer keeps the history, the next read
// is a full one.
func (s *State) recordReadFailure(err error, now time.Time) {
	switch {
	case errors.Is(err, errReadOverlapped), errors.Is(err, errUnverified), errors.Is(err, errReturnUnclear):
		s.nextRead = now
		return
	case errors.Is(err, errReconnected):
		s.verification.expect(s.values.completeTo)
		s.nextRead = now
		return
	}
	if errors.Is(err, ErrHistoryGone) {
		if s.historyGone == 0 {
			s.logState("platform", "", "history", "full read required", err.Error())
		}
		s.nextRead = now
		if !s.gossip.IsFirstReader(now) {
			// After an outage many instances read. Those that hear meanwhile that another one of their zone reads need not.
			s.nextRead = now.Add(s.spreadTime())
		}
		if s.historyGone++; s.historyGone > fullReadsAtOnce {
			s.nextRead = now.Add(readRetryDelay)
		}
		return
	}
	if s.readFailures == 0 {
		s.logState("platform", "", "reached", "lost", err.Error())
	}
	s.readFailures++
	s.verification.expect(s.values.completeTo)
	s.verification.fail()
	s.nextRead = now.Add(readRetryDelay)
}
