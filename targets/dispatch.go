package targets

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddrift.org/drift/document"
)

// Directory provides the newest state of a service.
type Directory interface {
	// Candidates returns the targets that may get new requests for the service.
	Candidates(service string) []*Target
	// RetryBudget returns the budget of the service for retries and hedges.
	RetryBudget(service string) *RetryBudget
}

// DispatchConfig holds the inputs of a dispatch.
type DispatchConfig struct {
	// Services lists the services that each run one part of the request. A request without Gather has one service.
	Services []string
	// Gather is set if the parts are gathered into one answer, which may lack some of them.
	Gather bool
	// MinCoverage is the minimal fraction of the services, from 0 to 1, that an answer needs if Gather is set.
	MinCoverage float64
	// Group is set if the services are some of those of a request, whose other parts are gathered elsewhere. The dispatch then
	// goes on until all parts that can arrive have arrived, or more than MaxMissing cannot, with which the request cannot be
	// answered. MinCoverage does not apply.
	Group      bool
	MaxMissing int
	// Idempotent requests may run at more than one target.
	Idempotent bool
	// MaxAttempts bounds how many targets of one service may run the request.
	MaxAttempts int
	// Repeated is set if the services may have been sent the request before: the first send of a part is a retry too.
	Repeated bool
	// At Deadline the dispatch ends. After SoftDeadline, missing parts are not awaited if the coverage suffices.
	Deadline, SoftDeadline time.Time
	// Tail holds the latency of earlier dispatches of the same route.
	Tail *Tail
	// LateRisk is the fraction, from 0 to 1, of the answers that arrive late if they wait until SoftDeadline.
	LateRisk float64
	// FirstArrivals and ExtraArrivals tell when replies to first sends and to retries and hedges arrive; nil if missing
	// parts are always awaited until SoftDeadline.
	FirstArrivals, ExtraArrivals *Arrivals
	// MaxHedgeDelay is the upper bound of the delay before a hedge.
	MaxHedgeDelay time.Duration
	// Work is the usual service time of the route at a target, 0 if unknown. OwnDelay is the mean delay that this instance
	// itself adds to a send.
	Work, OwnDelay time.Duration
	Directory      Directory
	// Urgency ranks the request among those that may be sent to its services.
	Urgency document.Urgency
	// Places orders the parts that wait because all places at their targets are taken; nil if they take places as they find
	// them. Key is the place of this request's parts in the order, and Awaken makes the caller of Step call it soon.
	Places *Places
	Key    OrderKey
	Awaken func()
	// Zone is the zone of this instance. Targets in it are preferred.
	Zone string
	// Rand is used by this dispatch only, since it is not safe for concurrent use.
	Rand *rand.Rand
}

// LegOutcome tells how a send ended.
type LegOutcome int

// The outcomes of a send.
const (
	// LegReplied means that a complete reply arrived and is final.
	LegReplied LegOutcome = iota
	// LegFailed means that a complete reply arrived and reports a failure; the target ran the request.
	LegFailed
	// LegNotRun means that the target reported that it did not run the request.
	LegNotRun
	// LegNotSent means that no part of the request reached the target.
	LegNotSent
	// LegNoReply means that no usable reply arrived. The target may have run the request.
	LegNoReply
)

// String returns the name of the outcome in logs.
func (o LegOutcome) String() string {
	return [...]string{"replied", "failed", "not_run", "not_sent", "broken"}[o]
}

// Send is one attempt to run a part of the request at one target.
type Send struct {
	// Attempt numbers the send. It is unique within the dispatch.
	Attempt int
	// Part is the index in DispatchConfig.Services.
	Part   int
	Target *Target
	// Hedge is set if another send of the same part is in flight.
	Hedge bool
	// Reported is the expected time to the reply by the load reports of the target, over an open connection, 0 if it
	// reports no load.
	Reported time.Duration
}

// LegEnded is an input of Dispatch.Step: the end of a send.
type LegEnded struct {
	Attempt int
	Outcome LegOutcome
}

// DispatchReady lists the actions of the caller of Step: cancel the attempts in Cancel, start the sends in Send, and
// call Step when a send ends or Wake has come. If Done is set, the dispatch has ended and Results is final. Partial is set
// once no open part of a group is likely to arrive by SoftDeadline, and then, every passOnInterval, if further parts have
// arrived: what has arrived is of use now.
type DispatchReady struct {
	Send    []Send
	Cancel  []int
	Wake    time.Time
	Partial bool
	Done    bool
}

const (
	// After a failed send, the first retry follows at once and each further one after retryPause, doubled each time up
	// to maxRetryPause.
	retryPause    = 4 * time.Millisecond
	maxRetryPause = 64 * time.Millisecond
	// capacityPollInterval is the interval between attempts to find a target with free capacity.
	capacityPollInterval = 3 * time.Millisecond
	// maxNotRunSends is how many sends of a part are allowed beyond MaxAttempts, for those that targets refused to run.
	maxNotRunSends = 3
	// minHedgeDelay prevents a hedge for every request when latencies are very short.
	minHedgeDelay = 5 * time.Millisecond
)

// dispatchPart is the state of the request at one service.
type dispatchPart struct {
	service        string
	mayHaveRunAt   []*Target // targets that run or may have run the request
	openSends      []openSend
	sends          int
	retries        int
	replyAttempt   int // attempt of the final reply, 0 if none yet
	failureAttempt int // attempt of the last reply that reports a failure, 0 if none
	done           bool
	mayHaveRun     bool // some send may have run
	noPlace        bool // it waited for a place until there was too little time left
	// restLeft is the time, at the last choice, until one of the targets has rested if all of them rest, else 0.
	restLeft time.Duration
	// waiter is set while the part waits for a place at one of wanted, the targets that the last choice found taken.
	waiter  *PlaceWaiter
	wanted  []*Target
	retryAt time.Time // earliest time of the next send while none is open
	hedgeAt time.Time // earliest time of a hedge
	// extraDenied is set while no target, attempt or budget is left for another send.
	extraDenied bool
}

// openSend is a send that has not ended.
type openSend struct {
	attempt int
	target  *Target
	sentAt  time.Time
	extra   bool // a retry or a hedge
	// newTarget is set if no earlier send of the part may have run at the target.
	newTarget bool
}

// Dispatch is the state machine of one forwarded request. It decides which target of each service gets the request,
// when a hedge is sent, and when the request can be answered. It is not safe for concurrent use.
//
// Invariants: a request that is not idempotent is sent again only after the outcome of every earlier send proves that
// it did not run; no part runs at more than MaxAttempts targets; every send of a part except the first is paid from the
// retry budget of its service, and the first one too if the request is repeated.
type Dispatch struct {
	DispatchConfig
	parts       []dispatchPart
	partOf      map[int]int // index of the part by open attempt
	lastAttempt int
	// partial is set once DispatchReady.Partial was set; passedOn is the number of parts that had arrived when it was last set, and
	// nextPartial the earliest time to set it again.
	partial     bool
	passedOn    int
	nextPartial time.Time

	done      bool
	preview   bool          // rankings must not change the state of targets
	placeWait time.Duration // sum over the parts
}

// NewDispatch starts a dispatch and returns the first sends.
func NewDispatch(p DispatchConfig, now time.Time) (*Dispatch, DispatchReady) {
	d := &Dispatch{DispatchConfig: p, parts: make([]dispatchPart, len(p.Services)), partOf: map[int]int{}}
	if d.MaxAttempts < 1 {
		d.MaxAttempts = 1
	}
	for i, s := range p.Services {
		d.parts[i] = dispatchPart{service: s, retryAt: now}
	}
	return d, d.Step(nil, now)
}

// Step processes the ends of sends, if any, and returns the next actions.
func (d *Dispatch) Step(ended []LegEnded, now time.Time) DispatchReady {
	var ready DispatchReady
	if d.done {
		ready.Done = true
		return ready
	}
	for _, e := range ended {
		d.end(e, now, &ready)
	}
	ready.Wake = d.Deadline
	if !now.Before(d.Deadline) {
		d.finish(now, &ready)
		return ready
	}
	for i := range d.parts {
		if p := &d.parts[i]; !p.done {
			d.advance(i, p, now, &ready)
		}
	}
	if d.answered(now, &ready) {
		// The sends decided in this step have not started, so they are withdrawn.
		for _, s := range ready.Send {
			d.giveBack(s.Target, now)
			p := &d.parts[s.Part]
			p.openSends = slices.DeleteFunc(p.openSends, func(o openSend) bool { return o.attempt == s.Attempt })
			delete(d.partOf, s.Attempt)
		}
		ready.Send = nil
		d.finish(now, &ready)
	}
	return ready
}

// RaiseAttempts sets MaxAttempts to a higher number.
func (d *Dispatch) RaiseAttempts(maxAttempts int, now time.Time) DispatchReady {
	d.MaxAttempts = max(d.MaxAttempts, maxAttempts)
	for i := range d.parts {
		d.parts[i].extraDenied = false
	}
	return d.Step(nil, now)
}

// End ends the dispatch before its deadline. Its results are those that are known so far.
func (d *Dispatch) End(now time.Time) DispatchReady {
	var ready DispatchReady
	d.finish(now, &ready)
	return ready
}

// end records the outcome of a send and schedules the next one of its part if the part is not done.
func (d *Dispatch) end(e LegEnded, now time.Time, ready *DispatchReady) {
	i, ok := d.partOf[e.Attempt]
	if !ok {
		return
	}
	delete(d.partOf, e.Attempt)
	p := &d.parts[i]
	n := slices.IndexFunc(p.openSends, func(o openSend) bool { return o.attempt == e.Attempt })
	ended := p.openSends[n]
	p.openSends = slices.Delete(p.openSends, n, n+1)
	d.observeArrival(ended, now, e.Outcome == LegReplied)
	switch e.Outcome {
	case LegReplied:
		p.replyAttempt, p.done = e.Attempt, true
		for _, o := range p.openSends {
			ready.Cancel = append(ready.Cancel, o.attempt)
			delete(d.partOf, o.attempt)
			d.observeArrival(o, now, false)
		}
		p.openSends = nil
		return
	case LegFailed:
		p.failureAttempt, p.mayHaveRun = e.Attempt, true
	case LegNoReply:
		p.mayHaveRun = true
	case LegNotRun, LegNotSent:
		if ended.newTarget {
			p.mayHaveRunAt = slices.DeleteFunc(p.mayHaveRunAt, ended.target.sameID)
		}
	}
	p.retries++
	if !d.Idempotent && p.mayHaveRun {
		p.done = true
		return
	}
	pause := time.Duration(0)
	if p.retries > 1 {
		pause = min(retryPause<<min(p.retries-2, 6), maxRetryPause)
	}
	p.retryAt = now.Add(pause)
}

// observeArrival adds a send that ended to the estimate of arrivals. Only a reply counts as an arrival: a send
// that was refused, lost or cancelled was open until then.
func (d *Dispatch) observeArrival(o openSend, now time.Time, replied bool) {
	arrivals := d.FirstArrivals
	if o.extra {
		arrivals = d.ExtraArrivals
	}
	if arrivals != nil {
		arrivals.Observe(now.Sub(o.sentAt), replied)
	}
}

// advance sends a part that has no open send, or considers a hedge for one that has.
func (d *Dispatch) advance(i int, p *dispatchPart, now time.Time, ready *DispatchReady) {
	if len(p.openSends) > 0 {
		d.hedge(i, p, now, ready)
		return
	}
	called := p.waiter != nil && d.Places.takeCall(p.waiter)
	if now.Before(p.retryAt) && !called {
		ready.wakeAt(p.retryAt)
		return
	}
	if p.sends >= d.MaxAttempts+maxNotRunSends {
		p.done = true
		return
	}
	t, busy := d.choose(p, now)
	if t == nil && busy && d.Places != nil {
		waits := p.waiter != nil
		p.waiter = d.Places.wait(p.waiter, p.service, d.Key, p.wanted, d.Awaken, now)
		if !waits {
			t, busy = d.choose(p, now) // a place that was freed before the wait began was offered to no one
		}
	}
	if t != nil || !busy {
		d.leave(p)
	}
	switch {
	case t == nil && busy && d.Places != nil && d.Deadline.Sub(now) <= assumedLatency(p.wanted):
		d.leave(p) // a reply would come too late, and its place is of more use to others
		p.noPlace, p.done = true, true
	case t == nil && busy:
		p.retryAt = now.Add(capacityPollInterval)
		if d.Places != nil {
			p.retryAt = now.Add(placeFallbackInterval)
			if end := d.Deadline.Add(-assumedLatency(p.wanted)); end.Before(p.retryAt) {
				p.retryAt = end
			}
		}
		ready.wakeAt(p.retryAt)
	case t == nil:
		p.done = true
	case (p.sends > 0 || d.Repeated) && !d.Directory.RetryBudget(p.service).TakeRetry(d.Urgency, now):
		d.giveBack(t, now)
		p.done = true
	default:
		d.send(i, p, t, now, ready)
	}
}

// giveBack gives back a place that choose reserved and that is not used.
func (d *Dispatch) giveBack(t *Target, now time.Time) {
	t.Stats.returnColdSend(t.ColdRate)
	t.Stats.Finish(0)
	d.Places.Freed(t, now)
}

// leave ends the part's wait for a place, if it waits.
func (d *Dispatch) leave(p *dispatchPart) {
	if p.waiter != nil {
		d.placeWait += d.Places.leave(p.waiter)
		p.waiter = nil
	}
}

// hedge sends a second request for a part if its first has run for longer than the hedging delay, a reachable target
// that is expected to reply sooner has capacity, and the retry budget allows it.
func (d *Dispatch) hedge(i int, p *dispatchPart, now time.Time, ready *DispatchReady) {
	if !d.Idempotent || len(p.openSends) > 1 || p.sends >= d.MaxAttempts+maxNotRunSends {
		p.extraDenied = true
		return
	}
	if now.Before(p.hedgeAt) {
		ready.wakeAt(p.hedgeAt)
		return
	}
	if waitUntil := p.hedgeAt.Add(d.hedgeDelay()); now.Before(waitUntil) && d.mostPending() {
		ready.wakeAt(waitUntil)
		return
	}
	t, _ := d.choose(p, now)
	if t != nil {
		if pays, next := d.hedgePays(p.openSends[0], t, now); !pays {
			d.giveBack(t, now)
			p.extraDenied, p.hedgeAt = true, next
			ready.wakeAt(p.hedgeAt)
			return
		}
	}
	if t == nil || t.Stats.Unreachable(now) || !d.Directory.RetryBudget(p.service).TakeHedge(d.Urgency, now) {
		if t != nil {
			d.giveBack(t, now)
		}
		p.extraDenied = true
		p.hedgeAt = now.Add(d.hedgeDelay())
		ready.wakeAt(p.hedgeAt)
		return
	}
	d.send(i, p, t, now, ready)
}

// hedgePays reports whether a hedge at t, where a place is reserved, is expected to reply clearly sooner than an open send,
// and if not, when that may have changed. A hedge pays if one of the two targets reports no load: nothing is known then.
func (d *Dispatch) hedgePays(open openSend, t *Target, now time.Time) (pays bool, next time.Time) {
	// A target that was slow may have recovered, and where a tenth of the targets is slow, a hedge that is missing costs more
	// than one that is not needed. So only recent knowledge keeps a hedge from the other target.
	first, firstKnown := open.target.expectation(d.Work, 1, false, now)
	other, otherKnown := t.expectation(d.Work, 1, true, now)
	if !firstKnown || !otherKnown {
		return true, now
	}
	first.Silent, first.Connecting = 0, 0 // the elapsed time takes the place of these
	expected, sentAt := expectedTime(&first), open.sentAt.Add(d.OwnDelay)
	if hedgeGain*float64(expectedTime(&other)) < float64(remainingTime(expected, max(now.Sub(sentAt), 0), first.RoundTrip+first.Work)) {
		return true, now
	}
	next = now.Add(d.hedgeDelay())
	if late := sentAt.Add(time.Duration(lateFactor*float64(expected)) + time.Millisecond); late.After(now) && late.Before(next) {
		next = late
	}
	return false, next
}

const (
	// minPartsForPatience is the number of parts from which on the replies of the others tell something about one part.
	minPartsForPatience = 8
	// patienceFraction is the fraction of pending parts above which hedges wait for twice their delay.
	patienceFraction = 0.4
)

// mostPending reports whether so many parts have no reply yet that the delay is more likely this instance's own, or one that
// all targets share: a hedge for each of them would double the work at the worst moment.
func (d *Dispatch) mostPending() bool {
	if len(d.parts) < minPartsForPatience {
		return false
	}
	pending := 0
	for i := range d.parts {
		if !d.parts[i].done {
			pending++
		}
	}
	return float64(pending) > patienceFraction*float64(len(d.parts))
}

func (d *Dispatch) send(i int, p *dispatchPart, t *Target, now time.Time, ready *DispatchReady) {
	d.lastAttempt++
	s := Send{Attempt: d.lastAttempt, Part: i, Target: t, Hedge: len(p.openSends) > 0}
	if in, ok := t.expectation(d.Work, 1, false, now); ok {
		s.Reported = reportedTime(&in)
	}
	ready.Send = append(ready.Send, s)
	d.partOf[d.lastAttempt] = i
	newTarget := !slices.ContainsFunc(p.mayHaveRunAt, t.sameID)
	p.openSends = append(p.openSends, openSend{attempt: d.lastAttempt, target: t, sentAt: now, extra: p.sends > 0 || d.Repeated, newTarget: newTarget})
	p.sends++
	p.extraDenied = false
	if newTarget {
		p.mayHaveRunAt = append(p.mayHaveRunAt, t)
	}
	p.hedgeAt = now.Add(d.hedgeDelay())
	ready.wakeAt(p.hedgeAt)
}

// hedgeDelay returns the latency quantile within its bounds, or MaxHedgeDelay before the first sample.
func (d *Dispatch) hedgeDelay() time.Duration {
	if q := d.Tail.Quantile(); q > 0 {
		return min(max(q, minHedgeDelay), d.MaxHedgeDelay)
	}
	return d.MaxHedgeDelay
}

// finish ends the dispatch. Parts with open sends may have run.
func (d *Dispatch) finish(now time.Time, ready *DispatchReady) {
	d.done, ready.Done = true, true
	for i := range d.parts {
		p := &d.parts[i]
		for _, o := range p.openSends {
			ready.Cancel = append(ready.Cancel, o.attempt)
			p.mayHaveRun = true
			d.observeArrival(o, now, false)
		}
		p.noPlace = p.noPlace || p.waiter != nil
		d.leave(p)
		p.openSends, p.done = nil, true
	}
}

func (r *DispatchReady) wakeAt(t time.Time) {
	if t.Before(r.Wake) {
		r.Wake = t
	}
}

// PartResult is the outcome of one part.
type PartResult struct {
	// ReplyAttempt is the attempt of the final reply, 0 if there is none.
	ReplyAttempt int
	// FailureAttempt is the attempt of the last reply that reports a failure, 0 if there is none.
	FailureAttempt int
	// MayHaveRun is set if some target may have run the request.
	MayHaveRun bool
	// RestLeft is set if the part ended without a reply because all targets asked for a rest: the time until the first of
	// them has rested.
	RestLeft time.Duration
	// NoPlace is set if the part waited for a place at its targets until there was too little time left.
	NoPlace bool
}

// PlaceWait returns the mean time that the parts have waited for places at targets.
func (d *Dispatch) PlaceWait() time.Duration { return d.placeWait / time.Duration(len(d.parts)) }

// Results returns the outcome of each part, in the order of DispatchConfig.Services.
func (d *Dispatch) Results() []PartResult {
	out := make([]PartResult, len(d.parts))
	for i := range d.parts {
		p := &d.parts[i]
		out[i] = PartResult{ReplyAttempt: p.replyAttempt, FailureAttempt: p.failureAttempt, MayHaveRun: p.mayHaveRun || p.replyAttempt != 0, NoPlace: p.noPlace}
		if p.replyAttempt == 0 {
			out[i].RestLeft = p.restLeft
		}
	}
	return out
}

// RestLeft returns the time until so many targets have rested that the request can be answered, provided that all other
// targets reply. It is 0 if rest is not what the answer lacks.
func (d *Dispatch) RestLeft() time.Duration {
	var rests []time.Duration
	for _, r := range d.Results() {
		if r.RestLeft > 0 {
			rests = append(rests, r.RestLeft)
		}
	}
	slices.Sort(rests)
	others := len(d.parts) - len(rests)
	if d.EnoughParts(others) {
		return 0
	}
	for i, left := range rests {
		if d.EnoughParts(others + i + 1) {
			return left
		}
	}
	return 0
}
