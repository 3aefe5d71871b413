package sibling

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testWindow = time.Minute

func testMembers(ids ...string) Members {
	var out Members
	for _, id := range ids {
		out = append(out, Member{ID: id})
	}
	return out
}

// servingLog returns the log of an instance that acts as home or witness among the members.
func servingLog(self string, members Members, now time.Time) *ChangeLog {
	l := NewChangeLog(self, self+"/1")
	l.Configure(members, testWindow, now)
	for _, m := range members {
		l.ReceiveArrivalReply(m.ID, nil, now)
	}
	return l
}

// keyHeldByAAndB returns a key whose home is a and whose witness is b.
func keyHeldByAAndB(members Members) ChangeKey {
	for i := 0; ; i++ {
		key := NewChangeKey("o", "s", fmt.Sprint(i))
		if p := members.pair(key); p.Home == "a" && p.Witness == "b" {
			return key
		}
	}
}

// Guards against a second run of a key whose outcome the home or the witness has recorded, and against a witness that
// serves a home with another view of the members.
func TestChangeLogRefusesRepeats(t *testing.T) {
	now := time.Unix(0, 0)
	members := testMembers("a", "b", "c")
	key := keyHeldByAAndB(members)
	home, witness := servingLog("a", members, now), servingLog("b", members, now)
	begun := home.Begin(key, BodyDigest{1}, now)
	if begun.Verdict != VerdictNew || begun.Witness.ID != "b" {
		t.Fatalf("first attempt: %+v", begun)
	}
	if v := home.Begin(key, BodyDigest{1}, now); v.Verdict != VerdictKnown || !v.RunningHere {
		t.Errorf("repeat while running: %+v, want known and here", v)
	}
	if v := home.Begin(key, BodyDigest{2}, now); v.Verdict != VerdictOtherBody {
		t.Errorf("other body: verdict %d, want %d", v.Verdict, VerdictOtherBody)
	}
	if v := witness.Begin(key, BodyDigest{1}, now); v.Verdict != VerdictMoved {
		t.Errorf("instance that is not home: verdict %d, want %d", v.Verdict, VerdictMoved)
	}
	if v := witness.RecordAsWitness("c", begun.Record, now); v.Verdict != VerdictMoved {
		t.Errorf("witness of another home: verdict %d, want %d", v.Verdict, VerdictMoved)
	}
	if v := witness.RecordAsWitness("a", begun.Record, now); v.Verdict != VerdictNew {
		t.Errorf("witness: verdict %d, want %d", v.Verdict, VerdictNew)
	}
	other := begun.Record
	other.Attempt = Attempt{Owner: "a/2", Number: begun.Record.Attempt.Number + 1}
	if v := witness.RecordAsWitness("a", other, now); v.Verdict != VerdictKnown {
		t.Errorf("witness of a restarted home: verdict %d, want %d", v.Verdict, VerdictKnown)
	}
	done := begun.Record
	done.Outcome, done.Reply = OutcomeDone, []byte("r")
	for _, h := range home.Finish(done, now) {
		if h.To.ID == "b" {
			witness.Merge(h.Records, now)
		}
	}
	for _, l := range []*ChangeLog{home, witness} {
		if e := l.records[key]; e.Outcome != OutcomeDone || string(e.Reply) != "r" {
			t.Errorf("record at %s has outcome %d, reply %q", l.self, e.Outcome, e.Reply)
		}
	}
}

// Guards against keys that stay blocked although their attempt certainly did not run, also when the message about it
// is lost or overtaken.
func TestNotRunMayRunAgain(t *testing.T) {
	now := time.Unix(0, 0)
	members := testMembers("a", "b")
	key := keyHeldByAAndB(members)
	home, witness := servingLog("a", members, now), servingLog("b", members, now)
	first := home.Begin(key, BodyDigest{}, now).Record
	witness.RecordAsWitness("a", first, now)
	notRun := first
	notRun.Outcome = OutcomeNotRun
	late := home.Finish(notRun, now)
	second := home.Begin(key, BodyDigest{}, now)
	if second.Verdict != VerdictNew {
		t.Fatalf("repeat: verdict %d, want %d", second.Verdict, VerdictNew)
	}
	if v := witness.RecordAsWitness("a", second.Record, now); v.Verdict != VerdictNew {
		t.Fatalf("witness of the repeat: verdict %d, want %d", v.Verdict, VerdictNew)
	}
	witness.Merge(late[0].Records, now)
	if e := witness.records[key]; e == nil || e.Outcome != OutcomeOpen {
		t.Fatal("a late record of the first attempt replaced the second")
	}
	if v := witness.RecordAsWitness("a", first, now); v.Verdict != VerdictKnown {
		t.Errorf("late record of the first attempt: verdict %d, want %d", v.Verdict, VerdictKnown)
	}
}

// Guards against a witness that takes the record of an attempt, which the home handed over when the witness arrived, for
// an earlier attempt: the change would be refused with an unknown outcome although it did not run.
func TestWitnessHoldsRecordOfSameAttempt(t *testing.T) {
	now := time.Unix(0, 0)
	members := testMembers("a", "b")
	key := keyHeldByAAndB(members)
	home, witness := servingLog("a", members, now), servingLog("b", members, now)
	record := home.Begin(key, BodyDigest{}, now).Record
	reply, _ := home.ReceiveHandOver(HandOver{From: "b", Arriving: true}, now)
	witness.ReceiveArrivalReply("a", reply, now)
	if v := witness.RecordAsWitness("a", record, now); v.Verdict != VerdictNew {
		t.Errorf("witness with the record of this attempt: verdict %d, want %d", v.Verdict, VerdictNew)
	}
	notRun := record
	notRun.Outcome = OutcomeNotRun
	witness.Merge([]ChangeRecord{notRun}, now)
	if v := witness.RecordAsWitness("a", record, now); v.Verdict != VerdictMoved || witness.records[key].Outcome != OutcomeNotRun {
		t.Errorf("late request of an attempt that did not run: verdict %d, outcome %d", v.Verdict, witness.records[key].Outcome)
	}
}

// Guards against a holder that keeps an open record because the message with the outcome was lost: after the instance
// that knows the outcome has left, a repeat would be answered with an unknown outcome although the change succeeded.
func TestLeavingInstanceHandsOverOutcomes(t *testing.T) {
	now := time.Unix(0, 0)
	members := testMembers("a", "b", "c")
	key := keyHeldByAAndB(members)
	home, witness := servingLog("a", members, now), servingLog("b", members, now)
	record := home.Begin(key, BodyDigest{}, now).Record
	witness.RecordAsWitness("a", record, now)
	record.Outcome, record.Reply = OutcomeDone, []byte("r")
	_ = home.Finish(record, now) // these messages are lost
	for _, h := range home.Leave(now) {
		if h.To.ID == "b" {
			witness.ReceiveHandOver(h, now)
		}
	}
	if v := witness.Begin(key, BodyDigest{}, now); v.Verdict != VerdictKnown || v.Record.Outcome != OutcomeDone || string(v.Record.Reply) != "r" {
		t.Errorf("repeat at the new home: %+v, want the outcome of the change", v)
	}
}

// Guards against records that arrive late or out of order: an open record that arrives after the record that its
// attempt did not run would block the key, and dropping the record of a second attempt would let a third one run.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	first := ChangeRecord{Attempt: Attempt{Owner: "x", Number: 1}}
	notRun, second, done := first, first, first
	notRun.Outcome = OutcomeNotRun
	second.Attempt = Attempt{Owner: "y", Number: 1}
	done.Attempt, done.Outcome = second.Attempt, OutcomeDone
	for _, c := range []struct {
		records []ChangeRecord
		want    ChangeOutcome
	}{
		{[]ChangeRecord{first, notRun}, OutcomeNotRun},
		{[]ChangeRecord{notRun, first}, OutcomeNotRun},
		{[]ChangeRecord{notRun, second}, OutcomeOpen},
		{[]ChangeRecord{second, notRun}, OutcomeOpen},
		{[]ChangeRecord{notRun, second, first, done, second}, OutcomeDone},
	} {
		now := time.Unix(0, 0)
		l := servingLog("a", testMembers("a", "b"), now)
		for _, r := range c.records {
			l.Merge([]ChangeRecord{r}, now)
		}
		if got := l.records[ChangeKey{}].Outcome; got != c.want {
			t.Errorf("after %+v: outcome %d, want %d", c.records, got, c.want)
		}
	}
}

// Guards against a log that removes records early, grows without bound, or makes room by dropping records that a
// repeated request may still need.
func TestChangeLogIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	l := servingLog("a", testMembers("a"), now)
	for i := range maxChangeRecords {
		b := l.Begin(NewChangeKey("o", "s", fmt.Sprint(i)), BodyDigest{}, now)
		if b.Verdict != VerdictNew || !b.NoWitness {
			t.Fatalf("change %d: %+v", i, b)
		}
		r := b.Record
		r.Outcome, r.Reply = OutcomeDone, make([]byte, 100)
		l.Finish(r, now)
	}
	if l.replyBytes > maxChangeReplies {
		t.Errorf("replies take %d bytes", l.replyBytes)
	}
	key := NewChangeKey("o", "s", "x")
	if v := l.Begin(key, BodyDigest{}, now.Add(testWindow)).Verdict; v != VerdictFull {
		t.Errorf("verdict of a full log: %d, want %d", v, VerdictFull)
	}
	if v := l.Begin(key, BodyDigest{}, now.Add(testWindow+2*sweepInterval)).Verdict; v != VerdictNew {
		t.Errorf("verdict after the window: %d, want %d", v, VerdictNew)
	}
	if l.Len() != 1 || l.replyBytes != 0 {
		t.Errorf("%d records and %d bytes are left", l.Len(), l.replyBytes)
	}
}

// changeSimulation is a set of processes that exchange messages in any order.
type changeSimulation struct {
	now      time.Time
	listed   Members
	procs    map[string]*process
	messages []message
	attempts []*testAttempt
	runs     map[ChangeKey]int
	starts   int
}

type process struct {
	log    *ChangeLog
	listed Members
}

type message struct {
	to      string
	deliver func(l *ChangeLog)
	// mayBeLost marks a message that the simulation may drop.
	mayBeLost bool
}

type testAttempt struct {
	home  *process
	begun BeginResult
	stage int
}

func (w *changeSimulation) start(id string) {
	w.starts++
	p := &process{log: NewChangeLog(id, fmt.Sprintf("%s/%d", id, w.starts)), listed: w.listed}
	w.procs[id] = p
	w.send(p.log.Configure(p.listed, testWindow, w.now), false)
}

func (w *changeSimulation) send(out []HandOver, mayBeLost bool) {
	for _, h := range out {
		w.messages = append(w.messages, message{to: h.To.ID, mayBeLost: mayBeLost, deliver: func(l *ChangeLog) {
			reply, more := l.ReceiveHandOver(h, w.now)
			w.send(more, false)
			if h.Arriving {
				w.messages = append(w.messages, message{to: h.From, deliver: func(l *ChangeLog) { l.ReceiveArrivalReply(h.To.ID, reply, w.now) }})
			}
		}})
	}
}

// settled reports whether the last loss or change of membership has reached every process. Losses in faster
// succession are listed as not covered in docs/decisions/changes.md.
func (w *changeSimulation) settled() bool {
	for _, m := range w.messages {
		if !m.mayBeLost {
			return false
		}
	}
	for _, p := range w.procs {
		if !slices.Equal(p.listed, w.listed) {
			return false
		}
	}
	return true
}

func (w *changeSimulation) ids() []string {
	var out []string
	for id := range w.procs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (w *changeSimulation) kill(id string) {
	p := w.procs[id]
	delete(w.procs, id)
	w.attempts = slices.DeleteFunc(w.attempts, func(a *testAttempt) bool { return a.home == p })
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool { return m.to == id })
}

func (w *changeSimulation) finish(a *testAttempt, outcome ChangeOutcome) {
	r := a.begun.Record
	r.Outcome = outcome
	w.send(a.home.log.Finish(r, w.now), true)
	w.attempts = slices.DeleteFunc(w.attempts, func(b *testAttempt) bool { return a == b })
}

// step advances an attempt by one step. A lost message or an absent process ends it.
func (w *changeSimulation) step(a *testAttempt, lost bool) {
	switch a.stage {
	case 0:
		witness := w.procs[a.begun.Witness.ID]
		verdict := VerdictNew
		if !a.begun.NoWitness {
			if verdict = VerdictMoved; witness != nil {
				verdict = witness.log.RecordAsWitness(a.begun.Home, a.begun.Record, w.now).Verdict
			}
		}
		switch {
		case verdict == VerdictKnown:
			w.finish(a, OutcomeUnknown)
		case verdict != VerdictNew || lost:
			w.finish(a, OutcomeNotRun)
		default:
			a.stage = 1
		}
	case 1:
		if lost || !w.now.Before(a.begun.SendBefore) {
			w.finish(a, OutcomeNotRun)
			return
		}
		w.runs[a.begun.Record.Key]++
		a.stage = 2
	default:
		if lost {
			w.finish(a, OutcomeUnknown)
		} else {
			w.finish(a, OutcomeDone)
		}
	}
}

// Guards against a second run of a change in any order of steps, messages, kills, restarts, planned stops and
// membership changes, as long as each loss is settled before the next.
func TestAtMostOneRunPerKey(t *testing.T) {
	// The same seed gives the same result on every run; -rapid.seed sets another.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
		t.Cleanup(func() { _ = f.Value.Set("0") })
	}
	var runs, repeats int
	rapid.Check(t, func(t *rapid.T) {
		w := &changeSimulation{now: time.Unix(0, 0), procs: map[string]*process{}, runs: map[ChangeKey]int{}, listed: testMembers("a", "b", "c", "d")}
		for _, m := range w.listed {
			w.start(m.ID)
		}
		pick := func(ids []string) string { return rapid.SampledFrom(ids).Draw(t, "instance") }
		relist := func(id string, in bool) {
			w.listed = slices.DeleteFunc(slices.Clone(w.listed), func(m Member) bool { return m.ID == id })
			if in {
				w.listed = append(w.listed, Member{ID: id})
				slices.SortFunc(w.listed, func(a, b Member) int { return int(a.ID[0]) - int(b.ID[0]) })
			}
		}
		for len(w.messages) > 0 {
			m := w.messages[0]
			w.messages = w.messages[1:]
			m.deliver(w.procs[m.to].log)
		}
		actions := map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				key := NewChangeKey("o", "s", rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key"))
				home, ok := w.procs[pick(w.ids())].log.Members().HomeOf(key)
				if p := w.procs[home.ID]; ok && p != nil {
					switch b := p.log.Begin(key, BodyDigest{}, w.now); b.Verdict {
					case VerdictNew:
						w.attempts = append(w.attempts, &testAttempt{home: p, begun: b})
					case VerdictKnown:
						repeats++
					}
				}
			},
			"step": func(t *rapid.T) {
				if len(w.attempts) > 0 {
					a := rapid.SampledFrom(w.attempts).Draw(t, "attempt")
					w.step(a, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(w.messages) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
				m := w.messages[i]
				w.messages = slices.Delete(w.messages, i, i+1)
				if p := w.procs[m.to]; p != nil && !(m.mayBeLost && rapid.Bool().Draw(t, "drop")) {
					m.deliver(p.log)
				}
			},
			"list": func(t *rapid.T) {
				p := w.procs[pick(w.ids())]
				if !slices.Equal(p.listed, w.listed) {
					p.listed = w.listed
					w.send(p.log.Configure(p.listed, testWindow, w.now), false)
				}
			},
			"advance": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) {
				if w.settled() {
					id := pick(w.ids())
					w.kill(id)
					w.start(id)
				}
			},
			"lose": func(t *rapid.T) {
				if w.settled() && len(w.procs) > 2 {
					id := pick(w.ids())
					w.kill(id)
					relist(id, false)
				}
			},
			"join": func(t *rapid.T) {
				for _, id := range []string{"a", "b", "c", "d", "e"} {
					if w.settled() && w.procs[id] == nil {
						relist(id, true)
						w.start(id)
					}
				}
			},
			"stop": func(t *rapid.T) {
				if w.settled() && len(w.procs) > 2 {
					id := pick(w.ids())
					w.send(w.procs[id].log.Leave(w.now), false)
					w.kill(id)
					relist(id, false)
				}
			},
		}
		// Most steps belong to attempts and messages, so that attempts make progress between two losses.
		names := []string{"begin", "begin", "step", "step", "step", "step", "deliver", "deliver", "deliver", "deliver",
			"deliver", "deliver", "list", "list", "list", "advance", "restart", "lose", "join", "stop"}
		for range 200 {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
			for key, n := range w.runs {
				if n > 1 {
					t.Fatalf("change %x ran %d times", key[:4], n)
				}
			}
		}
		for _, n := range w.runs {
			runs += n
		}
	})
	t.Logf("%d runs, %d repeats refused", runs, repeats)
	if runs == 0 || repeats == 0 {
		t.Error("no change ran, or none was repeated, in all interleavings")
	}
}
