package control

import (
	"context"
	"time"

	"dogwooddrift.org/drift/sibling"
)

// HandOver asks for a message with records of changes to a sibling. A failed message is not repeated: the
// other holder of a record still has it.
type HandOver struct{ sibling.HandOver }

func (HandOver) effect() {}

func (s *State) handOver(messages []sibling.HandOver) {
	for _, m := range messages {
		s.emit(HandOver{m})
	}
}

// Drain is the first event of a planned stop: the instance reports unready. Reply must have room for one value.
type Drain struct{ Reply chan<- struct{} }

func (e Drain) apply(s *State, _ time.Time) {
	s.draining, s.changed = true, true
	e.Reply <- struct{}{}
}

// LeaveMembership ends the part of this instance as home and witness of changes and as holder of rate shares, once it
// refuses new requests: an instance that gave up its shares when it turned unready refused requests inside the rate
// for the rest of the notice time. The reply holds the messages that tell the siblings, for the caller to send: the
// stop must not go on before they are sent. Reply must have room for one value.
type LeaveMembership struct{ Reply chan<- []sibling.HandOver }

func (e LeaveMembership) apply(s *State, now time.Time) {
	s.rates.shares.Drain()
	e.Reply <- s.changes.Leave(now)
	s.changed = true
}

// BeginChange asks for the decision of the home instance. Reply must have room for one value.
type BeginChange struct {
	Key   sibling.ChangeKey
	Body  sibling.BodyDigest
	Reply chan<- sibling.BeginResult
}

func (e BeginChange) apply(s *State, now time.Time) { e.Reply <- s.changes.Begin(e.Key, e.Body, now) }

// WitnessChange asks for the decision of the witness. Reply must have room for one value.
type WitnessChange struct {
	Home   string
	Record sibling.ChangeRecord
	Reply  chan<- sibling.WitnessResult
}

func (e WitnessChange) apply(s *State, now time.Time) {
	e.Reply <- s.changes.RecordAsWitness(e.Home, e.Record, now)
}

// FinishChange notes the outcome of an attempt of this process. The reply holds the messages that tell the other
// holders, for the caller to send. Reply must have room for one value.
type FinishChange struct {
	Record sibling.ChangeRecord
	Reply  chan<- []sibling.HandOver
}

func (e FinishChange) apply(s *State, now time.Time) { e.Reply <- s.changes.Finish(e.Record, now) }

// HandOverReceived is a sibling's message with records of changes. Reply must have room for one value.
type HandOverReceived struct {
	Message sibling.HandOver
	Reply   chan<- []sibling.ChangeRecord
}

func (e HandOverReceived) apply(s *State, now time.Time) {
	reply, out := s.changes.ReceiveHandOver(e.Message, now)
	s.handOver(out)
	s.changed = s.changed || e.Message.Leaving || e.Message.Arriving
	e.Reply <- reply
}

// ArrivalReplyReceived is a sibling's reply to the message of a new process; Records is empty if there was none.
type ArrivalReplyReceived struct {
	From    string
	Records []sibling.ChangeRecord
}

func (e ArrivalReplyReceived) apply(s *State, now time.Time) {
	s.changes.ReceiveArrivalReply(e.From, e.Records, now)
}

func (s *State) rejoin(now time.Time) {
	out, changed := s.changes.ReadmitDeparted(now)
	s.handOver(out)
	s.changed = s.changed || changed
}

// BeginChange asks the control goroutine for the decision of the home instance. It does not end with a request's
// context: an event that was queued would still note the change.
func (l *Loop) BeginChange(key sibling.ChangeKey, body sibling.BodyDigest) (sibling.BeginResult, error) {
	return Ask(context.Background(), l, func(reply chan<- sibling.BeginResult) Event {
		return BeginChange{Key: key, Body: body, Reply: reply}
	})
}

// FinishChange notes the outcome of an attempt that BeginChange started, and returns the messages to send.
func (l *Loop) FinishChange(r sibling.ChangeRecord) ([]sibling.HandOver, error) {
	return Ask(context.Background(), l, func(reply chan<- []sibling.HandOver) Event {
		return FinishChange{Record: r, Reply: reply}
	})
}
