package targets

import "time"

// Phase says how much a target may be trusted with.
type Phase string

// The phases of a target.
const (
	// PhaseUnknown targets have not been seen.
	PhaseUnknown Phase = "unknown"
	// PhaseCold targets get work from their owner only.
	PhaseCold Phase = "cold"
	// PhaseSuspect targets get no work until their status shows which incarnation runs.
	PhaseSuspect Phase = "suspect"
	// PhaseProbation targets get little work from each instance, more with each fast reply.
	PhaseProbation Phase = "probation"
	// PhaseWarm targets get all the work they have slots for.
	PhaseWarm Phase = "warm"
)

// Role is what an instance is to a target.
type Role int

// The roles of an instance. The second takes a cold target over when the owner is silent.
const (
	RoleNone Role = iota
	RoleOwner
	RoleBackup
)

const (
	// takeover is how long a target may be cold before the second instance helps the owner. Each sends at most half
	// of what the target bears, so both together are within it.
	takeoverDelay = 15 * time.Second
	// rampReplies is how many fast replies for each permit raise the limit.
	rampReplies = 4
	// fastFactor bounds a fast reply by a multiple of the service's latency quantile.
	fastFactor = 2
	// jumpFactor is the multiple of the service's latency quantile that is a latency jump.
	latencyJumpFactor = 8
	// suspectSigns failures within signWindow make a target suspect. One may be a connection that was closed idle.
	suspectFailures = 3
	failureWindow   = time.Second
	// suspectLimit ends the wait for a status that cannot be read.
	maxSuspectTime = time.Second
	// A target whose requests fail is put aside for minAside, doubled each time up to maxAside, and then probed.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
)

// warmth is the state machine that decides how much one target may be sent. It belongs to the control goroutine.
type warmup struct {
	phase         Phase
	incarnation   string
	announcedWarm string // the incarnation last announced as warm
	reportedState State
	phaseSince    time.Time
	limit         int
	fastReplies   int
	failures      int
	firstFailure  time.Time
	backoffUntil  time.Time
	backoff       time.Duration
}

func (w *warmup) enter(p Phase, limit int, now time.Time) {
	w.phase, w.limit, w.phaseSince = p, max(limit, 1), now
	w.fastReplies, w.failures = 0, 0
}

// chill makes the target cold. An announcement from before does not hold any more.
func (w *warmup) enterCold(maxColdRequests int, now time.Time) {
	w.announcedWarm = ""
	w.enter(PhaseCold, maxColdRequests/2, now)
}

// observe takes an incarnation and state, from a status or a reply. trusted says that this instance has just
// started, so that a target it sees for the first time may have been running for long.
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

// announce takes a sibling's word that an incarnation is warm.
func (w *warmup) recordAnnouncement(incarnation string, now time.Time) {
	w.announcedWarm = incarnation
	if incarnation == w.incarnation && (w.phase == PhaseCold || w.phase == PhaseProbation) {
		w.enter(PhaseWarm, 0, now)
	}
}

// replied counts a reply. full is the limit of a warm target. It reports true when a cold target became warm.
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

// failed counts a refused, shed or broken request. It reports true when the target's status is needed at once.
func (w *warmup) recordFailure(reason Reason, now time.Time) bool {
	if w.phase == PhaseCold || w.phase == PhaseProbation {
		w.limit, w.fastReplies = max(w.limit/2, 1), 0
	}
	// A target that sheds names its incarnation and state in the reply; under load a warm target sheds too.
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

// jumped notes a latency far above that of the service.
func (w *warmup) recordLatencyJump(now time.Time) bool {
	if w.phase != PhaseWarm {
		return false
	}
	w.enter(PhaseSuspect, 1, now)
	return true
}

// tick ends what time ends. It reports a change of permits.
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

// permits returns how many requests this instance may have outstanding. full is the limit of a warm target.
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
			return min(w.limit, warmLimit)
		}
	}
	return 0
}
