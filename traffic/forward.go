package traffic

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/targets"
)

// Request is a caller's request that is forwarded by the routing. Method, target, header and body are passed on
// unchanged.
type Request struct {
	ID     string
	Method string
	// RequestURI is the path and query as the caller sent them, Path the part that routes are matched with.
	RequestURI, Path string
	Host             string
	// Header holds the end-to-end fields, without those that this system sets or consumes.
	Header map[string][]string
	Body   []byte
	// Key is the caller's credential, empty if there is none. It is not passed on.
	Key string
	// Received is when the request had arrived; the caller waits until Deadline.
	Received, Deadline time.Time
	// TransitTime is the time that the request took to arrive and its answer will take, opening the connection included.
	TransitTime time.Duration
}

// TargetRequest is a request on its way to one target.
type TargetRequest struct {
	Target *targets.Target
	// Deadline is when the target must stop.
	Deadline time.Time
	// MaySend is asked right before the request is sent: the process may have been suspended since the decision.
	MaySend func(now time.Time) bool
}

// TargetReply is the outcome of a TargetRequest.
type TargetReply struct {
	Outcome targets.LegOutcome
	// Reason says more about the outcome, for logs.
	Reason string
	Status int
	Header map[string][]string
	Body   []byte
	// Signature is the target's stamp on its reply.
	Signature string
	// Load is the number of requests at the target, -1 if it did not say.
	Load int
	// ColdFor is how long the target stays cold, 0 if it is not or did not say.
	ColdFor time.Duration
	// ConnectionRefused says that the target refused the connection, ConnectionLost that it ended one, Misdirected that another
	// target has the address.
	ConnectionRefused, ConnectionLost, Misdirected bool
}

// Success reports whether the target answered with success.
func (r *TargetReply) Success() bool { return r.Status >= 200 && r.Status < 300 }

// TargetSender sends requests to targets.
type TargetSender interface {
	// Prepare encodes what all sends of a request have in common. organisation is whom it runs for, empty if nobody.
	Prepare(r *Request, organisation string) PreparedRequest
}

// PreparedRequest is a request that can be sent to several targets at a time.
type PreparedRequest interface {
	// Send returns when the reply is complete, the request failed or ctx ended.
	Send(ctx context.Context, l TargetRequest) TargetReply
}

// GatheredAnswer is an answer that was put together from parts.
type GatheredAnswer struct {
	// Signatures are those of the parts that are in, Missing counts the others.
	Signatures   []string
	MissingParts int
	Body         []byte
}

// ForwardResult is the answer to a forwarded request. Exactly one field is set.
type ForwardResult struct {
	Reply    *TargetReply
	Gathered *GatheredAnswer
	Refusal  *caller.Refusal
}

// RoutingLoop is what traffic needs of the control loop.
type RoutingLoop interface {
	Snapshot() *routing.Snapshot
	Post(routing.Event) bool
}

// ForwarderSettings are the settings of a Forwarder.
type ForwarderSettings struct {
	Zone string
	// AnswerMargin is how long before a route's objective a gathered answer arrives at its caller.
	AnswerMargin time.Duration
	// ReplyMargin is how long before the deadline the final answer arrives.
	ReplyMargin time.Duration
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	settings ForwarderSettings
	loop     RoutingLoop
	sender   TargetSender
	log      Recorder
	routes   sync.Map // *pace by name of the route
	late     lateness
}

// NewForwarder returns a forwarder that reports each request to log.
func NewForwarder(s ForwarderSettings, l RoutingLoop, sender TargetSender, log Recorder) *Forwarder {
	return &Forwarder{settings: s, loop: l, sender: sender, log: log}
}

// The times after which refused callers are asked to come back.
const (
	// configureRetry is about the time in which an instance that just started learns the routing.
	configureRetry = 300 * time.Millisecond
	// targetRetry is about the time in which a target comes back or a replacement is known.
	targetRetry = 250 * time.Millisecond
	// darkRetry is short, since another instance may reach the targets.
	darkRetry = 50 * time.Millisecond
	// cutOffRetry gives the balancer of an instance that is cut off time to take callers elsewhere; sooner they would
	// come to an instance of the same zone.
	cutOffRetry = time.Second
	// shedRetry is about the time in which a full queue of a target empties.
	shedRetry = 100 * time.Millisecond
)

// Forward runs a request and returns its answer. It returns early when ctx ends, which means that the caller left.
func (f *Forwarder) Forward(ctx context.Context, r *Request) ForwardResult {
	record := &Record{ID: r.ID, Received: r.Received}
	delivered := f.forward(ctx, r, record)
	record.finish(delivered, ctx.Err() != nil, time.Now())
	f.log.Record(record)
	return delivered
}

func refuse(r *caller.Refusal) ForwardResult { return ForwardResult{Refusal: r} }

func (f *Forwarder) forward(ctx context.Context, r *Request, record *Record) ForwardResult {
	now := time.Now()
	s := f.loop.Snapshot()
	if s.Routing == nil {
		return refuse(caller.Refuse(caller.CodeNotConfigured, configureRetry, "no routing is known yet"))
	}
	record.ConfigVersion, record.PlatformRevision, record.RoutingAge = s.Routing.Version, s.Revision, now.Sub(s.RoutingSince)
	route := s.Routing.Match(r.Host, r.Path)
	if route == nil {
		return refuse(caller.Refuse(caller.CodeUnknownService, 0, "no route for this host and path"))
	}
	record.Route = route.Name
	account, refusal := identify(s.Routing, route, r.Key)
	if refusal != nil {
		return refuse(refusal)
	}
	organisation := ""
	if account != nil {
		organisation = account.Name
	}
	record.Organisation = organisation
	fingerprint := targets.FingerprintOf(route.Name, r.Method+" "+r.RequestURI+"\x00"+organisation+"\x00"+string(r.Body))
	if until, refused := s.Quarantined[fingerprint]; refused && now.Before(until) {
		return refuse(caller.Refuse(caller.CodeQuarantined, until.Sub(now), "the request crashes targets"))
	}
	deadline := r.Deadline
	if limit := r.Received.Add(route.Timeout); route.Timeout > 0 && limit.Before(deadline) {
		deadline = limit
	}
	deadline = deadline.Add(-f.settings.ReplyMargin - r.TransitTime)
	if !now.Before(deadline) {
		return refuse(caller.Refuse(caller.CodeDeadline, 0, "the deadline has passed"))
	}
	if gate := s.RateLimiters[organisation]; gate != nil && account != nil {
		if ok, after := gate.Take(now); !ok {
			return refuse(caller.Refuse(caller.CodeRateLimited, after, "the organisation is above its rate"))
		}
	}
	d := &delivery{
		f: f, ctx: ctx, request: r, route: route, account: account, organisation: organisation, snapshot: s, deadline: deadline,
		fingerprint: fingerprint, record: record,
	}
	return d.run(now)
}

// identify returns the organisation that a request runs for, nil if nobody.
func identify(r *document.Routing, route *document.Route, key string) (*document.Account, *caller.Refusal) {
	if !r.RequiresKeys() {
		return nil, nil
	}
	var account *document.Account
	if key != "" {
		account = r.AccountByKeyDigest(caller.Digest(key))
	}
	switch {
	case account != nil || route.KeyOptional:
		return account, nil
	case key == "":
		return nil, caller.Refuse(caller.CodeUnauthenticated, 0, "the route needs a key")
	}
	return nil, caller.Refuse(caller.CodeUnauthenticated, 0, "the key is not valid")
}

// pace is what the requests of one route showed about latencies.
type pace struct {
	tail *targets.Tail
	// lag is how long after it was decided a send left, in nanoseconds, exponentially weighted.
	lag atomic.Int64
}

const (
	// lagShift is the weight, 1/16, of one send in the mean lag.
	lagShift = 4
	// lagFactor turns the mean lag of sends into the time that this instance itself may add to a reply: the last send
	// leaves after twice the mean.
	lagFactor = 2
)

// sent notes how long after it was decided a send left.
func (p *pace) sent(lag time.Duration) {
	old := p.lag.Load()
	p.lag.CompareAndSwap(old, old+(int64(lag)-old)>>lagShift)
}

// own is the time that this instance itself may add to a reply. A target is not late before.
func (p *pace) own() time.Duration { return lagFactor * time.Duration(p.lag.Load()) }

func (f *Forwarder) pace(route string) *pace {
	if p, ok := f.routes.Load(route); ok {
		return p.(*pace)
	}
	p, _ := f.routes.LoadOrStore(route, &pace{tail: targets.NewTail(targets.DefaultPolicy())})
	return p.(*pace)
}

// delivery is one request under way. It belongs to the request's goroutine; its legs run on goroutines of their own
// and report through ended.
type delivery struct {
	f            *Forwarder
	ctx          context.Context
	request      *Request
	route        *document.Route
	account      *document.Account
	organisation string
	snapshot     *routing.Snapshot
	deadline     time.Time
	fingerprint  targets.Fingerprint
	record       *Record

	prepared PreparedRequest
	pace     *pace
	ended    chan *legEnd
	over     chan struct{} // closed when no end is awaited any more
	cancels  map[int]context.CancelFunc
	replies  map[int]*TargetReply
	shed     bool
	// stamps are the signatures of the parts that are in.
	stamps map[string]bool
}

type legEnd struct {
	attempt int
	reply   TargetReply
}

// The objective is divided by these to get the longest time after which a second target is asked. A gathered request
// waits for the slowest of many parts; a single one spreads more, and most of its slow replies are long work.
const (
	gatherHedgePart = 3
	singleHedgePart = 2
)

func (d *delivery) run(now time.Time) ForwardResult {
	services := d.route.Shards
	if !d.route.Sharded() {
		services = []string{d.route.PickService(rand.Float64())}
	}
	for _, s := range services {
		d.snapshot.RetryBudget(s).RecordRequest(now)
	}
	if d.hopeless(services, now) {
		retry := darkRetry
		if !d.snapshot.Ready {
			retry = cutOffRetry
		}
		return refuse(caller.Refuse(caller.CodeNoTarget, retry, "too many services have no target that replies"))
	}
	d.record.Parts = len(services)
	d.record.Attempts = make([]AttemptRecord, 0, len(services))
	d.pace = d.f.pace(d.route.Name)
	d.prepared = d.f.sender.Prepare(d.request, d.organisation)
	d.cancels, d.replies, d.stamps = map[int]context.CancelFunc{}, map[int]*TargetReply{}, map[string]bool{}
	objective := d.route.LatencyObjective
	if objective <= 0 {
		objective = d.deadline.Sub(d.request.Received)
	}
	hedgePart := time.Duration(singleHedgePart)
	if d.route.Sharded() {
		hedgePart = gatherHedgePart
	}
	answerBy := d.request.Received.Add(objective - d.request.TransitTime - d.f.settings.AnswerMargin - d.f.late.margin(objective))
	machine, ready := targets.NewDispatch(targets.DispatchConfig{
		Services: services, Gather: d.route.Sharded(), MinCoverage: d.route.MinCoverage, Idempotent: d.route.Idempotent,
		MaxAttempts: d.route.MaxAttempts, Deadline: d.deadline, SoftDeadline: answerBy,
		Tail: d.pace.tail, MaxHedgeDelay: objective/hedgePart + d.pace.own(), Directory: newest{loop: d.f.loop, route: d.route, account: d.account}, Zone: d.f.settings.Zone,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, now)
	d.ended, d.over = make(chan *legEnd, len(services)), make(chan struct{})
	defer close(d.over)
	defer d.cancelAll()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	byTimer := false
	for !ready.Done {
		for _, attempt := range ready.Cancel {
			d.cancel(attempt)
		}
		for _, s := range ready.Send {
			d.send(s)
		}
		timer.Reset(time.Until(ready.Wake))
		var ended []targets.LegEnded
		select {
		case e := <-d.ended:
			ended = d.take(e)
		case <-timer.C:
		case <-d.ctx.Done():
			return refuse(&caller.Refusal{Code: caller.CodeOutcomeUnknown, Ran: caller.RanUnknown, Message: "the caller left"})
		}
		byTimer = len(ended) == 0
		ready = machine.Step(ended, time.Now())
	}
	answer := d.answer(machine)
	if now := time.Now(); byTimer && answer.Gathered != nil && now.After(answerBy) {
		// Nothing but the time made the answer leave, so that what it is late by is this instance's doing.
		d.f.late.observe(now.Sub(answerBy))
	}
	return answer
}

// darkTrial is the part of the requests that are tried although too few services have a target that replies, so that
// the end of the trouble is noticed.
const darkTrial = 0.1

// hopeless reports whether a request is refused at once because it most probably cannot be served.
func (d *delivery) hopeless(services []string, now time.Time) bool {
	least := 1.0
	if d.route.Sharded() {
		least = d.route.MinCoverage
	}
	// An instance that is cut off learns of the end from its siblings.
	trial := d.snapshot.Ready && rand.Float64() < darkTrial
	return d.snapshot.ReachableFraction(services, now) < least && !trial
}

// newest is the directory of a request that always reads the newest snapshot.
type newest struct {
	loop    RoutingLoop
	route   *document.Route
	account *document.Account
}

// Candidates returns the targets that may get the request at the service.
func (n newest) Candidates(service string) []*targets.Target {
	s := n.loop.Snapshot()
	all := s.Candidates(service)
	if len(n.route.Regions) == 0 && (n.account == nil || len(n.account.Regions) == 0) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(t *targets.Target) bool {
		return !n.route.AllowsRegion(n.account, s.Regions[t.Zone])
	})
}

// RetryBudget returns the budget of extra sends of the service.
func (n newest) RetryBudget(service string) *targets.RetryBudget {
	return n.loop.Snapshot().RetryBudget(service)
}

// take collects the ends of sends that are there.
func (d *delivery) take(e *legEnd) []targets.LegEnded {
	var out []targets.LegEnded
	for {
		out = append(out, d.judge(e))
		select {
		case e = <-d.ended:
		default:
			return out
		}
	}
}

// judge decides what a reply is worth to this request.
func (d *delivery) judge(e *legEnd) targets.LegEnded {
	reply := &e.reply
	if cancel := d.cancels[e.attempt]; cancel != nil {
		cancel()
		delete(d.cancels, e.attempt)
	}
	outcome := reply.Outcome
	if outcome == targets.LegReplied && d.route.Sharded() {
		switch {
		case !reply.Success():
			outcome = targets.LegFailed
		case reply.Signature == "" || d.stamps[reply.Signature]:
			outcome, reply.Reason = targets.LegNoReply, "duplicate or missing signature"
		default:
			d.stamps[reply.Signature] = true
		}
	}
	if outcome == targets.LegNotRun {
		d.shed = true
	}
	d.replies[e.attempt] = reply
	d.record.end(e.attempt, outcome, reply.Reason, time.Now())
	return targets.LegEnded{Attempt: e.attempt, Outcome: outcome}
}

func (d *delivery) cancel(attempt int) {
	if cancel := d.cancels[attempt]; cancel != nil {
		cancel()
		delete(d.cancels, attempt)
		d.record.end(attempt, cancelledLeg, "", time.Now())
	}
}

func (d *delivery) cancelAll() {
	for attempt := range d.cancels {
		d.cancel(attempt)
	}
}

func (d *delivery) send(s targets.Send) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancels[s.Attempt] = cancel
	now := time.Now()
	d.record.send(s, now)
	go d.leg(ctx, s, now)
}

// leg runs one send and reports what it showed about the target.
func (d *delivery) leg(ctx context.Context, s targets.Send, decided time.Time) {
	g := s.Target.Stats
	sent := time.Now()
	d.pace.sent(sent.Sub(decided))
	g.RecordSend(sent)
	reply := d.prepared.Send(ctx, TargetRequest{Target: s.Target, Deadline: d.deadline, MaySend: d.permit(s)})
	now := time.Now()
	elapsed := now.Sub(sent)
	if reply.Load >= 0 && reply.Outcome != targets.LegNoReply {
		g.RecordReportedLoad(reply.Load, now)
	}
	switch {
	case reply.Outcome == targets.LegReplied:
		g.RecordResponse(elapsed, now)
		g.RecordOutcome(false)
		g.Finish(elapsed)
		d.pace.tail.Observe(elapsed, false)
	case reply.Outcome == targets.LegFailed || reply.Outcome == targets.LegNotRun:
		g.RecordResponse(0, now)
		g.RecordOutcome(true)
		g.Finish(0)
	case ctx.Err() != nil:
		g.RecordNoResponse(sent, now, false)
		g.FinishCancelled(elapsed)
		d.pace.tail.Observe(elapsed, true)
	case reply.Reason == ReasonNotPermitted:
		g.Finish(0)
	default:
		g.RecordOutcome(true)
		g.RecordNoResponse(sent, now, true)
		g.Finish(0)
	}
	d.report(s, &reply)
	select {
	case d.ended <- &legEnd{attempt: s.Attempt, reply: reply}:
	case <-d.over:
	}
}

// report tells control what a reply shows about the target.
func (d *delivery) report(s targets.Send, reply *TargetReply) {
	switch {
	case reply.ConnectionRefused:
		d.f.loop.Post(routing.TargetConnectionRefused{TargetID: s.Target.ID})
	case reply.ConnectionLost:
		d.f.loop.Post(routing.TargetConnectionBroken{TargetID: s.Target.ID, Fingerprint: d.fingerprint})
	case reply.Misdirected:
		d.f.loop.Post(routing.TargetMisdirected{TargetID: s.Target.ID})
	}
	if reply.ColdFor > 0 {
		d.f.loop.Post(routing.TargetCold{TargetID: s.Target.ID, Remaining: reply.ColdFor})
	}
}

// ReasonNotPermitted is the reason of a send that Permit refused.
const ReasonNotPermitted = "not permitted any more"

// oldRouting is for how long after its arrival a request may still be sent as a replaced routing said.
const oldRouting = time.Second

// permit returns the check right before a send: the deadline, that the target may still get requests, and that the
// routing still sends the request to its service.
func (d *delivery) permit(s targets.Send) func(time.Time) bool {
	return func(now time.Time) bool {
		if !now.Before(d.deadline) {
			return false
		}
		newest := d.f.loop.Snapshot()
		if newest == d.snapshot {
			return true
		}
		usable := slices.ContainsFunc(newest.Candidates(s.Target.Service), func(t *targets.Target) bool {
			return t.ID == s.Target.ID
		})
		if now.Sub(d.request.Received) < oldRouting {
			return usable || newest.Services[s.Target.Service] == nil
		}
		route := newest.Routing.Match(d.request.Host, d.request.Path)
		if !usable || route == nil || !route.AllowsService(s.Target.Service) {
			return false
		}
		account, refusal := identify(newest.Routing, route, d.request.Key)
		return refusal == nil && (account == nil) == (d.organisation == "") && (account == nil || account.Name == d.organisation)
	}
}

// answer puts the answer together from what came of the parts.
func (d *delivery) answer(m *targets.Dispatch) ForwardResult {
	results := m.Results()
	mayHaveRun := false
	for _, r := range results {
		mayHaveRun = mayHaveRun || r.MayHaveRun
	}
	if d.route.Sharded() {
		if g := d.gather(results); m.EnoughParts(len(g.Signatures)) {
			d.record.Covered = len(g.Signatures)
			return ForwardResult{Gathered: g}
		}
		return d.refusal(mayHaveRun)
	}
	if reply := d.replies[results[0].ReplyAttempt]; reply != nil {
		d.record.Covered = 1
		if promisesNotRun(reply.Status) {
			// The target ran the request, so its status must not be passed on.
			return d.refusal(true)
		}
		return ForwardResult{Reply: reply}
	}
	if reply := d.replies[results[0].FailureAttempt]; reply != nil && !promisesNotRun(reply.Status) {
		return ForwardResult{Reply: reply}
	}
	return d.refusal(mayHaveRun)
}

// promisesNotRun reports whether callers take a status as the promise that the request did not run.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

func (d *delivery) gather(results []targets.PartResult) *GatheredAnswer {
	g := &GatheredAnswer{}
	var parts [][]byte
	for _, r := range results {
		reply := d.replies[r.ReplyAttempt]
		if reply == nil {
			g.MissingParts++
			continue
		}
		g.Signatures = append(g.Signatures, reply.Signature)
		parts = append(parts, reply.Body)
	}
	g.Body = targets.GreatestRecords(parts, d.route.TopRecords)
	return g
}

func (d *delivery) refusal(mayHaveRun bool) ForwardResult {
	late := !time.Now().Before(d.deadline)
	r := &caller.Refusal{Ran: caller.RanNo, Code: caller.CodeNoTarget, RetryAfter: targetRetry, Message: "no target took the request"}
	switch {
	case mayHaveRun && late:
		r = &caller.Refusal{Ran: caller.RanUnknown, Code: caller.CodeDeadline, Message: "no answer in time"}
	case mayHaveRun:
		r = &caller.Refusal{Ran: caller.RanUnknown, Code: caller.CodeOutcomeUnknown, Message: "targets failed"}
	case d.shed:
		r.Code, r.RetryAfter, r.Message = caller.CodeOverloaded, shedRetry, "all targets are full"
	}
	return ForwardResult{Refusal: r}
}
