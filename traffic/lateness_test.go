package traffic

import (
	"testing"
	"time"
)

// The load pattern "many parts on a small part of a core": each answer is ready some milliseconds after its time.
// Guards against answers planned for the objective that all arrive just after it, and against one stall that costs
// parts for good.
func TestAnswersArePlannedEarlierByTheUsualLateness(t *testing.T) {
	const objective = 100 * time.Millisecond
	var l lateness
	late := 0
	for i := range 200 {
		ready := time.Duration(4+i%9) * time.Millisecond // 4 to 12 ms
		if i >= 20 && ready > l.margin(objective) {
			late++
		}
		l.observe(ready)
	}
	if late > 60 {
		t.Errorf("%d of 180 answers late", late)
	}
	l.observe(time.Second)
	if m := l.margin(objective); m > objective/latenessDivisor {
		t.Errorf("a stall moves the plan by %v", m)
	}
	for range 200 {
		l.observe(0)
	}
	if m := l.margin(objective); m > 2*time.Millisecond {
		t.Errorf("the plan is still %v early after 200 answers in time", m)
	}
}
