package targets

import "time"

// Phase determines how many requests a target may get.
type Phase string

// The phases of a target.
const (
	// PhaseUnknown targets have not reported an incarnation yet.
	PhaseUnknown Phase = "unknown"
	// PhaseCold targets get requests only from their owner, or from the backup instance after takeoverDelay.
	PhaseCold Phase = "cold"
	// PhaseSuspect targets get no requests until a status or reply confirms the incarnation, at most for
	// maxSuspectTime.
	PhaseSuspect Phase = "suspect"
	// PhaseProbation targets get few requests from each instance, more with each series of fast replies.
	PhaseProbation Phase = "probation"
	// PhaseWarm targets get requests up to their granted connections and slots.
	PhaseWarm Phase = "warm"
)

// Role is the role of an instance towards a target.
type Role int

// The roles of an instance. The owner warms a cold target up. The backup helps if the target stays cold for
// takeoverDelay.
const (
	RoleNone Role = iota
	RoleOwner
	RoleBackup
)

const (
	// takeoverDelay is how long a target may be cold before the backup instance sends requests too. Owner and backup
	// each start with at most half of the requests that the target tolerates, so that both together start within it.
	takeoverDelay = 15 * time.Second
	// The limit of a target on probation doubles after rampReplies fast replies per permitted request. That of a cold target
	// does too, to find out when it is warm, but the requests that it gets stay within coldLimit until then.
	rampReplies = 4
	// A reply counts as fast up to fastFactor times the service's latency quantile.
	fastFactor = 2
	// A latency above latencyJumpFactor times the service's latency quantile counts as a latency jump.
	latencyJumpFactor = 8
	// suspectFailures failures within failureWindow make a target suspect. A single one may be an idle connection that
	// the target closed.
	suspectFailures = 3
	failureWindow   = time.Second
	// maxSuspectTime bounds the wait for the status of a suspect target.
	maxSuspectTime = time.Second
	// A target that cannot be reached gets no requests for minBackoff, doubled each time up to maxBackoff, and is then
	// probed.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
)

// warmup is the state machine that limits the requests to one target by its phase. It is not safe for concurrent use.
type warmup struct {
	phase         Phase
	incarnation   string
	announcedWarm string // incarnation last announced as warm
	reportedState State
	phaseSince    time.Time
	limit         int
	// coldLimit bounds the requests while the target is cold. Two instances whose lists differ may both act as its owner.
	coldLimit    int
	fastReplies  int
	failures     int
	firstFailure time.Time
	backoffUntil time.Time
	backoff      time.Duration
}

// enter starts a phase with a limit of at least one request.
func (w *warmup) enter(p Phase, limit int, now time.Time) {
	w.phase, w.limit, w.phaseSince = p, max(limit, 1), now
	w.fastReplies, w.failures = 0, 0
}

// enterCold makes the target cold and discards an earlier announcement that it is warm. The first limit is half of the
// requests that the target tolerates while cold.
func (w *warmup) enterCold(maxColdRequests int, now time.Time) {
	w.announcedWarm = ""
	w.coldLimit = max(maxColdRequests/2, 1)
	w.enter(PhaseCold, w.coldLimit, now)
}

// recordState records an incarnation and state from a status or a reply. justStarted is set shortly after the start of
// this instance, when a target seen for the first time may have been running for long.
func (w *warmup) recordState(incarnation string, state State, maxColdRequests int, justStarted bool, now time.Time) {
	lastState := w.reportedState
	w.reportedState = state
	switch {
	case incarnation != w.incarnation:
		newTarget := w.phase == PhaseUnknown || w.phase == ""
		w.incarnation = incarnation
		switch {
		case w.announcedWarm == incarnation:
			w.enter(PhaseWarm, 0, now)
		case newTarget && justStarted && state == StateWarm:
			w.enter(PhaseProbation, 1, now)
		default:
			w.enterCold(maxColdRequests, now)
		}
	case state == StateCold && lastState == StateWarm:
		w.enterCold(maxColdRequests, now)
	case w.phase == PhaseSuspect:
		w.enter(PhaseProbation, 1, now)
	}
}

// recordAnnouncement records the notice that an incarnation is warm.
func (w *warmup) recordAnnouncement(incarnation string, now time.Time) {
	w.announcedWarm = incarnation
	if incarnation == w.incarnation && (w.phase == PhaseCold || w.phase == PhaseProbation) {
		w.enter(PhaseWarm, 0, now)
	}
}

// recordReply counts a reply. warmLimit is the limit of a warm target. It reports whether a cold target became warm.
func (w *warmup) recordReply(elapsed, quantile time.Duration, warmLimit int, now time.Time) bool {
	w.backoff, w.failures = 0, 0
	if w.phase != PhaseCold && w.phase != PhaseProbation {
		return false
	}
	if quantile > 0 && elapsed > fastFactor*quantile {
		w.limit, w.fastReplies = max(w.limit/2, 1), 0
		return false
	}
	if w.fastReplies++; w.fastReplies < rampReplies*w.limit {
		return false
	}
	w.fastReplies = 0
	if w.limit *= 2; w.limit < warmLimit {
		return false
	}
	wasCold := w.phase == PhaseCold
	w.enter(PhaseWarm, 0, now)
	return wasCold
}

// recordFailure counts a request that was refused, shed or broken. It reports whether the status of the target should
// be read at once.
func (w *warmup) recordFailure(reason Reason, now time.Time) bool {
	if w.phase == PhaseCold || w.phase == PhaseProbation {
		w.limit, w.fastReplies = max(w.limit/2, 1), 0
	}
	// The reply of a target that sheds contains its incarnation and state, and a warm target sheds under load too.
	if reason == ReasonShed {
		return false
	}
	if w.failures == 0 || now.Sub(w.firstFailure) > failureWindow {
		w.failures, w.firstFailure = 0, now
	}
	if w.failures++; w.failures < suspectFailures {
		return false
	}
	w.failures = 0
	if reason == ReasonUnreachable {
		w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
		w.backoffUntil = now.Add(w.backoff)
	}
	if w.phase == PhaseWarm || w.phase == PhaseProbation {
		w.enter(PhaseSuspect, 1, now)
	}
	return true
}

// recordLatencyJump makes a warm target suspect because its latency is far above that of the service. It reports
// whether the phase changed.
func (w *warmup) recordLatencyJump(now time.Time) bool {
	if w.phase != PhaseWarm {
		return false
	}
	w.enter(PhaseSuspect, 1, now)
	return true
}

// tick ends an expired backoff and an expired suspect phase. It reports whether either ended.
func (w *warmup) tick(now time.Time) (changed bool) {
	if !w.backoffUntil.IsZero() && !now.Before(w.backoffUntil) {
		w.backoffUntil = time.Time{}
		changed = true
	}
	if w.phase == PhaseSuspect && now.Sub(w.phaseSince) >= maxSuspectTime {
		w.enter(PhaseProbation, 1, now)
		changed = true
	}
	return changed
}

// requestLimit returns how many requests this instance may have outstanding at the target. warmLimit is the limit of a
// warm target.
func (w *warmup) requestLimit(role Role, warmLimit int, now time.Time) int {
	if now.Before(w.backoffUntil) {
		return 0
	}
	switch w.phase {
	case PhaseWarm:
		return warmLimit
	case PhaseProbation:
		return min(w.limit, warmLimit)
	case PhaseCold:
		if role == RoleOwner || role == RoleBackup && now.Sub(w.phaseSince) >= takeoverDelay {
			return min(w.limit, w.coldLimit, warmLimit)
		}
	}
	return 0
}
