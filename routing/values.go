package routing

import (
	"slices"
	"time"

	"dogwooddrift.org/drift/document"
)

// entry is the newest known write or removal of one value.
type entry struct {
	Change
	changedAt time.Time
	// before is the position of the same write in the history that ended last, zero if it was made later.
	before document.Position
	// Until earlierUntil, earlier is in use in the place of the value, or no value if earlier is nil: a value that lapsed may
	// return, and one that is outdated is likely to be replaced.
	earlierUntil time.Time
	earlier      *Change
	// newest is the change with the registration that a target wrote last, nil if none is known. The removal of the target keeps it.
	newest *Change
	// replaced holds the incarnations of the target that later ones replaced.
	replaced []string
	// outdated is set if the value is a registration that the target wrote before newest. Until earlierUntil, prior holds the changes
	// that it is older than, in the order of their positions.
	outdated bool
	prior    []Change
}

const (
	// lapseTime is how long a value that is missing after an outage of the platform remains in use: live targets
	// register again within about two seconds.
	lapseTime = 2 * time.Second
	// outdatedTime is how long an outdated registration is not believed: a live target writes again much sooner. After that the
	// sequence is considered wrong.
	outdatedTime = 10 * time.Second
	// removalRetention is how long removals are kept for siblings that have not received them.
	removalRetention = 2 * time.Minute
)

// values holds the known values of the platform's store. For each value the newest position wins, so that the order
// in which changes arrive does not matter.
//
// Invariant: a value has an entry that is not a removal if and only if it existed at completeTo, unless the entry is newer or retained. An
// entry that is a removal tells that a value does not exist, and so does the lack of an entry. The difference matters to a sibling that is
// behind: it learns of a removal by the entry, and without one only by the names of all values that exist.
type values struct {
	entries map[ValueID]*entry
	// routing is the newest routing with the differences that led to it.
	routing document.RoutingHistory
	// completeTo is the position up to which every change is applied. Its revision is 0 if not every value is known.
	completeTo document.Position
	// removalsSince is the position after which each removal up to completeTo has an entry. Earlier ones may be forgotten, or were
	// never known because a full update does not hold them: a sibling that is complete to less needs a full update.
	removalsSince document.Position
	// retained holds the digest of each retained entry.
	retained map[ValueID]uint64
	// followedSince is when the present history began for this instance, zero if it has no values yet.
	followedSince time.Time
	// origins holds the positions up to which every change was known when a later history began, the latest maxOrigins of them.
	origins []document.Position
	// lapsedUntil is until when the targets that the last full update did not name may return, zero if they may not.
	lapsedUntil time.Time
	nextExpiry  time.Time
}

// expiryInterval is the time between two searches for values that have expired.
const expiryInterval = 100 * time.Millisecond

func newValues() *values {
	return &values{entries: map[ValueID]*entry{}, retained: map[ValueID]uint64{}}
}

// apply applies an update and returns the changes that were newer than the known values.
func (v *values) apply(u Update, now time.Time) []Change {
	var applied []Change
	newer := u.Full && u.To.Revision > 0 && u.To.After(v.completeTo)
	begins := newer && u.To.History.After(v.completeTo.History)
	reach := v.reachOfCopy(&u)
	for _, c := range u.Changes {
		if v.knewItEnded(&c) {
			c.Removed = true
		}
		e := v.entries[c.ID()]
		switch {
		case newer && e != nil && e.sameWrite(&c):
			if c.History.After(e.History) {
				e.moveTo(c.At())
			}
		case newer && e != nil && u.To.History.After(e.History) && c.History == u.To.History && e.outlives(&c):
			applied = append(applied, v.retain(e, c.At()))
		// A value that existed at completeTo and has no entry, or a removal, does not exist any more. Only a full update that is newer
		// can tell otherwise.
		case (newer || c.At().After(v.completeTo) || v.adoptsRetained(&c, u.To)) && v.put(c, now):
			applied = append(applied, c)
		}
	}
	switch {
	case newer:
		applied = append(applied, v.removeUnnamed(u, reach, now)...)
		incomplete := v.lacks(&u, begins)
		if begins {
			v.beginHistory(now)
		}
		if v.followedSince.IsZero() {
			v.followedSince = now
		}
		v.completeTo, v.removalsSince, v.lapsedUntil = u.To, u.To, time.Time{}
		if u.Lapsed {
			v.lapsedUntil = now.Add(lapseTime)
		}
		if incomplete {
			// What this instance had was not complete. It needs every value.
			v.completeTo.Revision = 0
		}
	case u.From.History == u.To.History && !u.From.After(v.completeTo) && u.To.After(v.completeTo):
		v.completeTo = u.To
	}
	return applied
}

// removeUnnamed removes the values that a full update does not name, and returns the removals. A zone that is out of service remains so if
// that was said in an earlier history, after the revision up to which the copy of the platform reaches: the platform has just lost it.
func (v *values) removeUnnamed(u Update, reach document.Revision, now time.Time) []Change {
	named := make(map[ValueID]bool, len(u.Changes)+len(u.Unchanged))
	for i := range u.Changes {
		// The last change of a value says whether the store has it. One that is retained tells nothing of that.
		named[u.Changes[i].ID()] = !u.Changes[i].Removed || u.Changes[i].Retained
	}
	for _, id := range u.Unchanged {
		named[id] = true
	}
	var changed []Change
	for id, e := range v.entries {
		switch {
		case named[id], e.Removed && !e.Retained:
		case e.Removed: // the platform does not have it either
			e.History, e.Revision, e.Retained, e.changedAt = u.To.History, u.To.Revision, false, now
			v.noteRetained(e)
		case id.Kind == KindZoneOut && u.To.History.After(e.History) && e.Revision > reach && e.At().After(u.Known) && now.Sub(e.changedAt) < followedTime:
			changed = append(changed, v.retain(e, u.To))
		case id.Kind == KindZoneOut && e.Retained:
		default:
			c := Change{
				Kind: id.Kind, Name: id.Name, History: u.To.History, Revision: u.To.Revision, Removed: true, Lapsed: u.Lapsed && id.Kind == KindTarget,
			}
			if v.put(c, now) {
				changed = append(changed, c)
			}
		}
	}
	return changed
}

func (v *values) put(c Change, now time.Time) bool {
	id := c.ID()
	e := v.entries[id]
	if e != nil && !c.supersedes(&e.Change) {
		return false
	}
	if e != nil && e.Routing != nil && (c.Routing == nil || !c.Routing.Version.Supersedes(e.Routing.Version)) {
		// The routing in force stays.
		e.changedAt = now
		if c.Routing != nil && c.Routing.Version == e.Routing.Version {
			e.History, e.Revision, e.Retained, e.Origin = c.History, c.Revision, c.Retained, c.Origin
			v.noteRetained(e)
		} else {
			v.retain(e, c.At())
		}
		return true
	}
	next := &entry{Change: c, changedAt: now}
	if c.Kind == KindZoneOut && c.Removed && c.History != (document.History{}) && !c.Retained {
		// It ends what a sibling may retain from an earlier history.
		next.Retained, next.Origin = true, c.At()
	}
	if c.Target != nil {
		next.newest = &c
	}
	if e != nil && e.newest != nil {
		next.outdated = c.Target != nil && c.Target.Precedes(e.newest.Target)
		if next.outdated || c.Target == nil {
			next.newest = e.newest
		}
		next.replaced = e.replacedBy(c.Target)
	}
	switch {
	case next.outdated:
		next.prior = e.prior
		if len(e.prior) == 0 {
			next.prior = e.statements(document.Position{})
		}
		next.keep(e, now, now.Add(outdatedTime))
	case c.Removed && c.Lapsed && e != nil && e.Removed:
		next.keep(e, now, e.earlierUntil)
	case c.Removed && c.Lapsed:
		next.keep(e, now, now.Add(lapseTime))
	}
	v.entries[id] = next
	v.noteRetained(next)
	if c.Routing != nil {
		v.routing = v.routing.Adopt(c.Routing, c.Differences)
		next.Differences = nil // they led from what another instance had
	}
	return true
}

// keep keeps what is in use of the entry that e replaces, nil if it replaces none, in use until a time.
func (e *entry) keep(replaced *entry, now, until time.Time) {
	e.earlierUntil = until
	if replaced == nil {
		return
	}
	if c, ok := replaced.current(now); ok {
		e.earlier = &c
	}
}

// current returns the content of an entry that is in use at now, and false if there is none.
func (e *entry) current(now time.Time) (Change, bool) {
	switch {
	case now.Before(e.earlierUntil) && e.earlier != nil:
		return *e.earlier, true
	case now.Before(e.earlierUntil), e.Removed:
		return Change{}, false
	}
	return e.Change, true
}

// statements returns the changes after a position by which a sibling sees the value as this instance does, that of the entry last.
func (e *entry) statements(after document.Position) []Change {
	out := slices.Clone(e.prior)
	if len(out) == 0 && e.newest != nil && e.newest.At() != e.At() {
		out = append(out, *e.newest)
	}
	out = slices.DeleteFunc(out, func(c Change) bool { return !c.At().After(after) })
	c := e.Change
	c.Lapsed = c.Lapsed && !e.earlierUntil.IsZero() // a target that did not return is gone
	return append(out, c)
}

// updateFor returns the changes that a sibling lacks.
func (v *values) updateFor(r ValuesRequested) Update {
	if v.removalsSince.After(r.After) && !r.AcceptsUnchanged {
		r.After = document.Position{}
	}
	return v.updateAfter(r.After, r.RoutingVersion, r.Retained)
}

// updateAfter returns the changes that a sibling lacks that has every change up to completeTo, a version of the routing and the retained
// statements of a digest. If the sibling may have values whose removal is not known here, the update names those that it can keep.
func (v *values) updateAfter(completeTo document.Position, version document.Revision, retained uint64) Update {
	if !v.completeTo.After(completeTo) || v.completeTo.Revision == 0 {
		u := Update{From: v.completeTo, To: v.completeTo}
		if retained != v.retainedDigest() {
			for id := range v.retained {
				u.Changes = append(u.Changes, v.described(v.entries[id].Change, version))
			}
		}
		return u
	}
	u := Update{From: completeTo, To: v.completeTo, Lapsed: !v.lapsedUntil.IsZero()}
	whole := completeTo.Revision == 0
	if whole {
		completeTo = document.Position{}
	}
	u.Full = whole || v.removalsSince.After(completeTo)
	otherHistory := !whole && completeTo.History != v.completeTo.History
	if otherHistory {
		u.Known = v.knownOf(completeTo.History)
	}
	sendsRetained := retained != v.retainedDigest()
	for id, e := range v.entries {
		at, kept := e.keptSince(completeTo)
		switch {
		case otherHistory && kept:
			u.Unchanged, u.UnchangedAt = append(u.Unchanged, id), append(u.UnchangedAt, at)
		case e.At().After(completeTo) && !(whole && e.Removed && !e.Retained), e.Retained && sendsRetained, otherHistory && !e.Removed:
			for _, c := range e.statements(completeTo) {
				u.Changes = append(u.Changes, v.described(c, version))
			}
		case u.Full && !e.Removed:
			u.Unchanged = append(u.Unchanged, id)
		}
	}
	return u
}

// described returns a change with the differences that lead to its routing from a version.
func (v *values) described(c Change, version document.Revision) Change {
	if c.Routing != nil {
		c.Differences = v.routing.Since(version)
	}
	return c
}

// expire deletes old removals and reports whether an earlier value went out of use.
func (v *values) expire(now time.Time) bool {
	if now.Before(v.nextExpiry) {
		return false
	}
	v.nextExpiry = now.Add(expiryInterval)
	if !now.Before(v.lapsedUntil) {
		v.lapsedUntil = time.Time{}
	}
	expired := false
	for id, e := range v.entries {
		if !e.earlierUntil.IsZero() && !now.Before(e.earlierUntil) {
			e.earlierUntil, e.earlier, e.prior = time.Time{}, nil, nil
			if e.outdated {
				believed := e.Change
				e.newest = &believed
			}
			expired = true
		}
		if e.Removed && !e.Retained && now.Sub(e.changedAt) > removalRetention {
			if e.At().After(v.removalsSince) {
				v.removalsSince = e.At()
			}
			delete(v.entries, id)
		}
	}
	return expired
}
