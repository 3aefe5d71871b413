package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/targets"
)

// A store that returns from an older copy shows values as they were before. What operators and targets stated in the time that it lost
// is retained where sending requests by the older statement would be wrong, until the operator or the target writes the value again:
//
//   - the routing in force, while the store shows an earlier version;
//   - a target that left, or that wrote a later registration, for example that it drains;
//   - a zone out of service.
//
// Retained statements have a position in the new history and so give way to each later write of it. Siblings fetch them from
// each other, since an instance that has read only the copy cannot know them.

// followedTime is how long an instance must have followed a history to know what was said in it. It is longer than the time that a store loses.
const followedTime = time.Minute

// maxOrigins bounds the histories whose end is remembered.
const maxOrigins = 8

// supersedes reports whether c replaces an earlier change of the same value.
func (c *Change) supersedes(old *Change) bool {
	order := c.At().Compare(old.At())
	if order != 0 || !c.Retained {
		return order > 0
	}
	return !old.Retained || c.statedAfter(old)
}

// statedAfter reports whether c holds rather than another retained statement of the same value. Instances retain different ones if
// they had followed the ended history to different positions.
func (c *Change) statedAfter(old *Change) bool {
	switch {
	case c.Routing != nil && old.Routing != nil:
		return c.Routing.Version.Supersedes(old.Routing.Version)
	case c.Target != nil && old.Target != nil:
		return old.Target.Precedes(c.Target)
	}
	return c.Removed && !old.Removed
}

// maxReplaced bounds the incarnations of a target that are remembered after others have replaced them. A target restarts a few
// times at most in the time that a store loses.
const maxReplaced = 4

// replacedBy returns the incarnations of a target, as far as they are remembered, that a registration at a later position has replaced.
func (e *entry) replacedBy(next *targets.Registration) []string {
	known := e.newest.Target.Incarnation
	if next == nil || next.Incarnation == known {
		return e.replaced
	}
	out := append(slices.Clone(e.replaced), known)
	out = slices.DeleteFunc(out, func(incarnation string) bool { return incarnation == next.Incarnation })
	return out[max(0, len(out)-maxReplaced):]
}

// sameWrite reports whether c tells of the write that e holds, perhaps in the words of a later history: the platform still had it when it
// returned.
func (e *entry) sameWrite(c *Change) bool {
	return e.Revision == c.Revision && !e.Retained && !c.Retained && e.sameContent(c)
}

// sameContent reports whether c says the same of the value as e.
func (e *entry) sameContent(c *Change) bool {
	switch {
	case e.Removed != c.Removed:
		return false
	case e.Target != nil && c.Target != nil:
		return *e.Target == *c.Target
	case e.Routing != nil && c.Routing != nil:
		return e.Routing.Version == c.Routing.Version
	}
	return e.Target == nil && c.Target == nil && e.Routing == nil && c.Routing == nil
}

// outlives reports whether a target stated what e holds after c, which a store that has returned from a copy shows: a later registration of the
// same incarnation, or one of an incarnation that replaced it. The routing has a version of its own.
func (e *entry) outlives(c *Change) bool {
	mayReturn := e.Removed && e.Lapsed && !e.earlierUntil.IsZero()
	if c.Target == nil || e.newest == nil || mayReturn {
		return false
	}
	if slices.Contains(e.replaced, c.Target.Incarnation) {
		return true
	}
	known := e.newest.Target
	return c.Target.Precedes(known) || e.Removed && c.Target.Incarnation == known.Incarnation && c.Target.Sequence == known.Sequence
}

// retain keeps what an entry states in the place of what the store shows as of a position, and returns it.
func (v *values) retain(e *entry, at document.Position) Change {
	if !e.Retained {
		e.Retained, e.Origin = true, e.At()
	}
	e.Lapsed = false // the time in which a target may return has passed
	e.moveTo(at)
	v.noteRetained(e)
	return e.Change
}

// moveTo gives what an entry states a position in a later history.
func (e *entry) moveTo(at document.Position) {
	if at.History != e.History {
		e.before = e.At()
	}
	e.History, e.Revision = at.History, at.Revision
	if e.Target != nil && !e.outdated {
		written := e.Change
		e.newest = &written
	}
}

// keptSince reports whether an instance that was complete to a position in an earlier history has the value as it is now, and the position that it
// had there.
func (e *entry) keptSince(completeTo document.Position) (document.Position, bool) {
	if e.Removed || e.Retained {
		return document.Position{}, false
	}
	for _, at := range []document.Position{e.before, e.At()} {
		if at.History == completeTo.History && at.Revision > 0 && !at.After(completeTo) {
			return at, true
		}
	}
	return document.Position{}, false
}

// adoptsRetained reports whether a retained statement of a sibling that is complete to a position is new to this instance. It is not if
// a change that the sibling does not know may have replaced it.
func (v *values) adoptsRetained(c *Change, completeTo document.Position) bool {
	if !c.Retained || v.completeTo.After(completeTo) {
		return false
	}
	e := v.entries[c.ID()]
	return e == nil || c.supersedes(&e.Change)
}

// knewItEnded reports whether a sibling retains that a zone is out of service although this instance knew that it was back: it had followed the
// store beyond the statement, and does not retain it.
func (v *values) knewItEnded(c *Change) bool {
	e := v.entries[c.ID()]
	return c.Retained && !c.Removed && c.Kind == KindZoneOut && (e == nil || e.Removed) && !c.Origin.After(v.knownOf(c.Origin.History))
}

// noteRetained updates the digests after a change of an entry.
func (v *values) noteRetained(e *entry) {
	if !e.Retained {
		delete(v.retained, e.ID())
		return
	}
	text := fmt.Sprintf("%s\x00%s\x00%t", e.Kind, e.Name, e.Removed)
	switch {
	case e.Routing != nil:
		text += fmt.Sprintf("\x00%d", e.Routing.Version)
	case e.newest != nil:
		text += fmt.Sprintf("\x00%s\x00%d", e.newest.Target.Incarnation, e.newest.Target.Sequence)
	}
	v.retained[e.ID()] = xxhash.Sum64String(text)
}

// retainedDigest returns a digest of the retained statements, 0 if there are none.
func (v *values) retainedDigest() uint64 {
	digest := uint64(0)
	for _, d := range v.retained {
		digest ^= d
	}
	return digest
}

// beginHistory remembers up to where the history is known that ends. An instance that started lately may have taken the store, which had
// already returned, for one of the earlier history, and remembers nothing.
func (v *values) beginHistory(now time.Time) {
	if v.completeTo.Revision > 0 && now.Sub(v.followedSince) >= followedTime {
		v.origins = append(v.origins, v.completeTo)
		v.origins = v.origins[max(0, len(v.origins)-maxOrigins):]
	}
	v.followedSince = now
}

// reachOfCopy returns the highest revision of a registration that a full update shows as it was known in an earlier history, or that the
// target wrote before the known one: the copy from which the store returned reaches at least so far.
func (v *values) reachOfCopy(u *Update) document.Revision {
	reach := document.Revision(0)
	if !u.Full {
		return reach
	}
	for i := range u.Changes {
		c := &u.Changes[i]
		e := v.entries[c.ID()]
		if c.Target == nil || e == nil || !u.To.History.After(e.History) {
			continue
		}
		if e.sameWrite(c) || e.newest != nil && c.Target.Precedes(e.newest.Target) {
			reach = max(reach, c.Revision)
		}
	}
	return reach
}

// beforeLostZones returns the position right before the earliest statement of an ended history that a zone is out of service, that is retained and
// that the store may have lost, false if there is none.
func (v *values) beforeLostZones(now time.Time) (document.Position, bool) {
	earliest := document.Revision(0)
	for id := range v.retained {
		e := v.entries[id]
		if e.Kind != KindZoneOut || e.Removed || e.Origin.History == v.completeTo.History || now.Sub(e.changedAt) >= followedTime {
			continue
		}
		if earliest == 0 || e.Origin.Revision < earliest {
			earliest = e.Origin.Revision
		}
	}
	return document.Position{History: v.completeTo.History, Revision: max(earliest, 1) - 1}, earliest > 0
}

// zonesPutBack returns the end of each retained statement that a zone is out of service if the changes after a position hold the removal of
// the zone. A removal at a revision that is not before the statement's is later than it: either the store still had the statement, or it gave
// the revision out again.
func (v *values) zonesPutBack(u *Update) []Change {
	var out []Change
	for i := range u.Changes {
		c := &u.Changes[i]
		e := v.entries[c.ID()]
		if u.Full || c.Kind != KindZoneOut || !c.Removed || e == nil || e.Removed || !e.Retained {
			continue
		}
		if c.History == e.History && c.Revision >= e.Origin.Revision {
			out = append(out, Change{Kind: c.Kind, Name: c.Name, History: e.History, Revision: e.Revision, Removed: true, Retained: true, Origin: c.At()})
		}
	}
	return out
}

// lostStatements returns the values of which a statement holds although the store has lost it.
func (v *values) lostStatements() []ValueID {
	var out []ValueID
	for id := range v.retained {
		if e := v.entries[id]; e.Origin.History != e.History || e.Kind != KindZoneOut {
			out = append(out, id)
		}
	}
	return out
}

// knownOf returns the position up to which every change of an ended history was known, the zero value if it was never followed.
func (v *values) knownOf(h document.History) document.Position {
	for _, p := range v.origins {
		if p.History == h {
			return p
		}
	}
	return document.Position{}
}

// lacks reports whether a value that a full update names as unchanged is not known here as the sender knows it. If the update begins another
// history, the value may have changed here in the time that the platform lost.
func (v *values) lacks(u *Update, begins bool) bool {
	lacks := false
	for i, id := range u.Unchanged {
		e := v.entries[id]
		switch {
		case e == nil:
			lacks = true
		case !begins || i >= len(u.UnchangedAt):
		case e.At() == u.UnchangedAt[i] && !e.Removed && !e.Retained:
			e.moveTo(document.Position{History: u.To.History, Revision: e.Revision})
		default:
			lacks = true
		}
	}
	return lacks
}
