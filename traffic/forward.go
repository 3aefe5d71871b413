package traffic

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// RoutingLoop gives access to the control goroutine of the routing: its published snapshots and its queue of events.
type RoutingLoop interface {
	Snapshot() *routing.Snapshot
	Post(routing.Event) bool
}

// ForwarderSettings configures a Forwarder.
type ForwarderSettings struct {
	// Instance is the ID of this instance, and Zone its zone.
	Instance, Zone string
	// AnswerMargin is how long before the latency objective of its route a gathered answer is planned to reach the caller.
	AnswerMargin time.Duration
	// ReplyMargin is how long before the deadline the final answer is planned to reach the caller.
	ReplyMargin time.Duration
	// Siblings gathers groups of shards; nil if this instance sends to all shards itself.
	Siblings SiblingGatherer
	// MaxOwnedSends bounds the sends that run at the same time for siblings.
	MaxOwnedSends int
	// ReplyMemory counts the answers that siblings gathered, and BodyMemory the bodies of their requests; nil is no limit.
	ReplyMemory, BodyMemory *ByteBudget
	// TargetBodyMemory is how many bytes of request bodies all instances together may have in flight to one target; 0 is no
	// limit.
	TargetBodyMemory int64
}

// Forwarder forwards requests to the targets of their route. It is safe for concurrent use.
type Forwarder struct {
	settings ForwarderSettings
	loop     RoutingLoop
	sender   TargetSender
	recorder Recorder
	routes   sync.Map // *routeStats by the name of the route
	lateness lateness
	owners   sync.Map     // *ownerStats by the ID of an owner
	owned    atomic.Int64 // sends that run for siblings
	// invalidLoads counts the load reports of targets that were not valid.
	invalidLoads atomic.Int64
	transit      *sibling.Transit
	// started is the origin of the clock in messages to siblings, and process identifies this process there.
	started  time.Time
	process  string
	stopping stopping
	starts   *startGate
	places   *targets.Places
	// admission decides which requests run in a shortage of this instance's own processor, and targetAdmissions (*caller.Admission
	// by the first service of a route) in one of its targets.
	admission        *caller.Admission
	targetAdmissions sync.Map
}

// NewForwarder returns a forwarder that passes the record of each request to recorder.
func NewForwarder(s ForwarderSettings, l RoutingLoop, sender TargetSender, recorder Recorder) *Forwarder {
	now := time.Now()
	return &Forwarder{
		settings: s, loop: l, sender: sender, recorder: recorder, transit: sibling.NewTransit(), started: now,
		process: s.Instance + "/" + strconv.FormatInt(now.UnixNano(), 36), stopping: stopping{ended: make(chan struct{})},
		starts: newStartGate(parallelStarts()), places: targets.NewPlaces(), admission: caller.NewAdmission(),
	}
}

// Forward runs a request and returns its result. It returns early when ctx ends, which means that the caller cancelled
// the request.
func (f *Forwarder) Forward(ctx context.Context, r *Request) ForwardResult {
	record := &Record{ID: r.ID, Received: r.Received}
	result := f.forward(ctx, r, record)
	record.completeForwarded(result, ctx.Err() != nil, time.Now())
	f.recorder.Record(record)
	return result
}

func (f *Forwarder) forward(ctx context.Context, r *Request, record *Record) ForwardResult {
	now := time.Now()
	s := f.loop.Snapshot()
	if s.Routing == nil {
		return refuse(notConfigured())
	}
	record.ConfigVersion, record.PlatformRevision, record.RoutingAge = s.Routing.Version, s.Position.Revision, now.Sub(s.RoutingSince)
	route := s.Routing.Match(r.Host, r.Path)
	if route == nil {
		return refuse(noRoute())
	}
	record.Route = route.Name
	keyDigest := ""
	if r.Key != "" {
		keyDigest = caller.Digest(r.Key)
	}
	account, refusal := identify(s.Routing, route, keyDigest)
	if refusal != nil {
		return refuse(refusal)
	}
	organisation := ""
	if account != nil {
		organisation = account.Name
	}
	record.Organisation = organisation
	fingerprint := fingerprintOf(route, r, organisation)
	if until, quarantined := s.Quarantined[fingerprint]; quarantined && now.Before(until) {
		return refuse(caller.Refuse(caller.CodeQuarantined, until.Sub(now), "the request is quarantined because it crashes targets"))
	}
	deadline := f.deadlineOf(r, route)
	if !now.Before(deadline) {
		return refuse(caller.Refuse(caller.CodeDeadline, 0, "the deadline has passed"))
	}
	if refusal := f.stopRefusal(s.Stop, deadline, now); refusal != nil {
		return refuse(refusal)
	}
	limiter := limiterOf(s, account)
	if limiter != nil {
		if ok, retryAfter := limiter.Take(now); !ok {
			return refuse(rateRefusal(retryAfter))
		}
	}
	d := &dispatchRun{
		forwarder: f, ctx: ctx, request: r, keyDigest: keyDigest, route: route, account: account, organisation: organisation, snapshot: s,
		deadline: deadline, fingerprint: fingerprint, record: record, services: route.Shards,
		topRecords: route.TopRecords, urgency: s.Routing.Urgency(route, account),
	}
	d.plan()
	if refusal := d.admit(now); refusal != nil {
		if limiter != nil {
			limiter.Return()
		}
		return refuse(refusal)
	}
	if groups := d.gatherGroups(); len(groups) > 0 {
		return d.runSplit(groups, now)
	}
	return d.run(now)
}

// limiterOf returns the rate limiter of the organisation, nil if the request runs for none or its rate is not limited.
func limiterOf(s *routing.Snapshot, account *document.Account) *caller.RateLimiter {
	if account == nil {
		return nil
	}
	return s.RateLimiters[account.Name]
}

// plan sets and records when the answer is planned to leave, and sets the services of the request.
func (d *dispatchRun) plan() {
	f, r, route := d.forwarder, d.request, d.route
	objective := objectiveOf(r, route, d.deadline)
	d.answerBy, d.leaveBy = f.answerTimes(r, route, d.deadline)
	d.routeStats = f.statsOf(route.Name, objective)
	d.assumedRisk = assumedLateRisk(d.leaveBy.Sub(d.answerBy), objective)
	d.lateRisk = d.routeStats.lateRisk.current(d.assumedRisk)
	if !route.Sharded() {
		d.services = []string{route.PickService(rand.Float64())}
	}
	d.record.Urgency, d.record.Objective, d.record.Planned = d.urgency, objective, d.answerBy.Sub(r.Received)
}

// deadlineOf returns the time at which the final answer to a request leaves this instance at the latest.
func (f *Forwarder) deadlineOf(r *Request, route *document.Route) time.Time {
	deadline := r.Deadline
	if limit := r.Received.Add(route.Timeout); route.Timeout > 0 && limit.Before(deadline) {
		deadline = limit
	}
	return deadline.Add(-f.settings.ReplyMargin - r.TransitTime)
}

// gatherGroups returns the groups into which the request is split, none if this instance sends to all services itself.
func (d *dispatchRun) gatherGroups() []sibling.GatherGroup {
	if d.forwarder.settings.Siblings == nil || d.account != nil && len(d.account.Regions) > 0 {
		return nil
	}
	return d.snapshot.GatherGroups[d.route.Name]
}

// answerTimes returns dispatchRun.answerBy and dispatchRun.leaveBy of a request.
func (f *Forwarder) answerTimes(r *Request, route *document.Route, deadline time.Time) (answerBy, leaveBy time.Time) {
	objective := objectiveOf(r, route, deadline)
	leaveBy = r.Received.Add(objective - r.TransitTime)
	return leaveBy.Add(-f.settings.AnswerMargin - f.lateness.margin(objective)), leaveBy
}

// objectiveOf returns the latency objective of a request.
func objectiveOf(r *Request, route *document.Route, deadline time.Time) time.Duration {
	if route.LatencyObjective > 0 {
		return route.LatencyObjective
	}
	return deadline.Sub(r.Received)
}

// identify returns the account of the organisation that a request runs for. It is nil if the routing requires no keys,
// or if the key is optional on the route and the request has no valid one. keyDigest is empty if the request has no key.
func identify(r *document.Routing, route *document.Route, keyDigest string) (*document.Account, *caller.Refusal) {
	if !r.RequiresKeys() {
		return nil, nil
	}
	var account *document.Account
	if keyDigest != "" {
		account = r.AccountByKeyDigest(keyDigest)
	}
	switch {
	case account != nil || route.KeyOptional:
		return account, nil
	case keyDigest == "":
		return nil, caller.Refuse(caller.CodeUnauthenticated, 0, "the route requires a key")
	}
	return nil, caller.Refuse(caller.CodeUnauthenticated, 0, "the key is not valid")
}

// routeStats holds the latency statistics of the requests of one route.
type routeStats struct {
	tail *targets.Tail
	// firstArrivals and extraArrivals tell when replies to first sends and to retries and hedges arrive.
	firstArrivals, extraArrivals *targets.Arrivals
	lateRisk                     lateRisk
	// meanDispatchLag is the mean time between the decision to send and the send, in nanoseconds, exponentially
	// weighted.
	meanDispatchLag atomic.Int64
	serviceTime     *targets.ServiceTime
}

const (
	// dispatchLagShift sets the weight of one send in the mean dispatch lag, 1/16.
	dispatchLagShift = 4
	// dispatchLagFactor is the ratio of the largest dispatch lag to the mean: if the sends of a request leave one after
	// another, the last one leaves after twice the mean.
	dispatchLagFactor = 2
)

// observeDispatchLag adds the time between the decision to send and the send.
func (s *routeStats) observeDispatchLag(lag time.Duration) {
	old := s.meanDispatchLag.Load()
	s.meanDispatchLag.CompareAndSwap(old, old+(int64(lag)-old)>>dispatchLagShift)
}

// expectedDispatchLag returns the delay that this instance itself may add to a reply. It extends the hedge delay, so that
// a target is not considered late because of it.
func (s *routeStats) expectedDispatchLag() time.Duration {
	return dispatchLagFactor * time.Duration(s.meanDispatchLag.Load())
}

// statsOf returns the statistics of a route, whose requests have the given latency objective, and creates them at the first
// request.
func (f *Forwarder) statsOf(route string, objective time.Duration) *routeStats {
	if s, ok := f.routes.Load(route); ok {
		return s.(*routeStats)
	}
	s, _ := f.routes.LoadOrStore(route, &routeStats{
		tail: targets.NewTail(targets.DefaultPolicy()), firstArrivals: targets.NewArrivals(objective), extraArrivals: targets.NewArrivals(objective),
		serviceTime: targets.NewServiceTime(),
	})
	return s.(*routeStats)
}

// InvalidLoads returns the number of load reports of targets that were not valid.
func (f *Forwarder) InvalidLoads() int64 { return f.invalidLoads.Load() }
