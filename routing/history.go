package routing

import (
	"fmt"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// errReturnSuspected means that a reply of the platform's store contradicts what it said before. A full read tells whether the
// store has returned from an older copy.
var errReturnSuspected = fmt.Errorf("%w: it may have returned from an older copy", ErrHistoryGone)

// errEraBehind means that a reply of the platform's store states an earlier era than is known, or none although one is known.
var errEraBehind = fmt.Errorf("%w: the reply is of an earlier era", ErrStoreRead)

// errReconnected means that a read used a new connection: the store may have returned from an older copy since the read before, and its revisions
// may have passed the known one. The read is repeated together with known changes.
var errReconnected = fmt.Errorf("%w: the connection is new", ErrStoreRead)

// errUnverified means that a reply after a lost contact does not hold known changes. The next read asks for them.
var errUnverified = fmt.Errorf("%w: not compared with what is known", ErrStoreRead)

// errReturnUnclear means that a full read does not repeat the sign of a return that the reply before it gave. It shows less than a watch: no
// removals, and of each value the last write only.
var errReturnUnclear = fmt.Errorf("%w: the sign of a return from an older copy is not repeated", ErrStoreRead)

// errReadOverlapped means that this instance learned of a later history while a read ran that began in an earlier one.
var errReadOverlapped = fmt.Errorf("%w: a later history became known while the read ran", ErrStoreRead)

// errBehindSiblings means that a reply of the platform's store is behind what a sibling that follows the platform read, although the store never
// went back here: the reply is stale, or of another store. If the store has returned from an older copy, that sibling notices it.
var errBehindSiblings = fmt.Errorf("%w: the reply is behind what siblings read", ErrStoreRead)

// maxHistoryStep bounds by how much the history that a sibling states may lie beyond the own one. A larger step is a damaged message.
const maxHistoryStep = 1000

// suspicion is what the last reply of the store told of a return from an older copy. The zero value is nothing.
type suspicion struct {
	// history is the one that the reply seems to belong to.
	history document.History
	// rechecks is set while known changes are read again, since a full read did not repeat the sign, and repeated once they gave it again.
	rechecks, repeated bool
}

// placeUpdate assigns a reply of the store to a history, as of the read that it belongs to. A return is believed after two replies
// that tell of it, at a full read that is the second of them or follows it: one damaged reply must not end a history.
func (s *State) placeUpdate(u *Update, now time.Time) error {
	complete, before := s.values.completeTo, s.suspicion
	s.suspicion = suspicion{}
	if complete.History != s.readAfter.History {
		return errReadOverlapped
	}
	history, sign, err := s.historyOf(u, now)
	if err != nil {
		return err
	}
	switch unconfirmed := before.history == (document.History{Era: history.Era, Rewind: history.Rewind + 1}); {
	case sign != "" && (!u.Full || before.history != history):
		s.suspicion = suspicion{history: history, repeated: before.rechecks && before.history == history}
		return fmt.Errorf("%w: %s", errReturnSuspected, sign)
	case sign == "" && u.Full && unconfirmed && before.repeated:
		history = before.history
	case sign == "" && u.Full && unconfirmed:
		s.suspicion = suspicion{history: before.history, rechecks: true}
		s.verification.insist(complete)
		return errReturnUnclear
	}
	u.From.History, u.To.History = history, history
	for i := range u.Changes {
		u.Changes[i].History = history
	}
	s.storeAt = u.To
	if history.After(complete.History) && complete.Revision > 0 {
		// Registrations may be among what the store has lost.
		s.storeRecoveredAt = now
	}
	return nil
}

// historyOf returns the history that a reply of the store belongs to, and the sign of a return from an older copy by which it is later than the
// known one, "" if it is not. The reply states an era at most. Reads are linearizable, so a revision below one that was known when the
// read began shows that the store has returned.
func (s *State) historyOf(u *Update, now time.Time) (history document.History, sign string, err error) {
	history = s.readIn
	era := u.To.History.Era
	switch {
	case era < history.Era:
		return history, "", fmt.Errorf("%w: %d, known is %d", errEraBehind, era, history.Era)
	case era > history.Era:
		return document.History{Era: era}, fmt.Sprintf("it states era %d", era), nil
	case history != s.values.completeTo.History:
		return history, "", nil // siblings know of it already
	case u.To.Revision < s.readAfter.Revision:
		if !s.wentBackHere(u) && s.siblingReadBeyond(u.To.Revision, now) {
			return history, "", fmt.Errorf("%w: revision %d, known was %s", errBehindSiblings, u.To.Revision, s.readAfter)
		}
		sign = fmt.Sprintf("it states revision %d, known was %s, and %d the highest that it stated here", u.To.Revision, s.readAfter, s.highestStoreRevision)
	default:
		sign = s.values.contradiction(u, knowledge{completeTo: s.readAfter, at: s.readAt})
	}
	if sign != "" {
		history.Rewind++
	}
	return history, sign, nil
}

// wentBackHere reports whether the store states a lower revision than it did before to this instance.
func (s *State) wentBackHere(u *Update) bool {
	return s.storeAt.History == s.values.completeTo.History && u.To.Revision < s.storeAt.Revision
}

// siblingReadBeyond reports whether a sibling that follows the platform is complete to more than a revision in the present history.
func (s *State) siblingReadBeyond(r document.Revision, now time.Time) bool {
	for m := range s.gossip.EachLive(now) {
		if m.CompleteTo.History == s.values.completeTo.History && m.CompleteTo.Revision > r && s.followsPlatform(m) {
			return true
		}
	}
	return false
}

// knowledge is what was known when a read of the store began: every change up to a position.
type knowledge struct {
	completeTo document.Position
	at         time.Time
}

// includes reports whether an entry was known as it is now, and from the store rather than from the time that it lost.
func (k knowledge) includes(e *entry) bool {
	return e != nil && !e.Retained && e.History == k.completeTo.History && e.changedAt.Before(k.at)
}

// contradiction returns in what a reply of the store contradicts what was known when the read began, "" if in nothing. A reply that is not full
// holds all changes after u.From up to its last one. A store that has not returned from an older copy shows each known change as it was known.
func (v *values) contradiction(u *Update, k knowledge) string {
	if !u.Full && u.From.Revision >= k.completeTo.Revision {
		return "" // it shows nothing that was known
	}
	shown, last := map[ValueID]bool{}, document.Revision(0)
	for _, c := range lastOfEach(u.Changes) {
		shown[c.ID()], last = true, max(last, c.Revision)
		e := v.entries[c.ID()]
		if k.lacks(c, e) {
			return fmt.Sprintf("%s %s of revision %d was not known", c.Kind, c.Name, c.Revision)
		}
		if !k.includes(e) || e.sameContent(c) {
			continue
		}
		switch covered := u.Full || e.Revision > u.From.Revision; {
		case c.Revision == e.Revision:
			return fmt.Sprintf("%s %s of revision %d differs from what was known", c.Kind, c.Name, c.Revision)
		case c.Revision < e.Revision && covered:
			return fmt.Sprintf("%s %s is of revision %d, known was %d", c.Kind, c.Name, c.Revision, e.Revision)
		}
	}
	for id, e := range v.entries {
		lost := u.Full && e.Revision > u.To.Revision
		missing := !u.Full && !e.Removed && e.Revision > u.From.Revision && e.Revision <= last && !shown[id]
		if k.includes(e) && (lost || missing) {
			return fmt.Sprintf("%s %s was known at revision %d", e.Kind, e.Name, e.Revision)
		}
	}
	return ""
}

// lacks reports whether a change of the store should have been known, and e, the entry of its value or nil, shows that it was not.
func (k knowledge) lacks(c *Change, e *entry) bool {
	switch {
	case c.Revision > k.completeTo.Revision:
		return false
	case e == nil:
		return !c.Removed // the removal may have been forgotten
	}
	return e.History == k.completeTo.History && e.Revision < c.Revision && !(c.Removed && e.Removed)
}

// lastOfEach returns the last change of each value.
func lastOfEach(changes []Change) []*Change {
	seen := make(map[ValueID]bool, len(changes))
	var out []*Change
	for i := len(changes) - 1; i >= 0; i-- {
		if c := &changes[i]; !seen[c.ID()] {
			seen[c.ID()] = true
			out = append(out, c)
		}
	}
	return out
}

// eraWitnesses is the number of siblings that make a later era believed although none of them follows the platform.
const eraWitnesses = 2

// newestHistory returns the latest history that this instance or live siblings know. In a later era, the store's present replies
// are not believed, so that one damaged instance must not name it.
func (s *State) newestHistory(now time.Time) document.History {
	own := s.values.completeTo.History
	newest := own
	witnesses := map[uint64]int{} // by era
	for m := range s.gossip.EachLive(now) {
		h := m.CompleteTo.History
		if !h.After(newest) || !s.plausible(h) {
			continue
		}
		witnesses[h.Era]++
		if h.Era == own.Era || s.followsPlatform(m) || witnesses[h.Era] >= eraWitnesses {
			newest = h
		}
	}
	return newest
}

// plausible reports whether a history that a sibling states may exist. An instance without values, or without an era, knows nothing to
// compare it with.
func (s *State) plausible(h document.History) bool {
	own := s.values.completeTo
	eraKnown := own.Revision > 0 && own.History.Era > 0
	return h.Rewind <= maxHistoryStep+own.History.Rewind && (!eraKnown || h.Era <= own.History.Era+maxHistoryStep)
}

// followsPlatform reports whether a sibling reached the platform so lately that it knows the store's present history.
func (s *State) followsPlatform(m *sibling.MemberState) bool {
	return m.PlatformAge != sibling.NoContact && m.PlatformAge <= s.readerTimeout()
}

// offersValues reports whether a sibling states values that are to be fetched from it if they are newer. A later history is taken over from a sibling
// that follows the platform, or from any if none of the live ones does: what an instance that was cut off calls a
// later history may have ended.
func (s *State) offersValues(m *sibling.MemberState, now time.Time) bool {
	h := m.CompleteTo.History
	if !h.After(s.values.completeTo.History) || s.values.completeTo.Revision == 0 {
		return true
	}
	if !s.plausible(h) {
		return false
	}
	return s.followsPlatform(m) || !s.anyFollowsPlatform(now)
}

// anyFollowsPlatform reports whether this instance or a live sibling reached the platform lately.
func (s *State) anyFollowsPlatform(now time.Time) bool {
	if !s.storeContact.IsZero() && s.readFailures == 0 && now.Sub(s.storeContact) <= s.readerTimeout() {
		return true
	}
	for m := range s.gossip.EachLive(now) {
		if s.followsPlatform(m) {
			return true
		}
	}
	return false
}

// logHistory logs that a later history has begun.
func (s *State) logHistory(before, after document.Position, source string) {
	s.logState("platform history", "", before.History.String(), after.History.String(),
		fmt.Sprintf("%s revision %d, complete to %d before", source, after.Revision, before.Revision))
}
