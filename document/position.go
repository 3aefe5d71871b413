package document

import (
	"cmp"
	"fmt"
)

// History identifies one of the successive histories of the platform's store. A store that returns from an older copy begins a new one: it has
// lost changes that it had acknowledged, and gives their revisions out again. The zero value is the first history.
type History struct {
	// Era is the number that the platform states for its history, 0 if it states none.
	Era uint64 `json:"era,omitempty"`
	// Rewind counts the returns within the era that instances noticed although the platform did not state them.
	Rewind uint64 `json:"rewind,omitempty"`
}

// Compare returns -1, 0 or 1 if h is an earlier history than o, the same one or a later one.
func (h History) Compare(o History) int {
	return cmp.Or(cmp.Compare(h.Era, o.Era), cmp.Compare(h.Rewind, o.Rewind))
}

// After reports whether h is a later history than o.
func (h History) After(o History) bool { return h.Compare(o) > 0 }

// String returns a text such as "era 2, rewind 1".
func (h History) String() string { return fmt.Sprintf("era %d, rewind %d", h.Era, h.Rewind) }

// Position is a point in what the platform's store was told. A position in a later history is newer than any in an earlier one.
type Position struct {
	History  History
	Revision Revision
}

// Compare returns -1, 0 or 1 if p is older than o, the same position or newer.
func (p Position) Compare(o Position) int {
	return cmp.Or(p.History.Compare(o.History), cmp.Compare(p.Revision, o.Revision))
}

// After reports whether p is newer than o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// String returns a text such as "98", with the history unless it is the first one: "98 of era 2, rewind 1".
func (p Position) String() string {
	if p.History == (History{}) {
		return fmt.Sprint(uint64(p.Revision))
	}
	return fmt.Sprintf("%d of %s", p.Revision, p.History)
}
