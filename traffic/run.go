package traffic

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/targets"
)

// dispatchRun is the execution of one forwarded request. Its fields belong to the goroutine of the request; each attempt
// runs on a goroutine of its own and reports its end through ends.
type dispatchRun struct {
	forwarder    *Forwarder
	ctx          context.Context
	request      *Request
	keyDigest    string // of the caller's key, empty if there is none
	route        *document.Route
	account      *document.Account
	organisation string
	snapshot     *routing.Snapshot
	deadline     time.Time
	// services are those that each run one part of the request: the shards of the route or some of them, or one service.
	services []string
	// answerBy is when a gathered answer with sufficient coverage leaves. It is planned earlier than leaveBy, the time at which
	// it must have been written to reach the caller within the latency objective.
	answerBy, leaveBy time.Time
	// lateRisk is the fraction of the answers that are late if they wait until answerBy, assumedRisk the one that is assumed
	// before anything is known.
	lateRisk, assumedRisk float64
	// isGroup is set if the services are one group of the shards of a request: each of its parts is of use, whatever the
	// coverage of the group. maxMissing is the number of parts that the answer to the whole request may lack.
	isGroup    bool
	maxMissing int
	// partial gets the parts of a group that have arrived when no further one is likely to arrive in time, then each later
	// one, and the result holds the rest. If it is nil, the group ends as a whole request does, with the coverage of the route:
	// an asking instance of an older version takes no parts ahead. passed holds the attempts of the parts that it got.
	partial func(groupResult)
	passed  map[int]bool
	// repeated is set if the services may have been sent the request by another instance: each send is paid from the budget.
	repeated bool
	// proceed is closed when the instance that asked for the group will not ask another one. Until then the group has
	// tentativeAttempts; nil if it never asks another one.
	proceed <-chan struct{}
	// attemptLimit bounds the attempts below the limit of the route; 0 means that the route's limit applies.
	attemptLimit int
	// topRecords is the number of records in a gathered answer, 0 for all.
	topRecords  int
	fingerprint targets.Fingerprint
	record      *Record

	prepared   PreparedRequest
	routeStats *routeStats
	ends       attemptEnds
	// cancels and replies are keyed by the number of the attempt.
	cancels map[int]context.CancelFunc
	replies map[int]*TargetReply
	// turns holds the permits of attempts, by attempt, if the starts of sends are ordered. key is their place in the order.
	turns map[int]queuedSend
	key   targets.OrderKey
	// urgency ranks the request among all requests of the instance.
	urgency document.Urgency
	// firstLag is the time in nanoseconds between the decision to send and the start of the first send that started, and shed the
	// number of sends that targets declined without having run them.
	firstLag atomic.Int64
	shed     int
	// anyNotRun reports that some target replied that it did not run the request, or had no place for it.
	anyNotRun bool
	// bodyRefused reports that some service had only targets without room for the body.
	bodyRefused bool
	// signatures are those of the replies received so far.
	signatures map[string]bool
}

// The divisors of the latency objective that give the maximum delay after which a hedged request is sent to a second
// target. A sharded request waits for the slowest of many parts and hedges sooner; the latencies of a request to a single
// service vary more, and most of its slow replies are due to long-running work.
const (
	shardedHedgeDivisor = 3
	singleHedgeDivisor  = 2
)

func (d *dispatchRun) run(now time.Time) ForwardResult {
	services := d.services
	if !d.repeated {
		for _, s := range services {
			d.snapshot.RetryBudget(s).RecordRequest(now)
		}
	}
	if !d.isGroup && d.shouldFailFast(services, now) {
		return refuse(d.unreachableRefusal())
	}
	if !d.isGroup && d.lacksBodyRoom(services) {
		return refuse(bodyRefusal())
	}
	d.record.Parts = len(services)
	d.record.Attempts = make([]AttemptRecord, 0, len(services))
	d.prepared = d.forwarder.sender.Prepare(d.request, d.organisation)
	d.cancels, d.replies, d.signatures = map[int]context.CancelFunc{}, map[int]*TargetReply{}, map[string]bool{}
	d.routeStats = d.forwarder.statsOf(d.route.Name, objectiveOf(d.request, d.route, d.deadline))
	config := d.dispatchConfig()
	// placeFree receives a value when a place that a part waits for is free.
	placeFree := make(chan struct{}, 1)
	if d.urgency.Ranked() {
		d.orderSends(&config, placeFree, now)
	}
	dispatch, ready := targets.NewDispatch(config, now)
	defer d.observeCapacity(dispatch, now)
	defer func() { dispatch.End(time.Now()) }()
	d.ends.arrived = make(chan struct{}, 1)
	defer d.ends.close()
	defer d.cancelAll()
	woken, cancelled := d.runDispatch(dispatch, ready, placeFree, now)
	d.recordOpen()
	if cancelled {
		d.releaseReplies(nil)
		return refuse(&caller.Refusal{Code: caller.CodeOutcomeUnknown, Ran: caller.RanUnknown, Message: "the caller cancelled the request"})
	}
	d.record.PlaceWait = dispatch.PlaceWait()
	result := d.result(dispatch)
	d.releaseReplies(result.Reply)
	if !d.isGroup && result.Gathered != nil {
		// If the timer alone triggered the answer, this instance itself causes its delay after answerBy.
		result.written = d.observeAnswer(woken && !time.Now().Before(d.answerBy))
	}
	return result
}

// dispatchConfig returns the configuration of the dispatch, without the order of the sends.
func (d *dispatchRun) dispatchConfig() targets.DispatchConfig {
	objective := objectiveOf(d.request, d.route, d.deadline)
	hedgeDivisor := time.Duration(singleHedgeDivisor)
	if d.route.Sharded() {
		hedgeDivisor = shardedHedgeDivisor
	}
	return targets.DispatchConfig{
		Services: d.services, Gather: d.route.Sharded(), MinCoverage: d.route.MinCoverage, Group: d.partial != nil, MaxMissing: d.maxMissing,
		Idempotent:  d.route.Idempotent,
		MaxAttempts: d.firstAttempts(), Repeated: d.repeated, Deadline: d.deadline, SoftDeadline: d.answerBy,
		Work: d.routeStats.serviceTime.Usual(), OwnDelay: time.Duration(d.routeStats.meanDispatchLag.Load()),
		Tail: d.routeStats.tail, FirstArrivals: d.routeStats.firstArrivals, ExtraArrivals: d.routeStats.extraArrivals, LateRisk: d.lateRisk,
		MaxHedgeDelay: objective/hedgeDivisor + d.routeStats.expectedDispatchLag(),
		Directory:     d.directory(), Zone: d.forwarder.settings.Zone,
		Urgency: d.serviceUrgency(),
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// orderSends makes the sends start, and wait for places at targets, in the order of the instance. placeFree has a buffer of one.
func (d *dispatchRun) orderSends(config *targets.DispatchConfig, placeFree chan<- struct{}, now time.Time) {
	d.turns, d.key = make(map[int]queuedSend, len(d.services)), d.orderKey(now)
	config.Places, config.Key = d.forwarder.places, d.key
	config.Awaken = func() {
		select {
		case placeFree <- struct{}{}:
		default:
		}
	}
}

// runDispatch steps the dispatch until it is done or the caller has cancelled the request. woken is set if the last step was
// triggered by the timer and not by the end of an attempt or a free place.
func (d *dispatchRun) runDispatch(dispatch *targets.Dispatch, ready targets.DispatchReady, placeFree <-chan struct{}, now time.Time) (woken, cancelled bool) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	arrivedAt := now
	for !ready.Done {
		d.act(dispatch, ready)
		timer.Reset(time.Until(ready.Wake))
		var ended []targets.LegEnded
		called := false
		select {
		case <-placeFree:
			called = true
		case <-d.ends.arrived:
			for _, e := range d.ends.take() {
				ended = append(ended, d.evaluate(e))
			}
		case <-timer.C:
		case <-d.proceed:
			d.proceed = nil
			ready = dispatch.RaiseAttempts(d.maxAttempts(), time.Now())
			continue
		case <-d.forwarder.stopping.ended:
			d.record.Wait = Wait{Cause: WaitStop, Time: time.Since(arrivedAt)}
			ready = dispatch.End(time.Now())
			continue
		case <-d.ctx.Done():
			return woken, true
		}
		woken = len(ended) == 0 && !called
		arrivedAt = d.recordWait(ended, arrivedAt, time.Now())
		if !time.Now().Before(d.deadline) {
			ended = append(ended, d.withdrawWaiting()...)
		}
		ready = dispatch.Step(ended, time.Now())
	}
	return woken, false
}

// act does what a step of the dispatch has decided.
func (d *dispatchRun) act(dispatch *targets.Dispatch, ready targets.DispatchReady) {
	for _, attempt := range ready.Cancel {
		d.cancel(attempt)
	}
	for _, s := range ready.Send {
		d.send(s)
	}
	if ready.Partial {
		d.passOn(dispatch)
	}
}

// observeAnswer returns the function that learns when a gathered answer has been written. waited is set if the answer left
// because the planned time had come.
func (d *dispatchRun) observeAnswer(waited bool) func(time.Time) {
	stats := d.routeStats
	if !waited {
		stats.lateRisk.fade(d.assumedRisk)
		return nil
	}
	return func(at time.Time) {
		d.forwarder.lateness.observe(max(at.Sub(d.answerBy), 0))
		stats.lateRisk.observe(at.After(d.leaveBy), d.assumedRisk)
	}
}

// recordWait records what the request has waited for until now: the last of the sends that have ended, or a time. arrivedAt is
// when a send ended last; recordWait returns its new value.
func (d *dispatchRun) recordWait(ended []targets.LegEnded, arrivedAt, now time.Time) time.Time {
	w := Wait{Cause: WaitUnlikely, Time: now.Sub(arrivedAt)}
	switch {
	case len(ended) > 0:
		w.Cause, arrivedAt = WaitSend, now
		if a := d.record.attempt(ended[len(ended)-1].Attempt); a != nil {
			w.Service, w.Target = a.Service, a.Target
		}
	case !now.Before(d.deadline):
		w.Cause = WaitDeadline
	case !now.Before(d.answerBy):
		w.Cause = WaitPlanned
	}
	d.record.Wait = w
	return arrivedAt
}

// recordOpen records the sends that have not ended when the request ends.
func (d *dispatchRun) recordOpen() {
	for _, attempt := range slices.Sorted(maps.Keys(d.cancels)) {
		if a := d.record.attempt(attempt); a != nil {
			d.record.Wait.addOpen(func() string { return a.Service + " at " + a.Target })
		}
	}
}

// liveDirectory is the target directory of a request. It always reads the newest routing snapshot.
type liveDirectory struct {
	loop    RoutingLoop
	route   *document.Route
	account *document.Account
	body    bodyRoom
}

// Candidates returns the targets of the service in the regions that the route and the organisation allow, without those that
// have no room for the body.
func (d liveDirectory) Candidates(service string) []*targets.Target {
	s := d.loop.Snapshot()
	all := s.Candidates(service)
	if len(d.route.Regions) == 0 && (d.account == nil || len(d.account.Regions) == 0) {
		return d.body.filter(all, s.MemberCount)
	}
	return d.body.filter(slices.DeleteFunc(slices.Clone(all), func(t *targets.Target) bool {
		return !d.route.AllowsRegion(d.account, s.Regions[t.Zone])
	}), s.MemberCount)
}

// RetryBudget returns the budget of retries and hedges of the service.
func (d liveDirectory) RetryBudget(service string) *targets.RetryBudget {
	return d.loop.Snapshot().RetryBudget(service)
}

// serviceUrgency ranks the request among those that may be sent to its services. All shards of a route have the same priorities
// in the usual case, so the first one stands for them.
func (d *dispatchRun) serviceUrgency() document.Urgency {
	return d.snapshot.Routing.UrgencyAt(d.services[0], d.route, d.account)
}

// releaseReplies releases the memory of all replies but the one that is passed on to the caller.
func (d *dispatchRun) releaseReplies(passedOn *TargetReply) {
	for _, reply := range d.replies {
		if reply != passedOn {
			reply.Held.Release()
		}
	}
}

// result returns the result of the request from the outcomes of its parts.
func (d *dispatchRun) result(m *targets.Dispatch) ForwardResult {
	results := m.Results()
	mayHaveRun := false
	for _, r := range results {
		mayHaveRun = mayHaveRun || r.MayHaveRun
		d.anyNotRun = d.anyNotRun || r.NoPlace
	}
	if d.route.Sharded() {
		g := d.gather(results)
		covered := len(d.passed) + len(g.Signatures)
		if d.isGroup && covered > 0 || !d.isGroup && m.EnoughParts(covered) {
			d.record.Covered = covered
			return ForwardResult{Gathered: g}
		}
		g.Held.Release()
		return d.refusal(mayHaveRun, m.RestLeft())
	}
	if reply := d.replies[results[0].ReplyAttempt]; reply != nil {
		d.record.Covered = 1
		if impliesNotRun(reply.Status) {
			// The target ran the request, so a status that callers interpret as "not run" must not be passed on.
			return d.refusal(true, 0)
		}
		return ForwardResult{Reply: reply}
	}
	if reply := d.replies[results[0].FailureAttempt]; reply != nil && !impliesNotRun(reply.Status) {
		return ForwardResult{Reply: reply}
	}
	return d.refusal(mayHaveRun, m.RestLeft())
}

// passOn passes on the parts of a group that have arrived since the last call.
func (d *dispatchRun) passOn(m *targets.Dispatch) {
	results := m.Results()
	r := groupResult{by: d.forwarder.settings.Instance}
	r.take(ForwardResult{Gathered: d.gather(results)})
	if d.passed == nil {
		d.passed = map[int]bool{}
	}
	for _, p := range results {
		if p.ReplyAttempt != 0 {
			d.passed[p.ReplyAttempt] = true
			if reply := d.replies[p.ReplyAttempt]; reply != nil {
				reply.Body = nil // its memory has been counted with what was passed on
			}
		}
	}
	d.partial(r)
}

// impliesNotRun reports whether callers interpret an HTTP status as a guarantee that the request did not run.
func impliesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// gather merges the parts that have arrived, but for those that were passed on before. The answer takes over their counted
// memory, so it needs none of its own and the count never rises; the parts and the answer exist together only during the merge,
// which does not wait for anything.
func (d *dispatchRun) gather(results []targets.PartResult) *GatheredAnswer {
	g := &GatheredAnswer{}
	var parts [][]byte
	for _, r := range results {
		reply := d.replies[r.ReplyAttempt]
		if reply == nil {
			g.MissingParts++
			continue
		}
		if d.passed[r.ReplyAttempt] {
			continue
		}
		g.Signatures = append(g.Signatures, reply.Signature)
		parts = append(parts, reply.Body)
		g.Held.absorb(&reply.Held)
	}
	g.Body = targets.GreatestRecords(parts, d.topRecords)
	g.Held.shrink(len(g.Body))
	return g
}
