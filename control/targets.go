package control

import (
	"time"

	"dogwooddrift.org/drift/target"
)

// PollTarget asks for regular reads of a target's status.
type PollTarget struct {
	ID      string
	Address string
}

// ForgetTarget ends the reads of a target's status.
type ForgetTarget struct{ ID string }

func (PollTarget) effect()   {}
func (ForgetTarget) effect() {}

// TargetStatus is a target's own report.
type TargetStatus struct {
	ID     string
	Status target.Status
}

// TargetLost is a failed read of a target's status.
type TargetLost struct{ ID string }

func (e TargetStatus) apply(s *State, now time.Time) {
	delete(s.unpolled, e.ID)
	s.fleet.Observe(e.ID, e.Status, now)
	s.changed = true
}

func (e TargetLost) apply(s *State, now time.Time) {
	if s.unpolled[e.ID] {
		delete(s.unpolled, e.ID)
		s.changed = true
	}
	s.fleet.Lost(e.ID, now)
}
