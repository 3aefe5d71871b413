package routing

import (
	"time"

	"dogwooddrift.org/drift/document"
)

type key struct {
	kind Kind
	name string
}

// entry is one of the platform's values as this instance knows it.
type entry struct {
	Change
	since time.Time
	// until is when a lapsed value is given up; before that its last content is used.
	until time.Time
	last  Change // the content before it lapsed
}

const (
	// lapseTime is how long an entry that was found missing after an outage of the platform is still used: targets
	// that live are back within about two seconds.
	lapseTime = 2 * time.Second
	// removalMemory is how long removals are remembered for siblings that missed them.
	removalMemory = 2 * time.Minute
)

// values is what is known of the platform's values. The value with the highest revision wins, so that the order in
// which changes arrive does not matter.
type values struct {
	entries map[key]*entry
	// have is the revision up to which nothing is missing.
	have document.Revision
	// floor is the revision below which removals are forgotten.
	floor document.Revision
}

func newValues() *values { return &values{entries: map[key]*entry{}} }

// apply takes an update and returns the changes that were news.
func (v *values) apply(u Update, now time.Time) []Change {
	var news []Change
	named := map[key]bool{}
	for _, c := range u.Changes {
		named[key{c.Kind, c.Name}] = true
		if v.put(c, now) {
			news = append(news, c)
		}
	}
	if u.Full {
		for k, e := range v.entries {
			if named[k] || e.Removed || e.Revision > u.ToRevision {
				continue
			}
			c := Change{Kind: k.kind, Name: k.name, Revision: u.ToRevision, Removed: true, Lapsed: k.kind == KindTarget}
			if v.put(c, now) {
				news = append(news, c)
			}
		}
	}
	if u.Full || u.FromRevision <= v.have {
		v.have = max(v.have, u.ToRevision)
	}
	return news
}

func (v *values) put(c Change, now time.Time) bool {
	k := key{c.Kind, c.Name}
	e := v.entries[k]
	if e != nil && !c.Revision.Supersedes(e.Revision) {
		return false
	}
	next := &entry{Change: c, since: now}
	if e != nil && c.Removed && c.Lapsed && !e.Removed {
		next.last, next.until = e.Change, now.Add(lapseTime)
	}
	v.entries[k] = next
	return true
}

// current returns the content of an entry that is in use, and false if there is none.
func (e *entry) current(now time.Time) (Change, bool) {
	if !e.Removed {
		return e.Change, true
	}
	if now.Before(e.until) {
		return e.last, true
	}
	return Change{}, false
}

// updateSince returns what a sibling that is complete to have lacks.
func (v *values) updateSince(have document.Revision) Update {
	u := Update{FromRevision: have, ToRevision: v.have, Full: have < v.floor || have == 0}
	if have >= v.have {
		return Update{FromRevision: v.have, ToRevision: v.have}
	}
	for _, e := range v.entries {
		if u.Full && !e.Removed || !u.Full && e.Revision > have {
			u.Changes = append(u.Changes, e.Change)
		}
	}
	return u
}

// tick forgets old removals and reports whether a lapsed entry was given up.
func (v *values) tick(now time.Time) bool {
	ended := false
	for k, e := range v.entries {
		if !e.until.IsZero() && !now.Before(e.until) {
			e.until, e.last = time.Time{}, Change{}
			ended = true
		}
		if e.Removed && now.Sub(e.since) > removalMemory {
			v.floor = max(v.floor, e.Revision+1)
			delete(v.entries, k)
		}
	}
	return ended
}
