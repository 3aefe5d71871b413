package traffic

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/sibling"
)

// homeSteps are the steps of a change at its home instance, in order, and whether the change has been sent by then.
var homeSteps = []struct {
	name string
	sent bool
}{{"begin", false}, {"homed", false}, {"recorded", false}, {"send", false}, {"sent", true}, {"finish", true}}

// checkRefusal reports an error if the change ran more than once, or if it ran although the refusal states that it did
// not. refusal may be nil.
func checkRefusal(t *testing.T, f *fleet, key string, refusal *caller.Refusal) {
	t.Helper()
	n := f.runCount(key)
	if n > 1 {
		t.Errorf("the change ran %d times", n)
	}
	if refusal != nil && refusal.Ran == caller.RanNo && n != 0 {
		t.Errorf("refusal %v is incorrect: the change ran", refusal)
	}
}

// Guards against a second run, and against refusals that incorrectly state "not run", if the home instance fails at any
// step and the caller repeats the change after another instance became its home.
func TestHomeDiesAtEachStep(t *testing.T) {
	for _, step := range homeSteps {
		t.Run(step.name, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c")
			key := f.keyFor("a", "b")
			home := f.nodes["a"]
			home.tier.stepHook = func(s string) {
				if s == step.name {
					home.kill()
					<-make(chan struct{})
				}
			}
			_, refusal := f.change("c", key, time.Second)
			if refusal == nil {
				t.Fatal("the failed home instance replied")
			}
			checkRefusal(t, f, key, refusal)
			f.publishList("b", "c")
			outcome, repeat := f.change("c", key, time.Second)
			checkRefusal(t, f, key, repeat)
			if (outcome != nil) == step.sent {
				// A change that was not sent may be refused only because of the record at the witness.
				if step.sent || repeat.Ran != caller.RanUnknown {
					t.Errorf("repeat: %+v, %v", outcome, repeat)
				}
			}
		})
	}
}

// Guards against changes that are sent after their deadline, or although their key was withdrawn, by a process that was
// suspended in between.
func TestChecksRightBeforeSending(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(f *fleet, home *testNode, deadline time.Duration)
		want  caller.Code
	}{
		{"deadline", func(_ *fleet, _ *testNode, d time.Duration) { time.Sleep(d) }, caller.CodeDeadline},
		{"key", func(f *fleet, home *testNode, _ time.Duration) {
			home.loop.Post(control.DocumentRead{Document: testDocument(2, "another")})
			f.eventually(func() bool { return home.loop.Snapshot().Document.Revision == 2 })
		}, caller.CodeUnauthenticated},
	} {
		for _, step := range homeSteps {
			if step.sent {
				continue
			}
			t.Run(c.name+"/"+step.name, func(t *testing.T) {
				f := newStartingFleet(t, "a", "b")
				key, home := f.keyFor("a", "b"), f.nodes["a"]
				timeout := 200 * time.Millisecond
				if c.name != "deadline" {
					timeout = 10 * time.Second
				}
				home.tier.stepHook = func(s string) {
					if s == step.name {
						c.event(f, home, timeout)
					}
				}
				_, refusal := f.change("a", key, timeout)
				if refusal == nil || refusal.Code != c.want || refusal.Ran != caller.RanNo || f.runCount(key) != 0 {
					t.Errorf("refusal is %v after %d runs, want %s and no run", refusal, f.runCount(key), c.want)
				}
			})
		}
	}
}

// Guards against a second run, and against refusals that incorrectly state "not run", if a connection between instances
// breaks before a message arrives or before its reply does.
func TestCutConnections(t *testing.T) {
	for _, c := range []struct {
		method    string
		replyLost bool       // instead of the message
		ran       caller.Ran // of the refusal, "" if the change must succeed
	}{{"RunChange", false, ""}, {"RunChange", true, caller.RanUnknown}, {"RecordChange", false, ""}, {"RecordChange", true, ""}} {
		f := newFleet(t, "a", "b", "c")
		key := f.keyFor("a", "b")
		var calls atomic.Int64
		f.mu.Lock()
		f.loseCall = func(method string) (bool, bool) {
			lose := method == c.method && calls.Add(1) == 1
			return lose && !c.replyLost, lose && c.replyLost
		}
		f.mu.Unlock()
		_, refusal := f.change("c", key, time.Second)
		checkRefusal(t, f, key, refusal)
		if got := ranOf(refusal); got != c.ran {
			t.Errorf("%s, reply lost %v: refusal is %v, want ran %q", c.method, c.replyLost, refusal, c.ran)
		}
		outcome, refusal := f.change("b", key, time.Second)
		checkRefusal(t, f, key, refusal)
		if outcome == nil || string(outcome.Reply) != "done" || f.runCount(key) != 1 {
			t.Errorf("%s, reply lost %v: the repeat got %v after %d runs, want the outcome of one", c.method, c.replyLost, refusal, f.runCount(key))
		}
	}
}

func ranOf(r *caller.Refusal) caller.Ran {
	if r == nil {
		return ""
	}
	return r.Ran
}

// Guards against changes that run without a witness although one is listed, or that wait until their deadline for a
// failed witness.
func TestDeadWitnessRefuses(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	key := f.keyFor("a", "b")
	f.nodes["b"].kill()
	_, refusal := f.change("c", key, 10*time.Second)
	if refusal == nil || refusal.Code != caller.CodeHomeUnreachable || refusal.Ran != caller.RanNo || f.runCount(key) != 0 {
		t.Errorf("refusal is %v after %d runs, want home_unreachable and no run", refusal, f.runCount(key))
	}
}

// Guards against a repeated change that runs while the first attempt is still running, and against losing the outcome of
// a change whose caller disconnected.
func TestRepeatWhileRunning(t *testing.T) {
	f := newFleet(t, "a", "b")
	key, home := f.keyFor("a", "b"), f.nodes["a"]
	reached, proceed := make(chan struct{}), make(chan struct{})
	home.tier.stepHook = func(s string) {
		if s == "send" {
			close(reached)
			<-proceed
		}
	}
	first := make(chan *caller.Refusal, 1)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		_, refusal := home.tier.Change(ctx, Change{
			Service: "s", Key: testKey, IdempotencyKey: key, Text: "text", Deadline: time.Now().Add(10 * time.Second),
		})
		first <- refusal
	}()
	<-reached
	if _, r := f.change("b", key, time.Second); r == nil || r.Code != caller.CodeDuplicate || r.Ran != caller.RanUnknown {
		t.Errorf("repeat while running: %v, want duplicate", r)
	}
	leave()
	close(proceed)
	if r := <-first; r != nil {
		t.Fatal(r)
	}
	if outcome, r := f.change("a", key, time.Second); outcome == nil || f.runCount(key) != 1 {
		t.Errorf("repeat after the first attempt ended: %v after %d runs", r, f.runCount(key))
	}
}

// Guards against a planned stop that refuses a change that is already running: the witness would then refuse the repeat
// at the next home with outcome_unknown, as TestRestartsCutOffNoRequest showed.
func TestStopFinishesBegunChanges(t *testing.T) {
	for _, step := range homeSteps {
		f := newFleet(t, "a", "b", "c")
		key, home := f.keyFor("a", "b"), f.nodes["a"]
		home.tier.stepHook = func(s string) {
			if s != step.name {
				return
			}
			home.tier.Drain()
			messages, _ := control.Ask(context.Background(), home.loop, func(reply chan<- []sibling.HandOver) control.Event {
				return control.LeaveMembership{Reply: reply}
			})
			for _, m := range messages {
				_, _ = home.HandOver(context.Background(), m)
			}
		}
		if _, refusal := f.change("c", key, 10*time.Second); refusal != nil || f.runCount(key) != 1 {
			t.Errorf("stop at %s: %v after %d runs, want success and one", step.name, refusal, f.runCount(key))
		}
		f.eventually(func() bool {
			outcome, refusal := f.change("c", key, 10*time.Second)
			return outcome != nil || refusal.Ran != caller.RanUnknown
		})
		if f.runCount(key) != 1 {
			t.Errorf("stop at %s: %d runs after repeats", step.name, f.runCount(key))
		}
	}
}

// Guards against refusing a change whose targets have free capacity again within a short time. The restart test showed
// such a refusal while a target was skipped after a broken connection.
func TestChangeWaitsForFreeCapacity(t *testing.T) {
	f := newFleet(t, "a")
	busy := f.targets["s"].Targets[0]
	for busy.Stats.TryStart(busy.Limit) {
	}
	waiting := make(chan struct{})
	f.nodes["a"].tier.stepHook = func(step string) {
		if step == "recorded" {
			close(waiting)
		}
	}
	go func() {
		<-waiting
		time.Sleep(20 * time.Millisecond)
		busy.Stats.Finish(0)
	}()
	if _, refusal := f.change("a", "key", 5*time.Second); refusal != nil || f.runCount("key") != 1 {
		t.Fatalf("refusal is %v after %d runs, want one run", refusal, f.runCount("key"))
	}
}

// Guards against refusing a request within the rate because a sibling holds the token: with a low rate and many instances
// a fifth of the requests were refused.
func TestRequestWaitsForToken(t *testing.T) {
	f := newFleet(t, "a")
	n := f.nodes["a"]
	pool := &caller.TokenPool{}
	n.pools["o"] = pool
	go func() {
		for pool.Refused() == 0 {
			time.Sleep(time.Millisecond)
		}
		pool.Deposit(1, caller.NewExpiry(time.Now().Add(time.Hour)))
	}()
	if _, refusal := f.change("a", "first", 5*time.Second); refusal != nil {
		t.Fatalf("refusal is %v, want the change to wait for its token", refusal)
	}
	if _, refusal := f.change("a", "second", 5*time.Second); refusal == nil || refusal.Code != caller.CodeRateLimited {
		t.Fatalf("refusal is %v without a second token, want %s", refusal, caller.CodeRateLimited)
	}
}

// Guards against changes that are refused although their deadline allows for the time that their home instance needs to
// start or stop on a busy machine.
func TestChangeWithLongDeadlineWaitsForItsHome(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	key := f.keyFor("a", "b")
	losePastMinWait := func() {
		until := time.Now().Add(minHomeWait + 300*time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.loseCall = func(string) (request, reply bool) { return time.Now().Before(until), false }
	}
	losePastMinWait()
	if _, refusal := f.change("c", key, homeWaitDivisor*minHomeWait/2); refusal == nil || refusal.Code != caller.CodeHomeUnreachable {
		t.Errorf("change with a short deadline: %v", refusal)
	}
	losePastMinWait()
	outcome, refusal := f.change("c", f.keyFor("a", "c"), 10*time.Second)
	if refusal != nil || outcome == nil {
		t.Errorf("change with a long deadline: %v", refusal)
	}
}

// Guards against a change that did not run and whose key is spent, because the message about that to the witness was lost:
// after a restart of the home, the witness would take its open record for an attempt that may have run.
func TestNotRunReachesTheWitnessAfterALoss(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	key := f.keyFor("a", "b")
	busy := f.targets["s"].Targets[0]
	for busy.Stats.TryStart(busy.Limit) {
	}
	var calls atomic.Int64
	f.mu.Lock()
	f.loseCall = func(method string) (bool, bool) { return method == "HandOver" && calls.Add(1) == 1, false }
	deliveredBefore := f.delivered["HandOver"]
	f.mu.Unlock()
	if _, refusal := f.change("a", key, time.Second); refusal == nil || refusal.Ran != caller.RanNo {
		t.Fatalf("refusal is %v, want one that did not run", refusal)
	}
	// The second message must have arrived, not just been sent, when the home ends.
	f.eventually(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return calls.Load() >= 2 && f.delivered["HandOver"] > deliveredBefore
	})
	busy.Stats.Finish(0)
	f.nodes["a"].kill()
	f.publishList("b", "c")
	f.eventually(func() bool {
		outcome, refusal := f.change("c", key, time.Second)
		if refusal != nil && refusal.Ran == caller.RanUnknown {
			t.Fatalf("the repeat at the next home: %v", refusal)
		}
		return outcome != nil
	})
	if n := f.runCount(key); n != 1 {
		t.Errorf("%d runs, want one", n)
	}
}
