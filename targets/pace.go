package targets

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// startShare is the share with which a pace begins, and the lowest one. With 67 instances of which a third prefer a target,
	// an eighth of the share is the load of three instances; a smaller share would delay the first replies of an instance
	// with a request per second to more than half a minute.
	startShare = 1.0 / 8
	// pacedMargin is the factor on the expected time of a paced target in the choices beyond its share. Those choices are
	// made without a zone preference too, so the target still gets the requests that would wait longer elsewhere. With
	// factors of 2 and 8, callers had as many or more late requests as without pace when a warm target started while the
	// others were at 92% of their capacity.
	pacedMargin = 1.5
	// loweringFactor is applied to the share after a late, shed or failed request.
	loweringFactor = 0.5
	// A reply is late for the pace after paceLateFactor times the usual time. The times of ordinary replies vary by a factor of two around
	// the mean, since routes with short and long work share their targets.
	paceLateFactor = 3
	// minLateTime is the shortest time that counts as late. A burst of 90 sends takes an instance with a fifth of a core
	// 50 ms, so shorter times may be its own delay.
	minLateTime = 25 * time.Millisecond
	// After slowReplies late replies in a row at the lowest share, the target is slow for another reason than its load, and
	// the shortest of them becomes its usual time.
	slowReplies = 4
	// shedsBeforePace is the number of shed requests in a row that begins a pace. Single ones occur at short peaks.
	shedsBeforePace = 3
	// quietDoubling is the time without a change in which the share doubles. An instance that sends few requests to a
	// target, for example because it prefers those of its zone, would otherwise pace it long after the other
	// instances have shown that it works.
	quietDoubling = 15 * time.Second
)

// Pace determines the share of its ordinary requests that one instance sends to a starting or recovering target, until the
// instance knows its reply times. It is a pure state machine and not safe for concurrent use.
//
// The share starts low because one request from each instance of a large fleet already exceeds the slots of a target. When
// it reaches 1, the pace is complete, and the expected time alone determines the choice.
type Pace struct {
	share     float64
	changedAt time.Time // last change of the share
	loweredAt time.Time // last decrease
	// usual is the target's own usual time to a reply, others that of the other targets of its service; 0 if unknown.
	usual, others time.Duration
	// lateReplies counts the late replies in a row at the lowest share, and shortestLate is the shortest of them.
	lateReplies  int
	shortestLate time.Duration
}

// NewPace begins a pace. usual is the target's usual time to a reply before, 0 if it is not known.
func NewPace(usual time.Duration, now time.Time) Pace {
	return Pace{share: startShare, changedAt: now, usual: usual}
}

// RecordOthers records the usual time to a reply of the other targets of the service, 0 if it is not known.
func (p *Pace) RecordOthers(usual time.Duration) { p.others = usual }

// RecordReply records a reply to a request sent at sentAt. In time, it doubles the share. Late, it lowers the share.
func (p *Pace) RecordReply(sentAt, now time.Time) {
	elapsed := now.Sub(sentAt)
	if p.late(elapsed) {
		p.recordLate(elapsed, sentAt, now)
		return
	}
	if sentAt.Before(p.loweredAt) {
		return
	}
	p.lateReplies = 0
	if p.usual == 0 && p.others == 0 {
		p.usual = elapsed
	}
	p.set(2*p.share, now)
}

// RecordCancelled records a request that was cancelled, which is a late reply if it was late already.
func (p *Pace) RecordCancelled(sentAt, now time.Time) {
	if elapsed := now.Sub(sentAt); p.late(elapsed) {
		p.recordLate(elapsed, sentAt, now)
	}
}

// RecordFailure records a request that was shed, failed or lost.
func (p *Pace) RecordFailure(sentAt, now time.Time) { p.lower(sentAt, now) }

func (p *Pace) late(elapsed time.Duration) bool {
	usual := max(p.usual, p.others)
	return usual > 0 && elapsed > max(paceLateFactor*usual, minLateTime)
}

func (p *Pace) recordLate(elapsed time.Duration, sentAt, now time.Time) {
	if p.share <= startShare {
		if p.lateReplies++; p.lateReplies == 1 || elapsed < p.shortestLate {
			p.shortestLate = elapsed
		}
		if p.lateReplies >= slowReplies {
			p.usual, p.lateReplies = p.shortestLate, 0
		}
	}
	p.lower(sentAt, now)
}

// lower reduces the share, but only once for all requests that were sent before the reduction.
func (p *Pace) lower(sentAt, now time.Time) {
	if !sentAt.Before(p.loweredAt) {
		p.set(max(loweringFactor*p.share, startShare), now)
		p.loweredAt = now
	}
}

func (p *Pace) set(share float64, now time.Time) { p.share, p.changedAt = min(share, 1), now }

// Tick doubles the share for each period of quietDoubling without a change.
func (p *Pace) Tick(now time.Time) {
	if periods := now.Sub(p.changedAt) / quietDoubling; periods > 0 {
		p.share = min(p.share*math.Exp2(float64(min(periods, 16))), 1) // 16 doublings exceed 1 from any share
		p.changedAt = p.changedAt.Add(periods * quietDoubling)
	}
}

// Share returns the fraction of its ordinary share of the requests that the target gets, from startShare to 1.
func (p *Pace) Share() float64 { return p.share }

// Complete reports whether the target gets its ordinary share.
func (p *Pace) Complete() bool { return p.share >= 1 }

// sharedPace is the pace of a target in TargetStats. Control and traffic begin it, traffic updates and ends it.
type sharedPace struct {
	cause string // for the log
	mutex sync.Mutex
	pace  Pace
}

// BeginPace begins a pace, or begins it anew. cause is a short description for the log.
func (s *TargetStats) BeginPace(cause string, now time.Time) {
	s.pace.Store(&sharedPace{cause: cause, pace: NewPace(time.Duration(s.replyLatency.Load()), now)})
}

// Paced reports whether the target has a pace, and why it began.
func (s *TargetStats) Paced() (cause string, ok bool) {
	p := s.pace.Load()
	if p == nil {
		return "", false
	}
	return p.cause, true
}

// ReportsLoad reports whether the target has ever reported its load. Only targets of services whose targets do are paced.
func (s *TargetStats) ReportsLoad() bool { return s.reportedAt.Load() != 0 }

// updatePace applies f to the pace and ends the pace if it is then complete. It reports whether the pace goes on.
func (t *Target) updatePace(p *sharedPace, now time.Time, f func(*Pace)) bool {
	p.mutex.Lock()
	p.pace.Tick(now)
	f(&p.pace)
	complete := p.pace.Complete()
	p.mutex.Unlock()
	if complete {
		t.Stats.pace.CompareAndSwap(p, nil)
	}
	return !complete
}

// RecordPace records the end of a request for the pace of the target, and begins a pace if the target replies after it was
// unreachable or has shed several requests in a row. It must be called before TargetStats.RecordResponse. cancelled is
// set if this instance ended the request.
func (t *Target) RecordPace(outcome LegOutcome, cancelled bool, sentAt, now time.Time) {
	s := t.Stats
	responded := outcome == LegReplied || outcome == LegFailed || outcome == LegNotRun
	sheds := s.shedsInRow.Load()
	if outcome == LegNotRun {
		sheds = s.shedsInRow.Add(1)
	} else if responded && sheds > 0 {
		s.shedsInRow.Store(0)
	}
	p := s.pace.Load()
	switch {
	case responded && s.ReportsLoad() && s.Unreachable(now):
		s.BeginPace("reachable again", now)
	case p == nil && sheds >= shedsBeforePace && outcome == LegNotRun && s.ReportsLoad():
		s.BeginPace("sheds requests", now)
	case p != nil:
		t.updatePace(p, now, func(pace *Pace) {
			switch {
			case outcome == LegReplied:
				pace.RecordReply(sentAt, now)
			case !responded && cancelled:
				pace.RecordCancelled(sentAt, now)
			default:
				pace.RecordFailure(sentAt, now)
			}
		})
	}
}

// paceLimit returns how many requests may be outstanding at the target: one while it is paced.
func (t *Target) paceLimit() int {
	if t.Stats.pace.Load() == nil {
		return t.Limit
	}
	return min(1, t.Limit)
}

// paceFactor returns the factor on the expected time of a target of the candidates. A paced target competes with its
// ordinary score in a fraction of the choices that equals its share. In the others the factor is pacedMargin.
//
// A hedge has the ordinary score: it shows that another target is late, and the part does not depend on it. Without this
// exception, hedges overload the other targets while the paced one could work. A cold target with a rate limit has one
// sender, whose rate bounds its load already, and keeps its score too.
func (t *Target) paceFactor(candidates []*Target, hedge bool, rng *rand.Rand, now time.Time) float64 {
	p := t.Stats.pace.Load()
	if p == nil {
		return 1
	}
	share := 1.0
	goesOn := t.updatePace(p, now, func(pace *Pace) {
		pace.RecordOthers(usualTime(candidates))
		share = pace.Share()
	})
	if !goesOn || hedge || t.ColdRate > 0 || rng.Float64() < share {
		return 1
	}
	return pacedMargin
}

// usualTime returns the upper median of the usual reply times of the targets that are not paced, 0 if none is known.
func usualTime(candidates []*Target) time.Duration {
	times := make([]int64, 0, len(candidates))
	for _, t := range candidates {
		if l := t.Stats.replyLatency.Load(); l > 0 && t.Stats.pace.Load() == nil {
			times = append(times, l)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return time.Duration(times[len(times)/2])
}
