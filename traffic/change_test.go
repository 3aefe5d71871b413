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

// homeSteps are the steps at the home instance, in order, and whether the change was sent before.
var homeSteps = []struct {
	name string
	sent bool
}{{"begin", false}, {"homed", false}, {"recorded", false}, {"send", false}, {"sent", true}, {"finish", true}}

// check fails unless the refusal, if any, is true of the runs so far.
func check(t *testing.T, f *fleet, key string, refusal *caller.Refusal) {
	t.Helper()
	n := f.ran(key)
	if n > 1 {
		t.Errorf("the change ran %d times", n)
	}
	if refusal != nil && refusal.Ran == caller.RanNo && n != 0 {
		t.Errorf("the refusal %v is untrue: the change ran", refusal)
	}
}

// Guards against a second run, and against an untrue "not run", when the home instance dies at any step and the
// caller repeats the change after its home has moved.
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
				t.Fatal("a dead home answered")
			}
			check(t, f, key, refusal)
			f.relist("b", "c")
			outcome, repeat := f.change("c", key, time.Second)
			check(t, f, key, repeat)
			if (outcome != nil) == step.sent {
				// Only the record at the witness may stand against a change that did not run.
				if step.sent || repeat.Ran != caller.RanUnknown {
					t.Errorf("repeat: %+v, %v", outcome, repeat)
				}
			}
		})
	}
}

// Guards against a change that is sent after its deadline by a process that slept, and against one that is sent
// although its key was withdrawn while the process slept.
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
				f := newFleet(t, "a", "b")
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
				if refusal == nil || refusal.Code != c.want || refusal.Ran != caller.RanNo || f.ran(key) != 0 {
					t.Errorf("refusal is %v after %d runs, want %s and none", refusal, f.ran(key), c.want)
				}
			})
		}
	}
}

// Guards against a second run, and against an untrue "not run", when a connection between instances breaks before or
// after a message.
func TestCutConnections(t *testing.T) {
	for _, c := range []struct {
		method string
		after  bool
		ran    caller.Ran // of the refusal, "" if the change must succeed
	}{{"RunChange", false, ""}, {"RunChange", true, caller.RanUnknown}, {"RecordChange", false, ""}, {"RecordChange", true, ""}} {
		f := newFleet(t, "a", "b", "c")
		key := f.keyFor("a", "b")
		var cuts atomic.Int64
		f.mu.Lock()
		f.cut = func(method string) (bool, bool) {
			cut := method == c.method && cuts.Add(1) == 1
			return cut && !c.after, cut && c.after
		}
		f.mu.Unlock()
		_, refusal := f.change("c", key, time.Second)
		check(t, f, key, refusal)
		if got := ranOf(refusal); got != c.ran {
			t.Errorf("%s, reply lost %v: refusal is %v, want ran %q", c.method, c.after, refusal, c.ran)
		}
		outcome, refusal := f.change("b", key, time.Second)
		check(t, f, key, refusal)
		if outcome == nil || string(outcome.Reply) != "done" || f.ran(key) != 1 {
			t.Errorf("%s, reply lost %v: the repeat got %v after %d runs, want the outcome of one", c.method, c.after, refusal, f.ran(key))
		}
	}
}

func ranOf(r *caller.Refusal) caller.Ran {
	if r == nil {
		return ""
	}
	return r.Ran
}

// Guards against a change that runs without a witness although one is listed, or that waits for a dead one.
func TestDeadWitnessRefuses(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	key := f.keyFor("a", "b")
	f.nodes["b"].kill()
	_, refusal := f.change("c", key, 10*time.Second)
	if refusal == nil || refusal.Code != caller.CodeHomeUnreachable || refusal.Ran != caller.RanNo || f.ran(key) != 0 {
		t.Errorf("refusal is %v after %d runs, want home_unreachable and none", refusal, f.ran(key))
	}
}

// Guards against a repeat that runs while the first attempt does, and against a lost outcome when its caller went
// away.
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
	if outcome, r := f.change("a", key, time.Second); outcome == nil || f.ran(key) != 1 {
		t.Errorf("repeat after the end: %v after %d runs", r, f.ran(key))
	}
}

// Guards against a planned stop that refuses a change it has begun: its witness then refused the repeat at the next
// home with outcome_unknown, which TestRestartsCutOffNoRequest showed.
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
		if _, refusal := f.change("c", key, 10*time.Second); refusal != nil || f.ran(key) != 1 {
			t.Errorf("stop at %s: %v after %d runs, want success and one", step.name, refusal, f.ran(key))
		}
		f.eventually(func() bool {
			outcome, refusal := f.change("c", key, 10*time.Second)
			return outcome != nil || refusal.Ran != caller.RanUnknown
		})
		if f.ran(key) != 1 {
			t.Errorf("stop at %s: %d runs after repeats", step.name, f.ran(key))
		}
	}
}

// Guards against refusing a change whose targets have room again within moments. The restart test met such a
// refusal while a target was passed over after a broken connection.
func TestChangeWaitsForRoom(t *testing.T) {
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
	if _, refusal := f.change("a", "key", 5*time.Second); refusal != nil || f.ran("key") != 1 {
		t.Fatalf("refusal is %v after %d runs, want one run", refusal, f.ran("key"))
	}
}

// Guards against refusing a request inside its rate because the token lies at a sibling: with a low rate and many
// instances a fifth of the requests were refused.
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

// Guards against changes that are refused although their caller waits longer than their home needs to start or stop on
// a busy machine.
func TestChangeOfAPatientCallerWaitsForItsHome(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	key := f.keyFor("a", "b")
	cutOff := func() {
		back := time.Now().Add(minHomeWait + 300*time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cut = func(string) (before, after bool) { return time.Now().Before(back), false }
	}
	cutOff()
	if _, refusal := f.change("c", key, homeWaitDivisor*minHomeWait/2); refusal == nil || refusal.Code != caller.CodeHomeUnreachable {
		t.Errorf("the change of an impatient caller: %v", refusal)
	}
	cutOff()
	outcome, refusal := f.change("c", f.keyFor("a", "c"), 10*time.Second)
	if refusal != nil || outcome == nil {
		t.Errorf("the change of a patient caller: %v", refusal)
	}
}
