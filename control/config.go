package control

import (
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// Source states where a value was read. The zero value stands for a read of the platform at the time of the event.
type Source struct {
	// Content is the published text of the value; the value is passed on to siblings only if it is set.
	Content document.Content
	// Differences, if any, lead from the value in force to this one.
	Differences []document.Difference
	// SiblingID names the sibling that the value came from; empty for the platform.
	SiblingID string
	// Sent is when the read of the platform was sent; zero stands for the time of the event.
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

// PlatformUnchanged reports a read of the platform that ended without a newer value.
type PlatformUnchanged struct {
	Value sibling.ValueKind
	Sent  time.Time
	// Stale is set if the platform served a value that is not newer than the one in force, rather than none.
	Stale bool
}

// PlatformReadFailed reports a failed read of the platform.
type PlatformReadFailed struct{ Value sibling.ValueKind }

// ValueRejected logs a newer value that failed validation. The value in force remains.
type ValueRejected struct{ Err error }

// ReadPlatform performs one read of the platform.
type ReadPlatform struct{ sibling.ReadPlatform }

func (ValueRejected) effect() {}
func (ReadPlatform) effect()  {}

func (e DocumentRead) apply(s *State, now time.Time) {
	s.recordPlatformAnswer(sibling.Document, e.Source, now)
	if s.document != nil && !e.Document.Revision.Supersedes(s.document.Revision) {
		return
	}
	if err := e.Document.Validate(); err != nil {
		s.rejectValue(sibling.Document, e.Document.Revision, err, now)
		return
	}
	s.logRevision(sibling.Document, s.disseminator.Revision(sibling.Document), e.Document.Revision, e.Source)
	s.document, s.organisations = e.Document, caller.NewOrganisationIndex(e.Document)
	s.updateOutOfService(now)
	s.adoptValue(sibling.Document, e.Document.Revision, e.Source, now)
	s.applyConfiguration(now)
}

func (e InstancesRead) apply(s *State, now time.Time) {
	s.recordPlatformAnswer(sibling.InstanceList, e.Source, now)
	if s.list != nil && !e.List.Revision.Supersedes(s.list.Revision) {
		return
	}
	if err := e.List.Validate(); err != nil {
		s.rejectValue(sibling.InstanceList, e.List.Revision, err, now)
		return
	}
	s.logRevision(sibling.InstanceList, s.disseminator.Revision(sibling.InstanceList), e.List.Revision, e.Source)
	s.list, s.members = e.List, sibling.MembersOf(e.List)
	s.roster.RetainListed(s.members)
	s.stepDisseminator(sibling.MembersUpdated{Members: s.members}, now)
	s.adoptValue(sibling.InstanceList, e.List.Revision, e.Source, now)
	s.applyConfiguration(now)
}

func (e PlatformUnchanged) apply(s *State, now time.Time) {
	s.logPlatformState(false, e.Value)
	if e.Stale {
		s.stepDisseminator(sibling.PlatformStale{Value: e.Value, Sent: e.Sent}, now)
		return
	}
	s.stepDisseminator(sibling.PlatformAnswered{Value: e.Value, Sent: e.Sent}, now)
}

func (e PlatformReadFailed) apply(s *State, now time.Time) {
	s.logPlatformState(true, e.Value)
	s.stepDisseminator(sibling.PlatformFailed{Value: e.Value}, now)
}

func (s *State) recordPlatformAnswer(v sibling.ValueKind, source Source, now time.Time) {
	if source.SiblingID != "" {
		return
	}
	s.logPlatformState(false, v)
	sent := source.Sent
	if sent.IsZero() {
		sent = now
	}
	s.disseminator.Apply(sibling.PlatformAnswered{Value: v, Sent: sent}, now)
}

func (s *State) rejectValue(v sibling.ValueKind, revision document.Revision, err error, now time.Time) {
	s.emit(ValueRejected{Err: err})
	s.stepDisseminator(sibling.ValueRejected{Value: v, Revision: revision}, now)
}

func (s *State) adoptValue(v sibling.ValueKind, revision document.Revision, source Source, now time.Time) {
	content := source.Content
	content.Revision = revision
	s.stepDisseminator(sibling.ValueAdopted{Value: v, Content: content, Differences: source.Differences}, now)
}

// stepDisseminator applies a message to the disseminator and emits the effects that it requests. It returns the time at
// which the disseminator needs a Tick at the latest.
func (s *State) stepDisseminator(m sibling.Event, now time.Time) time.Time {
	actions := s.disseminator.Step(m, now)
	for _, a := range actions.Announce {
		s.emit(Announce{a})
	}
	for _, to := range actions.Exchange {
		s.emit(SendHeartbeat{To: to, Heartbeat: s.disseminator.Heartbeat(now)})
	}
	for _, f := range actions.Fetch {
		s.emit(Fetch{f})
	}
	for _, r := range actions.Read {
		s.emit(ReadPlatform{r})
	}
	return actions.NextTick
}

// configured reports whether this instance may become ready.
func (s *State) configured() bool {
	return s.document != nil && s.list != nil && s.disseminator.Joined()
}

// keyedRequestsUntil returns the time until which requests with a key are served unless there is a newer proof of contact
// with the platform or other zones. It is zero only before a document is in force.
func (s *State) keyedRequestsUntil() time.Time {
	if s.document == nil {
		return time.Time{}
	}
	contact := s.disseminator.LastOutsideContact()
	if contact.IsZero() {
		contact = time.Unix(0, 0)
	}
	return contact.Add(s.document.Isolation.KeyedLimit.Duration())
}

// deadlineSteps limits how often the end of the time for keyed requests is published: only when it has moved by
// 1/deadlineSteps of the keyed limit. The published time is at most that much too early.
const deadlineSteps = 20

// markConfigurationChange marks the snapshot as out of date when configured or the end of the time for keyed requests
// changed, and records the values that will be published.
func (s *State) markConfigurationChange() {
	if s.configured() != s.published.configured {
		s.changed = true
	}
	if s.document != nil {
		step := s.document.Isolation.KeyedLimit.Duration() / deadlineSteps
		if s.keyedRequestsUntil().Sub(s.published.keyedRequestsUntil) >= step {
			s.changed = true
		}
	}
	if s.changed {
		s.published.configured, s.published.keyedRequestsUntil = s.configured(), s.keyedRequestsUntil()
	}
}

// updateOutOfService records since when the documents in force have had this instance out of service. Another document
// that keeps it out of service does not move the time.
func (s *State) updateOutOfService(now time.Time) {
	switch out := s.document.ZoneOutOfService(s.self.Zone) || s.document.InstanceOutOfService(s.self.ID); {
	case !out:
		s.outOfServiceSince = time.Time{}
	case s.outOfServiceSince.IsZero():
		s.outOfServiceSince = now
	}
}

// applyConfiguration applies the document and the list in force to the other parts of the state.
func (s *State) applyConfiguration(now time.Time) {
	s.changed = true
	if s.document == nil || s.list == nil {
		return
	}
	s.fleet.Configure(s.document, s.list, now)
	s.rates.configure(s.document, s.members, now)
	s.emitHandOvers(s.changeLog.Configure(s.members, s.document.ChangeWindow.Duration(), now))
}
