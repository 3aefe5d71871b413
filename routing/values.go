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
	// Until earlierUntil, earlier is in use in the place of the value, or no value if earlier is nil: a value that lapsed may
	// return, and one that is outdated is likely to be replaced.
	earlierUntil time.Time
	earlier      *Change
	// newest is the change with the registration that a target wrote last, nil if none is known. The removal of the target keeps it.
	newest *Change
	// outdated is set if the value is a registration that the target wrote before newest. Until earlierUntil, prior holds the changes
	// that it is older than, in the order of their revisions.
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

// values holds the known values of the platform's store. For each value the highest revision wins, so that the order
// in which changes arrive does not matter.
//
// Invariant: a value has an entry that is not a removal if and only if it existed at completeTo, unless the entry is newer. An entry that
// is a removal tells that a value does not exist, and so does the lack of an entry. The difference matters to a sibling that is
// behind: it learns of a removal by the entry, and without one only by the names of all values that exist.
type values struct {
	entries map[ValueID]*entry
	// routing is the newest routing with the differences that led to it.
	routing document.RoutingHistory
	// completeTo is the revision up to which every change is applied.
	completeTo document.Revision
	// removalsSince is the revision after which each removal up to completeTo has an entry. Earlier ones may be forgotten, or were
	// never known because a full update does not hold them: a sibling that is complete to less needs a full update.
	removalsSince document.Revision
	// lapsedUntil is until when the targets that the last full update did not name may return, zero if they may not.
	lapsedUntil time.Time
	nextExpiry  time.Time
}

// expiryInterval is the time between two searches for values that have expired.
const expiryInterval = 100 * time.Millisecond

func newValues() *values { return &values{entries: map[ValueID]*entry{}} }

// apply applies an update and returns the changes that were newer than the known values.
func (v *values) apply(u Update, now time.Time) []Change {
	var applied []Change
	newer := u.Full && u.ToRevision > v.completeTo
	for _, c := range u.Changes {
		// A value that existed at completeTo and has no entry, or a removal, does not exist any more. Only a full update that is newer
		// can tell otherwise.
		if (newer || c.Revision > v.completeTo) && v.put(c, now) {
			applied = append(applied, c)
		}
	}
	switch {
	case newer:
		applied = append(applied, v.removeUnnamed(u, now)...)
		v.completeTo, v.removalsSince, v.lapsedUntil = u.ToRevision, u.ToRevision, time.Time{}
		if u.Lapsed {
			v.lapsedUntil = now.Add(lapseTime)
		}
		if v.lacks(u.Unchanged) {
			// What this instance had was not complete. It needs every value.
			v.completeTo = 0
		}
	case u.FromRevision <= v.completeTo:
		v.completeTo = max(v.completeTo, u.ToRevision)
	}
	return applied
}

// removeUnnamed removes the values that a full update does not name, and returns the removals.
func (v *values) removeUnnamed(u Update, now time.Time) []Change {
	named := make(map[ValueID]bool, len(u.Changes)+len(u.Unchanged))
	for i := range u.Changes {
		if c := &u.Changes[i]; !c.Removed {
			named[c.ID()] = true
		}
	}
	for _, id := range u.Unchanged {
		named[id] = true
	}
	var removed []Change
	for id, e := range v.entries {
		if named[id] || e.Removed {
			continue
		}
		c := Change{Kind: id.Kind, Name: id.Name, Revision: u.ToRevision, Removed: true, Lapsed: u.Lapsed && id.Kind == KindTarget}
		if v.put(c, now) {
			removed = append(removed, c)
		}
	}
	return removed
}

// lacks reports whether one of the values has no entry.
func (v *values) lacks(ids []ValueID) bool {
	return slices.ContainsFunc(ids, func(id ValueID) bool { return v.entries[id] == nil })
}

func (v *values) put(c Change, now time.Time) bool {
	id := c.ID()
	e := v.entries[id]
	if e != nil && !c.Revision.Supersedes(e.Revision) {
		return false
	}
	if e != nil && e.Routing != nil && (c.Routing == nil || !c.Routing.Version.Supersedes(e.Routing.Version)) {
		e.Revision = c.Revision // the routing in force stays
		return true
	}
	next := &entry{Change: c, changedAt: now}
	if c.Target != nil {
		next.newest = &c
	}
	if e != nil && e.newest != nil {
		next.outdated = c.Target != nil && c.Target.Precedes(e.newest.Target)
		if next.outdated || c.Target == nil {
			next.newest = e.newest
		}
	}
	switch {
	case next.outdated:
		next.prior = e.prior
		if len(e.prior) == 0 {
			next.prior = e.statements(0)
		}
		next.keep(e, now, now.Add(outdatedTime))
	case c.Removed && c.Lapsed && e != nil && e.Removed:
		next.keep(e, now, e.earlierUntil)
	case c.Removed && c.Lapsed:
		next.keep(e, now, now.Add(lapseTime))
	}
	v.entries[id] = next
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

// statements returns the changes after a revision by which a sibling sees the value as this instance does, that of the entry last.
func (e *entry) statements(after document.Revision) []Change {
	out := slices.Clone(e.prior)
	if len(out) == 0 && e.newest != nil && e.newest.Revision != e.Revision {
		out = append(out, *e.newest)
	}
	out = slices.DeleteFunc(out, func(c Change) bool { return c.Revision <= after })
	c := e.Change
	c.Lapsed = c.Lapsed && !e.earlierUntil.IsZero() // a target that did not return is gone
	return append(out, c)
}

// updateFor returns the changes that a sibling lacks.
func (v *values) updateFor(r ValuesRequested) Update {
	if r.After < v.removalsSince && !r.AcceptsUnchanged {
		r.After = 0
	}
	return v.updateAfter(r.After, r.RoutingVersion)
}

// updateAfter returns the changes that a sibling lacks that has every change up to completeTo and a version of the routing. If the
// sibling may have values whose removal is not known here, the update names those that it can keep.
func (v *values) updateAfter(completeTo, version document.Revision) Update {
	if completeTo >= v.completeTo {
		return Update{FromRevision: v.completeTo, ToRevision: v.completeTo}
	}
	u := Update{
		FromRevision: completeTo, ToRevision: v.completeTo, Full: completeTo < v.removalsSince || completeTo == 0, Lapsed: !v.lapsedUntil.IsZero(),
	}
	for id, e := range v.entries {
		switch {
		case e.Revision > completeTo && (completeTo > 0 || !e.Removed):
			for _, c := range e.statements(completeTo) {
				if c.Routing != nil {
					c.Differences = v.routing.Since(version)
				}
				u.Changes = append(u.Changes, c)
			}
		case u.Full && !e.Removed:
			u.Unchanged = append(u.Unchanged, id)
		}
	}
	return u
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
		if e.Removed && now.Sub(e.changedAt) > removalRetention {
			v.removalsSince = max(v.removalsSince, e.Revision)
			delete(v.entries, id)
		}
	}
	return expired
}
