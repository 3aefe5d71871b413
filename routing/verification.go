package routing

import "dogwooddrift.org/drift/document"

// readOverlap is the number of known changes that are read again after a lost contact or connection. The last ones are others if the store has
// meanwhile returned from an older copy and its revision has passed the known one. A configuration among them takes long to read, so there are few.
const readOverlap = 4

// verification decides which reads ask for known changes again, so that they can be compared with what the store says of them now. The zero
// value means that none is due.
type verification struct {
	// due is set if the store may have returned from an older copy since the last reply that was believed, knownTo is what was known then.
	due     bool
	knownTo document.Position
	// running is set if the read in flight asks for known changes again.
	running bool
	// plain is set if the next read does not: they may be what the store cannot deliver.
	plain bool
	// probed is set if a reply to a plain read has shown that the store answers again.
	probed bool
}

// expect makes a verification of what is known due, unless an earlier one is.
func (v *verification) expect(known document.Position) {
	if !v.due {
		*v = verification{due: true, knownTo: known}
	}
}

// insist makes the next read ask for known changes.
func (v *verification) insist(known document.Position) {
	v.expect(known)
	v.plain = false
}

// begin begins a read after a position, and returns the number of revisions up to it whose changes are to be read again.
func (v *verification) begin(after document.Position, full bool) (overlap document.Revision) {
	v.running = v.due && !v.plain && !full && after.Revision > 0
	if !v.running {
		return 0
	}
	overlap = readOverlap
	if v.knownTo.History == after.History && after.After(v.knownTo) {
		overlap += after.Revision - v.knownTo.Revision // these were not compared either
	}
	return min(overlap, after.Revision-1)
}

// fail records that a read got no reply. Reads with and without known changes take turns.
func (v *verification) fail() { v.plain = v.running }

// defers reports whether a reply without known changes is left out, since the next one can be compared with them. Once the store has
// failed to deliver them, replies without them count.
func (v *verification) defers(full bool) bool {
	if !v.due || v.running || full || v.probed {
		return false
	}
	v.plain, v.probed = false, true
	return true
}

// succeed records a reply that is believed.
func (v *verification) succeed(full bool) {
	if v.running || full {
		*v = verification{}
	}
	v.plain = false
}
