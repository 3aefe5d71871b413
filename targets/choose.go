package targets

import (
	"time"
)

// choose reserves a place at the better of two random replicas, or at any other with free capacity. It excludes
// replicas to which the shard was already sent; with allowRepeat, only those with an open leg and those that no longer
// serve the snapshot. It reports busy if there are eligible replicas but none has free capacity.
func (q *Query) choose(p *shardProgress, allowRepeat bool) (chosen *Target, busy bool) {
	replicas := p.view.Replicas
	n := len(replicas)
	if n == 0 {
		return nil, false
	}
	first := q.Rand.IntN(n)
	a := q.eligible(p, first, nil, allowRepeat)
	if a == nil {
		return nil, false
	}
	if n > 1 && !q.View.Tail.policy.RandomReplica {
		if b := q.eligible(p, first+1+q.Rand.IntN(n-1), a, allowRepeat); b != nil {
			if expectedFaster(b, a) {
				a, b = b, a
			}
			b.Stats.recordNotPreferred()
			if a.Stats.TryStart(a.Limit) {
				return a, false
			}
			a = b
		}
	}
	if a.Stats.TryStart(a.Limit) {
		return a, false
	}
	for i := range n {
		t := replicas[(first+i)%n]
		if !q.excluded(p, t, allowRepeat) && t.Stats.TryStart(t.Limit) {
			return t, false
		}
	}
	return nil, true
}

// eligible returns the first replica, searching cyclically from position start, that is not excluded and is not other.
// It returns nil if there is none.
func (q *Query) eligible(p *shardProgress, start int, other *Target, allowRepeat bool) *Target {
	replicas := p.view.Replicas
	for i := range replicas {
		t := replicas[(start+i)%len(replicas)]
		if t != other && !q.excluded(p, t, allowRepeat) {
			return t
		}
	}
	return nil
}

// excluded reports whether the shard may not be sent to the target; choose explains the rules.
func (q *Query) excluded(p *shardProgress, t *Target, allowRepeat bool) bool {
	for _, attempt := range p.attempts[:p.attemptCount] {
		if l := q.legState(int(attempt)); l.target == t && (!allowRepeat || l.open || l.snapshotGone) {
			return true
		}
	}
	return false
}

// expectedFaster reports whether a leg is expected to end sooner at a than at b, by the measurements of this instance.
func expectedFaster(a, b *Target) bool {
	x, y := a.Stats.Latency(), b.Stats.Latency()
	if x == 0 || y == 0 {
		x, y = 1, 1
	}
	return expectedLegTime(a, x) < expectedLegTime(b, y)
}

// expectedLegTime estimates the time to a reply, in nanoseconds, from the latency, the outstanding requests and the
// reported load.
func expectedLegTime(t *Target, latency time.Duration) float64 {
	return float64(latency) * float64(1+t.Stats.Outstanding()) * (1 + reportedLoadWeight*t.ReportedLoad)
}
