package targets

import (
	"time"
)

// choose reserves a place at the better of two random replicas, or at any other that has room. Replicas that
// the shard was sent to are passed over, or, with again, only those whose leg is open or that said that the
// snapshot is gone. busy says that there are replicas to choose from but none has room.
func (q *Query) choose(p *shardProgress, again bool) (chosen *Target, busy bool) {
	replicas := p.view.Replicas
	n := len(replicas)
	if n == 0 {
		return nil, false
	}
	first := q.Rand.IntN(n)
	a := q.eligible(p, first, nil, again)
	if a == nil {
		return nil, false
	}
	if n > 1 && !q.View.Tail.policy.RandomReplica {
		if b := q.eligible(p, first+1+q.Rand.IntN(n-1), a, again); b != nil {
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
		if !q.excluded(p, t, again) && t.Stats.TryStart(t.Limit) {
			return t, false
		}
	}
	return nil, true
}

// eligible returns the first replica from position start on that the shard may be sent to and that is not other.
func (q *Query) eligible(p *shardProgress, start int, other *Target, again bool) *Target {
	replicas := p.view.Replicas
	for i := range replicas {
		t := replicas[(start+i)%len(replicas)]
		if t != other && !q.excluded(p, t, again) {
			return t
		}
	}
	return nil
}

func (q *Query) excluded(p *shardProgress, t *Target, again bool) bool {
	for _, attempt := range p.attempts[:p.attemptCount] {
		if l := q.legState(int(attempt)); l.target == t && (!again || l.open || l.snapshotGone) {
			return true
		}
	}
	return false
}

// preferred reports whether a leg is expected to end sooner at a than at b, from what this instance observed.
func expectedFaster(a, b *Target) bool {
	x, y := a.Stats.Latency(), b.Stats.Latency()
	if x == 0 || y == 0 {
		x, y = 1, 1
	}
	return expectedTime(a, x) < expectedTime(b, y)
}

func expectedTime(t *Target, latency time.Duration) float64 {
	return float64(latency) * float64(1+t.Stats.Outstanding()) * (1 + reportedLoadWeight*t.ReportedLoad)
}
