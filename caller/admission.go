package caller

import (
	"math"
	"slices"
	"sync"
	"time"

	"dogwooddrift.org/drift/document"
)

// AdmissionReason is the reason for which Admission refuses a request. It is a tag value of metrics.
type AdmissionReason string

// The reasons of Admission.
const (
	// ReasonShortage means that capacity is short and that the request is less urgent than others.
	ReasonShortage AdmissionReason = "shortage"
	// ReasonNoTime means that no answer is possible before the deadline.
	ReasonNoTime AdmissionReason = "no_time"
)

// AdmissionInput describes a request to Admission.
type AdmissionInput struct {
	// Urgency ranks the request among all requests of the instance.
	Urgency document.Urgency
	// TimeLeft is the time until its answer must leave the instance.
	TimeLeft time.Duration
	// Expected holds for each part the expected time to the reply of the target that would get it, 0 if unknown. RequiredParts
	// is how many parts an answer needs.
	Expected      []time.Duration
	RequiredParts int
	// SendDelay is how late this instance would send the request because earlier sends wait for its processor.
	SendDelay time.Duration
	// SkipCut is set if another Admission refuses more of the priority: both cuts together would leave less than
	// minClassFraction.
	SkipCut bool
}

// AdmissionOutcome is what an ended request tells about the capacity that it found.
type AdmissionOutcome struct {
	// Parts is the number of its parts, Sends that of its sends and Shed how many of these were declined without having run.
	Parts, Sends, Shed int
	// BudgetSpent is set if the retry budget has nothing left for a request of this urgency.
	BudgetSpent bool
	// Wait is the mean time that its parts waited here for a place at a target, plus the delay of its first send.
	Wait time.Duration
	// Objective is the latency objective of the request.
	Objective time.Duration
}

const (
	// minClassFraction is the fraction of its usual share that each priority keeps in a shortage.
	minClassFraction = 0.25
	// expectationError is by how much an expected time may be above the true one: a target that has been slow may be fast
	// again.
	expectationError = 2
	// probeFraction is the fraction of requests that are admitted although they seem to lack the time, since only replies show
	// that targets have become faster.
	probeFraction = 0.1
	// waitFraction is the fraction of the latency objective that parts may wait here before capacity counts as short. The other
	// half remains for the work itself.
	waitFraction = 0.5
	// shedTolerance is the fraction of sends that targets may decline before capacity counts as short; on the worst of the
	// measured days they declined 3.4%. spentShedTolerance applies if no budget is left to send declined parts again.
	shedTolerance      = 0.2
	spentShedTolerance = 0.1
	// The outcomes of each priority are judged in windows of at least minWindow and minWindowParts parts. Capacity is short for it
	// after minShortWindows short windows in a row and shortageDelay: targets pause for 100 to 120 ms, and the work that piles up
	// meanwhile takes about twice that time.
	minWindow       = 100 * time.Millisecond
	minWindowParts  = 20
	minShortWindows = 3
	shortageDelay   = 500 * time.Millisecond
	// Each further short window takes cutStep from the fraction that one priority admits: a third of what it may lose. While
	// windows are not short, it rises by recoveryPerSecond. That is slower, since each attempt to admit more during a shortage
	// delays requests that were admitted before.
	cutStep           = (1 - minClassFraction) / 3
	recoveryPerSecond = 0.25
	// idleRecovery is the time without outcomes of a priority after which nothing is known of a shortage.
	idleRecovery = 5 * time.Second
	// usualRateTime and currentRateTime are the time constants of the rates of a priority. The former is longer than most
	// shortages, and the rate is not adjusted during them, so that retries do not count as usual.
	usualRateTime   = 30 * time.Second
	currentRateTime = 3 * time.Second
	// minRateTime is the time after which a rate is known, and rateTolerance is by how much the current rate may exceed the usual
	// one by chance.
	minRateTime   = 2 * time.Second
	rateTolerance = 1.25
	// minRetry and maxRetry bound the retry delay of a refusal for lack of capacity, and retrySpread is the fraction by which it
	// is prolonged at most, so that the callers of one shortage do not return together.
	minRetry    = 200 * time.Millisecond
	maxRetry    = 8 * time.Second
	retrySpread = 0.5
)

// Admission decides which requests run in a shortage of capacity: at targets, seen as waits and declined sends, or of this
// instance's own processor. A priority for which capacity is short first cuts the least urgent one, each down to
// minClassFraction of its usual rate, and itself last. Traffic owns it; it is safe for concurrent use.
type Admission struct {
	mu      sync.Mutex
	classes []admissionClass // by rank
}

// admissionClass is the state of one priority.
type admissionClass struct {
	usual, current rateEstimate
	credit         float64 // requests that may be admitted
	// cut is the refused fraction of the usual rate, from 0 to 1-minClassFraction.
	cut    float64
	window admissionWindow
	// shortWindows is the number of short windows in a row; shortSince is when the first of them began.
	shortWindows int
	shortSince   time.Time
	lastOutcome  time.Time
	refused      map[AdmissionReason]int64
}

// admissionWindow adds up outcomes.
type admissionWindow struct {
	start    time.Time
	parts    int
	pressure float64 // sum over the parts
}

// NewAdmission returns an admission that knows of no shortage.
func NewAdmission() *Admission { return &Admission{} }

// Admit returns nil if the request is to run now, else the reason and its refusal. point is a random number in [0, 1).
func (a *Admission) Admit(in AdmissionInput, point float64, now time.Time) (AdmissionReason, *Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.class(in.Urgency)
	a.forget(now)
	c.current.observe(now, currentRateTime)
	if c.cut == 0 {
		c.usual.observe(now, usualRateTime)
	} else {
		c.usual.skip(now)
	}
	if lack := in.lack(); lack > 0 && point >= probeFraction {
		c.refused[ReasonNoTime]++
		return ReasonNoTime, Refuse(CodeOverloaded, spread(lack, point), "no answer is possible before the deadline")
	}
	if !in.SkipCut && !c.takeCredit() {
		c.refused[ReasonShortage]++
		return ReasonShortage, Refuse(CodeOverloaded, spread(a.shortageLeft(in.Urgency.Rank, now), point), "capacity is short, and more urgent requests go first")
	}
	return "", nil
}

// lack returns by how much the time left is certainly too short for an answer, 0 if it may suffice.
func (in AdmissionInput) lack() time.Duration {
	if in.RequiredParts < 1 || in.RequiredParts > len(in.Expected) {
		return 0
	}
	return max((in.ExpectedTime()+in.SendDelay)/expectationError-in.TimeLeft, 0)
}

// ExpectedTime returns the expected time until the required parts have arrived, without SendDelay, 0 if it is unknown.
func (in AdmissionInput) ExpectedTime() time.Duration {
	if in.RequiredParts < 1 || in.RequiredParts > len(in.Expected) {
		return 0
	}
	return slices.Sorted(slices.Values(in.Expected))[in.RequiredParts-1]
}

// DeclinesGroup reports whether the owner of a group of shards declines it: its own sends are so late that the asking instance
// would lose its objective, or the group certainly lacks the time. softTimeLeft is the time until the answer is planned, point a
// random number in [0, 1).
func DeclinesGroup(in AdmissionInput, softTimeLeft time.Duration, point float64) bool {
	late := in.SendDelay > 0 && float64(in.SendDelay) > waitFraction*float64(softTimeLeft)
	return late || in.lack() > 0 && point >= probeFraction
}

// takeCredit counts an arrival and reports whether it may be admitted. Credit accrues with arrivals, so that a cut is spread
// evenly over them.
func (c *admissionClass) takeCredit() bool {
	if c.cut == 0 {
		c.credit = 0
		return true
	}
	fraction := c.admitted()
	c.credit = min(c.credit+fraction, 1+fraction)
	// The sum of the additions of an exact fraction may fall short of 1 by a rounding error.
	if c.credit < 1-1e-9 {
		return false
	}
	c.credit--
	return true
}

// admitted returns the fraction of the arrivals that is admitted.
func (c *admissionClass) admitted() float64 {
	fraction := 1 - c.cut
	usual, current := c.usual.perSecond(usualRateTime), c.current.perSecond(currentRateTime)
	if c.cut > 0 && usual > 0 && current > rateTolerance*usual {
		fraction *= rateTolerance * usual / current // repeats of refused requests do not raise the share
	}
	return fraction
}

// shortageLeft estimates the time until a priority is admitted again as usual: the time in which its cut and those of more
// urgent ones recover, or as long as the shortage has lasted; the latter in proportion to the rank, since more urgent ones
// recover first.
func (a *Admission) shortageLeft(rank int, now time.Time) time.Duration {
	cuts, lasted := 0.0, time.Duration(0)
	for q := range a.classes {
		c := &a.classes[q]
		if q <= rank {
			cuts += c.cut
		}
		if c.shortWindows > 0 {
			lasted = max(lasted, now.Sub(c.shortSince))
		}
	}
	recovers := time.Duration(cuts / recoveryPerSecond * float64(time.Second))
	return max(recovers, min(lasted, maxRetry)*time.Duration(rank+1)/time.Duration(len(a.classes)))
}

// spread returns a retry delay that is at least left, within the bounds.
func spread(left time.Duration, point float64) time.Duration {
	left = min(max(left, minRetry), maxRetry)
	return left + time.Duration(retrySpread*point*float64(left))
}

// Observe takes in the outcome of a request.
func (a *Admission) Observe(u document.Urgency, o AdmissionOutcome, now time.Time) {
	if o.Parts < 1 || o.Objective <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.class(u)
	a.forget(now)
	c.lastOutcome = now
	w := &c.window
	if w.start.IsZero() {
		w.start = now
	}
	w.parts += o.Parts
	w.pressure += float64(o.Parts) * o.pressure()
	length := now.Sub(w.start)
	if length < minWindow || w.parts < minWindowParts {
		return
	}
	if w.pressure/float64(w.parts) > 1 {
		if c.shortWindows == 0 {
			c.shortSince = w.start
		}
		c.shortWindows++
		if c.short(now) {
			a.raiseCut(u.Rank, now)
		}
	} else {
		c.shortWindows = 0
		a.lowerCut(u.Rank, length)
	}
	c.window = admissionWindow{start: now}
}

// short reports whether capacity is short for the priority.
func (c *admissionClass) short(now time.Time) bool {
	return c.shortWindows >= minShortWindows && now.Sub(c.shortSince) >= shortageDelay
}

// raiseCut takes capacity from the least urgent priority that has more than its minimum, but from none above the one that lacks
// it. Priorities without recent outcomes use no capacity that a cut could free.
func (a *Admission) raiseCut(rank int, now time.Time) {
	for r := len(a.classes) - 1; r >= rank; r-- {
		if c := &a.classes[r]; !c.idle(now) && c.cut < 1-minClassFraction {
			c.cut = min(c.cut+cutStep, 1-minClassFraction)
			return
		}
	}
}

// lowerCut gives a priority back what it lost, in a time in which capacity was not short for it, unless a more urgent one lacks
// capacity or is cut itself.
func (a *Admission) lowerCut(rank int, d time.Duration) {
	for r := range rank {
		if c := &a.classes[r]; c.cut > 0 || c.shortWindows > 0 {
			return
		}
	}
	c := &a.classes[rank]
	c.cut = max(c.cut-recoveryPerSecond*d.Seconds(), 0)
}

// pressure returns how short the capacity was that a request found; above 1 it was too short.
func (o AdmissionOutcome) pressure() float64 {
	tolerance := shedTolerance
	if o.BudgetSpent {
		tolerance = spentShedTolerance
	}
	shed := float64(o.Shed) / float64(max(o.Sends, 1)) / tolerance
	return max(shed, float64(o.Wait)/(waitFraction*float64(o.Objective)))
}

// forget ends the shortage of the priorities of which no outcome has told for idleRecovery. If all have none, or only less urgent
// ones, nothing holds a cut up.
func (a *Admission) forget(now time.Time) {
	for r := range a.classes {
		c := &a.classes[r]
		if c.idle(now) {
			c.cut, c.shortWindows, c.window = 0, 0, admissionWindow{}
		}
	}
}

// idle reports whether no outcome of the priority has arrived for idleRecovery.
func (c *admissionClass) idle(now time.Time) bool {
	return c.lastOutcome.IsZero() || now.Sub(c.lastOutcome) > idleRecovery
}

// class returns the state of a priority. A change of the number of priorities ends the shortage that was known.
func (a *Admission) class(u document.Urgency) *admissionClass {
	if len(a.classes) != max(u.Levels, u.Rank+1) {
		a.classes = make([]admissionClass, max(u.Levels, u.Rank+1))
		for i := range a.classes {
			a.classes[i].refused = map[AdmissionReason]int64{}
		}
	}
	return &a.classes[u.Rank]
}

// AdmissionPreview is what Admission would decide for a request. A request that lacks the time is admitted nevertheless with
// probeFraction.
type AdmissionPreview struct {
	// Reason and Refusal are those of Admit for the request if it arrived now and were no probe. Reason is "" and Refusal nil
	// if it would run.
	Reason  AdmissionReason
	Refusal *Refusal
	// Cut is the refused fraction of the usual rate of its priority, Admitted the fraction of the present arrivals that is
	// admitted.
	Cut, Admitted float64
	// Lack is by how much the time left is certainly too short.
	Lack time.Duration
}

// Preview returns what Admit would decide now. It changes nothing.
func (a *Admission) Preview(in AdmissionInput, now time.Time) AdmissionPreview {
	a.mu.Lock()
	copied := Admission{classes: slices.Clone(a.classes)}
	for i := range copied.classes {
		copied.classes[i].refused = map[AdmissionReason]int64{}
	}
	a.mu.Unlock()
	out := AdmissionPreview{Lack: in.lack()}
	out.Reason, out.Refusal = copied.Admit(in, probeFraction, now)
	c := copied.class(in.Urgency)
	out.Cut, out.Admitted = c.cut, c.admitted()
	return out
}

// Refused returns the number of refusals by rank and reason since the priorities changed last.
func (a *Admission) Refused() []map[AdmissionReason]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]map[AdmissionReason]int64, len(a.classes))
	for i := range a.classes {
		out[i] = map[AdmissionReason]int64{ReasonShortage: 0, ReasonNoTime: 0}
		for reason, n := range a.classes[i].refused {
			out[i][reason] = n
		}
	}
	return out
}

// Cut returns the refused fraction of the usual rate of a priority.
func (a *Admission) Cut(u document.Urgency) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.class(u).cut
}

// Cuts returns the refused fraction of the usual rate by rank.
func (a *Admission) Cuts() []float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]float64, len(a.classes))
	for i := range a.classes {
		out[i] = a.classes[i].cut
	}
	return out
}

// rateEstimate is an exponentially weighted rate of events.
type rateEstimate struct {
	weighted    float64 // events per second, too low until the time constant has passed
	since, last time.Time
}

// observe counts an event.
func (r *rateEstimate) observe(now time.Time, constant time.Duration) {
	if r.last.IsZero() {
		r.since = now
	} else {
		gap := max(now.Sub(r.last), time.Microsecond)
		r.weighted += (1/gap.Seconds() - r.weighted) * elapsedPart(gap, constant)
	}
	r.last = now
}

// skip leaves out the time until now.
func (r *rateEstimate) skip(now time.Time) {
	if !r.last.IsZero() {
		r.since, r.last = r.since.Add(now.Sub(r.last)), now
	}
}

// perSecond returns the rate, 0 if it is not known yet.
func (r *rateEstimate) perSecond(constant time.Duration) float64 {
	if known := r.last.Sub(r.since); known >= minRateTime {
		return r.weighted / elapsedPart(known, constant)
	}
	return 0
}

// elapsedPart returns the weight of the last d in an average with the time constant.
func elapsedPart(d, constant time.Duration) float64 {
	return 1 - math.Exp(-d.Seconds()/constant.Seconds())
}
