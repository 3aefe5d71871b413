package routing

import (
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/targets"
)

// key identifies a value.
type key struct {
	kind Kind
	name string
}

// entry is the newest known write or removal of one value.
type entry struct {
	Change
	changedAt time.Time
	// Until earlierUntil, earlier is in use in the place of the value, or no value if earlier is nil: a value that lapsed may
	// return, and one that is outdated is likely to be replaced.
	earlierUntil time.Time
	earlier      *Change
	// newest is the registration of a target that was written last, also after its removal. The value is outdated if it is a
	// registration that the target wrote before newest.
	newest   *targets.Registration
	outdated bool
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
type values struct {
	entries map[key]*entry
	// routing is the newest routing with the differences that led to it.
	routing document.RoutingHistory
	// completeTo is the revision up to which every change is applied.
	completeTo document.Revision
	// forgottenBelow is the revision below which removals may already be deleted: a sibling that is complete to less
	// needs a full update.
	forgottenBelow document.Revision
	nextExpiry     time.Time
}

// expiryInterval is the time between two searches for values that have expired.
const expiryInterval = 100 * time.Millisecond

func newValues() *values { return &values{entries: map[key]*entry{}} }

// apply applies an update and returns the changes that were newer than the known values.
func (v *values) apply(u Update, now time.Time) []Change {
	var applied []Change
	inUpdate := map[key]bool{}
	for _, c := range u.Changes {
		inUpdate[key{c.Kind, c.Name}] = true
		if v.put(c, now) {
			applied = append(applied, c)
		}
	}
	if u.Full {
		for k, e := range v.entries {
			if inUpdate[k] || e.Removed || e.Revision > u.ToRevision {
				continue
			}
			c := Change{Kind: k.kind, Name: k.name, Revision: u.ToRevision, Removed: true, Lapsed: k.kind == KindTarget}
			if v.put(c, now) {
				applied = append(applied, c)
			}
		}
	}
	if u.Full || u.FromRevision <= v.completeTo {
		v.completeTo = max(v.completeTo, u.ToRevision)
	}
	return applied
}

func (v *values) put(c Change, now time.Time) bool {
	k := key{c.Kind, c.Name}
	e := v.entries[k]
	if e != nil && !c.Revision.Supersedes(e.Revision) {
		return false
	}
	next := &entry{Change: c, changedAt: now, newest: c.Target}
	if e != nil {
		next.outdated = c.Target != nil && c.Target.Precedes(e.newest)
		if next.outdated || c.Target == nil {
			next.newest = e.newest
		}
		switch {
		case next.outdated:
			next.keep(e, now, outdatedTime)
		case c.Removed && c.Lapsed && !e.Removed:
			next.keep(e, now, lapseTime)
		}
	}
	v.entries[k] = next
	if c.Routing != nil {
		v.routing = v.routing.Adopt(c.Routing, c.Differences)
		next.Differences = nil // they led from what another instance had
	}
	return true
}

// keep keeps what is in use of the entry that e replaces in use for d.
func (e *entry) keep(replaced *entry, now time.Time, d time.Duration) {
	e.earlierUntil = now.Add(d)
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

// updateAfter returns the changes that a sibling lacks that has every change up to completeTo and a version of the routing.
func (v *values) updateAfter(completeTo, version document.Revision) Update {
	u := Update{FromRevision: completeTo, ToRevision: v.completeTo, Full: completeTo < v.forgottenBelow || completeTo == 0}
	if completeTo >= v.completeTo {
		return Update{FromRevision: v.completeTo, ToRevision: v.completeTo}
	}
	for _, e := range v.entries {
		if u.Full && !e.Removed || !u.Full && e.Revision > completeTo {
			c := e.Change
			if c.Routing != nil {
				c.Differences = v.routing.Since(version)
			}
			u.Changes = append(u.Changes, c)
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
	expired := false
	for k, e := range v.entries {
		if !e.earlierUntil.IsZero() && !now.Before(e.earlierUntil) {
			e.earlierUntil, e.earlier = time.Time{}, nil
			expired = true
		}
		if e.Removed && now.Sub(e.changedAt) > removalRetention {
			v.forgottenBelow = max(v.forgottenBelow, e.Revision+1)
			delete(v.entries, k)
		}
	}
	return expired
}
