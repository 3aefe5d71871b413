package control

import (
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// Source says how a value was read. The zero value stands for a read of the platform at the time of the event.
type Source struct {
	// Content is the published text of the value; siblings get the value only if it is set.
	Content document.Content
	// Differences, if any, led to the value from the one in force.
	Differences []document.Difference
	// SiblingID is the ID of the sibling that the value came from; empty for the platform.
	SiblingID string
	// Sent is when the read of the platform was sent.
	Sent time.Time
}

// DocumentRead is a document that was read from the platform or a sibling.
type DocumentRead struct {
	Document *document.Document
	Source   Source
}

// InstancesRead is a list that was read from the platform or a sibling.
type InstancesRead struct {
	List   *document.InstanceList
	Source Source
}

// PlatformUnchanged is a read of the platform that ended without a newer value.
type PlatformUnchanged struct {
	Value sibling.ValueKind
	Sent  time.Time
	// Stale is set if the platform served a value that is not newer than the one in force.
	Stale bool
}

// PlatformReadFailed is a read of the platform that failed.
type PlatformReadFailed struct{ Value sibling.ValueKind }

// ValueRejected reports a value that failed its checks. The value in force stays.
type ValueRejected struct{ Err error }

// ReadPlatform asks for one read of the platform.
type ReadPlatform struct{ sibling.ReadPlatform }

func (ValueRejected) effect() {}
func (ReadPlatform) effect()  {}

func (e DocumentRead) apply(s *State, now time.Time) {
	s.platformAnswered(sibling.Document, e.Source, now)
	if s.document != nil && !e.Document.Revision.Supersedes(s.document.Revision) {
		return
	}
	if err := e.Document.Validate(); err != nil {
		s.refuse(sibling.Document, e.Document.Revision, err, now)
		return
	}
	s.noteRevision(sibling.Document, s.spread.Revision(sibling.Document), e.Document.Revision, e.Source)
	s.document, s.accounts = e.Document, caller.NewOrganisationIndex(e.Document)
	s.noteOut(now)
	s.adopt(sibling.Document, e.Document.Revision, e.Source, now)
	s.configure(now)
}

func (e InstancesRead) apply(s *State, now time.Time) {
	s.platformAnswered(sibling.InstanceList, e.Source, now)
	if s.list != nil && !e.List.Revision.Supersedes(s.list.Revision) {
		return
	}
	if err := e.List.Validate(); err != nil {
		s.refuse(sibling.InstanceList, e.List.Revision, err, now)
		return
	}
	s.noteRevision(sibling.InstanceList, s.spread.Revision(sibling.InstanceList), e.List.Revision, e.Source)
	s.list, s.members = e.List, sibling.MembersOf(e.List)
	s.roster.RetainListed(s.members)
	s.spreadStep(sibling.MembersUpdated{Members: s.members}, now)
	s.adopt(sibling.InstanceList, e.List.Revision, e.Source, now)
	s.configure(now)
}

func (e PlatformUnchanged) apply(s *State, now time.Time) {
	s.notePlatform(false, e.Value)
	if e.Stale {
		s.spreadStep(sibling.PlatformStale{Value: e.Value, Sent: e.Sent}, now)
		return
	}
	s.spreadStep(sibling.PlatformAnswered{Value: e.Value, Sent: e.Sent}, now)
}

func (e PlatformReadFailed) apply(s *State, now time.Time) {
	s.notePlatform(true, e.Value)
	s.spreadStep(sibling.PlatformFailed{Value: e.Value}, now)
}

func (s *State) platformAnswered(v sibling.ValueKind, source Source, now time.Time) {
	if source.SiblingID != "" {
		return
	}
	s.notePlatform(false, v)
	sent := source.Sent
	if sent.IsZero() {
		sent = now
	}
	s.spread.Apply(sibling.PlatformAnswered{Value: v, Sent: sent}, now)
}

func (s *State) refuse(v sibling.ValueKind, revision document.Revision, err error, now time.Time) {
	s.emit(ValueRejected{Err: err})
	s.spreadStep(sibling.ValueRejected{Value: v, Revision: revision}, now)
}

func (s *State) adopt(v sibling.ValueKind, revision document.Revision, source Source, now time.Time) {
	content := source.Content
	content.Revision = revision
	s.spreadStep(sibling.ValueAdopted{Value: v, Content: content, Differences: source.Differences}, now)
}

// spreadStep applies a message to the spread of values and emits what it asks for.
// The time is when it needs a Tick at the latest.
func (s *State) spreadStep(m sibling.Event, now time.Time) time.Time {
	ready := s.spread.Step(m, now)
	for _, a := range ready.Announce {
		s.emit(Announce{a})
	}
	for _, to := range ready.Exchange {
		s.emit(SendHeartbeat{To: to, Heartbeat: s.spread.Heartbeat(now)})
	}
	for _, f := range ready.Fetch {
		s.emit(Fetch{f})
	}
	for _, r := range ready.Read {
		s.emit(ReadPlatform{r})
	}
	return ready.NextTick
}

// configured reports whether this instance may become ready.
func (s *State) configured() bool { return s.document != nil && s.list != nil && s.spread.Joined() }

// keyedUntil returns until when requests with a key are served if no further proof of contact with the platform
// or other zones comes. It is zero only before a document is in force.
func (s *State) keyedUntil() time.Time {
	if s.document == nil {
		return time.Time{}
	}
	contact := s.spread.LastOutsideContact()
	if contact.IsZero() {
		contact = time.Unix(0, 0)
	}
	return contact.Add(s.document.Isolation.KeyedLimit.Duration())
}

// deadlineSteps bounds how often the deadline of keyed requests is published: when it moved by this part of the
// limit. It is at most that much early.
const deadlineSteps = 20

// publishSpread marks the snapshot as due when the spread's part of it changed.
func (s *State) publishSpread() {
	if s.configured() != s.published.configured {
		s.changed = true
	}
	if s.document != nil {
		step := s.document.Isolation.KeyedLimit.Duration() / deadlineSteps
		if s.keyedUntil().Sub(s.published.keyedUntil) >= step {
			s.changed = true
		}
	}
	if s.changed {
		s.published.configured, s.published.keyedUntil = s.configured(), s.keyedUntil()
	}
}

// noteOut notes whether the document in force has this instance out of service. Further documents that leave it out
// do not move the time.
func (s *State) noteOut(now time.Time) {
	switch out := s.document.ZoneOutOfService(s.self.Zone) || s.document.InstanceOutOfService(s.self.ID); {
	case !out:
		s.outSince = time.Time{}
	case s.outSince.IsZero():
		s.outSince = now
	}
}

// configure applies the document and the list in force to the other parts of the state.
func (s *State) configure(now time.Time) {
	s.changed = true
	if s.document == nil || s.list == nil {
		return
	}
	s.fleet.Configure(s.document, s.list, now)
	s.rates.configure(s.document, s.members, now)
	s.handOver(s.changes.Configure(s.members, s.document.ChangeWindow.Duration(), now))
}
