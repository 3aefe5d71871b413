package sibling

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HolderPair names the two instances that must both record a change before it is sent to a target.
type HolderPair struct {
	// Home is the instance that sends the change; empty if no instance is listed.
	Home string
	// Witness is empty if only one instance is listed.
	Witness string

	homeScore, witnessScore uint64
}

// holds reports whether the instance is home or witness.
func (p HolderPair) holds(id string) bool { return id != "" && (id == p.Home || id == p.Witness) }

// changeScore returns the rendezvous hashing score of an instance for a change.
func changeScore(key ChangeKey, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// withMember returns the pair after an instance joined.
func (p HolderPair) withMember(key ChangeKey, id string) HolderPair {
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
		p = p.withMember(key, x.ID)
	}
	return p
}

// HomeOf returns the home instance of a change among the members.
func (m Members) HomeOf(key ChangeKey) (Member, bool) { return m.Find(m.pair(key).Home) }

// HandOver carries records of changes to a sibling.
type HandOver struct {
	To   Member
	From string // ID of the sender
	// Leaving means that the sender is shutting down and is no longer home or witness of any change.
	Leaving bool
	// Arriving means that the sender is a new process with an empty log. The reply carries the records that it must
	// hold.
	Arriving bool
	Records  []ChangeRecord
}

const (
	// arrivalTimeout is how long a new process waits for the records of its siblings before it acts as home or
	// witness.
	arrivalTimeout = time.Second
	// departedTimeout is how long an instance that announced its departure is left out while the platform still lists
	// it as live.
	departedTimeout = 30 * time.Second
)

// membership is the view of the entry instances that act as home or witness of changes.
type membership struct {
	self     string
	listed   Members
	members  Members              // listed as live and not departed
	departed map[string]time.Time // when each instance announced its departure
	leaving  bool
	// awaited lists the siblings from which a new process still needs records.
	awaited         map[string]bool
	arrivalDeadline time.Time
	arrived         bool
}

func (m *membership) member(id string) (Member, bool) { return m.members.Find(id) }

// serving reports whether this process may act as home or witness.
func (m *membership) serving(now time.Time) bool {
	if m.leaving || m.arrivalDeadline.IsZero() {
		return false
	}
	m.arrived = m.arrived || len(m.awaited) == 0 || !now.Before(m.arrivalDeadline)
	return m.arrived
}

// participants returns the listed instances that act as home or witness at now.
func (m *membership) participants(now time.Time) Members {
	var out Members
	for _, x := range m.listed {
		departedAt, ok := m.departed[x.ID]
		if x.Leaving || (ok && now.Sub(departedAt) < departedTimeout) || (m.leaving && x.ID == m.self) {
			continue
		}
		out = append(out, x)
	}
	return out
}

// Members returns the instances that act as home or witness. The result is immutable.
func (l *ChangeLog) Members() Members { return l.members }

// Configure applies the listed entry instances and the change window of the document in force. It returns the
// messages to send.
func (l *ChangeLog) Configure(listed Members, window time.Duration, now time.Time) []HandOver {
	l.listed, l.window = listed, window
	out := l.reassignHolders(now)
	if l.arrivalDeadline.IsZero() && len(listed) > 0 {
		l.arrivalDeadline = now.Add(arrivalTimeout)
		for _, x := range listed {
			if x.ID != l.self && !x.Leaving {
				l.awaited[x.ID] = true
				out = append(out, HandOver{To: x, From: l.self, Arriving: true})
			}
		}
	}
	return out
}

// ReadmitDeparted readmits instances that announced their departure at least departedTimeout ago and that the
// platform still lists. changed reports whether any departure expired.
func (l *ChangeLog) ReadmitDeparted(now time.Time) (out []HandOver, changed bool) {
	for id, at := range l.departed {
		if now.Sub(at) >= departedTimeout {
			delete(l.departed, id)
			changed = true
		}
	}
	if changed {
		out = l.reassignHolders(now)
	}
	return out, changed
}

// ReceiveHandOver applies a sibling's message and returns the records for the reply and the messages to other
// siblings.
func (l *ChangeLog) ReceiveHandOver(h HandOver, now time.Time) (reply []ChangeRecord, out []HandOver) {
	l.Merge(h.Records, now)
	switch {
	case h.Leaving:
		l.departed[h.From] = now
		out = l.reassignHolders(now)
	case h.Arriving:
		if _, ok := l.departed[h.From]; ok {
			delete(l.departed, h.From)
			out = l.reassignHolders(now)
		}
		for _, e := range l.records {
			if e.Outcome != OutcomeNotRun && (e.pair.holds(h.From) || e.pair.withMember(e.Key, h.From).holds(h.From)) {
				reply = append(reply, e.export(now))
			}
		}
	}
	return reply, out
}

// ReceiveArrivalReply applies a sibling's reply to an arriving message. records is empty if the sibling did not
// reply.
func (l *ChangeLog) ReceiveArrivalReply(from string, records []ChangeRecord, now time.Time) {
	l.Merge(records, now)
	delete(l.awaited, from)
}

// Leave ends this process's role as home and witness and returns the messages that hand its records to the other
// instances. Every member receives at least one message, which announces the departure.
func (l *ChangeLog) Leave(now time.Time) []HandOver {
	l.leaving = true
	l.reassignHolders(now)
	byRecipient := map[string][]ChangeRecord{}
	for _, e := range l.records {
		if e.Outcome == OutcomeNotRun {
			continue
		}
		// Both holders get the record, not only a new one: the message with the outcome may have been lost on its way to
		// the other.
		for _, id := range []string{e.pair.Home, e.pair.Witness} {
			if id != "" {
				byRecipient[id] = append(byRecipient[id], e.export(now))
			}
		}
	}
	var out []HandOver
	for _, x := range l.members {
		for _, part := range split(byRecipient[x.ID]) {
			out = append(out, HandOver{To: x, From: l.self, Leaving: true, Records: part})
		}
	}
	return out
}

// reassignHolders recomputes the members and the holders of every record. It returns messages with the records for
// instances that became holders.
func (l *ChangeLog) reassignHolders(now time.Time) []HandOver {
	before := l.members
	l.members = l.participants(now)
	var joined []string
	for _, x := range l.members {
		if _, ok := before.Find(x.ID); !ok {
			joined = append(joined, x.ID)
		}
	}
	byRecipient := map[string][]ChangeRecord{}
	for _, e := range l.records {
		old := e.pair
		e.pair = l.reassignPair(e, joined)
		if e.Outcome == OutcomeNotRun {
			continue
		}
		for _, id := range []string{e.pair.Home, e.pair.Witness} {
			if id != "" && id != l.self && !old.holds(id) {
				byRecipient[id] = append(byRecipient[id], e.export(now))
			}
		}
	}
	var out []HandOver
	for id, records := range byRecipient {
		m, _ := l.member(id)
		for _, part := range split(records) {
			out = append(out, HandOver{To: m, From: l.self, Records: part})
		}
	}
	return out
}

// reassignPair returns an entry's pair among the present members. All members are ranked only if one of the pair is
// gone; 65,536 rankings of 1,200 members would take over a second.
func (l *ChangeLog) reassignPair(e *changeEntry, joined []string) HolderPair {
	for _, id := range []string{e.pair.Home, e.pair.Witness} {
		if _, ok := l.member(id); !ok {
			return l.members.pair(e.Key)
		}
	}
	p := e.pair
	for _, id := range joined {
		if !p.holds(id) {
			p = p.withMember(e.Key, id)
		}
	}
	return p
}

// split divides records into parts that fit into one message each. There is at least one part, which may be empty.
func split(records []ChangeRecord) [][]ChangeRecord {
	out := [][]ChangeRecord{records[:min(maxHandOver, len(records))]}
	for rest := records[len(out[0]):]; len(rest) > 0; rest = rest[min(maxHandOver, len(rest)):] {
		out = append(out, rest[:min(maxHandOver, len(rest))])
	}
	return out
}
