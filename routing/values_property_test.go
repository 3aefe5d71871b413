package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// existsAt returns the revision of a value that existed at a revision, 0 if it did not exist.
func (h storeHistory) existsAt(id ValueID, revision document.Revision) document.Revision {
	for _, c := range slices.Backward(h[:min(revision, h.revision())]) {
		if c.ID() == id {
			if c.Removed {
				return 0
			}
			return c.Revision
		}
	}
	return 0
}

// checkComplete checks the invariant of values against what the store was told.
func checkComplete(v *values, h storeHistory) error {
	ids := map[ValueID]bool{}
	for _, c := range h {
		ids[c.ID()] = true
	}
	for id := range ids {
		at, held := v.completeTo, document.Revision(0)
		if e := v.entries[id]; e != nil {
			at = max(at, e.Revision)
			if !e.Removed {
				held = e.Revision
			}
		}
		if exists := h.existsAt(id, at); held != exists {
			return fmt.Errorf("%v has revision %d, want %d as of %d; complete to %d", id, held, exists, at, v.completeTo)
		}
	}
	return nil
}

// Guards against an instance that claims to be complete to a revision without knowing what existed at it, whatever it was told and in which
// order: changes, full reads and transfers that arrive late, twice or not at all, restarts, and removals that are forgotten.
func TestCompleteInstancesKnowWhatExists(t *testing.T) {
	const seeds, steps, instances, ids = 400, 400, 4, 4
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		h := storeHistory{}
		h.write(routes(1))
		known := make([]*values, instances)
		for i := range known {
			known[i] = newValues()
		}
		type delivery struct {
			to     *values
			update Update
		}
		var underWay []delivery
		anyone := func() *values { return known[random.IntN(instances)] }
		for step := range steps {
			switch n := random.IntN(100); {
			case n < 25:
				c := []Change{target(fmt.Sprint("i", random.IntN(ids)), "s", "z"), {Kind: KindZoneOut, Name: "z"}, routes(h.revision() + 1)}[random.IntN(3)]
				if c.Routing == nil && random.IntN(2) == 0 {
					c.Target, c.Removed = nil, true
				}
				h.write(c)
			case n < 35:
				to := anyone()
				u := h.full()
				if to.completeTo > 0 && random.IntN(3) > 0 { // the store still has the history
					u = h.after(to.completeTo)
				}
				underWay = append(underWay, delivery{to, u})
			case n < 60:
				from, to := anyone(), anyone()
				u := from.updateFor(ValuesRequested{After: to.completeTo, AcceptsUnchanged: random.IntN(4) > 0})
				underWay = append(underWay, delivery{to, u})
			case n < 95 && len(underWay) > 0:
				i := random.IntN(len(underWay))
				d := underWay[i]
				if random.IntN(4) > 0 { // else it comes again
					underWay = slices.Delete(underWay, i, i+1)
				}
				d.to.apply(d.update, now)
			case n < 98:
				known[random.IntN(instances)] = newValues()
			case n < 99:
				now = now.Add(removalRetention + time.Second)
				underWay = nil // no transfer takes that long
			}
			for i, v := range known {
				v.expire(now)
				if err := checkComplete(v, h); err != nil {
					t.Fatalf("seed %d, step %d, instance %d: %v", seed, step, i, err)
				}
			}
		}
	}
}
