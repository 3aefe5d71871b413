package control

import (
	"time"

	"dogwooddrift.org/drift/targets"
)

// ReadTargetStatus performs one read of a target's status.
type ReadTargetStatus struct {
	ID      string
	Address string
}

// LimitTargetConnections limits the connections of this instance to a target; zero closes them.
type LimitTargetConnections struct {
	Address     string
	Connections int
}

func (ReadTargetStatus) effect()       {}
func (LimitTargetConnections) effect() {}

// TargetStatusRead carries the status that a target reported.
type TargetStatusRead struct {
	ID     string
	Status targets.Status
}

// TargetStatusFailed reports a failed read of a target's status.
type TargetStatusFailed struct{ ID string }

// LegReported carries traffic's report of one leg: one send of a request, or of a part of it, to a target.
type LegReported struct{ Report targets.LegReport }

func (e TargetStatusRead) apply(s *State, now time.Time) { s.fleet.RecordStatus(e.ID, e.Status, now) }

func (e TargetStatusFailed) apply(s *State, now time.Time) { s.fleet.RecordStatusFailure(e.ID, now) }

func (e LegReported) apply(s *State, now time.Time) { s.fleet.RecordLeg(e.Report, now) }

// tickTargets does what is due for the targets and emits the effects of this step that concern them.
func (s *State) tickTargets(now time.Time) {
	if s.document == nil || s.list == nil {
		return
	}
	s.fleet.Tick(now)
	effects, changed := s.fleet.TakeEffects()
	s.changed = s.changed || changed
	for _, e := range effects {
		switch e := e.(type) {
		case targets.ReadStatus:
			s.emit(ReadTargetStatus(e))
		case targets.LimitConnections:
			s.emit(LimitTargetConnections(e))
		case targets.PhaseChanged:
			s.emit(LogStateChange{Subject: subjectTarget, Name: e.ID, Old: string(e.From), New: string(e.To), Source: "status and replies of service " + e.Service})
		case targets.SendNotices:
			for _, id := range e.To {
				if m, ok := s.member(id); ok {
					s.emit(SendNotices{To: m, Notices: e.Notices})
				}
			}
		case targets.RequestWarmNotices:
			if m, ok := s.member(e.To); ok {
				s.emit(RequestNotices{To: m, Targets: e.Targets})
			}
		}
	}
}
