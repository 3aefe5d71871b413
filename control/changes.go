package control

import (
	"context"
	"time"

	"dogwooddrift.org/drift/sibling"
)

// HandOver sends records of changes to a sibling. A failed message is not repeated: the other holder of a record still
// has it.
type HandOver struct{ sibling.HandOver }

func (HandOver) effect() {}

func (s *State) emitHandOvers(messages []sibling.HandOver) {
	for _, m := range messages {
		s.emit(HandOver{m})
	}
}

// Drain begins a planned stop: the instance reports unready. Reply must have room for one value.
type Drain struct{ Reply chan<- struct{} }

func (e Drain) apply(s *State, _ time.Time) {
	s.draining, s.changed = true, true
	e.Reply <- struct{}{}
}

// LeaveMembership ends the role of this instance as home and witness of changes and as holder of rate shares. It is
// posted once the instance refuses new requests: if the instance gave up its shares when it turns unready, it would
// refuse requests within the rate for the rest of the notice time. The reply holds the messages that notify the
// siblings; the caller must send them before the stop continues. Reply must have room for one value.
type LeaveMembership struct{ Reply chan<- []sibling.HandOver }

func (e LeaveMembership) apply(s *State, now time.Time) {
	s.rates.shares.Drain()
	e.Reply <- s.changeLog.Leave(now)
	s.changed = true
}

// BeginChange requests the decision of this instance as home of a change. Reply must have room for one value.
type BeginChange struct {
	Key   sibling.ChangeKey
	Body  sibling.BodyDigest
	Reply chan<- sibling.BeginResult
}

func (e BeginChange) apply(s *State, now time.Time) { e.Reply <- s.changeLog.Begin(e.Key, e.Body, now) }

// WitnessChange requests the decision of this instance as witness of a change. Reply must have room for one value.
type WitnessChange struct {
	Home   string
	Record sibling.ChangeRecord
	Reply  chan<- sibling.WitnessResult
}

func (e WitnessChange) apply(s *State, now time.Time) {
	e.Reply <- s.changeLog.RecordAsWitness(e.Home, e.Record, now)
}

// FinishChange records the outcome of an attempt of this process. The reply holds the messages that notify the other
// holders of the record, for the caller to send. Reply must have room for one value.
type FinishChange struct {
	Record sibling.ChangeRecord
	Reply  chan<- []sibling.HandOver
}

func (e FinishChange) apply(s *State, now time.Time) { e.Reply <- s.changeLog.Finish(e.Record, now) }

// HandOverReceived carries records of changes from a sibling. Reply must have room for one value.
type HandOverReceived struct {
	Message sibling.HandOver
	Reply   chan<- []sibling.ChangeRecord
}

func (e HandOverReceived) apply(s *State, now time.Time) {
	reply, out := s.changeLog.ReceiveHandOver(e.Message, now)
	s.emitHandOvers(out)
	s.changed = s.changed || e.Message.Leaving || e.Message.Arriving
	e.Reply <- reply
}

// ArrivalReplyReceived carries a sibling's reply to the hand-over message with which a new process of this instance
// announces itself; Records is empty if there was no reply.
type ArrivalReplyReceived struct {
	From    string
	Records []sibling.ChangeRecord
}

func (e ArrivalReplyReceived) apply(s *State, now time.Time) {
	s.changeLog.ReceiveArrivalReply(e.From, e.Records, now)
}

func (s *State) readmitMembers(now time.Time) {
	out, changed := s.changeLog.ReadmitDeparted(now)
	s.emitHandOvers(out)
	s.changed = s.changed || changed
}

// BeginChange returns the decision of this instance as home of a change. It does not end with the context of a request:
// an event that is queued would record the change nevertheless.
func (l *Loop) BeginChange(key sibling.ChangeKey, body sibling.BodyDigest) (sibling.BeginResult, error) {
	return Ask(context.Background(), l, func(reply chan<- sibling.BeginResult) Event {
		return BeginChange{Key: key, Body: body, Reply: reply}
	})
}

// FinishChange records the outcome of an attempt that BeginChange started and returns the messages to send.
func (l *Loop) FinishChange(r sibling.ChangeRecord) ([]sibling.HandOver, error) {
	return Ask(context.Background(), l, func(reply chan<- []sibling.HandOver) Event {
		return FinishChange{Record: r, Reply: reply}
	})
}
