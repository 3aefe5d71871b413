package traffic

import (
	"sync/atomic"
	"time"
)

const (
	// A sample above the estimate counts 1/2 and one below it 1/32, so that the estimate stays near the late end.
	latenessRiseShift = 1
	latenessFallShift = 5
	// latenessDivisor bounds the estimate to a part of a route's objective, so that a stall does not cost parts for long.
	latenessDivisor = 4
)

// lateness estimates how long after its time this instance gets an answer out: timers fire late, and many replies
// wait for one processor. It is safe for concurrent use.
type lateness struct{ estimate atomic.Int64 }

// observe takes how long after the planned time an answer was ready.
func (l *lateness) observe(late time.Duration) {
	old := l.estimate.Load()
	next := old - (old-int64(late))>>latenessFallShift
	if int64(late) > old {
		next = old + (int64(late)-old)>>latenessRiseShift
	}
	l.estimate.CompareAndSwap(old, max(next, 0))
}

// margin returns how much earlier than its time an answer must be planned.
func (l *lateness) margin(objective time.Duration) time.Duration {
	return min(time.Duration(l.estimate.Load()), objective/latenessDivisor)
}
