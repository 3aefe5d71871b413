package sibling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HolderPair names the two instances that must both know a change before it is sent.
type HolderPair struct {
	// Home is the instance that sends the change. Empty if no instance is listed.
	Home string
	// Witness is empty if only one instance is listed.
	Witness string

	homeScore, witnessScore uint64
}

func (p HolderPair) holds(id string) bool { return id != "" && (id == p.Home || id == p.Witness) }

func changeScore(key ChangeKey, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// with returns the pair after an instance joined.
func (p HolderPair) with(key ChangeKey, id string) HolderPair {
	score := changeScore(key, id)
	above := func(otherID string, otherScore uint64) bool {
		if otherID == "" {
			return true
		}
		return cmp.Or(cmp.Compare(score, otherScore), cmp.Compare(otherID, id)) > 0
	}
	switch {
	case above(p.Home, p.homeScore):
		return HolderPair{Home: id, homeScore: score, Witness: p.Home, witnessScore: p.homeScore}
	case above(p.Witness, p.witnessScore):
		return HolderPair{Home: p.Home, homeScore: p.homeScore, Witness: id, witnessScore: score}
	default:
		return p
	}
}

// pair returns the two members that rank highest for a key by rendezvous hashing.
func (m Members) pair(key ChangeKey) HolderPair {
	var p HolderPair
	for _, x := range m {
		p = p.with(key, x.ID)
	}
	return p
}

// HomeOf returns the home instance of a change among the members.
func (m Members) HomeOf(key ChangeKey) (Member, bool) { return m.find(m.pair(key).Home) }

func (m Members) find(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(m, id, func(x Member, id string) int { return cmp.Compare(x.ID, id) })
	if !ok {
		return Member{}, false
	}
	return m[i], true
}

// HandOver carries records of changes to a sibling.
type HandOver struct {
	To   Member
	From string
	// Leaving says that the sender takes no more part: it is neither home nor witness any more.
	Leaving bool
	// Arriving says that the sender is a new process, which knows no changes yet. The reply carries those that it
	// must know.
	Arriving bool
	Records  []ChangeRecord
}

const (
	// arriveLimit is how long a new process waits for the records of its siblings before it takes part.
	arriveLimit = time.Second
	// leftLimit is how long an instance that left is passed over while the platform still lists it as live.
	leftLimit = 30 * time.Second
)

// membership is the view of the entry instances that take part in remembering changes.
type membership struct {
	self    string
	listed  Members
	members Members              // listed, live and not known to have left
	left    map[string]time.Time // when an instance said that it leaves
	leaving bool
	// awaited lists the siblings that a new process still needs records from.
	awaited  map[string]bool
	arriveBy time.Time
	arrived  bool
}

func (m *membership) member(id string) (Member, bool) { return m.members.find(id) }

// serving reports whether this process may be home or witness.
func (m *membership) serving(now time.Time) bool {
	if m.leaving || m.arriveBy.IsZero() {
		return false
	}
	m.arrived = m.arrived || len(m.awaited) == 0 || !now.Before(m.arriveBy)
	return m.arrived
}

// participants returns the members as of now.
func (m *membership) participants(now time.Time) Members {
	var out Members
	for _, x := range m.listed {
		left, ok := m.left[x.ID]
		if x.Leaving || (ok && now.Sub(left) < leftLimit) || (m.leaving && x.ID == m.self) {
			continue
		}
		out = append(out, x)
	}
	return out
}

// Members returns the instances that take part. The result is immutable.
func (l *ChangeLog) Members() Members { return l.members }

// Configure takes the listed entry instances and the window of the document in force.
func (l *ChangeLog) Configure(listed Members, window time.Duration, now time.Time) []HandOver {
	l.listed, l.window = listed, window
	out := l.regroup(now)
	if l.arriveBy.IsZero() && len(listed) > 0 {
		l.arriveBy = now.Add(arriveLimit)
		for _, x := range listed {
			if x.ID != l.self && !x.Leaving {
				l.awaited[x.ID] = true
				out = append(out, HandOver{To: x, From: l.self, Arriving: true})
			}
		}
	}
	return out
}

// ReadmitDeparted takes back instances whose departure was announced long ago but that the platform still lists.
// changed reports whether the members changed.
func (l *ChangeLog) ReadmitDeparted(now time.Time) (out []HandOver, changed bool) {
	for id, at := range l.left {
		if now.Sub(at) >= leftLimit {
			delete(l.left, id)
			changed = true
		}
	}
	if changed {
		out = l.regroup(now)
	}
	return out, changed
}

// ReceiveHandOver takes a sibling's message and returns the records for the reply, and messages to others.
func (l *ChangeLog) ReceiveHandOver(h HandOver, now time.Time) (reply []ChangeRecord, out []HandOver) {
	l.Merge(h.Records, now)
	switch {
	case h.Leaving:
		l.left[h.From] = now
		out = l.regroup(now)
	case h.Arriving:
		if _, ok := l.left[h.From]; ok {
			delete(l.left, h.From)
			out = l.regroup(now)
		}
		for _, e := range l.records {
			if e.Outcome != OutcomeNotRun && (e.pair.holds(h.From) || e.pair.with(e.Key, h.From).holds(h.From)) {
				reply = append(reply, e.export(now))
			}
		}
	}
	return reply, out
}

// ReceiveArrivalReply takes a sibling's reply to an arriving message; ok is false if there was none.
func (l *ChangeLog) ReceiveArrivalReply(from string, records []ChangeRecord, now time.Time) {
	l.Merge(records, now)
	delete(l.awaited, from)
}

// Leave ends the part of this process as home and witness and hands its records to the others.
func (l *ChangeLog) Leave(now time.Time) []HandOver {
	l.leaving = true
	handed := map[string][]ChangeRecord{}
	for _, h := range l.regroup(now) {
		handed[h.To.ID] = append(handed[h.To.ID], h.Records...)
	}
	var out []HandOver
	for _, x := range l.members {
		for _, part := range split(handed[x.ID]) {
			out = append(out, HandOver{To: x, From: l.self, Leaving: true, Records: part})
		}
	}
	return out
}

// regroup applies the members as of now to every record. It returns the records that instances must know which
// were not in their pair before.
func (l *ChangeLog) regroup(now time.Time) []HandOver {
	before := l.members
	l.members = l.participants(now)
	var joined []string
	for _, x := range l.members {
		if _, ok := before.find(x.ID); !ok {
			joined = append(joined, x.ID)
		}
	}
	handed := map[string][]ChangeRecord{}
	for _, e := range l.records {
		old := e.pair
		e.pair = l.repair(e, joined)
		if e.Outcome == OutcomeNotRun {
			continue
		}
		for _, id := range []string{e.pair.Home, e.pair.Witness} {
			if id != "" && id != l.self && !old.holds(id) {
				handed[id] = append(handed[id], e.export(now))
			}
		}
	}
	var out []HandOver
	for id, records := range handed {
		m, _ := l.member(id)
		for _, part := range split(records) {
			out = append(out, HandOver{To: m, From: l.self, Records: part})
		}
	}
	return out
}

// repair returns an entry's pair among the present members. Only the loss of one of the pair needs a ranking of
// all members; 65,536 rankings of 1,200 members would take over a second.
func (l *ChangeLog) repair(e *changeEntry, joined []string) HolderPair {
	for _, id := range []string{e.pair.Home, e.pair.Witness} {
		if _, ok := l.member(id); !ok {
			return l.members.pair(e.Key)
		}
	}
	p := e.pair
	for _, id := range joined {
		if !p.holds(id) {
			p = p.with(e.Key, id)
		}
	}
	return p
}

// split cuts records into parts of the size of one message; there is at least one part.
func split(records []ChangeRecord) [][]ChangeRecord {
	out := [][]ChangeRecord{records[:min(maxHandOver, len(records))]}
	for rest := records[len(out[0]):]; len(rest) > 0; rest = rest[min(maxHandOver, len(rest)):] {
		out = append(out, rest[:min(maxHandOver, len(rest))])
	}
	return out
}
