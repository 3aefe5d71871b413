package control

import (
	"time"

	"dogwooddrift.org/drift/targets"
)

// ReadTarget asks for one read of a target's status.
type ReadTarget struct {
	ID      string
	Address string
}

// ConnectTarget limits the connections to a target; zero closes them.
type ConnectTarget struct {
	Address     string
	Connections int
}

func (ReadTarget) effect()    {}
func (ConnectTarget) effect() {}

// TargetStatus is a target's own report.
type TargetStatus struct {
	ID     string
	Status targets.Status
}

// TargetLost is a failed read of a target's status.
type TargetLost struct{ ID string }

// LegReported is traffic's report of one leg.
type LegReported struct{ Report targets.LegReport }

func (e TargetStatus) apply(s *State, now time.Time) { s.fleet.RecordStatus(e.ID, e.Status, now) }

func (e TargetLost) apply(s *State, now time.Time) { s.fleet.RecordStatusFailure(e.ID, now) }

func (e LegReported) apply(s *State, now time.Time) { s.fleet.RecordLeg(e.Report, now) }

// tickTargets does what is due about targets and takes over the effects of this step.
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
			s.emit(ReadTarget(e))
		case targets.LimitConnections:
			s.emit(ConnectTarget(e))
		case targets.PhaseChanged:
			s.emit(Note{Subject: subjectTarget, Name: e.ID, Old: string(e.From), New: string(e.To), Source: "status and replies of service " + e.Service})
		case targets.SendNotices:
			for _, id := range e.To {
				if m, ok := s.member(id); ok {
					s.emit(Notify{To: m, Notices: e.Notices})
				}
			}
		case targets.RequestWarmNotices:
			if m, ok := s.member(e.To); ok {
				s.emit(AskNotices{To: m, Targets: e.Targets})
			}
		}
	}
}
