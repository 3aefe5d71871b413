package caller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func queueEntry(organisation string, weight float64) *QueueEntry {
	return &QueueEntry{Organisation: organisation, Weight: weight, WaitUntil: time.Unix(1000, 0)}
}

// Guards against an organisation that gets more than its weighted share while others wait, and against one that
// accumulates credit while it is idle.
func TestQueueServesByWeight(t *testing.T) {
	now := time.Unix(0, 0)
	q := NewQueue(QueueLimits{MaxRunning: 1, MaxWaiting: 10000, MaxWait: time.Hour})
	running := queueEntry("flood", 1)
	q.Arrive(running, now)
	for range 3000 {
		q.Arrive(queueEntry("flood", 1), now)
	}
	for range 1000 {
		running = q.Finish(running, now)[0]
	}
	for range 900 {
		q.Arrive(queueEntry("light", 1), now)
		q.Arrive(queueEntry("heavy", 3), now)
	}
	served := map[string]int{}
	for range 1000 {
		running = q.Finish(running, now)[0]
		served[running.Organisation]++
	}
	for name, want := range map[string]int{"flood": 200, "light": 200, "heavy": 600} {
		if got := served[name]; got < want-2 || got > want+2 {
			t.Errorf("%s was served %d times of 1000, want %d", name, got, want)
		}
	}
}

// Guards against a full queue in which the requests of one organisation prevent others from waiting, and against a
// refusal without a retry delay.
func TestFullQueueDisplacesTheLongest(t *testing.T) {
	now := time.Unix(0, 0)
	q := NewQueue(QueueLimits{MaxRunning: 1, MaxWaiting: 4, MaxWait: time.Hour})
	q.Arrive(queueEntry("flood", 1), now)
	var last *QueueEntry
	for range 4 {
		last = queueEntry("flood", 1)
		q.Arrive(last, now)
	}
	if d := q.Arrive(queueEntry("flood", 1), now); d.Refusal == nil || d.Refusal.Code != CodeOverloaded || d.Refusal.Ran != RanNo || d.Refusal.RetryAfter <= 0 {
		t.Errorf("the flood's next request: %+v, want overloaded with a retry delay", d.Refusal)
	}
	if d := q.Arrive(queueEntry("other", 1), now); d.Displaced != last {
		t.Errorf("another organisation's request displaced %+v, want the flood's newest", d.Displaced)
	}
}

// Guards against waits that exceed the maximum wait or the deadline.
func TestQueueBoundsTheWait(t *testing.T) {
	now := time.Unix(0, 0)
	q := NewQueue(QueueLimits{MaxRunning: 1, MaxWaiting: 4, MaxWait: time.Second})
	q.Arrive(queueEntry("o", 1), now)
	for _, c := range []struct{ deadline, want time.Duration }{{time.Hour, time.Second}, {time.Millisecond, time.Millisecond}} {
		w := &QueueEntry{Organisation: "o", Weight: 1, WaitUntil: now.Add(c.deadline)}
		if q.Arrive(w, now); w.WaitUntil.Sub(now) != c.want {
			t.Errorf("deadline %v: waits %v, want %v", c.deadline, w.WaitUntil.Sub(now), c.want)
		}
	}
	if d := q.Arrive(&QueueEntry{Organisation: "o", Weight: 1, WaitUntil: now}, now); d.Refusal == nil || d.Refusal.Code != CodeDeadline {
		t.Errorf("request past its deadline: %+v, want a refusal", d)
	}
}

// Guards against requests that are lost or served twice, and against exceeded limits, in any order of arrivals, ends and
// cancellations.
func TestQueueKeepsItsBounds(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
		t.Cleanup(func() { _ = f.Value.Set("0") })
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		q := NewQueue(QueueLimits{MaxRunning: 8, MaxWaiting: 5, MaxWait: time.Hour})
		var running, waiting []*QueueEntry
		remove := func(list []*QueueEntry, x *QueueEntry) []*QueueEntry {
			for i := range list {
				if list[i] == x {
					return append(list[:i:i], list[i+1:]...)
				}
			}
			t.Fatal("the queue returned an unknown request")
			return nil
		}
		for range 400 {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1, 4:
				x := queueEntry(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "organisation")), 1)
				d := q.Arrive(x, now)
				if d.Displaced != nil {
					waiting = remove(waiting, d.Displaced)
				}
				if d.RunNow {
					running = append(running, x)
				} else if d.Refusal == nil {
					waiting = append(waiting, x)
				}
			case 2:
				if len(running) > 0 {
					x := rapid.SampledFrom(running).Draw(t, "running")
					running = remove(running, x)
					for _, next := range q.Finish(x, now) {
						waiting = remove(waiting, next)
						running = append(running, next)
					}
				}
			case 3:
				if len(waiting) > 0 {
					x := rapid.SampledFrom(waiting).Draw(t, "waiting")
					waiting = remove(waiting, x)
					if !q.Cancel(x) {
						t.Fatal("a waiting request cannot be cancelled")
					}
				}
			}
			if q.Running() != len(running) || q.Waiting() != len(waiting) || len(running) > 8 || len(waiting) > 5 {
				t.Fatalf("%d requests running and %d waiting, want %d and %d", q.Running(), q.Waiting(), len(running), len(waiting))
			}
			if len(waiting) > 0 && len(running) < 7 {
				t.Fatal("a request waits although an unreserved slot is free")
			}
		}
	})
}
