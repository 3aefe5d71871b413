package traffic

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwooddrift.org/drift/caller"
)

// recordCollector stores the records of requests.
type recordCollector struct {
	mu  sync.Mutex
	all []*Record
}

func (r *recordCollector) Record(x *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *recordCollector) single(t *testing.T) *Record {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.all) != 1 {
		t.Fatalf("%d records, want 1", len(r.all))
	}
	return r.all[0]
}

// Guards against a forwarded change that cannot be traced through both instances by its request ID.
func TestForwardedChangeIsRecordedAtBothInstances(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	entry, home := &recordCollector{}, &recordCollector{}
	f.nodes["c"].tier.SetRecorder(entry)
	f.nodes["a"].tier.SetRecorder(home)
	outcome, refusal := f.nodes["c"].tier.Change(context.Background(), Change{
		ID: "request-1", Service: "s", Key: testKey, IdempotencyKey: f.keyFor("a", "b"), Text: "secret text", Deadline: time.Now().Add(time.Second),
	})
	if refusal != nil || outcome.RequestID != "request-1" {
		t.Fatalf("outcome %+v, refusal %v", outcome, refusal)
	}
	at, from := home.single(t), entry.single(t)
	if at.ID != "request-1" || from.ID != "request-1" {
		t.Errorf("IDs are %q and %q", from.ID, at.ID)
	}
	if len(from.Attempts) != 1 || from.Attempts[0].Target != "a" || from.Attempts[0].Outcome != forwardReplied {
		t.Errorf("the entry instance recorded %+v", from.Attempts)
	}
	if len(at.Attempts) != 1 || at.Attempts[0].Target != "t" || at.Attempts[0].Outcome != "replied" {
		t.Errorf("the home instance recorded %+v", at.Attempts)
	}
	if from.Organisation != "o" || from.ConfigVersion != 1 || from.Outcome != OutcomeOK {
		t.Errorf("the entry instance recorded %+v", from)
	}
}

// Guards against refusals without a record and against records that contain a key.
func TestRefusedChangeIsRecorded(t *testing.T) {
	f := newFleet(t, "a", "b")
	log := &recordCollector{}
	f.nodes["a"].tier.SetRecorder(log)
	_, refusal := f.nodes["a"].tier.Change(context.Background(), Change{Service: "s", Key: "wrong key", IdempotencyKey: "k", Deadline: time.Now().Add(time.Second)})
	r := log.single(t)
	if refusal == nil || r.Outcome != string(caller.CodeUnauthenticated) || r.ID == "" {
		t.Errorf("refusal %v, record %+v", refusal, r)
	}
	if strings.Contains(r.Message, "wrong key") {
		t.Errorf("the record contains the key: %q", r.Message)
	}
}

// Guards against the end of an attempt being recorded for another attempt, and against overwriting a recorded end.
func TestEndsOfAttemptsAreRecordedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &Record{Received: start, Attempts: []AttemptRecord{{Attempt: 1}, {Attempt: 2}, {Attempt: 7}}}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	r.endAttempt(2, "replied", "", at(10))
	r.endAttempt(7, "broken", "connection lost", at(20))
	r.endAttempt(2, "broken", "again", at(30))
	r.endAttempt(5, "replied", "", at(30))
	r.complete(nil, false, at(40))
	want := []AttemptRecord{
		{Attempt: 1, Outcome: outcomeCancelled, EndedAfter: 40 * time.Millisecond, finished: true},
		{Attempt: 2, Outcome: "replied", EndedAfter: 10 * time.Millisecond, finished: true},
		{Attempt: 7, Outcome: "broken", Reason: "connection lost", EndedAfter: 20 * time.Millisecond, finished: true},
	}
	if !slices.Equal(r.Attempts, want) {
		t.Errorf("attempts %+v, want %+v", r.Attempts, want)
	}
}
