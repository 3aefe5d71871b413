package targets

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Directory gives what is newest known of a service.
type Directory interface {
	// Candidates returns the targets that may get new requests of the service.
	Candidates(service string) []*Target
	// RetryBudget returns the budget of extra sends of the service.
	RetryBudget(service string) *RetryBudget
}

// DispatchConfig is what a dispatch starts from.
type DispatchConfig struct {
	// Services are those that each must give one part. A request that is not gathered has one.
	Services []string
	// Gather says that an answer with some parts missing is of use.
	Gather bool
	// MinCoverage is the least part of the services that an answer of Gather needs.
	MinCoverage float64
	// Idempotent requests may run at more than one target.
	Idempotent bool
	// MaxAttempts is how many targets of one service may run the request.
	MaxAttempts int
	// Deadline ends the dispatch. Parts missing at SoftDeadline are not awaited if the coverage suffices.
	Deadline, SoftDeadline time.Time
	// Tail holds the latency of earlier dispatches of the same route.
	Tail *Tail
	// MaxHedgeDelay bounds the time after which a second target is asked.
	MaxHedgeDelay time.Duration
	Directory     Directory
	// Zone is the zone of this instance, whose targets are preferred.
	Zone string
	// Rand is used by this dispatch only.
	Rand *rand.Rand
}

// LegOutcome says how one send ended.
type LegOutcome int

// The outcomes of a send.
const (
	// LegReplied is a complete reply that is final.
	LegReplied LegOutcome = iota
	// LegFailed is a complete reply that tells a failure of a target that ran the request.
	LegFailed
	// LegNotRun means that the target said that it did not run the request.
	LegNotRun
	// LegNotSent means that nothing reached the target.
	LegNotSent
	// LegNoReply means that no usable reply came. The target may have run the request.
	LegNoReply
)

// String returns the word for logs.
func (o LegOutcome) String() string {
	return [...]string{"replied", "failed", "not_run", "not_sent", "broken"}[o]
}

// Send is one request to one target.
type Send struct {
	// Attempt is unique in the dispatch.
	Attempt int
	// Part is the index of the service.
	Part   int
	Target *Target
	// Hedge says that another send of the part is under way.
	Hedge bool
}

// LegEnded is the input of Step that ends a send.
type LegEnded struct {
	Attempt int
	Outcome LegOutcome
}

// DispatchReady is what the embedder must do: cancel, then send, then call Step at Wake, or answer if Done.
type DispatchReady struct {
	Send   []Send
	Cancel []int
	Wake   time.Time
	Done   bool
}

const (
	// Sheds and lost connections are retried after retryPause, twice as long each time.
	retryPause    = 4 * time.Millisecond
	maxRetryPause = 64 * time.Millisecond
	// roomPause is the time between two looks for a target with room.
	capacityPollInterval = 3 * time.Millisecond
	// notRunSends is how many sends of a part may be refused by targets beyond its attempts.
	maxNotRunSends = 3
	// minHedgeDelay keeps hedges from firing at every request when latencies are tiny.
	minHedgeDelay = 5 * time.Millisecond
)

type dispatchPart struct {
	service        string
	mayHaveRunAt   []*Target // targets that run or may have run the request
	openSends      []openSend
	sends          int
	retries        int
	replyAttempt   int // attempt of the final reply, 0: none yet
	failureAttempt int // attempt of the last complete failure, 0: none
	done           bool
	mayHaveRun     bool // some send may have run
	retryAt        time.Time
	hedgeAt        time.Time
}

type openSend struct {
	attempt int
	target  *Target
	sentAt  time.Time
}

// Dispatch is the state machine of one forwarded request: which target of each service gets it, when a second one
// is asked, and when there is an answer. It belongs to one goroutine.
//
// Invariants: a request that is not idempotent is sent again only after the outcome of every earlier send proves
// that it did not run; no part runs at more than Attempts targets; every send but the first of a part is paid from
// the budget of its service.
type Dispatch struct {
	DispatchConfig
	parts       []dispatchPart
	partOf      map[int]int // part of each open attempt
	lastAttempt int
	done        bool
}

// NewDispatch plans a request and returns the first sends.
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

// Step takes the ends of sends, if any, and returns what to do.
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
		d.finish(&ready)
		return ready
	}
	for i := range d.parts {
		if p := &d.parts[i]; !p.done {
			d.advance(i, p, now, &ready)
		}
	}
	if d.answered(now, &ready) {
		// A send decided in this step has not left.
		for _, s := range ready.Send {
			s.Target.Stats.Finish(0)
			p := &d.parts[s.Part]
			p.openSends = slices.DeleteFunc(p.openSends, func(o openSend) bool { return o.attempt == s.Attempt })
			delete(d.partOf, s.Attempt)
		}
		ready.Send = nil
		d.finish(&ready)
	}
	return ready
}

func (d *Dispatch) end(e LegEnded, now time.Time, ready *DispatchReady) {
	i, ok := d.partOf[e.Attempt]
	if !ok {
		return
	}
	delete(d.partOf, e.Attempt)
	p := &d.parts[i]
	n := slices.IndexFunc(p.openSends, func(o openSend) bool { return o.attempt == e.Attempt })
	target := p.openSends[n].target
	p.openSends = slices.Delete(p.openSends, n, n+1)
	switch e.Outcome {
	case LegReplied:
		p.replyAttempt, p.done = e.Attempt, true
		for _, o := range p.openSends {
			ready.Cancel = append(ready.Cancel, o.attempt)
			delete(d.partOf, o.attempt)
		}
		p.openSends = nil
		return
	case LegFailed:
		p.failureAttempt, p.mayHaveRun = e.Attempt, true
	case LegNoReply:
		p.mayHaveRun = true
	case LegNotRun, LegNotSent:
		p.mayHaveRunAt = slices.DeleteFunc(p.mayHaveRunAt, target.sameID)
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

// advance sends a part that has no open send, or hedges one that is late.
func (d *Dispatch) advance(i int, p *dispatchPart, now time.Time, ready *DispatchReady) {
	if len(p.openSends) > 0 {
		d.hedge(i, p, now, ready)
		return
	}
	if now.Before(p.retryAt) {
		ready.wakeAt(p.retryAt)
		return
	}
	if p.sends >= d.MaxAttempts+maxNotRunSends {
		p.done = true
		return
	}
	t, busy := d.choose(p, now)
	switch {
	case t == nil && busy:
		p.retryAt = now.Add(capacityPollInterval)
		ready.wakeAt(p.retryAt)
	case t == nil:
		p.done = true
	case p.sends > 0 && !d.Directory.RetryBudget(p.service).TakeRetry(now):
		t.Stats.Finish(0)
		p.done = true
	default:
		d.send(i, p, t, now, ready)
	}
}

func (d *Dispatch) hedge(i int, p *dispatchPart, now time.Time, ready *DispatchReady) {
	if !d.Idempotent || len(p.openSends) > 1 || p.sends >= d.MaxAttempts+maxNotRunSends {
		return
	}
	if now.Before(p.hedgeAt) {
		ready.wakeAt(p.hedgeAt)
		return
	}
	t, _ := d.choose(p, now)
	if t == nil || t.Stats.Unreachable(now) || !d.Directory.RetryBudget(p.service).TakeHedge(now) {
		if t != nil {
			t.Stats.Finish(0)
		}
		p.hedgeAt = now.Add(d.hedgeDelay())
		ready.wakeAt(p.hedgeAt)
		return
	}
	d.send(i, p, t, now, ready)
}

func (d *Dispatch) send(i int, p *dispatchPart, t *Target, now time.Time, ready *DispatchReady) {
	d.lastAttempt++
	ready.Send = append(ready.Send, Send{Attempt: d.lastAttempt, Part: i, Target: t, Hedge: len(p.openSends) > 0})
	d.partOf[d.lastAttempt] = i
	p.openSends = append(p.openSends, openSend{attempt: d.lastAttempt, target: t, sentAt: now})
	p.sends++
	if !slices.ContainsFunc(p.mayHaveRunAt, t.sameID) {
		p.mayHaveRunAt = append(p.mayHaveRunAt, t)
	}
	p.hedgeAt = now.Add(d.hedgeDelay())
	ready.wakeAt(p.hedgeAt)
}

func (d *Dispatch) hedgeDelay() time.Duration {
	if q := d.Tail.Quantile(); q > 0 {
		return min(max(q, minHedgeDelay), d.MaxHedgeDelay)
	}
	return d.MaxHedgeDelay
}

// choose reserves a place at the target that is expected to reply first, and reports whether all that may be asked
// are full. Targets that the part ran at already are asked again only if their number is exhausted and nothing is
// open there.
func (d *Dispatch) choose(p *dispatchPart, now time.Time) (best *Target, busy bool) {
	candidates := d.Directory.Candidates(p.service)
	fresh := len(p.mayHaveRunAt) < d.MaxAttempts && slices.ContainsFunc(candidates, func(t *Target) bool { return !slices.ContainsFunc(p.mayHaveRunAt, t.sameID) })
	type ranked struct {
		target *Target
		score  float64
	}
	order := make([]ranked, 0, len(candidates))
	unknown := assumedLatency(candidates)
	for _, t := range candidates {
		if slices.ContainsFunc(p.mayHaveRunAt, t.sameID) == fresh || slices.ContainsFunc(p.openSends, func(o openSend) bool { return t.sameID(o.target) }) {
			continue
		}
		order = append(order, ranked{t, d.score(t, unknown, now)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		}
		return 0
	})
	for n, r := range order {
		if r.target.Stats.TryStart(r.target.Limit) {
			if !r.target.Stats.takeColdSend(r.target.ColdRate, now) {
				r.target.Stats.Finish(0)
				continue
			}
			r.target.Stats.recordChosen(now)
			for _, passed := range order[n+1:] {
				passed.target.Stats.decay(now)
			}
			return r.target, false
		}
	}
	return nil, len(order) > 0
}

const (
	// avoidedScore is added for targets that are avoided, in seconds: more than any latency.
	avoidedPenalty = 10.0
	// unknownLatency stands for the latency of a target that was not asked yet while none of the service is known.
	unknownLatency = 5 * time.Millisecond
	// scoreSpread is the random part of a score. It keeps instances from all choosing the same target.
	scoreSpread = 0.3
	// faultCost is the time that a shed or failed send costs: its retry, and the budget that the retry takes from
	// others.
	failureCost = 200 * time.Millisecond
	// loadWeight is the weight of requests that would wait at the target: the latency seen so far contains the usual
	// waits.
	loadWeight = 0.25
	// zoneFactor is the advantage of targets in the own zone.
	zoneFactor = 0.35
)

// leastLatency returns what a target that was not asked yet is expected to take: as long as the fastest known one, so
// that it is tried soon, but not from another zone while one of the own is known.
func assumedLatency(candidates []*Target) time.Duration {
	least := time.Duration(0)
	for _, t := range candidates {
		if l := t.Stats.Latency(); l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	if least == 0 {
		return unknownLatency
	}
	return least
}

// score is the expected time to a reply in seconds, where unknown is that of a target that was not asked yet.
func (d *Dispatch) score(t *Target, unknown time.Duration, now time.Time) float64 {
	latency := t.Stats.Latency()
	if latency == 0 {
		latency = unknown
	}
	score := latency.Seconds() * (1 - scoreSpread/2 + scoreSpread*d.Rand.Float64())
	if waiting := t.Stats.EstimatedRequests(now) + 1 - t.Slots; t.Slots > 0 && waiting > 0 {
		score *= 1 + loadWeight*float64(waiting)/float64(t.Slots)
	}
	if t.Zone == d.Zone {
		score *= zoneFactor
	}
	score += failureCost.Seconds() * t.Stats.FailureRate()
	if t.Stats.Avoided(now) {
		score += avoidedPenalty
	}
	return score
}

// answered reports whether there is nothing left to wait for.
func (d *Dispatch) answered(now time.Time, ready *DispatchReady) bool {
	in, open, hopeful, probed := 0, 0, 0, 0
	for i := range d.parts {
		switch p := &d.parts[i]; {
		case p.replyAttempt != 0:
			in++
		case !p.done:
			open++
			if !d.allUnreachable(p, now) {
				hopeful++
			} else if until := p.probeDeadline(); now.Before(until) {
				probed++
				ready.wakeAt(until)
			}
		}
	}
	if open == 0 {
		return true
	}
	if !d.Gather {
		return false
	}
	if !d.EnoughParts(in + hopeful + probed) {
		return true // no answer is to be expected any more
	}
	if !d.EnoughParts(in) {
		return false
	}
	if hopeful > 0 && now.Before(d.SoftDeadline) {
		ready.wakeAt(d.SoftDeadline)
		return false
	}
	return true
}

// dark reports whether a part is only awaited from targets that have been silent for a while.
func (d *Dispatch) allUnreachable(p *dispatchPart, now time.Time) bool {
	return len(p.openSends) > 0 && !slices.ContainsFunc(p.openSends, func(o openSend) bool { return !o.target.Stats.Unreachable(now) })
}

// probedUntil returns until when a reply may be expected of targets that have been silent. They may be back, and only a
// send shows it.
func (p *dispatchPart) probeDeadline() time.Time {
	var until time.Time
	for _, o := range p.openSends {
		if at := o.sentAt.Add(o.target.Stats.responseTimeout()); at.After(until) {
			until = at
		}
	}
	return until
}

// EnoughParts reports whether so many parts suffice for an answer.
func (d *Dispatch) EnoughParts(parts int) bool {
	return parts > 0 && float64(parts) >= d.MinCoverage*float64(len(d.parts))
}

func (d *Dispatch) finish(ready *DispatchReady) {
	d.done, ready.Done = true, true
	for i := range d.parts {
		p := &d.parts[i]
		for _, o := range p.openSends {
			ready.Cancel = append(ready.Cancel, o.attempt)
			p.mayHaveRun = true
		}
		p.openSends, p.done = nil, true
	}
}

func (r *DispatchReady) wakeAt(t time.Time) {
	if t.Before(r.Wake) {
		r.Wake = t
	}
}

// PartResult is what came of one part.
type PartResult struct {
	// ReplyAttempt is the attempt of the final reply, 0 if there is none.
	ReplyAttempt int
	// FailureAttempt is the attempt of the last complete reply of a target that failed, 0 if there is none.
	FailureAttempt int
	// MayHaveRun says that some target may have run the request.
	MayHaveRun bool
}

// Results returns what came of each part.
func (d *Dispatch) Results() []PartResult {
	out := make([]PartResult, len(d.parts))
	for i := range d.parts {
		p := &d.parts[i]
		out[i] = PartResult{ReplyAttempt: p.replyAttempt, FailureAttempt: p.failureAttempt, MayHaveRun: p.mayHaveRun || p.replyAttempt != 0}
	}
	return out
}
